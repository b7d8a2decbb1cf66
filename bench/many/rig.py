"""A rig: brokers as real processes, every stream between them and the others a link, faults on both.

It owns the processes it starts and ends them, also when it is cut off. It must never signal any other.
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

from bench.many.links import Link
from bench.many.stands import Clients, Discovery, DiskNode, volumes

ROOT = Path(__file__).parent.parent.parent
READY_TIME = 30.0  # s that a broker's start may take
PR_SET_PDEATHSIG = 1


def _with_parent() -> None:
    """Guard: a rig that is killed must leave no broker behind."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _stretch(settings: dict[str, Any], by: float) -> None:
    """Work, aims and rates as the platform scales them where each broker has little traffic."""
    for cls in settings["classes"]:
        cls["aimNs"], cls["deadlineNs"] = int(cls["aimNs"] * by), int(cls["deadlineNs"] * by)
    for plan in settings["policies"]:
        for name in ("nominal", "floorRate", "ceilingRate"):
            plan[name] /= by
    settings["familyInfo"]["coldBears"] /= by


class Process:
    """One broker: its configuration, its present process, and what that said."""

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
        self.nodes: dict[str, Link] = {}
        self.port = 1  # where nobody listens, until it serves
        self.lines: list[str] = []
        self.ready_at: list[float] = []  # of each start, on the loop's clock
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._serves = asyncio.Event()

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start it, with the list as discovery tells it now, or with an older one; returns once it serves."""
        self.path.write_text(json.dumps(self.raw | {"known": known or self.rig.discovery.list(self.name)}))
        self._serves.clear()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=_with_parent,
            env=os.environ
            | {
                "RELAY_CONFIG": str(self.path),
                "TMPDIR": str(self.folder),
                "CHERRYCOVE_OPERATOR": str(self.operator),
            },
        )
        self._reading = asyncio.create_task(self._read(self._process))
        async with asyncio.timeout(READY_TIME):
            await self._serves.wait()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while read := await process.stderr.readline():  # Guard: a blank line is no end
            line = read.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if "broker.serves " in line:
                self.port = int(line.rpartition("port=")[2].split()[0])
                self.ready_at.append(asyncio.get_running_loop().time())
                self._serves.set()

    def signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()

    async def ended(self) -> int:
        """Wait for its end; its status."""
        assert self._process is not None and self._reading is not None
        status = await self._process.wait()
        await self._reading
        self.port = 1
        return status


class Rig:
    """``async with Rig(...) as rig``: everything started, all brokers ready."""

    def __init__(
        self,
        brokers: int,
        nodes: int,
        seed: int = 1,
        load: float = 1.0,
        stretch: float = 1.0,
        work: float = 0.02,
        calls_a_second: float = float("inf"),
        memory: bool = False,
        **settings: Any,
    ) -> None:
        self.memory = memory  # whether each broker has a folder that lasts, and keeps what it learned there
        self.seed, self.dice = seed, random.Random(seed)
        self.raw = json.loads((ROOT / "examples/config.json").read_text(encoding="utf-8"))
        del self.raw["admin"]
        self.raw["settings"] |= {"balancers": brokers} | settings
        self.raw["settings"]["familyInfo"]["nShards"] = nodes
        _stretch(self.raw["settings"], stretch)
        self.disks = {
            f"d{n}": DiskNode(f"d{n}", n, random.Random(seed * 100 + n), work * stretch) for n in range(nodes)
        }
        self.discovery = Discovery(calls_a_second)
        self.discovery.address = lambda broker, node: f"127.0.0.1:{self._of[broker].nodes[node].port}"
        self.brokers: list[Process] = []
        self._count, self._load = brokers, load
        self._of: dict[str, Process] = {}
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
                self.discovery.tell(disk.name, disk.shard, "up")
            for number in range(self._count):
                broker = Process(self, number, await self.discovery.listen(f"n{number}"))
                self.brokers.append(broker)
                self._of[broker.name] = broker
                await broker.front.start()
                for disk in self.disks.values():
                    link = Link(f"{broker.name} to {disk.name}", self._target(disk))
                    broker.nodes[disk.name] = await link.start()
            await asyncio.gather(*(broker.start() for broker in self.brokers))
            self.clients = Clients(
                self.raw["settings"],
                [broker.front.port for broker in self.brokers],
                self.dice,
                volumes(self.raw["settings"], self._count, len(self.disks), self.dice),
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
            for link in (broker.front, *broker.nodes.values()):
                await link.close()
        if hasattr(self, "clients"):
            self.clients.close()
        for disk in self.disks.values():
            disk.stop()
        self.discovery.close()
        self._folder.cleanup()

    async def replace(self, name: str, down: float) -> None:
        """A node dies, and comes back cold after so many seconds; discovery tells of both at once."""
        disk = self.disks[name]
        self.discovery.tell(name, disk.shard, "draining")
        disk.stop()
        await asyncio.sleep(down)
        await disk.come_back()
        self.discovery.tell(name, disk.shard, "up", since_ms=time.time() * 1000)

    async def herd(self, part: float, away: float) -> list[Process]:
        """Kill this part of the brokers at once; each starts again after so many seconds, all within one."""
        struck = self.brokers[: round(part * len(self.brokers))]
        await asyncio.gather(*(broker.kill() for broker in struck))
        await asyncio.sleep(away)
        await asyncio.gather(*(broker.start() for broker in struck))
        return struck

    def sicken(self, part: float, times: float) -> list[str]:
        """This part of the nodes, at least one, is so many times slower from now on; 1: well again."""
        names = list(self.disks)[-max(round(part * len(self.disks)), 1) :]
        for name in names:
            self.disks[name].slower = times
        return names

    def stall(self, part: float, going: bool) -> list[Process]:
        """Stop this part of the brokers where they stand, or let them go on."""
        struck = self.brokers[: round(part * len(self.brokers))]
        for broker in struck:
            broker.signal(signal.SIGCONT if going else signal.SIGSTOP)
        return struck
