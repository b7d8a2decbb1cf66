"""Real processes behind links: operators' orders, answers that are lost, two operators under one number."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from linked_operator import NO_ANSWER, READ, Answer, Operator, Order, change
from linked_tier import LinkedTier, configuration

from examples.tier_processes import Daemon, Sizes

KEEPERS = Sizes(keepers=3, stores=0, proxies=0)
ROUNDS = 6
IN_DOUBT = (NO_ANSWER, 307, 502, 503, 504)


async def send_and_lose_the_answer(
    tier: LinkedTier, operator: Operator, keeper: Daemon, order: Order
) -> None:
    """``keeper`` has answered, and its answer is lost with the connection."""
    answers = tier.links.flow(keeper.name, operator.name)
    line = await operator.line(keeper)
    answers.shut()
    pending = line.send(order)
    await answers.wait_held()
    tier.links.reset(operator.name, keeper.name)
    answers.open()
    assert (await pending).status == NO_ANSWER


async def send_at_once(tier: LinkedTier, orders: Sequence[tuple[Operator, Daemon, Order]]) -> list[Answer]:
    """The first answers to orders that all reach their keepers at the same moment."""
    lines = [await operator.line(keeper) for operator, keeper, _ in orders]
    roads = [tier.links.flow(operator.name, keeper.name) for operator, keeper, _ in orders]
    for road in roads:
        road.shut()
    pending = [line.send(order) for line, (_, _, order) in zip(lines, orders, strict=True)]
    for road in roads:
        await road.wait_held()
    for road in roads:
        road.open()
    return await asyncio.gather(*pending)


def test_an_order_whose_answer_was_lost_is_confirmed_by_every_keeper_also_after_another_leads(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            first, second = change(configuration(1), 0), change(configuration(4), 1)
            assert (await operator.settle(tier.keepers, first)).status == 200
            leader = await tier.leader(least_version=1)
            await send_and_lose_the_answer(tier, operator, leader, second)
            for keeper in tier.keepers:
                assert (await operator.follow(keeper, second)).status == 200
            await leader.kill()
            for keeper in tier.keepers:
                assert (await operator.settle([keeper], second)).status == 200
            third = change(configuration(9), 4)
            assert (await operator.settle(tier.keepers, third)).status == 200
            for keeper in tier.keepers:
                for order in (first, second, third):
                    assert (await operator.settle([keeper], order)).status == 200
            assert (await operator.settle(tier.keepers, READ)).body == configuration(9)

    asyncio.run(story())


def test_an_order_whose_answer_was_lost_with_the_primary_is_confirmed_by_the_next(tmp_path: Path) -> None:
    async def story() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            leader = await tier.leader(least_version=1)
            order = change(configuration(3, mark="lost answer"), 1)
            await send_and_lose_the_answer(tier, operator, leader, order)
            await leader.kill()
            others = tier.keepers
            for keeper in others:
                assert (await operator.settle([keeper], order)).status == 200
            assert (await operator.settle(others, change(configuration(3, mark="other"), 1))).status == 412
            assert (await operator.settle(others, READ)).body == configuration(3, mark="lost answer")

    asyncio.run(story())


def test_an_order_whose_copies_are_not_acknowledged_is_taken_in_the_end_and_never_refused(
    tmp_path: Path,
) -> None:
    """The other keepers get everything that the primary sends, and nothing comes back from them."""

    async def story() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            leader = await tier.leader(least_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not leader]
            order = change(configuration(5), 1)
            line = await operator.line(leader)
            for keeper in others:
                tier.links.flow(keeper.name, leader.name).shut()
            assert (await line.send(order)).status in IN_DOUBT
            sent_again = [asyncio.create_task(operator.settle([keeper], order)) for keeper in tier.keepers]
            assert (await operator.settle(others, order)).status == 200
            tier.links.join({leader.name}, {keeper.name for keeper in others}, reset=True)
            assert [answer.status for answer in await asyncio.gather(*sent_again)] == [200, 200, 200]
            await tier.until_version(5)
            assert (await operator.settle([leader], change(configuration(6), 5))).status == 200

    asyncio.run(story())


def test_of_two_operators_under_one_number_at_different_keepers_exactly_one_is_confirmed(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operators = [Operator(f"operator-{number}", tier.links) for number in (1, 2)]
            assert (await operators[0].settle(tier.keepers, change(configuration(1), 0))).status == 200
            base = 1
            for turn in range(ROUNDS):
                version = base + 2
                orders = [change(configuration(version, mark=each.name), base) for each in operators]
                pair = [tier.keepers[turn % 3], tier.keepers[(turn + 1 + turn // 3) % 3]]
                sent = list(zip(operators, pair, orders, strict=True))
                firsts = await send_at_once(tier, sent)
                answers = [
                    answer if answer.clear else await operator.settle([keeper], order)
                    for answer, (operator, keeper, order) in zip(firsts, sent, strict=True)
                ]
                assert sorted(answer.status for answer in answers) == [200, 412]
                won = [answer.status for answer in answers].index(200)
                for keeper in tier.keepers:
                    assert (await operators[won].settle([keeper], orders[won])).status == 200
                    assert (await operators[1 - won].settle([keeper], orders[1 - won])).status == 412
                assert (await operators[0].settle(tier.keepers, READ)).body == orders[won].body
                base = version

    asyncio.run(story())
