"""Tests reading the platform's broker list: pages, failures, intervals, and publication by the primary."""

from __future__ import annotations

import asyncio
import json

from control_support import PlatformList, World, instance
from loopback_ports import free_address
from result import Err, Ok

from cherrycove.tier.controlplane.broker_changes import RemovalConfirmation, same_brokers
from cherrycove.tier.controlplane.broker_discovery import (
    MAX_INTERVAL_S,
    MIN_INTERVAL_S,
    RATE_SHARE,
    BrokerDiscoveryClient,
    ReadPacing,
    parse_page,
)
from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerEntry, BrokerList
from cherrycove.tier.settings import Bounds, CloudApi, Settings


def settings(address: str = "", drain_ms: float = 3000.0, rate_per_s: float = 40.0) -> Settings:
    return Settings(
        node_name="core-1",
        machine_class="core",
        ip_address="127.0.0.1",
        zone="north",
        region="land",
        internal_port_range=[1, 2],
        bounds=Bounds(drain_ms=drain_ms),
        cloud_api=CloudApi(address=address, rate_per_s=rate_per_s),
    )


def test_invalid_entries_of_a_page_are_skipped() -> None:
    body = {
        "instances": [
            instance("i-1", state="draining", warmupRemainingMs=700.5, news={"a": 1}),
            instance("i-2", zone=None),
            {"instanceId": "i-3"},
            "i-4",
            instance("i-5", capacitySlots="many"),
        ],
        "nextPageToken": 7,
    }
    page = parse_page(json.dumps(body).encode()).unwrap()
    assert page.next_token == "7"
    assert [entry.instance_id for entry in page.instances] == ["i-1", "i-2"]
    assert page.instances[0].draining and page.instances[0].warmup_remaining_ms == 700
    assert page.instances[1].zone == "" and page.instances[1].capacity_slots == 48


def test_a_malformed_page_is_an_error() -> None:
    for body in (b"", b"{", b"[]", b"{}", b'{"instances":{}}', b"[" * 100_000):
        assert isinstance(parse_page(body), Err)


def test_a_changed_warm_up_time_alone_is_ignored() -> None:
    first = BrokerList(brokers=[BrokerEntry(instance_id="a", warmup_remaining_ms=900)])
    later = BrokerList(brokers=[BrokerEntry(instance_id="a", warmup_remaining_ms=100)])
    draining = BrokerList(brokers=[BrokerEntry(instance_id="a", draining=True)])
    assert same_brokers(first, later)
    assert not same_brokers(first, draining)


def test_a_broker_missing_from_a_multi_page_list_is_removed_after_two_reads() -> None:
    def listed(*names: str) -> BrokerList:
        return BrokerList(brokers=[BrokerEntry(instance_id=name) for name in names])

    removals = RemovalConfirmation()
    assert removals.merge(listed("a", "b"), 2) == listed("a", "b")
    assert removals.merge(listed("b", "c"), 2) == listed("a", "b", "c")
    assert removals.merge(listed("b"), 2) == listed("b", "c")
    assert removals.merge(listed("b"), 2) == listed("b")
    assert removals.merge(listed(), 1) == listed()
    assert RemovalConfirmation().merge(listed("a"), 1) == listed("a")


def test_the_read_interval_follows_the_drain_time_and_the_rate_limit() -> None:
    assert ReadPacing(settings(drain_ms=3000.0)).pause_after_success(1) == 0.6
    assert ReadPacing(settings(drain_ms=100.0)).pause_after_success(1) == MIN_INTERVAL_S
    assert ReadPacing(settings(drain_ms=60_000.0)).pause_after_success(1) == MAX_INTERVAL_S
    assert ReadPacing(settings(rate_per_s=2.0)).pause_after_success(4) == 4 / (2.0 * RATE_SHARE)
    pacing = ReadPacing(settings(drain_ms=3000.0))
    pauses = [pacing.pause_after_failure(1) for _ in range(6)]
    assert pauses[0] == 0.6
    assert pauses == sorted(pauses)
    assert pauses[-1] == 2.0
    assert pacing.pause_after_success(1) == 0.6


def test_all_pages_are_combined_and_any_failed_page_fails_the_read() -> None:
    async def exchange() -> None:
        platform = PlatformList(free_address())
        await platform.start()
        reader = BrokerDiscoveryClient(settings(platform._address))
        await reader.start()
        platform.pages = [[instance("i-2")], [instance("i-3")], [instance("i-1")]]
        brokers = (await reader.read()).unwrap()
        assert [entry.instance_id for entry in brokers.brokers] == ["i-1", "i-2", "i-3"]
        assert platform.calls == ["", "page-1", "page-2"]
        assert reader.calls == 3
        for page, status in ((0, 429), (1, 429), (2, 500)):
            platform.failures[page] = status
            assert isinstance(await reader.read(), Err)
        platform.endless = True
        assert isinstance(await reader.read(), Err)
        platform.endless = False
        assert isinstance(await reader.read(), Ok)
        await platform.stop()
        assert isinstance(await reader.read(), Err)
        await reader.stop()
        assert isinstance(await reader.read(), Err)

    asyncio.run(exchange())


def test_a_new_primary_publishes_the_inherited_broker_list_while_the_platform_is_down() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.platform.pages = [[instance("i-1", warmupRemainingMs=5), instance("i-2", state="draining")]]
            world.lead(0)
            watcher = await world.client(Announcement(node_name="core-2", program="watch", incarnation="1"))
            await watcher.until(lambda view: len(view.brokers) == 2)
            world.platform.down = True
            async with asyncio.timeout(10.0):
                while not world.controllers[1].cluster_view.brokers:
                    await world.platform.called.wait()
            world.lead(1)
            starts = await world.client(Announcement(node_name="f1", program="proxy", incarnation="1"))
            await starts.until(lambda view: len(view.members) > 0)
            assert starts.cluster_view.brokers == ()
            await starts.until(lambda view: len(view.brokers) > 0)
            assert starts.cluster_view.brokers == watcher.cluster_view.brokers

    asyncio.run(exchange())


def test_only_the_primary_reads_and_a_failed_read_keeps_the_published_list() -> None:
    async def exchange() -> None:
        async with World(2) as world:
            world.platform.pages = [[instance("i-1")]]
            assert world.platform.calls == []
            world.lead(0)
            client = await world.client(Announcement(node_name="f1", program="proxy", incarnation="1"))
            await client.until(lambda view: len(view.brokers) == 1)
            world.platform.failures[0] = 429
            world.platform.pages = [[instance("i-1")], [instance("i-2", state="draining")]]
            await client.until(lambda view: len(view.brokers) == 2)
            assert [broker.draining for broker in client.cluster_view.brokers] == [False, True]
            world.platform.down = True
            world.lead(1)
            epoch = world.replicas.epoch
            await client.until(lambda view: any(one.group_epoch == epoch for one in view.members))
            assert len(client.cluster_view.brokers) == 2
            world.platform.pages = [[instance("i-9")]]
            world.platform.down = False
            await client.until(lambda view: [one.instance_id for one in view.brokers] == ["i-9"])

    asyncio.run(exchange())
