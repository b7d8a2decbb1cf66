"""Tests controllers, stores and proxies together over loopback, with an in-memory group."""

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


def has_version(view: ClusterView, version: int) -> bool:
    return view.configuration is not None and view.configuration.version == version


def test_a_waiting_process_receives_a_new_configuration() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            client = await world.client(proxy("f1"))
            await client.until(lambda view: len(view.members) > 0)
            for version, base in ((3, "0"), (5, "3")):
                await world.operator(0, "PUT", "/api/configuration", document(version), base)
                await client.until(lambda view, n=version: has_version(view, n))  # type: ignore[misc]
                assert client.cluster_view.document == document(version)

    asyncio.run(exchange())


def test_processes_follow_the_primary() -> None:
    async def exchange() -> None:
        async with World(3) as world:
            world.lead(2)
            client = await world.client(proxy("f1"))
            await client.until(lambda view: len(view.members) == 4)
            await world.operator(2, "PUT", "/api/configuration", document(3), "0")
            world.lead(0)
            await world.operator(0, "PUT", "/api/configuration", document(5), "3")
            await client.until(lambda view: has_version(view, 5))
            epoch = world.replicas.epoch
            await client.until(lambda view: {one.group_epoch for one in view.members} == {0, epoch})
            assert len(client.cluster_view.members) == 4

    asyncio.run(exchange())


def test_processes_switch_to_another_primary_when_theirs_stops() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            client = await world.client(proxy("f1"))
            await client.until(lambda view: len(view.members) == 3)
            await world.controllers[0].stop()
            world.lead(1)
            await world.operator(1, "PUT", "/api/configuration", document(3), "0")
            await client.until(lambda view: view.configuration is not None)

    asyncio.run(exchange())


def test_the_store_group_is_formed_and_published() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            stores = [await world.client(store(f"s{number}")) for number in range(1, 5)]
            last = stores[-1]
            await last.until(lambda view: len(view.store_group.initial) == 3)
            assert [one.node_name for one in last.cluster_view.store_group.initial] == ["s1", "s2", "s3"]
            assert [one.member_id for one in world.controllers[0].state.initial_stores] == [
                "disk-s1",
                "disk-s2",
                "disk-s3",
            ]
            await last.until(lambda view: len(view.stores()) == 4)

    asyncio.run(exchange())


def test_controllers_outside_the_group_are_offered_as_standbys() -> None:
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


def test_the_shutdown_of_a_proxy_is_published_immediately() -> None:
    async def exchange() -> None:
        async with World(1) as world:
            world.lead(0)
            staying = await world.client(proxy("f1"))
            leaving = await world.client(proxy("f2"))
            await staying.until(lambda view: len(view.proxies()) == 2)
            leaving.announcement = proxy("f2", leaving=True)
            leaving.puller.announce_now()
            await staying.until(lambda view: len(view.proxies()) == 1)
            await leaving.puller.stop()
            await staying.until(lambda view: all(one.node_name != "f2" for one in view.members))

    asyncio.run(exchange())


def test_pulls_are_rejected_without_a_lease() -> None:
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


def test_a_waiting_pull_is_rejected_when_leadership_ends() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.lead(0)
            node = world.controllers[1]
            has_all = [TopicVersion(topic=topic, epoch=99, sequence=1) for topic in ("members", "brokers")]
            request = PullRequest(announcement=proxy("f1"), versions=has_all, wait_ms=4000)
            call = node.client.call(world.controllers[0].address, PULL, request, 10.0)
            waiting = asyncio.create_task(call)
            watcher = await world.client(proxy("f2"))
            await watcher.until(lambda view: any(one.node_name == "f1" for one in view.members))
            assert not waiting.done()
            world.lead(1)
            assert (await waiting).unwrap_err().primary == world.controllers[1].address

    asyncio.run(exchange())


def test_every_controller_reports_the_status() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.platform.pages = [[instance("i-1")]]
            world.lead(0)
            await world.operator(0, "PUT", "/api/configuration", document(3), "0")
            client = await world.client(proxy("f1"))
            await client.until(lambda view: len(view.brokers) == 1 and len(view.members) == 3)
            node = world.controllers[1]
            replies = []
            for controller in world.controllers:
                outcome = await node.client.call(controller.address, STATUS, StatusRequest(), 5.0)
                replies.append(outcome.unwrap())
            assert [reply.confirmed for reply in replies] == [True, False]
            assert [reply.primary for reply in replies] == ["core-1", "core-1"]
            assert [reply.configuration_version for reply in replies] == [3, 3]
            assert len(replies[0].brokers.brokers) == 1
            assert len(replies[0].announcements) == 3
            assert [one.node_name for one in replies[1].members] == ["core-1", "core-2"]

    asyncio.run(exchange())
