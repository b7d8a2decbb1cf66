"""Records what a linked tier has acknowledged and checks that all of it is still there.

Both groups of the tier run on shared machines.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
from linked_operator import READ_REQUEST, Operator, change_request
from linked_tier import LinkedTier, configuration

from examples import tier_client

ITEMS = 3
STANDBY = "machine-4"


@attrs.define(eq=False)
class AcknowledgedChanges:
    """The configuration and the batch jobs that the tier has acknowledged so far."""

    tier: LinkedTier
    operator: Operator
    version: int = 0
    jobs: dict[str, list[str]] = attrs.field(factory=dict)  # item ids by job id

    async def acknowledge_more(self) -> None:
        """Put a configuration and submit a batch job, and wait until both are acknowledged.

        All earlier membership changes are then committed as well.
        """
        request = change_request(configuration(self.version + 1), self.version)
        assert (await self.operator.settle(self.tier.keepers, request)).status == 200
        self.version += 1
        job_id, items = tier_client.new_id(), [tier_client.new_id() for _ in range(ITEMS)]
        if self.version == 1:
            await self.tier.ready()
        await tier_client.submit(self.tier.proxies[0].frontend, job_id, items)
        self.jobs[job_id] = items

    async def assert_present(self) -> None:
        """Assert that the last configuration and the results of all jobs can be read."""
        response = await self.operator.settle(self.tier.keepers, READ_REQUEST)
        assert response.body == configuration(self.version)
        for job_id, items in self.jobs.items():
            results = await tier_client.results(self.tier.proxies[0].frontend, job_id)
            assert sorted(result["instanceId"] for result in results) == sorted(items)
            assert {result["state"] for result in results} == {"completed"}


def machine_names(tier: LinkedTier, *excluded: str) -> list[str]:
    """Return the names of the machines of keepers and stores, without ``excluded``."""
    names = sorted({daemon.node_name for daemon in tier.daemons if daemon.program != "proxy"})
    return [name for name in names if name not in excluded]


async def until_machines_are_members(tier: LinkedTier, names: Sequence[str]) -> None:
    await tier.until_members(daemon for name in names for daemon in tier.on_machine(name))
