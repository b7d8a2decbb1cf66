"""Brokers that come back, as real processes behind their links; judged by the books of nodes and clients."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from support import RAW, message, run
from test_many import exchange, wait_for_discovery_answer
from test_memory import kept, said, written

from bench.many.rig import BrokerProcess, Rig
from cherrycove.broker.warm_restart import snapshot_file


def nothing_twice_or_foreign(rig: Rig) -> None:
    ran = Counter(each.id for disk in rig.disks.values() for each in disk.received if each.ran and each.write)
    assert ran and max(ran.values()) == 1 and not rig.clients.wrong_answers and rig.clients.statuses[200]


async def serves(broker: BrokerProcess, id: str, shard: int = 0) -> bytes:
    """Ask until it is served; what the first answer was."""
    first = said = await exchange(broker.front.port, message(id=f"{id}0", shard=shard))
    number = 0
    while b" 200 " not in said:
        number += 1
        await asyncio.sleep(0.05)
        said = await exchange(broker.front.port, message(id=f"{id}{number}", shard=shard))
    return first


@pytest.mark.parametrize("memory", [False, True])
def test_most_are_killed_and_again_while_they_return(memory: bool) -> None:
    async def story() -> None:
        async with Rig(4, 2, load=0.5, memory=memory) as rig:
            running = asyncio.create_task(rig.clients.run(4.0))
            await asyncio.sleep(1.0)
            struck = rig.brokers[:3]
            await asyncio.gather(*(broker.kill() for broker in struck))
            returning = [asyncio.create_task(broker.start()) for broker in struck]
            await asyncio.wait(returning, return_when=asyncio.FIRST_COMPLETED)  # the others are on their way
            for each in returning:
                each.cancel()
            await asyncio.gather(*returning, return_exceptions=True)
            await asyncio.gather(*(broker.kill() for broker in struck))
            await asyncio.gather(*(broker.start() for broker in struck))
            await running
            for broker in rig.brokers:
                await serves(broker, f"after-{broker.name}-")
            nothing_twice_or_foreign(rig)

    run(story())


@pytest.mark.parametrize("fault", ["all are killed at once", "half stand still and go on together"])
def test_what_strikes_many_at_once_is_over_with_it_and_ran_no_write_twice(fault: str) -> None:
    async def story() -> None:
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
                await serves(broker, f"after-{broker.name}-")
            nothing_twice_or_foreign(rig)

    run(story())


@pytest.mark.parametrize("discovery", ["refuses", "slow", "silent"])
def test_a_broker_serves_from_what_it_was_given_whatever_discovery_does(discovery: str) -> None:
    async def story() -> None:
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

    run(story())


def test_an_old_list_is_left_for_the_first_that_discovery_tells() -> None:
    """It came back with the list of before; a node had been drained meanwhile."""

    async def story() -> None:
        async with Rig(1, 2, memory=True) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            await serves(broker, "before")
            old = rig.discovery.list("n0")
            await broker.kill()
            rig.discovery.set_status("d0", 0, "draining")
            sent, told = len(disk.received), rig.discovery.answers_sent["n0"]
            await broker.start(old)
            await wait_for_discovery_answer(rig, "n0", told)
            await said(broker, "nodes.listed", len(broker.lines) - 1)
            for number in range(5):
                assert b" 503 " in await exchange(broker.front.port, message(id=f"behind{number}"))
            assert len(disk.received) == sent

    run(story())


def test_a_node_replaced_in_the_absence_is_cold_and_its_room_counts_as_used() -> None:
    """The memory is of the node before; the room of the one that is there an earlier life may have used."""

    async def story() -> None:
        async with Rig(1, 1, memory=True) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            await serves(broker, "before")
            for _ in range(2):
                await written(broker)
            await broker.kill()
            await rig.replace("d0", 0.0)
            since, began = len(broker.lines), asyncio.get_running_loop().time()
            await broker.start()
            await said(broker, "memory.taken_up", since)
            assert b" 503 " in await serves(broker, "after")  # and once the rule's window is over, served
            window = rig.raw["settings"]["guarantees"]["fallNs"] * 1e-9
            first = next(each.at for each in disk.received if each.incarnation == 1)
            assert first >= began + window

    run(story())


def test_lives_together_send_a_limited_volume_no_more_than_its_limit() -> None:
    """Three lives that each began with a whole burst would have sent three."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        limit, burst = 40.0, 80.0
        plan = RAW["settings"]["policies"][0] | {"ceilingRate": limit, "burst": burst, "floorRate": 40.0}
        async with Rig(1, 1, memory=True, work=0.001, policies=[plan | {"nominal": 40.0}]) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            for life in range(3):
                if life:
                    await written(broker)
                    await broker.kill()
                    await broker.start()
                for turn in range(8):
                    await asyncio.gather(
                        *(
                            exchange(broker.front.port, message(id=f"l{life}-{turn}-{number}"))
                            for number in range(20)
                        )
                    )
                    await asyncio.sleep(0.1)
            sent = 2.0 * len(disk.received)
            assert 0 < sent <= burst + limit * (loop.time() - began)

    run(story())


def test_a_memory_of_the_future_and_one_with_lies_do_no_harm() -> None:
    """A clock set back an hour between lives; then a file that praises a node which is dead."""

    async def story() -> None:
        async with Rig(1, 2, memory=True) as rig:
            broker = rig.brokers[0]
            for shard in range(2):
                await serves(broker, f"before{shard}-", shard)
            for _ in range(2):
                await written(broker)
            await broker.kill()
            rows, since = snapshot_file.read(kept(broker)), len(broker.lines)
            snapshot_file.write(
                kept(broker), snapshot_file.frame(rows | {"boot": "another", "wall": rows["wall"] + 3600.0})
            )
            await broker.start()
            assert "set back" in await said(broker, "memory.unusable", since)
            await serves(broker, "ahead")
            await broker.kill()
            praise = [[*row[:3], 1e-6, 0.0, 1e6, False, 0, 0.0, -1, 0.0, -1.0] for row in rows["nodes"]]
            snapshot_file.write(kept(broker), snapshot_file.frame(rows | {"nodes": praise, "whole": True}))
            rig.disks["d1"].stop()
            since = len(broker.lines)
            await broker.start()
            await said(broker, "memory.taken_up", since)
            await serves(broker, "lies")
            assert b" 503 " in await exchange(broker.front.port, message(id="dead", shard=1, ms=700))
            attempts = [line for line in broker.lines[since:] if "module.failed" in line]
            assert not attempts

    run(story())
