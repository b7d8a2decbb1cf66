"""A test rig: real broker processes, with a link on every stream to clients and nodes, and fault injection.

It signals only the processes that it has started, and ends them, also when the rig itself is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import ctypes
import json
import os
import random
import resource
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.many.fakes import Clients, Discovery, DiskNode, volumes
from bench.many.links import Link

ROOT = Path(__file__).parent.parent.parent
READY_TIME = 30.0  # s within which a broker must be ready to serve
PR_SET_PDEATHSIG = 1


def _end_with_parent() -> None:
    """Have the kernel kill the broker when the rig's process ends, so that none is left running."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _scale_settings(settings: dict[str, Any], by: float) -> None:
    """Multiply times and divide rates by ``by``, as the platform does where brokers have little traffic."""
    for cls in settings["classes"]:
        cls["aimNs"], cls["deadlineNs"] = int(cls["aimNs"] * by), int(cls["deadlineNs"] * by)
    for plan in settings["policies"]:
        for name in ("nominal", "floorRate", "ceilingRate"):
            plan[name] /= by
    settings["familyInfo"]["coldBears"] /= by


class BrokerProcess:
    """Holds one broker: its configuration, its current process and the lines that it logged."""

    def __init__(self, rig: Rig, number: int, discovery: int) -> None:
        self.rig, self.number, self.name = rig, number, f"n{number}"
        self.folder = rig.folder / self.name
        self.folder.mkdir()
        self.path, self.operator = self.folder / "config.json", self.folder / "operator.toml"
        if rig.memory:
            (self.folder / "kept").mkdir()
            self.operator.write_text(
                f'[memory]\nenabled = true\nfolder = "{self.folder / "kept"}"\ninterval_ms = 500\n'
            )
        self.raw = copy.deepcopy(rig.raw) | {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "seed": f"{rig.seed * 1000 + number:x}",
            "discovery": f"127.0.0.1:{discovery}",
        }
        self.front = Link(f"clients to {self.name}", lambda: ("127.0.0.1", self.port))
        self.node_links: dict[str, Link] = {}
        self.port = 1  # a port on which nothing listens, until the broker serves
        self.lines: list[str] = []
        self.ready_at: list[float] = []  # when each start was ready, on the loop's clock
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._ready = asyncio.Event()

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start the broker with discovery's present node list, or with ``known``; return once it serves."""
        self.path.write_text(json.dumps(self.raw | {"known": known or self.rig.discovery.list(self.name)}))
        self._ready.clear()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=_end_with_parent,
            env=os.environ
            | {
                "RELAY_CONFIG": str(self.path),
                "TMPDIR": str(self.folder),
                "CHERRYCOVE_OPERATOR": str(self.operator),
            },
        )
        self._reading = asyncio.create_task(self._read(self._process))
        async with asyncio.timeout(READY_TIME):
            await self._ready.wait()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while read := await process.stderr.readline():  # an empty line of the log is not the end
            line = read.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if "broker.serves " in line:
                self.port = int(line.rpartition("port=")[2].split()[0])
                self.ready_at.append(asyncio.get_running_loop().time())
                self._ready.set()

    def signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()

    async def ended(self) -> int:
        """Wait for the process to end; return its exit status."""
        assert self._process is not None and self._reading is not None
        status = await self._process.wait()
        await self._reading
        self.port = 1
        return status


class Rig:
    """Runs a cluster; ``async with Rig(...) as rig`` starts it and waits until all brokers are ready."""

    def __init__(
        self,
        brokers: int,
        nodes: int,
        seed: int = 1,
        load: float = 1.0,
        stretch: float = 1.0,
        work: float = 0.02,
        max_calls_per_second: float = float("inf"),
        memory: bool = False,
        **settings: Any,
    ) -> None:
        self.memory = memory  # whether each broker keeps what it learned in a folder over restarts
        self.seed, self.rng = seed, random.Random(seed)
        self.raw = json.loads((ROOT / "examples/config.json").read_text(encoding="utf-8"))
        del self.raw["admin"]
        self.raw["settings"] |= {"balancers": brokers} | settings
        self.raw["settings"]["familyInfo"]["nShards"] = nodes
        _scale_settings(self.raw["settings"], stretch)
        self.disks = {
            f"d{n}": DiskNode(f"d{n}", n, random.Random(seed * 100 + n), work * stretch) for n in range(nodes)
        }
        self.discovery = Discovery(max_calls_per_second)
        self.discovery.address = lambda broker, node: (
            f"127.0.0.1:{self._broker_by_name[broker].node_links[node].port}"
        )
        self.brokers: list[BrokerProcess] = []
        self._broker_count, self._load = brokers, load
        self._broker_by_name: dict[str, BrokerProcess] = {}
        self.clients: Clients

    async def __aenter__(self) -> Rig:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        self._folder = tempfile.TemporaryDirectory(prefix="many-")
        self.folder = Path(self._folder.name)
        try:
            for disk in self.disks.values():
                await disk.start()
                self.discovery.set_status(disk.name, disk.shard, "up")
            for number in range(self._broker_count):
                broker = BrokerProcess(self, number, await self.discovery.listen(f"n{number}"))
                self.brokers.append(broker)
                self._broker_by_name[broker.name] = broker
                await broker.front.start()
                for disk in self.disks.values():
                    link = Link(f"{broker.name} to {disk.name}", self._target(disk))
                    broker.node_links[disk.name] = await link.start()
            await asyncio.gather(*(broker.start() for broker in self.brokers))
            self.clients = Clients(
                self.raw["settings"],
                [broker.front.port for broker in self.brokers],
                self.rng,
                volumes(self.raw["settings"], self._broker_count, len(self.disks), self.rng),
                self._load,
            )
        except BaseException:
            await self.__aexit__()
            raise
        return self

    @staticmethod
    def _target(disk: DiskNode) -> Any:
        return lambda: ("127.0.0.1", disk.port)

    async def __aexit__(self, *_: object) -> None:
        for broker in self.brokers:
            broker.signal(signal.SIGCONT)
            broker.signal(signal.SIGKILL)
        for broker in self.brokers:
            if broker._process is not None:
                await broker.ended()
            for link in (broker.front, *broker.node_links.values()):
                await link.close()
        if hasattr(self, "clients"):
            self.clients.close()
        for disk in self.disks.values():
            disk.stop()
        self.discovery.close()
        self._folder.cleanup()

    async def replace(self, name: str, down: float) -> None:
        """Stop a node and start it cold after ``down`` seconds; discovery announces both at once."""
        disk = self.disks[name]
        self.discovery.set_status(name, disk.shard, "draining")
        disk.stop()
        await asyncio.sleep(down)
        await disk.restart()
        self.discovery.set_status(name, disk.shard, "up", since_ms=time.time() * 1000)

    async def kill_and_restart(self, part: float, away: float) -> list[BrokerProcess]:
        """Kill this fraction of the brokers at once, and start them all together ``away`` seconds later."""
        affected = self.brokers[: round(part * len(self.brokers))]
        await asyncio.gather(*(broker.kill() for broker in affected))
        await asyncio.sleep(away)
        await asyncio.gather(*(broker.start() for broker in affected))
        return affected

    def slow_down(self, part: float, times: float) -> list[str]:
        """Slow down this fraction of the nodes, at least one, by the factor ``times``; 1 undoes it."""
        names = list(self.disks)[-max(round(part * len(self.disks)), 1) :]
        for name in names:
            self.disks[name].slowdown = times
        return names

    def stall(self, part: float, resume: bool) -> list[BrokerProcess]:
        """Suspend this fraction of the brokers with SIGSTOP, or resume them with SIGCONT."""
        affected = self.brokers[: round(part * len(self.brokers))]
        for broker in affected:
            broker.signal(signal.SIGCONT if resume else signal.SIGSTOP)
        return affected
