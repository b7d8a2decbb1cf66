"""The broker under the restrictions of the fleet test: it starts, serves, reloads and shuts down."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

from support import ROOT, Node, answer, message, raw, run
from test_handover import Process


class Confined(Process):
    program = (str(ROOT / "tests/confined.py"),)


def test_the_broker_runs_where_programs_and_unix_sockets_are_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = await Node("ok", "ok", "hang").start()
        whole = raw() | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0"}
        whole["known"]["endpoints"][0] |= {"name": "d0", "address": f"127.0.0.1:{node.port}"}
        # The broker is one of several that lend capacity; its peer does not answer.
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own,
        ):
            peer.bind(("127.0.0.1", 0))
            own.bind(("127.0.0.1", 0))
            whole["peers"] = [f"127.0.0.1:{each.getsockname()[1]}" for each in (own, peer)]
        whole["peer_listen"] = whole["peers"][0]
        whole["settings"] |= {"me": 0, "balancers": 2}
        whole["settings"]["limits"]["mayTell"] = True
        whole["settings"]["familyInfo"]["coldBears"] = 1.0
        async with Confined(whole, tmp_path) as broker:
            port = broker.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(message(id="read"))
            assert (await answer(reader))[2] == b"data of read"
            writer.write(message(id="write", cls="claim-write", method="PUT", body=b"x" * 70_000))
            assert (await answer(reader))[2] == b"data of write"
            whole["discovery"] = "127.0.0.1:10"
            broker.path.write_text(json.dumps(whole))
            broker.process.send_signal(signal.SIGHUP)
            assert "moved=True" in await broker.line("config.read_again")
            writer.write(message(id="held", ms=2500))
            await node.until(3)
            broker.process.send_signal(signal.SIGTERM)
            assert (await answer(reader))[0] == 503  # accepted before the signal, answered before the exit
            writer.close()
            await broker.end()

    run(scenario())


def test_the_run_command_leaves_one_process() -> None:
    """exec replaces the shell; what remains is Python, linked dynamically against the C library."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert deploy["run"].startswith("exec ") and not set(deploy["run"]) & set(";&|<>")
    with open(os.path.realpath(sys.executable), "rb") as file:
        program = file.read()
    assert program[:4] != b"\x7fELF" or b"ld-linux" in program or b"ld-musl" in program


def test_the_restrictions_are_enforced() -> None:
    """Without enforcement, the first test would prove nothing."""
    forbidden = (
        "os.fork()",
        "subprocess.Popen(['true'])",
        "os.system('true')",
        "os.posix_spawn('/bin/true', ['x'], {})",
        "os.execv('/bin/true', ['x'])",
        "socket.socket(socket.AF_INET6)",
        "os.sendfile(1, 0, 0, 1)",
        "socket.socket(socket.AF_UNIX).connect('/nowhere')",
        "ctypes.CDLL(None)",
    )
    script = f"""
import ctypes, os, socket, subprocess, confined
confined.confine()
socket.socketpair(), socket.socket()
for statement in {forbidden!r}:
    try:
        eval(statement)
    except OSError as error:
        assert 'refused: ' in str(error), error
    else:
        raise SystemExit(statement)
"""
    subprocess.run([sys.executable, "-c", script], cwd=ROOT / "tests", check=True)
