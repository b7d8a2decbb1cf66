"""Which incarnations of nodes hold writes of an export that no flush has made durable."""

from __future__ import annotations


class UnflushedWrites:
    """Tracks acknowledged writes of one export until a flush on the same node incarnation covers them.

    A flush vouches only for what the same incarnation of the same node received. A flush that reaches another
    one fails once, so that the client learns that acknowledged writes may be lost (proto.md, section
    "Ordering of messages and writes").
    """

    def __init__(self) -> None:
        """Nothing has been written."""
        self._last_write: dict[str, int] = {}  # sequence number by incarnation
        self._sequence = 0

    @property
    def last_sequence(self) -> int:
        """The sequence number of the latest acknowledged write."""
        return self._sequence

    def record_write(self, incarnation: str) -> None:
        """A write was acknowledged by this incarnation of a node."""
        self._sequence += 1
        self._last_write[incarnation] = self._sequence

    def forget_others(self, incarnation: str) -> bool:
        """Forget the writes of all other incarnations; whether there were any."""
        others = [each for each in self._last_write if each != incarnation]
        for each in others:
            del self._last_write[each]
        return bool(others)

    def record_flush(self, incarnation: str, sequence: int) -> None:
        """A flush that began when ``last_sequence`` was ``sequence`` was acknowledged."""
        if self._last_write.get(incarnation, sequence + 1) <= sequence:
            del self._last_write[incarnation]
