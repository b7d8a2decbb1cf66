"""Real processes: a primary that is frozen while calls wait for it, and members frozen one after another."""

from __future__ import annotations

import asyncio
from pathlib import Path

from acknowledged import STANDBY, AcknowledgedChanges, machine_names, until_machines_are_members
from linked_operator import READ_REQUEST, Operator, change_request
from linked_tier import LinkedTier, configuration
from test_real_processes import held_stream

from examples.tier_processes import Sizes
from examples.toy_broker import ToyBroker

# Statuses allowed for a request after another one of the same base version was accepted.
IN_DOUBT = (0, 307, 412, 503, 504)


def test_a_primary_keeper_that_was_frozen_returns_no_outdated_answers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with LinkedTier(tmp_path, [], Sizes(keepers=3, stores=0, proxies=0)) as tier:
            operator = Operator("operator", tier.links)
            assert (await operator.settle(tier.keepers, change_request(configuration(1), 0))).status == 200
            frozen = await tier.primary_keeper(min_version=1)
            others = [keeper for keeper in tier.keepers if keeper is not frozen]
            connections = [await operator.connect(frozen) for _ in range(4)]
            tier.freeze_machine(frozen.name)
            superseded = change_request(configuration(7, mark="superseded"), 1)
            reads = [connection.send(READ_REQUEST) for connection in connections[:2]]
            requests = [
                connection.send(request)
                for connection, request in zip(
                    connections[2:], (superseded, change_request(configuration(8), 1)), strict=True
                )
            ]
            accepted = change_request(configuration(7, mark="accepted"), 1)
            assert (await operator.settle(others, accepted)).status == 200
            tier.unfreeze_machine(frozen.name)
            for response in await asyncio.gather(*reads):
                assert response.status in (307, 503) or response.body == accepted.body, response
            for response in await asyncio.gather(*requests):
                assert response.status in IN_DOUBT, response
            for keeper in tier.keepers:
                assert (await operator.settle([keeper], accepted)).status == 200
                assert (await operator.settle([keeper], superseded)).status == 412

    asyncio.run(scenario())


def test_two_frozen_members_are_replaced_and_a_third_loses_its_disks(tmp_path: Path) -> None:
    """The first machine replaces the second; its disk counts again only once it has all entries."""

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
            acknowledged = AcknowledgedChanges(tier, Operator("operator", tier.links))
            first, second, third = members = machine_names(tier, STANDBY)
            await until_machines_are_members(tier, members)
            await acknowledged.acknowledge_more()
            await tier.start_machine(STANDBY)
            await tier.until_announced(STANDBY)
            tier.freeze_machine(first)
            await until_machines_are_members(tier, [second, third, STANDBY])
            await acknowledged.acknowledge_more()
            tier.unfreeze_machine(first)
            tier.freeze_machine(second)
            await until_machines_are_members(tier, [first, third, STANDBY])
            await acknowledged.acknowledge_more()
            tier.unfreeze_machine(second)
            await tier.lose_disks(third)
            await acknowledged.acknowledge_more()
            await tier.start_machine(third)
            gate.set()
            await acknowledged.assert_present()

    asyncio.run(scenario())
