"""Whether this keeper decides, and who does instead."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import Group

POLL_S = 0.05  # a lease can end or begin to hold without a change that the group reports
SETTLE_TIMEOUT_S = 0.7  # below the silence after which callers turn to another keeper
WITHOUT_HEARTBEATS_S = 1.5  # who knows no primary for so long, though its pulls are answered, was removed
HINT_FRESH_S = 3.0  # a primary of which nothing was heard for so long is not pointed to


class Leadership:
    """The group's leadership as the publisher and the operator's interface need it."""

    def __init__(self, group: Group, views: ClusterView) -> None:
        """``views`` tells which keeper answered this process as the primary, and when."""
        self._group = group
        self._views = views
        self._primary_id = ""
        self._primary_since = float("-inf")
        group.on_change(self._note_primary)

    @property
    def epoch(self) -> int:
        return self._group.epoch

    def is_confirmed_primary(self) -> bool:
        return self._group.is_confirmed_primary()

    def primary_address(self) -> str:
        """RPC address of the keeper that leads, by the newest evidence; empty while that is too old.

        A member learns of its group's primary by heartbeats and forgets it when they stay away. A keeper
        outside the group hears none, nor does one that was removed and does not know of it: only the answers
        to its own pulls tell it, where they still come long after the heartbeats.
        """
        self._note_primary()
        now = asyncio.get_running_loop().time()
        group, views = self._group, self._views
        primary = group.primary
        listed = group.identity.member_id in group.voting_member_ids()
        if primary is None and listed and views.last_contact - self._primary_since < WITHOUT_HEARTBEATS_S:
            return ""
        last_seen_at, address = views.last_contact, views.primary_address
        if primary is not None and self._primary_since >= last_seen_at:
            last_seen_at, address = self._primary_since, primary.address
        if now - last_seen_at >= HINT_FRESH_S or address == group.identity.address:
            return ""
        return address

    def _note_primary(self) -> None:
        primary = self._group.primary
        member_id = "" if primary is None else primary.member_id
        if member_id != self._primary_id:
            self._primary_id = member_id
            self._primary_since = asyncio.get_running_loop().time()

    def not_primary_failure(self) -> Failure:
        """The failure of a call that only the confirmed primary may decide."""
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary keeper", self.primary_address())

    async def wait_until_confirmed(self, timeout_s: float = SETTLE_TIMEOUT_S) -> Result[None, Failure]:
        """Ok when this replica is confirmed; else a refusal, given once another leads or the time is over.

        A caller that awaits anything afterwards must ask ``confirmed`` again before it refuses for good.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self._group.is_confirmed_primary():
            if self.primary_address() or loop.time() >= deadline:
                return Err(self.not_primary_failure())
            await asyncio.sleep(POLL_S)
        return Ok(None)
