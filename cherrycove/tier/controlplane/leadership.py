"""Whether this keeper decides, and who does instead."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.interface import Group

POLL_S = 0.05  # a lease can end or begin to hold without a change that the group reports
SETTLE_TIMEOUT_S = 0.7  # below the silence after which callers turn to another keeper


class Leadership:
    """The group's leadership as the publisher and the operator's interface need it."""

    def __init__(self, group: Group) -> None:
        self._group = group

    @property
    def epoch(self) -> int:
        return self._group.epoch

    def confirmed(self) -> bool:
        return self._group.confirmed()

    def primary_address(self) -> str:
        primary = self._group.primary
        if primary is None or primary.member_id == self._group.identity.member_id:
            return ""
        return primary.address

    def refusal(self) -> Failure:
        """The failure of a call that only the confirmed primary may decide."""
        return Failure(ErrorKind.NOT_PRIMARY, "not the primary keeper", self.primary_address())

    async def settled(self, timeout_s: float = SETTLE_TIMEOUT_S) -> Result[None, Failure]:
        """Ok when this replica is confirmed; else a refusal, given once another leads or the time is over.

        A caller that awaits anything afterwards must ask ``confirmed`` again before it refuses for good."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self._group.confirmed():
            if self.primary_address() or loop.time() >= deadline:
                return Err(self.refusal())
            await asyncio.sleep(POLL_S)
        return Ok(None)
