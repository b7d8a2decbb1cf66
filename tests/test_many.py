"""The rig of many processes: its links do what they say, and brokers behind them keep their word."""

from __future__ import annotations

import asyncio
import random
import signal

import pytest
from support import message, run

from bench.many.links import Datagrams, Link, Way
from bench.many.rig import Rig


async def answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def exchange(port: int, text: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(text)
        return await answer(reader)
    finally:
        writer.close()


async def echo() -> tuple[asyncio.Server, int]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while piece := await reader.read(1 << 16):
            writer.write(piece)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def test_a_link_that_is_cut_one_way_keeps_what_was_sent_until_it_is_open_again() -> None:
    async def story() -> None:
        server, port = await echo()
        link = await Link("l", lambda: ("127.0.0.1", port)).start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        link.back.open = False
        writer.write(b"two")
        waiting = asyncio.create_task(reader.readexactly(3))
        done, _ = await asyncio.wait({waiting}, timeout=0.05)
        assert not done
        link.set(open=True)
        assert await waiting == b"two"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        link.refuses = True
        again, _ = await asyncio.open_connection("127.0.0.1", link.port)
        with pytest.raises(ConnectionResetError):
            await again.read()
        assert link.opened == 2
        await link.close()
        server.close()

    run(story())


def test_a_stream_passes_a_slow_link_unchanged() -> None:
    async def story() -> None:
        server, port = await echo()
        link = await Link("l", lambda: ("127.0.0.1", port), there=Way(delay=0.001, rate=5e6)).start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        data = random.Random(1).randbytes(200_000)
        writer.write(data)
        writer.write_eof()
        assert await reader.read() == data
        await link.close()
        server.close()

    run(story())


def test_datagrams_are_lost_doubled_and_overtaken_as_the_seed_says() -> None:
    class Far(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.got: list[bytes] = []
            self.came = asyncio.Event()

        def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
            self.got.append(data)
            self.came.set()

    async def story() -> None:
        loop = asyncio.get_running_loop()
        transport, far = await loop.create_datagram_endpoint(Far, local_addr=("127.0.0.1", 0))
        way = Way(lost=0.2, twice=0.2, late=0.05)
        relay = await Datagrams(transport.get_extra_info("sockname"), way, random.Random(3)).start()
        near, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=("127.0.0.1", relay.port)
        )
        for number in range(200):
            near.sendto(b"%d" % number)
            await asyncio.sleep(0)
        while relay.dropped + len(set(far.got)) < 200:
            far.came.clear()
            await far.came.wait()
        assert 0 < relay.dropped < 100 and len(far.got) > len(set(far.got))
        assert far.got != sorted(far.got, key=int)
        for each in (transport, near):
            each.close()
        relay.close()

    run(story())


def test_brokers_that_are_killed_come_back_behind_their_links_and_no_write_ran_twice() -> None:
    async def story() -> None:
        async with Rig(3, 2, load=0.5) as rig:
            running = asyncio.create_task(rig.clients.run(3.0))
            await asyncio.sleep(1.0)
            struck = await rig.herd(0.67, 0.0)
            assert [len(broker.ready_at) for broker in rig.brokers] == [2, 2, 1] and len(struck) == 2
            await running
            writes = [each.id for disk in rig.disks.values() for each in disk.book if each.ran and each.write]
            assert writes and len(writes) == len(set(writes))
            assert rig.clients.statuses[200] > 0
            for broker in rig.brokers:
                assert b" 200 " in await exchange(broker.front.port, message(id=f"after-{broker.name}"))

    run(story())


async def answered(rig: Rig, broker: str, more_than: int) -> None:
    """Until discovery has written it another answer, which then lies in its socket."""
    while rig.discovery.answered[broker] <= more_than:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("requests", [1, 30])
def test_a_broker_that_stood_still_sends_nothing_to_a_node_drained_meanwhile(requests: int) -> None:
    """What its clients sent while it stood still lies before it together with the news."""

    async def story() -> None:
        async with Rig(1, 2) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            assert b" 200 " in await exchange(broker.front.port, message(id="before"))
            open_now = [
                await asyncio.open_connection("127.0.0.1", broker.front.port) for _ in range(requests)
            ]
            for number, (reader, writer) in enumerate(open_now):
                writer.write(message(id=f"first{number}"))
                assert b" 200 " in await answer(reader)
            sent, told = len(disk.book), rig.discovery.answered["n0"]
            rig.stall(1.0, going=False)
            for number, (_, writer) in enumerate(open_now):
                writer.write(message(id=f"meanwhile{number}"))
            rig.discovery.tell("d0", 0, "draining")
            await answered(rig, "n0", told)
            rig.stall(1.0, going=True)
            for reader, writer in open_now:
                assert b" 503 " in await answer(reader)
                writer.close()
            assert b" 503 " in await exchange(broker.front.port, message(id="behind"))
            assert len(disk.book) == sent

    run(story())


def test_a_link_to_a_node_that_resets_makes_no_write_run_twice() -> None:
    async def story() -> None:
        async with Rig(1, 1, work=0.05, stretch=4.0) as rig:
            broker, disk = rig.brokers[0], rig.disks["d0"]
            link = broker.nodes["d0"]
            write = message("claim-write", "PUT", body=b"b", id="w")
            asking = asyncio.create_task(exchange(broker.front.port, write))
            while not disk.book:
                await asyncio.sleep(0.005)
            link.reset()
            assert b" 500 " in await asking and [each.id for each in disk.book] == ["w"]
            broker.signal(signal.SIGTERM)
            assert await broker.ended() == 0

    run(story())
