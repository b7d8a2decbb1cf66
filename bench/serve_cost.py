"""Measures the cost of the decision log: CPU time per request with the log off and on, in pairs in one run.

    python -m bench.serve_cost [--pairs N] [--requests N] [--bound BYTES]

First it measures the core alone, in this process. Then it measures two complete brokers, each in its own
process, one with the decision log and one without: a client in this process sends the same requests to each
in turn over persistent connections, with a node in this process behind both, and the brokers' CPU time is
read from /proc. Its unit is a clock tick of 10 ms, so a pair needs a thousand requests. Two processes of the
same program differ by several percent for as long as they run; both are therefore restarted for each round,
and the result is the median of the rounds' medians.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import socket
import statistics
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from cherrycove.broker import config
from cherrycove.broker.core import Attempt, Core, Ending, Member, NodeList, Reply, Request
from cherrycove.broker.decision_log.log import DecisionLog


class ImmediateBackend:
    """Answers every attempt at once with SERVED."""

    async def attempt(self, attempt: Attempt) -> Reply:
        attempt.mark_written()
        return Reply(Ending.SERVED, b"data")


async def serve_requests(core: Core, requests: int, number: int) -> None:
    loop, backend = asyncio.get_running_loop(), ImmediateBackend()
    cls = number % len(core.settings.classes)
    for first in range(0, requests, 20):
        await asyncio.gather(
            *(
                core.serve(
                    Request(
                        cls,
                        0,
                        f"{first % 7:016x}",
                        1.0,
                        0,
                        1,
                        loop.time() + 0.5,
                        f"{each:016x}",
                        id=f"{number:08x}{each:08x}",
                    ),
                    backend,
                )
                for each in range(first, first + 20)
            )
        )


async def measure_core(pairs: int, requests: int, bound: int) -> list[tuple[float, float]]:
    """Return the CPU seconds per request of the core with the log off and on, one tuple per pair.

    The order of the two alternates from pair to pair.
    """
    raw_config = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())
    settings = config.parse_platform_config(raw_config, {}).settings
    costs_per_pair: list[tuple[float, float]] = []
    cores = []
    for on in (False, True):
        core = Core(settings, 1)
        core.update(NodeList(1, True, (Member("d0", "here", 0),)))
        core.recorder = DecisionLog(settings, bound, 0.0) if on else None
        cores.append(core)
        await serve_requests(core, requests, 0)
    for pair in range(pairs):
        costs = [0.0, 0.0]
        for place in (0, 1) if pair % 2 else (1, 0):
            gc.collect()
            started_at = time.process_time()
            await serve_requests(cores[place], requests, pair + 1)
            costs[place] = (time.process_time() - started_at) / requests
        costs_per_pair.append((costs[0], costs[1]))
    return costs_per_pair


async def serve_node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request on the connection at once with status 200."""
    with suppress(OSError, EOFError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata")
    writer.close()


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds, user and system, that the process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def client(port: int, requests: int, number: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for each in range(requests):
        cls, volume = ("claim-read", "claim-export")[each % 2], f"{(number + each) % 40:016x}"
        writer.write(
            (
                f"GET /{cls}/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {number:08x}{each:08x}\r\n"
                f"X-Class: {cls}\r\nTier: priority\r\nCookie: object={each:016x}\r\n"
                "X-Deadline-Ms: 2500\r\n"
                f"IO-Info: volume={volume},units=1,shard={each % 2},hosts=1\r\n\r\n"
            ).encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
        await reader.readexactly(length)
        if b"Connection: close" in head:
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()


async def measure_brokers(pairs: int, requests: int, bound: int, first_on: bool) -> list[tuple[float, float]]:
    """Return the CPU seconds per request of complete brokers with the log off and on, one tuple per pair.

    With ``first_on`` the broker with the log is started before the other.
    """
    server = await asyncio.start_server(serve_node, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    raw_config = json.loads((Path(__file__).parent.parent / "examples/config.json").read_text())
    costs_per_pair: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        started = []
        for place in range(2):
            with socket.create_server(("127.0.0.1", 0)) as free:
                port = free.getsockname()[1]
            raw_config |= {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0"}
            raw_config["known"]["endpoints"] = [
                {"name": f"d{shard}", "address": address, "group": shard, "status": "up"}
                for shard in range(2)
            ]
            Path(folder, f"{place}.json").write_text(json.dumps(raw_config))
            on = str(bool(place) is not first_on).lower()
            Path(folder, f"{place}.toml").write_text(f"[why]\nenabled = {on}\nbytes = {bound}\n")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cherrycove",
                stderr=asyncio.subprocess.PIPE,
                env=os.environ
                | {
                    "RELAY_CONFIG": f"{folder}/{place}.json",
                    "TMPDIR": folder,
                    "CHERRYCOVE_OPERATOR": f"{folder}/{place}.toml",
                },
            )
            assert process.stderr is not None
            while b"calls.serves" not in (line := await process.stderr.readline()):
                assert line, "a broker ended before it was ready to serve"
            started.append((process, port))
        try:
            for pair in range(pairs + 1):
                costs = [0.0, 0.0]
                for place in (0, 1) if pair % 2 else (1, 0):
                    process, port = started[place]
                    before = cpu_seconds(process.pid)
                    await asyncio.gather(*(client(port, requests // 8, pair * 8 + each) for each in range(8)))
                    costs[place] = (cpu_seconds(process.pid) - before) / (requests // 8 * 8)
                if pair:  # the first pair is the warm-up of both brokers
                    costs_per_pair.append((costs[first_on], costs[not first_on]))
        finally:
            for process, _ in started:
                process.terminate()
                await process.wait()
    server.close()
    return costs_per_pair


def print_result(what: str, costs_per_pair: list[tuple[float, float]], bound: int) -> None:
    off, on = (statistics.median(pair[place] for pair in costs_per_pair) * 1e6 for place in (0, 1))
    differences = sorted((pair[1] - pair[0]) * 1e6 for pair in costs_per_pair)
    median = statistics.median(differences)
    print(f"| {what}, log off | {off:.0f} us of CPU per request |")
    print(f"| {what}, log on, {bound >> 10} KiB | {on:.0f} us |")
    print(
        f"| difference, median of {len(costs_per_pair)} (quartiles) | {median:.0f} us "
        f"({differences[len(costs_per_pair) // 4]:.0f} to {differences[-1 - len(costs_per_pair) // 4]:.0f}), "
        f"{100 * median / off:.1f}% |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument("--bound", type=int, default=2 << 20)
    options = parser.parse_args()
    print("| what | figure |\n| --- | --- |")
    print_result(
        "core alone", asyncio.run(measure_core(6 * options.pairs, 400, options.bound)), options.bound
    )
    rounds = []
    for place in range(options.rounds):
        costs_per_pair = asyncio.run(
            measure_brokers(options.pairs, options.requests, options.bound, first_on=bool(place % 2))
        )
        off, on = (statistics.median(pair[which] for pair in costs_per_pair) for which in (0, 1))
        rounds.append((off, on))
    print_result("complete broker", rounds, options.bound)


if __name__ == "__main__":
    main()
