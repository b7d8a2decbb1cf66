"""Where new objects were put of late, by their keys.

It owns what this scheduler's own answers say of that. It must never grow with the number of objects, and
never send a request elsewhere than it names unless the node it names has turned that object away.
"""

from __future__ import annotations

from collections import OrderedDict

MOST = 2048  # objects; reads come within seconds of the write


class Placed:
    """The last new objects that were served: which shard took each, and which others have turned it away."""

    def __init__(self, most: int = MOST) -> None:
        self._most = most
        self._at: OrderedDict[str, tuple[int, frozenset[int]]] = OrderedDict()

    def put(self, key: str | None, shard: int | None) -> None:
        if key is None or shard is None:
            return
        self._at.pop(key, None)
        self._at[key] = shard, frozenset()
        if len(self._at) > self._most:
            self._at.popitem(last=False)

    def where(self, key: str | None, named: int | None) -> int | None:
        """The shard to send to for one that its client says is named's."""
        shard, wrong = self._at.get(key or "", (named, frozenset()))
        return shard if named in wrong else named

    def missed(self, key: str | None, shard: int | None) -> int | None:
        """This shard's node has turned it away; the one that took it, if that is another and known."""
        at, wrong = self._at.get(key or "", (None, frozenset[int]()))
        if at is None or shard is None:
            return None
        if at == shard:
            del self._at[key or ""]  # Guard: what was known of it does not hold any longer
            return None
        self._at[key or ""] = at, wrong | {shard}
        return at
