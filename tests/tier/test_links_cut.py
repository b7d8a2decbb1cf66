"""Real processes behind links: a primary keeper that is cut off, with operators and proxies on both sides.

LINKED_CUT_S (seconds, 0 in CI) makes each cut last at least so long; otherwise it ends once everything that
must come about on both sides has been seen.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

import pytest
from linked_operator import READ, Answer, Operator, change
from linked_tier import LinkedTier, configuration, until, with_route
from links import Network

from examples import tier_client
from examples.tier_processes import Daemon, Sizes
from examples.toy_broker import ToyBroker, stream

CUT_S = float(os.environ.get("LINKED_CUT_S", "0"))
READERS = 2  # at the keeper that is cut off, while the others decide
PAUSE_S = 0.02  # of each, between two reads
READS = 5  # of a keeper that is cut off
IN_DOUBT = (0, 307, 502, 503, 504)  # neither confirms nor refuses for good
REFUSALS = 2  # of pulls, by the one keeper that a proxy reaches
EVENTS = 2
NEAR, FAR = "near", "far"  # the sides: with the keeper that is cut off, and with the others


def both_ways(links: Network, some: set[str], others: set[str]) -> None:
    links.cut(some, others)


def nothing_reaches_it(links: Network, some: set[str], others: set[str]) -> None:
    for other in others:
        for one in some:
            links.flow(other, one).shut()


def nothing_leaves_it(links: Network, some: set[str], others: set[str]) -> None:
    nothing_reaches_it(links, others, some)


Cut = Callable[[Network, set[str], set[str]], None]


async def status_of(proxy: Daemon, path: str) -> int:
    async with tier_client.open_stream(proxy.frontend, path) as answer:
        if answer.status == 200:
            await answer.rest()
        return answer.status


async def until_served(proxy: Daemon, path: str) -> None:
    async def served() -> bool:
        return await status_of(proxy, path) == 200

    await until(f"{proxy.name} serves {path}", served)


@pytest.mark.parametrize("cut", [both_ways, nothing_reaches_it, nothing_leaves_it])
def test_a_primary_keeper_that_is_cut_off_decides_and_tells_nothing_while_the_others_go_on(
    cut: Cut, tmp_path: Path
) -> None:
    async def story() -> None:
        sizes = Sizes(keepers=3, stores=0, proxies=2)
        async with LinkedTier(tmp_path, [ToyBroker(script=stream(EVENTS))], sizes) as tier:
            near, far = (Operator(f"operator-{side}", tier.links) for side in (NEAR, FAR))
            assert (await near.settle(tier.keepers, change(configuration(1), 0))).status == 200
            await tier.ready()
            lost = await tier.leader(least_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not lost]
            near_proxy, far_proxy = tier.proxies
            near_side = {lost.name, near.name, near_proxy.name}
            far_side = {far.name, far_proxy.name, *(keeper.name for keeper in others)}
            decided = asyncio.Event()
            readers = [asyncio.create_task(keep_reading(near, lost, decided)) for _ in range(READERS)]
            began = asyncio.get_running_loop().time()
            cut(tier.links, near_side, far_side)

            # At once, while the lease may still hold.
            orders = {name: change(with_route(7, name), 1) for name in (NEAR, FAR)}
            assert (await near.ask(lost, orders[NEAR])).status in IN_DOUBT
            status = (await far.settle(others, orders[FAR])).status
            decided.set()
            if cut is nothing_reaches_it and status == 412:  # what was sent to them in doubt was taken
                taken, refused = NEAR, FAR
            else:
                assert status == 200
                taken, refused = FAR, NEAR
            assert (await far.settle(others, READ)).body == orders[taken].body
            await until_served(far_proxy, f"/{taken}/1")

            # The other side has decided: this one hands out nothing, and refuses nothing for good.
            for answer in await asyncio.gather(*readers):
                assert answer.status in IN_DOUBT, answer
            for answer in await reads_and_orders(near, lost):
                assert answer.status in IN_DOUBT, answer
            assert await status_of(near_proxy, f"/{taken}/1") == 404  # it keeps what it has
            assert await status_of(near_proxy, "/chat/1") == 200
            told = await tier.told(lost)
            assert told is not None and not told.confirmed and told.configuration_version == 1
            while asyncio.get_running_loop().time() < began + CUT_S:
                for answer in await reads_and_orders(near, lost):
                    assert answer.status in IN_DOUBT, answer

            tier.links.join(near_side, far_side)
            await tier.until_version(7)
            await until_served(near_proxy, f"/{taken}/2")
            for keeper in tier.keepers:
                assert (await near.settle([keeper], orders[refused])).status == 412
                assert (await far.settle([keeper], orders[taken])).status == 200
                assert (await near.settle([keeper], READ)).body == orders[taken].body
            last = change(with_route(8, "last"), 7)
            assert (await near.settle([lost, *others], last)).status == 200

    asyncio.run(story())


async def keep_reading(operator: Operator, keeper: Daemon, decided: asyncio.Event) -> Answer:
    """Read again and again; the answer to the first read that was sent after ``decided``."""
    while True:
        is_last = decided.is_set()
        answer = await operator.ask(keeper, READ)
        if is_last:
            return answer
        await asyncio.sleep(PAUSE_S)


async def reads_and_orders(operator: Operator, keeper: Daemon) -> list[Answer]:
    """What a keeper answers to reads, to an order on its own version, and to ones that it could refuse."""
    orders = [
        change(configuration(9), 1),
        change(configuration(9), 5),
        change(b"no configuration", 1),
    ]
    return await asyncio.gather(*(operator.ask(keeper, order) for order in [*orders, *[READ] * READS]))


def test_a_proxy_that_starts_beside_a_primary_that_is_cut_off_is_given_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        sizes = Sizes(keepers=3, stores=0, proxies=1)
        async with LinkedTier(tmp_path, [ToyBroker(script=stream(EVENTS))], sizes) as tier:
            operator = Operator("operator", tier.links)
            (proxy,) = tier.proxies
            assert (await operator.settle(tier.keepers, change(configuration(1), 0))).status == 200
            await tier.ready()
            await proxy.terminate()
            lost = await tier.leader(least_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not lost]
            far_side = {operator.name, *(keeper.name for keeper in others)}
            tier.links.cut({lost.name, proxy.name}, far_side)
            assert (await operator.settle(others, change(with_route(7, "far"), 1))).status == 200

            answered = tier.links.flow(lost.name, proxy.name)
            await proxy.start()
            await answered.wait_passed(REFUSALS)
            assert not tier.events(proxy, "configuration_in_force")[1:]
            await tier.wait_for_readiness(proxy, 503)

            tier.links.join({lost.name, proxy.name}, far_side)
            await tier.wait_for_readiness(proxy, 200)
            in_force = [line["version"] for line in tier.events(proxy, "configuration_in_force")]
            assert in_force == [1, 7]
            await until_served(proxy, "/far/1")

    asyncio.run(story())
