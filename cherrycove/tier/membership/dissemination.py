"""Updates that are still to be spread, attached to the datagrams that are sent anyway."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import attrs

from cherrycove.tier.membership.members import MemberKey, MemberStatus
from cherrycove.tier.protocol.membership_pb2 import Update

UPDATE_OVERHEAD_BYTES = 3  # tag and length of one entry of a datagram
CANDIDATES = 24  # more than fit into one datagram


@attrs.define
class _Pending:
    update: Update
    size: int
    sent: int = 0


class DisseminationQueue:
    """Holds the newest update of each member until it has been sent often enough."""

    def __init__(self) -> None:
        self._pending: dict[MemberKey, _Pending] = {}

    def add(self, status: MemberStatus) -> None:
        """Spread ``status`` in place of what was to be spread of this member before."""
        update = status.to_update()
        self._pending[status.member.key] = _Pending(update, update.ByteSize() + UPDATE_OVERHEAD_BYTES)

    def take(self, available_bytes: int, transmissions: int) -> list[Update]:
        """Updates for one datagram with ``available_bytes`` left, those sent least often first."""
        if not self._pending:
            return []
        candidates = heapq.nsmallest(CANDIDATES, self._pending.items(), key=lambda item: item[1].sent)
        taken = []
        for key, pending in candidates:
            if pending.size > available_bytes:
                continue
            available_bytes -= pending.size
            taken.append(pending.update)
            pending.sent += 1
            if pending.sent >= transmissions:
                del self._pending[key]
        return taken

    def discard(self, keys: Iterable[MemberKey]) -> None:
        """Spread nothing of these members."""
        for key in keys:
            self._pending.pop(key, None)

    def __len__(self) -> int:
        return len(self._pending)
