"""Batch items that wait for a spare place, the earliest due first. Pure."""

from __future__ import annotations

from heapq import heappop, heappush

from cherrycove.tier.dataplane.admission.interface import Ticket


class ItemsQueue:
    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Ticket]] = []
        self._waiting: dict[Ticket, None] = {}
        self._serial = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, ticket: Ticket) -> None:
        self._serial += 1
        self._waiting[ticket] = None
        heappush(self._heap, (ticket.due, self._serial, ticket))

    def remove(self, ticket: Ticket) -> None:
        """It waits no more; its entry is dropped once it comes to the front."""
        self._waiting.pop(ticket, None)

    def in_order(self, now: float) -> list[Ticket]:
        """All that wait, the earliest due first, those that are overdue behind the others."""
        while self._heap and self._heap[0][2] not in self._waiting:
            heappop(self._heap)
        waiting = [entry[2] for entry in sorted(self._heap) if entry[2] in self._waiting]
        return sorted(waiting, key=lambda ticket: ticket.due <= now)
