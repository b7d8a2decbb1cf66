"""Crowds at the operators' and the internal listeners of a controller and a store.

The settings give each process 160 MB and 512 descriptors.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from crowd import answered, crowd_of
from crowded_tier import ONE_PROXY, ONE_STORE, crowded_tier, head, status_of

from examples.tier_processes import INTERNAL_PORTS, Daemon

OPERATOR_BODY_BYTES = 16 * 1024 * 1024  # the largest body of an operator's call
MESSAGE_BYTES = 64 * 1024 * 1024  # the largest internal message
LINE_BYTES = 8000
LINES = 120
PORT_OFFSETS = {"keeper": 0, "store": 1}


def long_head(target: str) -> list[bytes]:
    """Return a head of nearly a megabyte that never ends."""
    start = head(target, method="GET").removesuffix(b"\r\n")
    return [start, (b"a:" + b"x" * LINE_BYTES + b"\r\n") * LINES]


def internal_address(daemon: Daemon) -> str:
    return f"{daemon.ip}:{INTERNAL_PORTS[0] + PORT_OFFSETS[daemon.program]}"


def play_at_operators_listener(directory: Path, payload: list[bytes], count: int) -> None:
    """Let a crowd call a controller's operators' listener; an operator's read is answered meanwhile."""

    async def scenario() -> None:
        async with crowded_tier(directory, ONE_PROXY) as tier:
            await tier.serve()
            (keeper,) = tier.keepers
            url = f"http://{keeper.control_plane}/api/configuration"
            crowd = crowd_of(count, keeper.control_plane, *payload)
            await tier.check_after(crowd, keeper)
            async with crowd_of(count, keeper.control_plane, *payload) as again:
                await again.wait_until_at_rest()
                await answered(lambda: status_of("GET", url))

    asyncio.run(scenario())


def test_heads_that_never_end_at_the_operators_listener(tmp_path: Path) -> None:
    play_at_operators_listener(tmp_path, long_head("/api/configuration"), count=200)


def test_bodies_one_byte_short_at_the_operators_listener(tmp_path: Path) -> None:
    start = head("/api/configuration", f"Content-Length: {OPERATOR_BODY_BYTES}", "If-Match: 1", method="PUT")
    play_at_operators_listener(tmp_path, [start, bytes(OPERATOR_BODY_BYTES - 1)], count=14)


def test_documents_of_many_small_values_at_the_operators_listener(tmp_path: Path) -> None:
    values = b"[" + b"[],{}," * (OPERATOR_BODY_BYTES // 6 - 2) + b"{}]"
    start = head("/api/configuration", f"Content-Length: {len(values)}", "If-Match: 1", method="PUT")
    play_at_operators_listener(tmp_path, [start, values], count=3)


def test_connections_that_send_nothing_at_the_operators_listener(tmp_path: Path) -> None:
    play_at_operators_listener(tmp_path, [], count=700)


def play_at_internal_listener(directory: Path, program: str, payload: list[bytes], count: int) -> None:
    """Let a crowd call the internal listener of a controller or store; both still do their work."""

    async def scenario() -> None:
        async with crowded_tier(directory, ONE_STORE) as tier:
            await tier.serve()
            (daemon,) = tier.running_daemons(program)
            crowd = crowd_of(count, internal_address(daemon), *payload)
            await tier.check_after(crowd, daemon, serves_batch_jobs=True)
            assert (await tier.status())["processes"]

    asyncio.run(scenario())


@pytest.mark.parametrize("program", ["keeper", "store"])
def test_heads_that_never_end_at_an_internal_listener(tmp_path: Path, program: str) -> None:
    play_at_internal_listener(tmp_path, program, long_head("/rpc/pull"), count=200)


@pytest.mark.parametrize("program", ["keeper", "store"])
def test_bodies_one_byte_short_at_an_internal_listener(tmp_path: Path, program: str) -> None:
    call = {"keeper": "pull", "store": "batch/read"}[program]
    start = head(f"/rpc/{call}", f"Content-Length: {MESSAGE_BYTES}")
    play_at_internal_listener(tmp_path, program, [start, bytes(MESSAGE_BYTES - 1)], count=4)


@pytest.mark.parametrize("program", ["keeper", "store"])
def test_connections_that_send_nothing_at_an_internal_listener(tmp_path: Path, program: str) -> None:
    play_at_internal_listener(tmp_path, program, [], count=700)
