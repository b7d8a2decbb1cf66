"""Whether this controller may decide, and which one does instead."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import Group

POLL_S = 0.05  # a lease can end or begin without a change that the group reports
CONFIRMATION_TIMEOUT_S = 0.7  # below the time-out after which callers ask another controller
WITHOUT_HEARTBEATS_S = 1.5  # a member without a primary for so long, whose pulls are answered, was removed
HINT_FRESH_S = 3.0  # callers are not directed to a primary without a sign of life for so long


@attrs.frozen
class Introduction:
    """A controller's own word that it leads: ``PrimaryIntroduction`` sends it, ``Leadership`` keeps one."""

    address: str  # host:port of its internal calls
    epoch: int
    received_at: float  # monotonic s


class Leadership:
    """The group's leadership as the publisher and the operator's interface need it.

    Owned by the ``Controller``; read-only for all others. It combines the heartbeats of the group with the
    answers to this process's own pulls and with introductions by primaries. Soft state: a crash loses it, and
    nothing safe depends on it. Only ``is_confirmed_primary`` permits a decision; the address of another
    primary is a hint.
    """

    def __init__(self, group: Group, cluster_view: ClusterView) -> None:
        """``cluster_view`` has the controller that answered the last pull here as the primary, and when."""
        self._group = group
        self._cluster_view = cluster_view
        self._primary_id = ""
        self._primary_since = float("-inf")
        self._introduction: Introduction | None = None
        group.on_change(self._note_primary)

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""
        return self._group.epoch

    def is_confirmed_primary(self) -> bool:
        """Whether this replica leads under a valid lease and has applied everything committed."""
        return self._group.is_confirmed_primary()

    def record_introduction(self, introduction: Introduction) -> None:
        """Keep ``introduction``, unless one of a newer epoch came lately."""
        known = self._introduction
        is_outdated = known is not None and introduction.epoch < known.epoch
        if known is None or not is_outdated or introduction.received_at - known.received_at >= HINT_FRESH_S:
            self._introduction = introduction

    def primary_address(self) -> str:
        """Return the RPC address (host:port) of the leading controller; empty while that is too uncertain.

        A member learns of its group's primary by heartbeats, and forgets it when they stay away. A controller
        outside the group receives none; neither does one that was removed and does not know. Those two learn
        the primary by answers to their own pulls, which go on long after the heartbeats, and before the first
        answer by the primary's introduction.
        """
        self._note_primary()
        now = asyncio.get_running_loop().time()
        return self._introduced_address(now) or self._address_of_contact(now)

    def _introduced_address(self, now: float) -> str:
        """Return who introduced itself lately, where nothing newer is known; else empty."""
        introduction = self._introduction
        if introduction is None or self._group.primary is not None:
            return ""
        is_outdated = introduction.epoch < self._group.epoch
        if is_outdated or introduction.received_at <= self._cluster_view.last_contact:
            return ""
        return self._usable(introduction.address, introduction.received_at, now)

    def _address_of_contact(self, now: float) -> str:
        """Return the primary by heartbeats or by answers to this process's pulls, whichever is newer."""
        group, cluster_view = self._group, self._cluster_view
        primary = group.primary
        listed = group.identity.member_id in group.voting_member_ids()
        if (
            primary is None
            and listed
            and cluster_view.last_contact - self._primary_since < WITHOUT_HEARTBEATS_S
        ):
            return ""
        seen_at, address = cluster_view.last_contact, cluster_view.primary_address
        if primary is not None and self._primary_since >= seen_at:
            seen_at, address = self._primary_since, primary.address
        return self._usable(address, seen_at, now)

    def _usable(self, address: str, seen_at: float, now: float) -> str:
        """Return ``address`` if it was seen lately and is another controller's, else empty."""
        if now - seen_at >= HINT_FRESH_S or address == self._group.identity.address:
            return ""
        return address

    def not_primary_failure(self) -> Failure:
        """Return the failure of a call that only the confirmed primary may decide."""
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary controller", self.primary_address())

    async def wait_until_confirmed(self, timeout_s: float = CONFIRMATION_TIMEOUT_S) -> Result[None, Failure]:
        """Wait until this replica is the confirmed primary.

        NOT_PRIMARY as soon as another controller is known to lead, or after ``timeout_s``. A caller that
        waits for anything afterwards must ask ``is_confirmed_primary`` again before it refuses for good.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self._group.is_confirmed_primary():
            if self.primary_address() or loop.time() >= deadline:
                return Err(self.not_primary_failure())
            await asyncio.sleep(POLL_S)
        return Ok(None)

    def _note_primary(self) -> None:
        primary = self._group.primary
        member_id = "" if primary is None else primary.member_id
        if member_id != self._primary_id:
            self._primary_id = member_id
            self._primary_since = asyncio.get_running_loop().time()
