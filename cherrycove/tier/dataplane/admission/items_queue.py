"""Batch items that wait for a spare place at this proxy. Pure."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission.interface import Ticket


class ItemsQueue:
    def __init__(self) -> None:
        self._waiting: dict[Ticket, None] = {}  # by their coming

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, ticket: Ticket) -> None:
        self._waiting[ticket] = None

    def remove(self, ticket: Ticket) -> None:
        self._waiting.pop(ticket, None)

    def in_order(self, now: float) -> list[Ticket]:
        """The earliest due first, those that are overdue behind the others."""
        return sorted(self._waiting, key=lambda ticket: (ticket.due <= now, ticket.due))
