"""Restarted brokers as real processes, checked against the request records of nodes and clients."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from support import RAW, message, run
from test_many import exchange, wait_for_discovery_answer
from test_memory import snapshot_path, wait_for_line, wait_for_write

from bench.many.rig import BrokerProcess, Rig
from cherrycove.broker.warm_restart import snapshot_file


def assert_writes_ran_once(rig: Rig) -> None:
    ran = Counter(each.id for disk in rig.disks.values() for each in disk.received if each.ran and each.write)
    assert ran and max(ran.values()) == 1 and not rig.clients.wrong_answers and rig.clients.statuses[200]


async def request_until_served(broker: BrokerProcess, id: str, shard: int = 0) -> bytes:
    """Send requests until one is served; return the first response."""
    first = response = await exchange(broker.front.port, message(id=f"{id}0", shard=shard))
    number = 0
    while b" 200 " not in response:
        number += 1
        await asyncio.sleep(0.05)
        response = await exchange(broker.front.port, message(id=f"{id}{number}", shard=shard))
    return first


@pytest.mark.parametrize("memory", [False, True])
def test_brokers_killed_again_while_they_restart_run_no_write_twice(memory: bool) -> None:
    async def scenario() -> None:
        async with Rig(4, 2, load=0.5, memory=memory) as rig:
            running = asyncio.create_task(rig.clients.run(4.0))
            await asyncio.sleep(1.0)
            killed = rig.brokers[:3]
            await asyncio.gather(*(broker.kill() for broker in killed))
            starting = [asyncio.create_task(broker.start()) for broker in killed]
            await asyncio.wait(starting, return_when=asyncio.FIRST_COMPLETED)  # the others are still starting
            for each in starting:
                each.cancel()
            await asyncio.gather(*starting, return_exceptions=True)
            await asyncio.gather(*(broker.kill() for broker in killed))
            await asyncio.gather(*(broker.start() for broker in killed))
            await running
            for broker in rig.brokers:
                await request_until_served(broker, f"after-{broker.name}-")
            assert_writes_ran_once(rig)

    run(scenario())


@pytest.mark.parametrize("fault", ["all are killed at once", "half are stopped and continue together"])
def test_brokers_serve_after_a_common_fault_and_run_no_write_twice(fault: str) -> None:
    async def scenario() -> None:
        async with Rig(4, 2, load=0.5, memory=True) as rig:
            running = asyncio.create_task(rig.clients.run(4.0))
            await asyncio.sleep(1.0)
            if fault.startswith("all"):
                await rig.kill_and_restart(1.0, 0.0)
            else:
                rig.stall(0.5, resume=False)
                await asyncio.sleep(1.5)
                rig.stall(0.5, resume=True)
            await running
            for broker in rig.brokers:
                await request_until_served(broker, f"after-{broker.name}-")
            assert_writes_ran_once(rig)

    run(scenario())


@pytest.mark.parametrize("discovery", ["refuses", "slow", "silent"])
def test_restarted_broker_serves_from_its_configured_node_list_without_discovery(discovery: str) -> None:
    async def scenario() -> None:
        async with Rig(1, 1, memory=True) as rig:
            broker = rig.brokers[0]
            await broker.kill()
            rig.discovery.max_calls_per_second = 0 if discovery == "refuses" else float("inf")
            rig.discovery.answer_delay = 30.0 if discovery == "slow" else 0.0
            rig.discovery.silent = discovery == "silent"
            before = rig.discovery.answers_sent["n0"]
            await broker.start()
            assert b" 200 " in await exchange(broker.front.port, message(id="at-once"))
            assert discovery == "refuses" or rig.discovery.answers_sent["n0"] == before

    run(scenario())


def test_list_from_discovery_replaces_the_configured_older_one() -> None:
    """A broker that restarts with an old node list must not send to a node that was drained meanwhile."""

    async def scenario() -> None:
        async with Rig(1, 2, memory=True) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            await request_until_served(broker, "before")
            old = rig.discovery.list("n0")
            await broker.kill()
            rig.discovery.set_status("d0", 0, "draining")
            sent, answers = len(disk.received), rig.discovery.answers_sent["n0"]
            await broker.start(old)
            await wait_for_discovery_answer(rig, "n0", answers)
            await wait_for_line(broker, "nodes.listed", len(broker.lines) - 1)
            for number in range(5):
                assert b" 503 " in await exchange(broker.front.port, message(id=f"behind{number}"))
            assert len(disk.received) == sent

    run(scenario())


def test_node_replaced_during_the_absence_starts_slowly_and_its_capacity_counts_as_used() -> None:
    """The snapshot describes the replaced node; an earlier process may have used the new node's capacity."""

    async def scenario() -> None:
        async with Rig(1, 1, memory=True) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            await request_until_served(broker, "before")
            for _ in range(2):
                await wait_for_write(broker)
            await broker.kill()
            await rig.replace("d0", 0.0)
            since, began = len(broker.lines), asyncio.get_running_loop().time()
            await broker.start()
            await wait_for_line(broker, "memory.taken_up", since)
            window = rig.raw["settings"]["guarantees"]["fallNs"] * 1e-9
            client_time = rig.raw["settings"]["classes"][0]["deadlineNs"] * 1e-9
            asked = asyncio.get_running_loop().time()
            response = await request_until_served(broker, "after")
            # A request is served once the window of the limit has passed. One whose client waits until then
            # is held; the process may have started so late that the first one is.
            assert b" 503 " in response or asked + client_time >= began + window
            first = next(each.at for each in disk.received if each.incarnation == 1)
            assert first >= began + window

    run(scenario())


def test_restarted_processes_together_send_a_volume_no_more_than_its_limit() -> None:
    """Three processes that each begin with a full burst would send three bursts."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        limit, burst = 40.0, 80.0
        plan = RAW["settings"]["policies"][0] | {"ceilingRate": limit, "burst": burst, "floorRate": 40.0}
        async with Rig(1, 1, memory=True, work=0.001, policies=[plan | {"nominal": 40.0}]) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            for restarts in range(3):
                if restarts:
                    await wait_for_write(broker)
                    await broker.kill()
                    await broker.start()
                for turn in range(8):
                    await asyncio.gather(
                        *(
                            exchange(broker.front.port, message(id=f"l{restarts}-{turn}-{number}"))
                            for number in range(20)
                        )
                    )
                    await asyncio.sleep(0.1)
            sent = 2.0 * len(disk.received)
            assert 0 < sent <= burst + limit * (loop.time() - began)

    run(scenario())


def test_snapshot_with_a_future_time_or_with_false_data_does_no_harm() -> None:
    """The clock is set back an hour between two processes; then a file says that a dead node is fast."""

    async def scenario() -> None:
        async with Rig(1, 2, memory=True) as rig:
            broker = rig.brokers[0]
            for shard in range(2):
                await request_until_served(broker, f"before{shard}-", shard)
            for _ in range(2):
                await wait_for_write(broker)
            await broker.kill()
            rows, since = snapshot_file.read(snapshot_path(broker)), len(broker.lines)
            snapshot_file.write(
                snapshot_path(broker),
                snapshot_file.frame(rows | {"boot": "another", "wall": rows["wall"] + 3600.0}),
            )
            await broker.start()
            assert "set back" in await wait_for_line(broker, "memory.unusable", since)
            await request_until_served(broker, "ahead")
            await broker.kill()
            false_rows = [[*row[:3], 1e-6, 0.0, 1e6, False, 0, 0.0, -1, 0.0, -1.0] for row in rows["nodes"]]
            snapshot_file.write(
                snapshot_path(broker), snapshot_file.frame(rows | {"nodes": false_rows, "whole": True})
            )
            rig.disks["d1"].stop()
            since = len(broker.lines)
            await broker.start()
            await wait_for_line(broker, "memory.taken_up", since)
            await request_until_served(broker, "false")
            assert b" 503 " in await exchange(broker.front.port, message(id="dead", shard=1, ms=700))
            attempts = [line for line in broker.lines[since:] if "module.failed" in line]
            assert not attempts

    run(scenario())
