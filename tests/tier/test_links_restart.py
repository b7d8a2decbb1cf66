"""Real processes: a keeper that starts again from an old disk, or was killed within a snapshot."""

from __future__ import annotations

import asyncio
from pathlib import Path

from linked_operator import READ, Operator, change
from linked_tier import LinkedTier, configuration, until
from snapshot_steps import SNAPSHOT_SAVED_EVENT

from examples.tier_processes import Daemon, Sizes

CHANGES = 500
CHANGE_BYTES = 4096  # so that the log is compacted in their midst, and an old member needs a snapshot
SNAPSHOT_EACH_BYTES = 1_200_000  # of a change after which each replica takes a snapshot
LEAST_STEPS, MOST_STEPS = 10, 40  # of one snapshot, whatever the storage makes of it


def test_a_keeper_that_missed_hundreds_of_changes_leads_only_once_it_has_them(tmp_path: Path) -> None:
    async def story() -> None:
        async with LinkedTier(tmp_path, [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            leader = await tier.leader(least_version=1)
            old, other = (keeper for keeper in tier.keepers if keeper is not leader)
            await tier.until_version(1)
            await old.kill()
            for version in range(2, CHANGES + 2):
                order = change(configuration(version, CHANGE_BYTES), version - 1)
                assert (await operator.settle([leader, other], order)).status == 200
            newest = CHANGES + 1

            # The only one that has them all is cut off as the old one starts.
            tier.links.cut({leader.name}, {old.name, other.name, operator.name})
            await old.start()

            async def one_leads() -> bool:
                told = [await tier.told(keeper) for keeper in (old, other)]
                leading = [each for each in told if each is not None and each.confirmed]
                assert all(each.configuration_version == newest for each in leading)
                return bool(leading)

            await until("one of the others leads", one_leads)
            body = configuration(newest, CHANGE_BYTES)
            assert (await operator.settle([old, other], READ)).body == body
            order = change(configuration(newest + 1), newest)
            assert (await operator.settle([old, other], order)).status == 200
            await tier.until_told(old, "all changes", lambda told: told.configuration_version == newest + 1)
            tier.links.join({leader.name}, {old.name, other.name, operator.name})
            await tier.until_version(newest + 1)

            # The old one bears the loss of another at once.
            await other.kill()
            assert (await operator.settle([old, leader], READ)).body == configuration(newest + 1)
            order = change(configuration(newest + 2), newest + 1)
            assert (await operator.settle([old, leader], order)).status == 200

    asyncio.run(story())


def test_a_keeper_killed_at_any_step_of_a_snapshot_has_everything_it_confirmed(tmp_path: Path) -> None:
    async def story() -> None:
        sizes = Sizes(keepers=1, stores=0, proxies=0, machine_failures=0)
        async with LinkedTier(tmp_path, [], sizes) as tier:
            operator = Operator("operator", tier.links)
            (keeper,) = tier.keepers
            await keeper.terminate()
            sending = asyncio.create_task(send_changes(operator, keeper, enough := asyncio.Event()))
            for step in range(1, MOST_STEPS):
                keeper.environment["LINKED_KILL_AT"] = str(step)
                await keeper.start()
                if not await killed_by_snapshot(tier, keeper):
                    break
                assert not sending.done()
            assert LEAST_STEPS < step < MOST_STEPS - 1
            enough.set()
            version = await sending
            answer = await operator.settle([keeper], READ)
            assert answer.body == configuration(version, SNAPSHOT_EACH_BYTES)

    asyncio.run(story())


async def send_changes(operator: Operator, keeper: Daemon, enough: asyncio.Event) -> int:
    """One change on top of the other, each confirmed, so that none before it may be lost; the last one.

    One order may take as long as the keeper is killed again and again before it serves."""
    version = 0
    while not enough.is_set():
        order = change(configuration(version + 1, SNAPSHOT_EACH_BYTES), version)
        assert (await operator.settle([keeper], order, within_s=None)).status == 200
        version += 1
    return version


async def killed_by_snapshot(tier: LinkedTier, keeper: Daemon) -> bool:
    """Whether ``keeper`` is killed within its next snapshot; False once that is whole."""

    async def over() -> bool:
        return not keeper.running or bool(tier.events(keeper, SNAPSHOT_SAVED_EVENT))

    await until("a snapshot is taken, or broken off", over)
    return not keeper.running
