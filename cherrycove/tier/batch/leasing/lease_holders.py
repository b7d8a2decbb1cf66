"""Tracks the processes that hold leases: renewal, expiry, and which process of a proxy is the current one."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.grant_policy import lease_limit
from cherrycove.tier.batch.leasing.lease_types import LeaseCall

MAX_SUPERSEDED = 8  # earlier incarnations remembered per proxy


@attrs.define
class LeaseHolder:
    """Holds one process of a proxy, with all items that are leased to it."""

    proxy: str
    expires_at_s: float
    # The next four fields are taken from its newest request.
    sequence: int = -1
    capacity: int = 0
    broker_slots: int = 0
    live_requests: int = 0
    items: set[ItemKey] = attrs.field(factory=set)


class LeaseHolders:
    """Holds all lease holders by incarnation.

    A proxy has one current process. When a holder is dropped, its items are returned for the caller to free.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._holders: dict[str, LeaseHolder] = {}  # incarnation -> holder
        self._current: dict[str, str] = {}  # proxy -> incarnation
        self._superseded: dict[str, list[str]] = {}  # proxy -> earlier incarnations, oldest first

    def count_with_capacity(self) -> int:
        """Return how many processes could start further items at their last request."""
        return sum(holder.capacity > 0 for holder in self._holders.values())

    def lease_limit(self) -> int | None:
        """Return how many items all holders may hold together, by their last requests; None if unlimited."""
        holders = self._holders.values()
        return lease_limit(
            [holder.broker_slots for holder in holders], sum(holder.live_requests for holder in holders)
        )

    def count_items(self) -> int:
        """Return how many items all holders hold together."""
        return sum(len(holder.items) for holder in self._holders.values())

    def renew(self, call: LeaseCall, now: float) -> LeaseHolder | None:
        """Renew the lease of the caller, which is current; None if a newer request was handled before."""
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
        """Return whether the caller is an earlier process of its proxy and a later one has a valid lease."""
        return (
            call.incarnation in self._superseded.get(call.proxy, ())
            and self._current.get(call.proxy) in self._holders
        )

    def make_current(self, call: LeaseCall) -> Sequence[ItemKey]:
        """Make the caller the current process of its proxy. Returns the items of the previous one.

        A request that was delayed on the network can thereby replace the current process by an earlier one.
        The replaced process becomes current again once the lease of the earlier one has expired.
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
        """Drop every holder that did not renew in time. Returns their items."""
        expired = [name for name, holder in self._holders.items() if holder.expires_at_s <= now]
        return [key for incarnation in expired for key in self._drop(incarnation)]

    def release(self, incarnation: str, key: ItemKey) -> None:
        """Remove ``key`` from the items that ``incarnation`` holds."""
        holder = self._holders.get(incarnation)
        if holder is not None:
            holder.items.discard(key)

    def _drop(self, incarnation: str) -> Sequence[ItemKey]:
        return list(self._holders.pop(incarnation).items)
