"""What a linked tier with both groups on shared machines has confirmed, and whether it still has it."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
from linked_operator import READ, Operator, change
from linked_tier import LinkedTier, configuration

from examples import tier_client

ITEMS = 3
STANDBY = "machine-4"


@attrs.define(eq=False)
class Acknowledged:
    """What the tier has confirmed so far, and whether it still has it."""

    tier: LinkedTier
    operator: Operator
    version: int = 0
    jobs: dict[str, list[str]] = attrs.field(factory=dict)  # items by job

    async def more(self) -> None:
        """A configuration and a batch job, both confirmed; so are all changes of members made before."""
        order = change(configuration(self.version + 1), self.version)
        assert (await self.operator.settle(self.tier.keepers, order)).status == 200
        self.version += 1
        job_id, items = tier_client.new_id(), [tier_client.new_id() for _ in range(ITEMS)]
        if self.version == 1:
            await self.tier.ready()
        await tier_client.submit(self.tier.proxies[0].frontend, job_id, items)
        self.jobs[job_id] = items

    async def is_there(self) -> None:
        answer = await self.operator.settle(self.tier.keepers, READ)
        assert answer.body == configuration(self.version)
        for job_id, items in self.jobs.items():
            results = await tier_client.results(self.tier.proxies[0].frontend, job_id)
            assert sorted(result["instanceId"] for result in results) == sorted(items)
            assert {result["state"] for result in results} == {"completed"}


def machines(tier: LinkedTier, *left_out: str) -> list[str]:
    names = sorted({daemon.node_name for daemon in tier.daemons if daemon.program != "proxy"})
    return [name for name in names if name not in left_out]


async def until_members_are(tier: LinkedTier, names: Sequence[str]) -> None:
    await tier.until_members(daemon for name in names for daemon in tier.on_machine(name))
