"""Real processes: a keeper that restarts from an outdated disk, or was killed during a snapshot."""

from __future__ import annotations

import asyncio
from pathlib import Path

from linked_operator import READ_REQUEST, Operator, change_request
from linked_tier import LinkedTier, configuration, until
from snapshot_steps import SNAPSHOT_SAVED_EVENT

from examples.tier_processes import Daemon, Sizes

CHANGES = 500
CHANGE_BYTES = 4096  # so that the log is compacted in between, and an outdated member needs a snapshot
SNAPSHOT_EACH_BYTES = 1_200_000  # size of a change that makes each replica take a snapshot
MIN_STEPS, MAX_STEPS = 10, 40  # storage calls of one snapshot; the exact number depends on the storage


def test_a_keeper_that_missed_hundreds_of_changes_becomes_primary_only_once_it_has_them(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            primary = await tier.primary_keeper(min_version=1)
            outdated, other = (keeper for keeper in tier.keepers if keeper is not primary)
            await tier.until_version(1)
            await outdated.kill()
            for version in range(2, CHANGES + 2):
                request = change_request(configuration(version, CHANGE_BYTES), version - 1)
                assert (await operator.settle([primary, other], request)).status == 200
            newest = CHANGES + 1

            # One of the two keepers with all changes is isolated when the outdated one starts.
            tier.links.partition({primary.name}, {outdated.name, other.name, operator.name})
            await outdated.start()

            async def has_primary() -> bool:
                statuses = [await tier.keeper_status(keeper) for keeper in (outdated, other)]
                primaries = [each for each in statuses if each is not None and each.confirmed]
                assert all(each.configuration_version == newest for each in primaries)
                return bool(primaries)

            await until("one of the others is the primary", has_primary)
            body = configuration(newest, CHANGE_BYTES)
            assert (await operator.settle([outdated, other], READ_REQUEST)).body == body
            request = change_request(configuration(newest + 1), newest)
            assert (await operator.settle([outdated, other], request)).status == 200
            await tier.until_status(
                outdated, "all changes", lambda status: status.configuration_version == newest + 1
            )
            tier.links.heal({primary.name}, {outdated.name, other.name, operator.name})
            await tier.until_version(newest + 1)

            # With the outdated keeper up to date, another one may be lost at once.
            await other.kill()
            assert (await operator.settle([outdated, primary], READ_REQUEST)).body == configuration(
                newest + 1
            )
            request = change_request(configuration(newest + 2), newest + 1)
            assert (await operator.settle([outdated, primary], request)).status == 200

    asyncio.run(scenario())


def test_a_keeper_killed_at_any_step_of_a_snapshot_has_every_confirmed_change(tmp_path: Path) -> None:
    async def scenario() -> None:
        sizes = Sizes(keepers=1, stores=0, proxies=0, machine_failures=0)
        async with LinkedTier(tmp_path, [], sizes) as tier:
            operator = Operator("operator", tier.links)
            (keeper,) = tier.keepers
            await keeper.terminate()
            sending = asyncio.create_task(send_changes(operator, keeper, stop_requested := asyncio.Event()))
            for step in range(1, MAX_STEPS):
                keeper.environment["LINKED_KILL_AT"] = str(step)
                await keeper.start()
                if not await killed_by_snapshot(tier, keeper):
                    break
                assert not sending.done()
            assert MIN_STEPS < step < MAX_STEPS - 1
            stop_requested.set()
            version = await sending
            response = await operator.settle([keeper], READ_REQUEST)
            assert response.body == configuration(version, SNAPSHOT_EACH_BYTES)

    asyncio.run(scenario())


async def send_changes(operator: Operator, keeper: Daemon, stop_requested: asyncio.Event) -> int:
    """Send consecutive changes until ``stop_requested`` is set, and return the version of the last one.

    Each change is confirmed before the next is sent, and needs its predecessor, so that none may be lost. A
    request has no timeout, as the keeper may be killed repeatedly before it can answer.
    """
    version = 0
    while not stop_requested.is_set():
        request = change_request(configuration(version + 1, SNAPSHOT_EACH_BYTES), version)
        assert (await operator.settle([keeper], request, within_s=None)).status == 200
        version += 1
    return version


async def killed_by_snapshot(tier: LinkedTier, keeper: Daemon) -> bool:
    """Wait until ``keeper`` has completed its next snapshot or was killed; returns whether it was killed."""

    async def has_ended() -> bool:
        return not keeper.running or bool(tier.events(keeper, SNAPSHOT_SAVED_EVENT))

    await until("a snapshot is complete, or the keeper was killed", has_ended)
    return not keeper.running
