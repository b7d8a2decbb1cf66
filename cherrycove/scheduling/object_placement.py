"""The shards that recently stored new objects, by object key.

Just after a new object was written, clients may name the wrong shard for it. The scheduler that received the
answer to the write knows the right one. The number of objects is bounded; the oldest is evicted first.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_OBJECTS = 2048  # reads follow within seconds of the write


class ObjectPlacements:
    """The latest new objects that were stored. Owned by ``Attempts``.

    A request is redirected from the shard that its client names only after that shard has rejected the
    object.
    """

    def __init__(self, max_objects: int = MAX_OBJECTS) -> None:
        self._max_objects = max_objects
        # By key: the shard that stored the object, and the shards that rejected requests for it.
        self._placements: OrderedDict[str, tuple[int, frozenset[int]]] = OrderedDict()

    def record(self, key: str | None, shard: int | None) -> None:
        """Record that a shard stored a new object; an object without a key is ignored."""
        if key is None or shard is None:
            return
        self._placements.pop(key, None)
        self._placements[key] = shard, frozenset()
        if len(self._placements) > self._max_objects:
            self._placements.popitem(last=False)

    def shard_for(self, key: str | None, named: int | None) -> int | None:
        """Return the shard for a request whose client names the shard ``named``."""
        shard, rejected_by = self._placements.get(key or "", (named, frozenset()))
        return shard if named in rejected_by else named

    def record_rejection(self, key: str | None, shard: int | None) -> int | None:
        """Record that a shard has rejected an object; return the other shard that stored it.

        Returns None if that is unknown, or if it was this shard; the outdated record is then removed.
        """
        at, rejected_by = self._placements.get(key or "", (None, frozenset[int]()))
        if at is None or shard is None:
            return None
        if at == shard:
            del self._placements[key or ""]
            return None
        self._placements[key or ""] = at, rejected_by | {shard}
        return at
