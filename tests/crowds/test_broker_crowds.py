"""Crowds at the storage broker's listeners: it lives, stays within its limits, and serves an ordinary caller.

The configuration gives the process 100 MB and 512 descriptors.
"""

from __future__ import annotations

import asyncio
import copy
import json
import struct
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
from crowd import Crowd, CrowdClient, ProcessUsage, answered, crowd_of
from support import Node, raw

from cherrycove.broker import nbd
from examples.tier_processes import ROOT, reserve_network

MEMORY_MB = 100
DESCRIPTORS = 512
BYTES_PER_MB = 1_000_000
HTTP_PORT = 5000
NBD_PORT = 10809
NBD_CLIENTS = 64  # the server's default limit
NBD_PAYLOAD_BYTES = 64 * 1024
NBD_WRITES = 40  # more than the server reads ahead
ADMIN_PORT = 5900
LINE_BYTES = 8000
LINES = 120
BODY_BYTES = 32 * 1024 * 1024
REQUEST = (
    b"GET /claim-read/hello HTTP/1.1\r\nHost: broker\r\nX-Request-Id: %s\r\nX-Class: claim-read\r\n"
    b"Tier: basic\r\nCookie: object=7f3a9c21e0b4d655\r\nX-Deadline-Ms: 20000\r\n"
    b"IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n"
)


NBD_TABLE = """
[nbd]
enabled = true
listen = "{listen}"
classes = {{ read = "claim-read", write = "claim-write", trim = "claim-write", flush = "claim-write" }}
nodes = {{ d1 = "127.0.0.1:{node_port}" }}

[nbd.exports.claims]
volume = "00000003b4d60021"
shard = 1
plan = "basic"
size = 1048576
"""


@attrs.frozen
class RunningBroker:
    """A storage broker on loopback with one disk node."""

    process: asyncio.subprocess.Process
    address: str
    nbd_address: str
    admin_address: str
    node: Node

    async def serve_one(self) -> int:
        """Send an ordinary read and return its status, 0 if there is none."""
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(REQUEST % b"ordinary" + b"\r\n")
                    return int((await reader.readline() or b"HTTP/1.1 0").split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0

    def check_usage(self) -> None:
        """Assert that the process lives and was always within its limits."""
        assert self.process.returncode is None
        usage = ProcessUsage.of(self.process.pid)
        print(usage)
        assert usage.peak_resident_bytes <= MEMORY_MB * BYTES_PER_MB, usage
        assert usage.open_descriptors <= DESCRIPTORS, usage


async def _never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept commands for a storage node and leave them open until the broker disconnects."""
    try:
        while await reader.read(NBD_PAYLOAD_BYTES):
            pass
    except OSError:
        pass
    finally:
        writer.close()


@asynccontextmanager
async def running_broker(directory: Path) -> AsyncIterator[RunningBroker]:
    """Start a storage broker with low limits; it is killed at the end."""
    reservation = reserve_network()
    host = f"{reservation.network}.1"
    node = await Node().start()
    configuration: dict[str, Any] = copy.deepcopy(raw()) | {
        "listen": f"{host}:{HTTP_PORT}",
        "discovery": "127.0.0.1:9",
        "admin": f"{host}:{ADMIN_PORT}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
    }
    configuration["known"]["endpoints"][0] |= {"name": "d0", "address": f"127.0.0.1:{node.port}"}
    configuration["known"]["endpoints"][1] |= {"name": "d1"}  # only NBD uses its shard
    (directory / "config.json").write_text(json.dumps(configuration))
    silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
    (directory / "operator.toml").write_text(
        NBD_TABLE.format(listen=f"{host}:{NBD_PORT}", node_port=silent.sockets[0].getsockname()[1])
    )
    with (directory / "broker.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrycove", cwd=ROOT, stderr=log, stdout=log,
            env={"RELAY_CONFIG": str(directory / "config.json"), "PYTHONPATH": str(ROOT),
                 "CHERRYCOVE_OPERATOR": str(directory / "operator.toml"), "TMPDIR": str(directory)},
        )  # fmt: skip
    broker = RunningBroker(process, f"{host}:{HTTP_PORT}", f"{host}:{NBD_PORT}", f"{host}:{ADMIN_PORT}", node)
    try:
        await answered(broker.serve_one)
        yield broker
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        node.server.close()
        silent.close()
        reservation.release()


def play(directory: Path, crowd_at: Callable[[RunningBroker], Crowd]) -> None:
    """Let a crowd do its worst; an ordinary caller is served while it stays open."""

    async def scenario() -> None:
        async with running_broker(directory) as broker:
            async with crowd_at(broker) as crowd:
                await crowd.wait_until_at_rest()
                broker.check_usage()
                await answered(broker.serve_one)
                broker.check_usage()
            await answered(broker.serve_one)
            broker.check_usage()

    asyncio.run(scenario())


def test_heads_of_long_lines_that_never_end(tmp_path: Path) -> None:
    lines = (b"a:" + b"x" * LINE_BYTES + b"\r\n") * LINES
    play(tmp_path, lambda broker: crowd_of(200, broker.address, REQUEST % b"crowd", lines))


def test_heads_of_long_lines_whose_body_does_not_come(tmp_path: Path) -> None:
    start = REQUEST.replace(b"GET", b"PUT") % b"crowd"
    lines = (b"a:" + b"x" * LINE_BYTES + b"\r\n") * LINES + b"Content-Length: 1\r\n\r\n"
    play(tmp_path, lambda broker: crowd_of(200, broker.address, start, lines))


def test_bodies_one_byte_short(tmp_path: Path) -> None:
    start = REQUEST.replace(b"GET", b"PUT") % b"crowd" + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    play(tmp_path, lambda broker: crowd_of(100, broker.address, start, bytes(BODY_BYTES - 1)))


def test_trailers_of_long_lines_that_never_end(tmp_path: Path) -> None:
    start = REQUEST.replace(b"GET", b"PUT") % b"crowd" + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    lines = (b"a:" + b"x" * LINE_BYTES + b"\r\n") * LINES
    play(tmp_path, lambda broker: crowd_of(200, broker.address, start, lines))


def test_connections_that_send_nothing(tmp_path: Path) -> None:
    play(tmp_path, lambda broker: crowd_of(700, broker.address))


def test_connections_that_send_nothing_to_the_operators_listener(tmp_path: Path) -> None:
    play(tmp_path, lambda broker: crowd_of(700, broker.admin_address))


def test_writes_over_nbd_beside_bodies(tmp_path: Path) -> None:
    mount = struct.pack(">I", nbd.HandshakeFlag.FIXED_NEWSTYLE | nbd.HandshakeFlag.NO_ZEROES)
    mount += nbd.pack_option(nbd.Option.GO, nbd.pack_go_data("claims"))
    payload = bytes(NBD_PAYLOAD_BYTES)
    writes = b"".join(
        nbd.CommandRequest(nbd.Command.WRITE, 0, cookie, 0, len(payload)).pack() + payload
        for cookie in range(1, NBD_WRITES + 1)
    )
    start = REQUEST.replace(b"GET", b"PUT") % b"crowd" + b"Content-Length: %d\r\n\r\n" % BODY_BYTES

    def crowd_at(broker: RunningBroker) -> Crowd:
        mounted = [CrowdClient(broker.nbd_address, [mount, writes]) for _ in range(NBD_CLIENTS)]
        uploads = [CrowdClient(broker.address, [start, bytes(BODY_BYTES - 1)]) for _ in range(100)]
        return Crowd([*mounted, *uploads])

    play(tmp_path, crowd_at)
