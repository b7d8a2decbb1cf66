"""Real processes: machines that lose their disks or are emptied, and the next loss right behind it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from acknowledged import STANDBY, Acknowledged, machines, until_members_are
from linked_operator import Operator, retire, retirement
from linked_tier import LinkedTier, until
from test_real_processes import held_stream

from examples.tier_processes import Sizes
from examples.toy_broker import ToyBroker


def test_nothing_confirmed_is_lost_while_one_machine_after_the_other_loses_its_disks(tmp_path: Path) -> None:
    """Each loss comes as soon as both groups have confirmed something with the empty disks before it."""

    async def story() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=3, stores=3, proxies=1)
        async with LinkedTier(tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared=True) as tier:
            confirmed = Acknowledged(tier, Operator("operator", tier.links))
            await until_members_are(tier, machines(tier))
            first_disks = {tier.member_id(daemon) for daemon in tier.keepers}
            for name in machines(tier):
                await until_members_are(tier, machines(tier))
                await confirmed.more()
                await tier.lose_disks(name)
                await tier.start_machine(name)
            await until_members_are(tier, machines(tier))
            assert not first_disks & {tier.member_id(daemon) for daemon in tier.keepers}
            await confirmed.more()
            gate.set()
            await confirmed.is_there()

    asyncio.run(story())


AT_COMPLETED = "as the emptied machine goes"
AT_ORDER = "as it is ordered to be emptied"


@pytest.mark.parametrize(("at", "leads"), [(AT_COMPLETED, True), (AT_ORDER, True), (AT_ORDER, False)])
def test_a_machine_is_emptied_and_another_loses_its_disks_in_the_same_moment(
    at: str, leads: bool, tmp_path: Path
) -> None:
    async def story() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=4, stores=4, proxies=1)
        async with LinkedTier(
            tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared=True, later=STANDBY
        ) as tier:
            operator = Operator("operator", tier.links)
            confirmed = Acknowledged(tier, operator)
            await until_members_are(tier, machines(tier, STANDBY))
            await tier.start_machine(STANDBY)
            await tier.until_announced(STANDBY)
            await confirmed.more()
            leader = (await tier.leader()).node_name
            members = machines(tier, STANDBY)
            leaving = leader if leads else next(name for name in members if name != leader)
            lost = next(name for name in members if name not in (leader, leaving))
            assert (await operator.settle(tier.keepers, retire(leaving))).status == 200
            if at == AT_ORDER:
                await tier.lose_disks(lost)
                await tier.start_machine(lost)  # with three machines in all, none could leave
            await until_emptied(tier, operator, leaving)
            if at == AT_COMPLETED:
                await confirmed.more()
                await asyncio.gather(tier.lose_disks(lost), tier.kill_machine(leaving))
            else:
                await tier.kill_machine(leaving)
            await confirmed.more()
            if at == AT_COMPLETED:
                await tier.start_machine(lost)
            await until_members_are(tier, machines(tier, leaving))
            await confirmed.more()
            gate.set()
            await confirmed.is_there()

    asyncio.run(story())


async def until_emptied(tier: LinkedTier, operator: Operator, machine: str) -> None:
    async def completed() -> bool:
        answer = await operator.settle(tier.keepers, retirement(machine))
        assert answer.status == 200
        return bool(answer.json() == {"state": "completed"})

    await until(f"{machine} is emptied", completed)
