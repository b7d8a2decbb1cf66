"""Tells whether this controller may make decisions, and which controller is the primary otherwise."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import Group

POLL_INTERVAL_S = 0.05  # needed because a lease can start or end without a change reported by the group
CONFIRMATION_TIMEOUT_S = 0.7  # must be below the timeout after which callers ask another controller
# A listed member that receives no heartbeats for this time, while a primary answers its pulls, was removed
# from the group.
NO_HEARTBEAT_TIMEOUT_S = 1.5
HINT_MAX_AGE_S = 3.0  # maximum age of the last contact with a primary to which callers are directed


@attrs.frozen
class Introduction:
    """Represents a controller's claim to be the primary.

    ``PrimaryIntroduction`` sends it, and ``Leadership`` stores the newest one.
    """

    address: str  # host:port of the controller's RPC server
    epoch: int
    received_at: float  # monotonic s


class Leadership:
    """Provides the group's leadership to the publisher and the operator's interface.

    Owned by the ``Controller``; read-only for all others. It combines the group's heartbeats with the answers
    to this process's own pulls and with introductions by primaries. Its own state is in memory only, and
    safety does not depend on it. Only ``is_confirmed_primary`` permits a decision; the address of another
    primary is a hint.
    """

    def __init__(self, group: Group, cluster_view: ClusterView) -> None:
        """``cluster_view`` holds the primary that answered this process's last pull, and the time of it."""
        self._group = group
        self._cluster_view = cluster_view
        self._primary_id = ""
        self._primary_since = float("-inf")
        self._introduction: Introduction | None = None
        group.on_change(self._record_primary)

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this controller."""
        return self._group.epoch

    def is_confirmed_primary(self) -> bool:
        """Return whether this replica leads under a valid lease and has applied everything committed."""
        return self._group.is_confirmed_primary()

    def record_introduction(self, introduction: Introduction) -> None:
        """Store ``introduction``, unless one of a newer epoch was received within ``HINT_MAX_AGE_S``."""
        known = self._introduction
        is_outdated = known is not None and introduction.epoch < known.epoch
        if known is None or not is_outdated or introduction.received_at - known.received_at >= HINT_MAX_AGE_S:
            self._introduction = introduction

    def primary_address(self) -> str:
        """Return the RPC address (host:port) of the primary; empty while it is unknown or too uncertain.

        A member learns its group's primary from heartbeats, and drops it when they cease. A controller
        outside the group receives no heartbeats, nor does a removed one that does not know of its removal.
        Both learn the primary from the answers to their own pulls, which continue long after the heartbeats,
        and before the first answer from the primary's introduction.
        """
        self._record_primary()
        now = asyncio.get_running_loop().time()
        return self._introduced_address(now) or self._address_of_contact(now)

    def _introduced_address(self, now: float) -> str:
        """Return the address of a recently introduced primary; empty if newer information exists."""
        introduction = self._introduction
        if introduction is None or self._group.primary is not None:
            return ""
        is_outdated = introduction.epoch < self._group.epoch
        if is_outdated or introduction.received_at <= self._cluster_view.last_contact:
            return ""
        return self._usable_address(introduction.address, introduction.received_at, now)

    def _address_of_contact(self, now: float) -> str:
        """Return the primary known from heartbeats or from answers to pulls, whichever is newer."""
        group, cluster_view = self._group, self._cluster_view
        primary = group.primary
        listed = group.identity.member_id in group.voting_member_ids()
        if (
            primary is None
            and listed
            and cluster_view.last_contact - self._primary_since < NO_HEARTBEAT_TIMEOUT_S
        ):
            return ""
        seen_at, address = cluster_view.last_contact, cluster_view.primary_address
        if primary is not None and self._primary_since >= seen_at:
            seen_at, address = self._primary_since, primary.address
        return self._usable_address(address, seen_at, now)

    def _usable_address(self, address: str, seen_at: float, now: float) -> str:
        """Return ``address`` if it was seen recently and is not this controller's own, else empty."""
        if now - seen_at >= HINT_MAX_AGE_S or address == self._group.identity.address:
            return ""
        return address

    def not_primary_failure(self) -> Failure:
        """Return the failure for a call that only the confirmed primary may answer."""
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary controller", self.primary_address())

    async def wait_until_confirmed(self, timeout_s: float = CONFIRMATION_TIMEOUT_S) -> Result[None, Failure]:
        """Wait until this replica is the confirmed primary.

        Returns NOT_PRIMARY as soon as another controller is known to be the primary, or after ``timeout_s``.
        A caller that awaits anything afterwards must check ``is_confirmed_primary`` again before it returns a
        final error.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self._group.is_confirmed_primary():
            if self.primary_address() or loop.time() >= deadline:
                return Err(self.not_primary_failure())
            await asyncio.sleep(POLL_INTERVAL_S)
        return Ok(None)

    def _record_primary(self) -> None:
        primary = self._group.primary
        member_id = "" if primary is None else primary.member_id
        if member_id != self._primary_id:
            self._primary_id = member_id
            self._primary_since = asyncio.get_running_loop().time()
