"""Keepers, stores and proxies together over loopback, with the group in memory."""

from __future__ import annotations

import asyncio

from control_support import World, document, instance, store

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, PullRequest, TopicVersion
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusRequest


def proxy(name: str, **changes: object) -> Announcement:
    return Announcement(node_name=name, program="proxy", incarnation="1", **changes)  # type: ignore[arg-type]


def has_version(views: ClusterView, version: int) -> bool:
    return views.configuration is not None and views.configuration.version == version


def test_a_configuration_reaches_a_process_that_waits_for_it() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            client = await world.client(proxy("f1"))
            await client.until(lambda views: len(views.members) > 0)
            for version, base in ((3, "0"), (5, "3")):
                await world.operator(0, "PUT", "/api/configuration", document(version), base)
                await client.until(lambda views, n=version: has_version(views, n))  # type: ignore[misc]
                assert client.cluster_view.document == document(version)

    asyncio.run(exchange())


def test_processes_follow_the_primary() -> None:
    async def exchange() -> None:
        async with World(3) as world:
            world.lead(2)
            client = await world.client(proxy("f1"))
            await client.until(lambda views: len(views.members) == 4)
            await world.operator(2, "PUT", "/api/configuration", document(3), "0")
            world.lead(0)
            await world.operator(0, "PUT", "/api/configuration", document(5), "3")
            await client.until(lambda views: has_version(views, 5))
            epoch = world.replicas.epoch
            await client.until(lambda views: {one.group_epoch for one in views.members} == {0, epoch})
            assert len(client.cluster_view.members) == 4

    asyncio.run(exchange())


def test_a_primary_that_was_stopped_is_left_for_another() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            client = await world.client(proxy("f1"))
            await client.until(lambda views: len(views.members) == 3)
            await world.controllers[0].stop()
            world.lead(1)
            await world.operator(1, "PUT", "/api/configuration", document(3), "0")
            await client.until(lambda views: views.configuration is not None)

    asyncio.run(exchange())


def test_the_store_group_is_formed_and_the_members_are_told() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            stores = [await world.client(store(f"s{number}")) for number in range(1, 5)]
            last = stores[-1]
            await last.until(lambda views: len(views.store_group.initial) == 3)
            assert [one.node_name for one in last.cluster_view.store_group.initial] == ["s1", "s2", "s3"]
            assert [one.member_id for one in world.controllers[0].state.initial_stores] == [
                "disk-s1",
                "disk-s2",
                "disk-s3",
            ]
            await last.until(lambda views: len(views.stores()) == 4)

    asyncio.run(exchange())


def test_keepers_outside_the_group_are_offered_as_standbys() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            newcomer = Announcement(
                node_name="core-9", program="keeper", ip="127.0.0.1", member_id="disk-9", incarnation="1"
            )
            await world.client(newcomer)
            group = world.controllers[0].group
            async with asyncio.timeout(10.0):
                await group.standbys_offered.wait()
            assert [one.node_name for one in group.standbys] == ["core-9"]
            assert group.standbys[0].address == world.controllers[0].address

    asyncio.run(exchange())


def test_a_leaving_proxy_is_told_at_once() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            stays = await world.client(proxy("f1"))
            leaves = await world.client(proxy("f2"))
            await stays.until(lambda views: len(views.proxies()) == 2)
            leaves.announcement = proxy("f2", leaving=True)
            leaves.puller.announce_now()
            await stays.until(lambda views: len(views.proxies()) == 1)
            await leaves.puller.stop()
            await stays.until(lambda views: all(one.node_name != "f2" for one in views.members))

    asyncio.run(exchange())


def test_nothing_is_given_out_without_a_lease() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            await world.operator(0, "PUT", "/api/configuration", document(3), "0")
            world.lead(0, lease=False)
            request = PullRequest(announcement=proxy("f1"), wait_ms=0)
            node = world.controllers[1]
            own = await node.client.call(world.controllers[0].address, PULL, request, 5.0)
            other = await node.client.call(node.address, PULL, request, 5.0)
            assert own.unwrap_err().kind.value == "not_primary"
            assert own.unwrap_err().primary == ""
            assert other.unwrap_err().primary == world.controllers[0].address

    asyncio.run(exchange())


def test_a_held_pull_ends_when_the_lease_does() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            node = world.controllers[1]
            has_all = [TopicVersion(topic=topic, epoch=99, sequence=1) for topic in ("members", "brokers")]
            request = PullRequest(announcement=proxy("f1"), versions=has_all, wait_ms=4000)
            call = node.client.call(world.controllers[0].address, PULL, request, 10.0)
            held = asyncio.create_task(call)
            watcher = await world.client(proxy("f2"))
            await watcher.until(lambda views: any(one.node_name == "f1" for one in views.members))
            assert not held.done()
            world.lead(1)
            assert (await held).unwrap_err().primary == world.controllers[1].address

    asyncio.run(exchange())


def test_any_keeper_tells_the_status() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.platform.pages = [[instance("i-1")]]
            world.lead(0)
            await world.operator(0, "PUT", "/api/configuration", document(3), "0")
            client = await world.client(proxy("f1"))
            await client.until(lambda views: len(views.brokers) == 1 and len(views.members) == 3)
            node = world.controllers[1]
            replies = []
            for keeper in world.controllers:
                outcome = await node.client.call(keeper.address, STATUS, StatusRequest(), 5.0)
                replies.append(outcome.unwrap())
            assert [reply.confirmed for reply in replies] == [True, False]
            assert [reply.primary for reply in replies] == ["core-1", "core-1"]
            assert [reply.configuration_version for reply in replies] == [3, 3]
            assert len(replies[0].brokers.brokers) == 1
            assert len(replies[0].announcements) == 3
            assert [one.node_name for one in replies[1].members] == ["core-1", "core-2"]

    asyncio.run(exchange())
