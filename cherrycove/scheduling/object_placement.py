"""At which shards new objects were put of late, by their keys.

Just after a new object was written, its clients may name the wrong shard for it. This scheduler knows better
where it saw the answer to the write. The number of objects is bounded; the oldest is dropped first.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_OBJECTS = 2048  # objects; reads come within seconds of the write


class ObjectPlacements:
    """The last new objects that were served. Owned by ``Attempts``.

    A request goes to another shard than its client names only once the named one has rejected that object.
    """

    def __init__(self, most: int = MAX_OBJECTS) -> None:
        self._most = most
        # By key: the shard that took the object, and those that have rejected requests for it.
        self._at: OrderedDict[str, tuple[int, frozenset[int]]] = OrderedDict()

    def record(self, key: str | None, shard: int | None) -> None:
        """Note that a shard has served the write of a new object; one without a key is not kept."""
        if key is None or shard is None:
            return
        self._at.pop(key, None)
        self._at[key] = shard, frozenset()
        if len(self._at) > self._most:
            self._at.popitem(last=False)

    def shard_for(self, key: str | None, named: int | None) -> int | None:
        """Return the shard to send a request to whose client names ``named``."""
        shard, wrong = self._at.get(key or "", (named, frozenset()))
        return shard if named in wrong else named

    def record_rejection(self, key: str | None, shard: int | None) -> int | None:
        """Note that a shard's node has rejected an object; return the shard that took it, if another one.

        None: that is not known, or it was this one, so that what was known no longer holds.
        """
        at, wrong = self._at.get(key or "", (None, frozenset[int]()))
        if at is None or shard is None:
            return None
        if at == shard:
            del self._at[key or ""]
            return None
        self._at[key or ""] = at, wrong | {shard}
        return at
