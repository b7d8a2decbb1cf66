"""Real processes: machines that lose their disks or are retired, directly followed by the next loss."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from acknowledged import STANDBY, AcknowledgedChanges, machine_names, until_machines_are_members
from linked_operator import Operator, change_request, retire_request, retirement_request
from linked_tier import LinkedTier, configuration, until
from test_real_processes import held_stream

from examples.tier_processes import Sizes
from examples.toy_broker import ToyBroker


def test_nothing_acknowledged_is_lost_while_one_machine_after_the_other_loses_its_disks(
    tmp_path: Path,
) -> None:
    """Each loss follows as soon as both groups have acknowledged a change with the previous empty disks."""

    async def scenario() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=3, stores=3, proxies=1)
        async with LinkedTier(
            tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared_machines=True
        ) as tier:
            acknowledged = AcknowledgedChanges(tier, Operator("operator", tier.links))
            await until_machines_are_members(tier, machine_names(tier))
            first_disks = {tier.member_id(daemon) for daemon in tier.keepers}
            for name in machine_names(tier):
                await until_machines_are_members(tier, machine_names(tier))
                await acknowledged.acknowledge_more()
                await tier.lose_disks(name)
                await tier.start_machine(name)
            await until_machines_are_members(tier, machine_names(tier))
            assert not first_disks & {tier.member_id(daemon) for daemon in tier.keepers}
            await acknowledged.acknowledge_more()
            gate.set()
            await acknowledged.assert_present()

    asyncio.run(scenario())


AT_COMPLETED = "when retirement has completed"
AT_REQUEST = "when retirement is requested"


@pytest.mark.parametrize(
    ("moment", "is_primary"), [(AT_COMPLETED, True), (AT_REQUEST, True), (AT_REQUEST, False)]
)
def test_a_machine_is_retired_and_another_loses_its_disks_at_the_same_time(
    moment: str, is_primary: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=4, stores=4, proxies=1)
        async with LinkedTier(
            tmp_path,
            [ToyBroker(script=held_stream(gate))],
            sizes,
            shared_machines=True,
            deferred_machine=STANDBY,
        ) as tier:
            operator = Operator("operator", tier.links)
            acknowledged = AcknowledgedChanges(tier, operator)
            await until_machines_are_members(tier, machine_names(tier, STANDBY))
            await tier.start_machine(STANDBY)
            await tier.until_announced(STANDBY)
            await acknowledged.acknowledge_more()
            primary = (await tier.primary_keeper()).node_name
            members = machine_names(tier, STANDBY)
            retired = primary if is_primary else next(name for name in members if name != primary)
            lost = next(name for name in members if name not in (primary, retired))
            assert (await operator.settle(tier.keepers, retire_request(retired))).status == 200
            if moment == AT_REQUEST:
                await tier.lose_disks(lost)
                await tier.start_machine(lost)  # a machine cannot leave while there are only three in total
            await until_retired(tier, operator, retired)
            if moment == AT_COMPLETED:
                await acknowledged.acknowledge_more()
                await asyncio.gather(tier.lose_disks(lost), tier.kill_machine(retired))
            else:
                await tier.kill_machine(retired)
            await acknowledged.acknowledge_more()
            if moment == AT_COMPLETED:
                await tier.start_machine(lost)
            await until_machines_are_members(tier, machine_names(tier, retired))
            await acknowledged.acknowledge_more()
            gate.set()
            await acknowledged.assert_present()

    asyncio.run(scenario())


async def until_retired(tier: LinkedTier, operator: Operator, machine: str) -> None:
    async def completed() -> bool:
        response = await operator.settle(tier.keepers, retirement_request(machine))
        assert response.status == 200
        return bool(response.json() == {"state": "completed"})

    await until(f"{machine} is retired", completed)


def test_a_dead_keeper_does_not_come_back_when_leadership_resumes_after_a_pause(tmp_path: Path) -> None:
    """The acknowledgements of the only other keeper are held, so that the lease ends without an election."""

    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            primary = await tier.primary_keeper(min_version=1)
            dead, other = (keeper for keeper in tier.keepers if keeper is not primary)

            def changes(kind: str) -> list[str]:
                return [each for line in tier.events(primary, "members_changed") for each in line[kind]]

            async def all_joined() -> bool:
                return {f"keeper/{keeper.name}" for keeper in (dead, other)} <= set(changes("joined"))

            async def is_gone() -> bool:
                return f"keeper/{dead.name}" in changes("gone")

            async def has_stopped_leading() -> bool:
                return bool(tier.events(primary, "leadership_stopped"))

            async def has_resumed() -> bool:
                return len(tier.events(primary, "leadership_started")) == 2

            await until("the primary knows both others", all_joined)
            await dead.kill()
            await until("the primary misses the dead keeper", is_gone)
            joined = changes("joined")
            acknowledgements = tier.links.flow(other.name, primary.name)
            acknowledgements.block()
            await until("leadership has stopped", has_stopped_leading)
            acknowledgements.unblock()
            await until("leadership has resumed", has_resumed)
            first, second = tier.events(primary, "leadership_started")
            assert first["epoch"] == second["epoch"]
            status = await tier.keeper_status(primary)
            assert status is not None and status.confirmed
            assert {each.node_name for each in status.announcements} == {primary.name, other.name}
            assert changes("joined") == joined

    asyncio.run(scenario())
