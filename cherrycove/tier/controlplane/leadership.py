"""Whether this controller may decide, and which one does instead."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import Group

POLL_S = 0.05  # a lease can end or begin without a change that the group reports
CONFIRMATION_TIMEOUT_S = 0.7  # below the time-out after which callers ask another controller
WITHOUT_HEARTBEATS_S = 1.5  # a member without a primary for so long, whose pulls are answered, was removed
HINT_FRESH_S = 3.0  # callers are not directed to a primary without a sign of life for so long


class Leadership:
    """The group's leadership as the publisher and the operator's interface need it.

    Owned by the ``Controller``; read-only for all others. It combines the heartbeats of the group with the
    answers to this process's own pulls. Soft state: a crash loses it, and nothing safe depends on it. Only
    ``is_confirmed_primary`` permits a decision; the address of another primary is a hint.
    """

    def __init__(self, group: Group, cluster_view: ClusterView) -> None:
        """``cluster_view`` has the controller that answered the last pull here as the primary, and when."""
        self._group = group
        self._cluster_view = cluster_view
        self._primary_id = ""
        self._primary_since = float("-inf")
        group.on_change(self._note_primary)

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""
        return self._group.epoch

    def is_confirmed_primary(self) -> bool:
        """Whether this replica leads under a valid lease and has applied everything committed."""
        return self._group.is_confirmed_primary()

    def primary_address(self) -> str:
        """Return the RPC address (host:port) of the leading controller; empty while that is too uncertain.

        A member learns of its group's primary by heartbeats, and forgets it when they stay away. A controller
        outside the group receives none; neither does one that was removed and does not know. Those two learn
        the primary only by answers to their own pulls, which go on long after the heartbeats.
        """
        self._note_primary()
        now = asyncio.get_running_loop().time()
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
        if now - seen_at >= HINT_FRESH_S or address == group.identity.address:
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
