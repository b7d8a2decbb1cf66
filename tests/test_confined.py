"""The broker under the terms of the fleet test: it starts, serves, reloads and ends with all that refused."""

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


def test_it_starts_serves_reloads_and_ends_where_programs_and_peers_are_refused(tmp_path: Path) -> None:
    async def story() -> None:
        node = await Node("ok", "ok", "hang").start()
        whole = raw() | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0"}
        whole["known"]["endpoints"][0] |= {"name": "d0", "address": f"127.0.0.1:{node.port}"}
        # One of a tier that lends room; a peer that answers nothing.
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
            assert (await answer(reader))[0] == 503  # taken before, answered before the end
            writer.close()
            await broker.end()

    run(story())


def test_run_is_one_process_by_exec() -> None:
    """The shell that starts it is gone; what stays is python, linked against the C library at run time."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert deploy["run"].startswith("exec ") and not set(deploy["run"]) & set(";&|<>")
    with open(os.path.realpath(sys.executable), "rb") as file:
        program = file.read()
    assert program[:4] != b"\x7fELF" or b"ld-linux" in program or b"ld-musl" in program


def test_what_is_refused_there_is_refused_here() -> None:
    """The first test would prove nothing under hooks that let things pass."""
    acts = (
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
for act in {acts!r}:
    try:
        eval(act)
    except OSError as error:
        assert 'refused' in str(error) or 'nobody' in str(error), error
    else:
        raise SystemExit(act)
"""
    subprocess.run([sys.executable, "-c", script], cwd=ROOT / "tests", check=True)
