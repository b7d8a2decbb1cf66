"""Real processes: a primary that stood still while calls waited for it; members that stand still in turn."""

from __future__ import annotations

import asyncio
from pathlib import Path

from acknowledged import STANDBY, Acknowledged, machines, until_members_are
from linked_operator import READ, Operator, change
from linked_tier import LinkedTier, configuration
from test_real_processes import held_stream

from examples.tier_processes import Sizes
from examples.toy_broker import ToyBroker

IN_DOUBT = (0, 307, 412, 503, 504)  # of an order that another one has overtaken


def test_a_primary_keeper_that_stood_still_answers_nothing_from_the_time_before(tmp_path: Path) -> None:
    async def story() -> None:
        async with LinkedTier(tmp_path, [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            lost = await tier.leader(least_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not lost]
            lines = [await operator.line(lost) for _ in range(4)]
            tier.freeze_machine(lost.name)
            overtaken = change(configuration(7, mark="overtaken"), 1)
            reads = [line.send(READ) for line in lines[:2]]
            orders = [
                line.send(order)
                for line, order in zip(lines[2:], (overtaken, change(configuration(8), 1)), strict=True)
            ]
            taken = change(configuration(7, mark="taken"), 1)
            assert (await operator.settle(others, taken)).status == 200
            tier.thaw_machine(lost.name)
            for answer in await asyncio.gather(*reads):
                assert answer.status in (307, 503) or answer.body == taken.body, answer
            for answer in await asyncio.gather(*orders):
                assert answer.status in IN_DOUBT, answer
            for keeper in tier.keepers:
                assert (await operator.settle([keeper], taken)).status == 200
                assert (await operator.settle([keeper], overtaken)).status == 412

    asyncio.run(story())


def test_two_members_are_replaced_for_standing_still_and_a_third_loses_its_disks(tmp_path: Path) -> None:
    """The second one's place goes to the first, whose disk counts again only once it has everything."""

    async def story() -> None:
        gate = asyncio.Event()
        sizes = Sizes(keepers=4, stores=4, proxies=1)
        async with LinkedTier(
            tmp_path, [ToyBroker(script=held_stream(gate))], sizes, shared=True, later=STANDBY
        ) as tier:
            confirmed = Acknowledged(tier, Operator("operator", tier.links))
            first, second, third = members = machines(tier, STANDBY)
            await until_members_are(tier, members)
            await confirmed.more()
            await tier.start_machine(STANDBY)
            await tier.until_announced(STANDBY)
            tier.freeze_machine(first)
            await until_members_are(tier, [second, third, STANDBY])
            await confirmed.more()
            tier.thaw_machine(first)
            tier.freeze_machine(second)
            await until_members_are(tier, [first, third, STANDBY])
            await confirmed.more()
            tier.thaw_machine(second)
            await tier.lose_disks(third)
            await confirmed.more()
            await tier.start_machine(third)
            gate.set()
            await confirmed.is_there()

    asyncio.run(story())
