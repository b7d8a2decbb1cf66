"""Tracks which node incarnations hold writes of an export that no flush has made durable."""

from __future__ import annotations


class UnflushedWrites:
    """Tracks acknowledged writes of one export until a flush on the same node incarnation covers them.

    A flush covers only writes received by the same incarnation of the same node. A flush that reaches another
    incarnation fails once, which tells the client that acknowledged writes may be lost (proto.md, section
    "Ordering of messages and writes").
    """

    def __init__(self) -> None:
        """Create a tracker without any recorded write."""
        self._last_write: dict[str, int] = {}  # sequence number by incarnation
        self._sequence = 0

    @property
    def last_sequence(self) -> int:
        """Sequence number of the latest acknowledged write; 0 if there is none."""
        return self._sequence

    def record_write(self, incarnation: str) -> None:
        """Record that this node incarnation acknowledged a write."""
        self._sequence += 1
        self._last_write[incarnation] = self._sequence

    def discard_other_incarnations(self, incarnation: str) -> bool:
        """Discard the writes of all other incarnations; return whether there were any."""
        others = [each for each in self._last_write if each != incarnation]
        for each in others:
            del self._last_write[each]
        return bool(others)

    def record_flush(self, incarnation: str, sequence: int) -> None:
        """Record that a flush was acknowledged that was sent when ``last_sequence`` was ``sequence``."""
        if self._last_write.get(incarnation, sequence + 1) <= sequence:
            del self._last_write[incarnation]
