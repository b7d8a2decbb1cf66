"""The processes that hold leases: renewal, expiry, and which process of a proxy is the current one."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.grant_policy import lease_limit
from cherrycove.tier.batch.leasing.lease_types import LeaseCall

MAX_SUPERSEDED = 8  # earlier incarnations remembered for each proxy


@attrs.define
class LeaseHolder:
    """One process of a proxy, with all items that are leased to it."""

    proxy: str
    expires_at_s: float
    sequence: int = -1  # of the newest request
    capacity: int = 0  # at that request
    broker_slots: int = 0  # the same
    live_requests: int = 0  # the same
    items: set[ItemKey] = attrs.field(factory=set)


class LeaseHolders:
    """All lease holders by incarnation.

    A proxy has one current process. When a holder is dropped, its items are returned for the caller to free.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._holders: dict[str, LeaseHolder] = {}  # by incarnation
        self._current: dict[str, str] = {}  # proxy -> incarnation
        self._superseded: dict[str, list[str]] = {}  # proxy -> earlier incarnations, oldest first

    def count_with_capacity(self) -> int:
        """How many processes could start further items at their last request."""
        return sum(holder.capacity > 0 for holder in self._holders.values())

    def lease_limit(self) -> int | None:
        """How many items all of them may hold together, by their last requests; None: unlimited."""
        holders = self._holders.values()
        return lease_limit(
            [holder.broker_slots for holder in holders], sum(holder.live_requests for holder in holders)
        )

    def count_items(self) -> int:
        """How many items all of them hold."""
        return sum(len(holder.items) for holder in self._holders.values())

    def renew(self, call: LeaseCall, now: float) -> LeaseHolder | None:
        """Renew the lease of the caller, which is current; None for a request that a newer one overtook."""
        holder = self._holders.get(call.incarnation)
        if holder is None:
            holder = self._holders[call.incarnation] = LeaseHolder(call.proxy, now)
        if call.sequence <= holder.sequence:
            return None
        holder.sequence = call.sequence
        holder.expires_at_s = now + self._lease_s
        holder.capacity = call.capacity
        holder.broker_slots = call.broker_slots
        holder.live_requests = call.live_requests
        return holder

    def is_superseded(self, call: LeaseCall) -> bool:
        """Whether the caller is an earlier process of its proxy, while the lease of a later one is valid."""
        return (
            call.incarnation in self._superseded.get(call.proxy, ())
            and self._current.get(call.proxy) in self._holders
        )

    def make_current(self, call: LeaseCall) -> Sequence[ItemKey]:
        """Make the caller the current process of its proxy; returns the items of the one before.

        A late request that was delayed on the network may so replace the current process by an earlier one.
        The current one becomes current again once the lease of the earlier one has expired.
        """
        before = self._current.get(call.proxy)
        if call.incarnation == before:
            return ()
        superseded = self._superseded.setdefault(call.proxy, [])
        if call.incarnation in superseded:
            superseded.remove(call.incarnation)
        if before is not None:
            superseded.append(before)
            del superseded[:-MAX_SUPERSEDED]
        self._current[call.proxy] = call.incarnation
        return self._drop(before) if before in self._holders else ()

    def expire(self, now: float) -> Sequence[ItemKey]:
        """Drop every holder that did not renew in time; returns their items."""
        expired = [name for name, holder in self._holders.items() if holder.expires_at_s <= now]
        return [key for incarnation in expired for key in self._drop(incarnation)]

    def release(self, incarnation: str, key: ItemKey) -> None:
        """``key`` is no longer leased to ``incarnation``."""
        holder = self._holders.get(incarnation)
        if holder is not None:
            holder.items.discard(key)

    def _drop(self, incarnation: str) -> Sequence[ItemKey]:
        return list(self._holders.pop(incarnation).items)
