"""The dissemination component of SWIM (section 4.1): updates are piggybacked on the protocol's datagrams."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import attrs

from cherrycove.tier.membership.members import MemberKey, MemberStatus
from cherrycove.tier.protocol.membership_pb2 import Update

UPDATE_OVERHEAD_BYTES = 3  # tag and length prefix of one update in a datagram
CANDIDATES_PER_DATAGRAM = 24  # more updates than fit into one datagram


@attrs.define
class _PendingUpdate:
    update: Update
    size_bytes: int
    transmissions: int = 0


class DisseminationQueue:
    """Holds the newest update of each member until it has been sent the maximum number of times.

    Owned by the ``MembershipList``. An update whose datagrams are all lost reaches the other members by an
    anti-entropy exchange.
    """

    def __init__(self) -> None:
        self._pending: dict[MemberKey, _PendingUpdate] = {}

    def add(self, status: MemberStatus) -> None:
        """Queue ``status`` for dissemination; it replaces an older update of the same member."""
        update = status.to_update()
        size_bytes = update.ByteSize() + UPDATE_OVERHEAD_BYTES
        self._pending[status.member.key] = _PendingUpdate(update, size_bytes)

    def take(self, available_bytes: int, max_transmissions: int) -> list[Update]:
        """Return updates for one datagram, those sent least often first (SWIM, section 4.1).

        They fit into ``available_bytes``. An update is removed from the queue with its
        ``max_transmissions``-th transmission.
        """
        if not self._pending:
            return []
        candidates = heapq.nsmallest(
            CANDIDATES_PER_DATAGRAM, self._pending.items(), key=lambda item: item[1].transmissions
        )
        taken = []
        for key, pending in candidates:
            if pending.size_bytes > available_bytes:
                continue
            available_bytes -= pending.size_bytes
            taken.append(pending.update)
            pending.transmissions += 1
            if pending.transmissions >= max_transmissions:
                del self._pending[key]
        return taken

    def discard(self, keys: Iterable[MemberKey]) -> None:
        """Remove the updates of these members from the queue."""
        for key in keys:
            self._pending.pop(key, None)

    def __len__(self) -> int:
        return len(self._pending)
