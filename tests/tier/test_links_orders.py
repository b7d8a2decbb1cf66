"""Real processes behind links: requests of operators, lost responses, and two changes of the same version."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from linked_operator import NO_RESPONSE, READ_REQUEST, Operator, Request, Response, change_request
from linked_tier import LinkedTier, configuration

from examples.tier_processes import Daemon, Sizes

KEEPERS = Sizes(keepers=3, stores=0, proxies=0)
ROUNDS = 6
IN_DOUBT = (NO_RESPONSE, 307, 502, 503, 504)


async def send_and_lose_the_response(
    tier: LinkedTier, operator: Operator, keeper: Daemon, request: Request
) -> None:
    """Send ``request``, and reset the connection after ``keeper`` has answered and before that arrives."""
    responses = tier.links.flow(keeper.name, operator.name)
    connection = await operator.connect(keeper)
    responses.block()
    pending = connection.send(request)
    await responses.wait_held()
    tier.links.reset(operator.name, keeper.name)
    responses.unblock()
    assert (await pending).status == NO_RESPONSE


async def send_at_once(
    tier: LinkedTier, requests: Sequence[tuple[Operator, Daemon, Request]]
) -> list[Response]:
    """Send requests that all reach their keepers at the same time, and return the first responses."""
    connections = [await operator.connect(keeper) for operator, keeper, _ in requests]
    flows = [tier.links.flow(operator.name, keeper.name) for operator, keeper, _ in requests]
    for flow in flows:
        flow.block()
    pending = [
        connection.send(request) for connection, (_, _, request) in zip(connections, requests, strict=True)
    ]
    for flow in flows:
        await flow.wait_held()
    for flow in flows:
        flow.unblock()
    return await asyncio.gather(*pending)


def test_a_change_whose_response_was_lost_is_confirmed_by_every_keeper_also_after_a_new_election(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            first, second = change_request(configuration(1), 0), change_request(configuration(4), 1)
            assert (await operator.settle(tier.keepers, first)).status == 200
            primary = await tier.primary_keeper(min_version=1)
            await send_and_lose_the_response(tier, operator, primary, second)
            for keeper in tier.keepers:
                assert (await operator.send_following_redirects(keeper, second)).status == 200
            await primary.kill()
            for keeper in tier.keepers:
                assert (await operator.settle([keeper], second)).status == 200
            third = change_request(configuration(9), 4)
            assert (await operator.settle(tier.keepers, third)).status == 200
            for keeper in tier.keepers:
                for request in (first, second, third):
                    assert (await operator.settle([keeper], request)).status == 200
            assert (await operator.settle(tier.keepers, READ_REQUEST)).body == configuration(9)

    asyncio.run(scenario())


def test_a_change_whose_response_was_lost_with_the_primary_is_confirmed_by_the_next_primary(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            primary = await tier.primary_keeper(min_version=1)
            request = change_request(configuration(3, mark="lost response"), 1)
            await send_and_lose_the_response(tier, operator, primary, request)
            await primary.kill()
            others = tier.keepers
            for keeper in others:
                assert (await operator.settle([keeper], request)).status == 200
            assert (
                await operator.settle(others, change_request(configuration(3, mark="other"), 1))
            ).status == 412
            assert (await operator.settle(others, READ_REQUEST)).body == configuration(
                3, mark="lost response"
            )

    asyncio.run(scenario())


def test_a_change_whose_replicas_are_not_acknowledged_is_accepted_eventually_and_never_rejected(
    tmp_path: Path,
) -> None:
    """The other keepers receive everything from the primary, while their replies to it are blocked."""

    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            primary = await tier.primary_keeper(min_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not primary]
            request = change_request(configuration(5), 1)
            connection = await operator.connect(primary)
            for keeper in others:
                tier.links.flow(keeper.name, primary.name).block()
            assert (await connection.send(request)).status in IN_DOUBT
            sent_again = [asyncio.create_task(operator.settle([keeper], request)) for keeper in tier.keepers]
            assert (await operator.settle(others, request)).status == 200
            tier.links.heal({primary.name}, {keeper.name for keeper in others}, reset=True)
            assert [response.status for response in await asyncio.gather(*sent_again)] == [200, 200, 200]
            await tier.until_version(5)
            assert (await operator.settle([primary], change_request(configuration(6), 5))).status == 200

    asyncio.run(scenario())


def test_of_two_changes_with_the_same_version_at_different_keepers_exactly_one_is_confirmed(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], KEEPERS) as tier:
            operators = [Operator(f"operator-{number}", tier.links) for number in (1, 2)]
            assert (
                await operators[0].settle(tier.keepers, change_request(configuration(1), 0))
            ).status == 200
            base = 1
            for round_number in range(ROUNDS):
                version = base + 2
                requests = [
                    change_request(configuration(version, mark=each.name), base) for each in operators
                ]
                pair = [
                    tier.keepers[round_number % 3],
                    tier.keepers[(round_number + 1 + round_number // 3) % 3],
                ]
                sent = list(zip(operators, pair, requests, strict=True))
                firsts = await send_at_once(tier, sent)
                responses = [
                    response if response.conclusive else await operator.settle([keeper], request)
                    for response, (operator, keeper, request) in zip(firsts, sent, strict=True)
                ]
                assert sorted(response.status for response in responses) == [200, 412]
                winner = [response.status for response in responses].index(200)
                for keeper in tier.keepers:
                    assert (await operators[winner].settle([keeper], requests[winner])).status == 200
                    assert (await operators[1 - winner].settle([keeper], requests[1 - winner])).status == 412
                assert (await operators[0].settle(tier.keepers, READ_REQUEST)).body == requests[winner].body
                base = version

    asyncio.run(scenario())
