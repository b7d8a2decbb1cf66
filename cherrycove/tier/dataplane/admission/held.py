"""Live requests that wait at this proxy, in the order in which they are sent. Pure."""

from __future__ import annotations

from bisect import insort

from cherrycove.tier.dataplane.admission.interface import Ticket


class HeldRequests:
    def __init__(self) -> None:
        self._tickets: list[Ticket] = []  # by their order

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._tickets

    def add(self, ticket: Ticket) -> None:
        insort(self._tickets, ticket, key=lambda each: each.order)

    def remove(self, ticket: Ticket) -> None:
        """It waits no more, neither here nor in the queue of its kind or of a broker."""
        self._tickets.remove(ticket)
        if ticket.record is not None:
            ticket.record.leave()

    def in_order(self, now: float) -> list[Ticket]:
        """The earliest due first, but behind those that can still be in time the ones that cannot: else, in
        an overload, one late request makes the next late."""
        in_time = [ticket for ticket in self._tickets if now < ticket.due]
        return in_time + [ticket for ticket in self._tickets if now >= ticket.due]
