"""The daemons of a small tier as real processes: settings files, start, signals and graceful shutdown.

Every process has its own address in 127.0.0.0/8, so that all use the same ports, as on separate machines.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import attrs
import yaml

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT = 8166
FRONTEND_PORT = 8161
READINESS_PORT = 8167
INTERNAL_PORTS = [7720, 7735]
MACHINE_CLASSES = {"keeper": "core", "store": "storage", "proxy": "frontend"}
SERVED_ROLES = {"keeper": "control_plane", "store": "storage", "proxy": "frontend"}
LAUNCHER = ("-m", "cherrycove.tier")  # arguments of the interpreter before the program's name
GRACE_PERIOD_S = 2.0
SHUTDOWN_MARGIN_S = 5.0  # added to the grace period before a process is killed
RESERVATION_HOST = 254  # last octet of an address that no process of a tier uses
RESERVATION_ATTEMPTS = 16
MAX_SEEDS = 3
LOG_TAIL_BYTES = 4000


class NoFreeNetworkError(Exception):
    """Every network that was tried is reserved by another tier."""


def random_network() -> str:
    """Return the first three octets of a random loopback network."""
    return f"127.{secrets.randbelow(254) + 1}.{secrets.randbelow(256)}"


@attrs.frozen(eq=False)
class NetworkReservation:
    """Keeps a loopback network for one tier: all processes on this machine see the bound socket.

    Two tiers in the same network would answer each other's clients, as all tiers use the same ports.
    """

    network: str  # first three octets of the addresses
    _bound: socket.socket

    def release(self) -> None:
        """Let other tiers use the network."""
        self._bound.close()


def reserve_network() -> NetworkReservation:
    """Reserve a random loopback network; raises ``NoFreeNetworkError`` if none of several is free."""
    for _ in range(RESERVATION_ATTEMPTS):
        network = random_network()
        bound = socket.socket()
        try:
            bound.bind((f"{network}.{RESERVATION_HOST}", CONTROL_PORT))
        except OSError:
            bound.close()
            continue
        return NetworkReservation(network, bound)
    raise NoFreeNetworkError(f"no free network after {RESERVATION_ATTEMPTS} attempts")


@attrs.define(eq=False, kw_only=True)
class Daemon:
    """A process of the tier with its own address."""

    program: str
    number: int  # from 1, unique within its program
    ip: str
    directory: Path
    machine: str = ""  # name of the machine, if several processes share it
    launcher: tuple[str, ...] = LAUNCHER
    environment: dict[str, str] = attrs.field(factory=dict)  # added to the environment of this process
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        return f"{self.program}-{self.number}"

    @property
    def node_name(self) -> str:
        """The node name of the process in the tier."""
        return self.machine or self.name

    @property
    def settings_path(self) -> Path:
        return self.directory / f"{self.name}.yaml"

    @property
    def log_path(self) -> Path:
        return self.directory / f"{self.name}.log"

    @property
    def frontend(self) -> str:
        return f"{self.ip}:{FRONTEND_PORT}"

    @property
    def readiness(self) -> str:
        return f"{self.ip}:{READINESS_PORT}"

    @property
    def control_plane(self) -> str:
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def internal(self) -> str:
        return f"{self.ip}:{INTERNAL_PORTS[0]}"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process without waiting until it is ready, which its log and its endpoints show."""
        environment = {**os.environ, **self.environment, "CHERRYCOVE_CONFIG": str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.launcher, self.program,
                cwd=ROOT, env=environment, stdout=log, stderr=log, process_group=0,
            )  # fmt: skip

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has exited."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the process to exit and return its exit code; kills it after a timeout."""
        if self.process is None:
            return 0
        try:
            async with asyncio.timeout(GRACE_PERIOD_S + SHUTDOWN_MARGIN_S):
                return await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            return await self.process.wait()

    async def terminate(self) -> int:
        """Send SIGTERM, wait until the process has exited and return its exit code."""
        self.send(signal.SIGTERM)
        return await self.ended()

    async def kill(self) -> None:
        """Kill the process at once, as in a crash."""
        self.send(signal.SIGKILL)
        await self.ended()

    def log_tail(self) -> str:
        """Return the end of its log."""
        text = self.log_path.read_bytes() if self.log_path.exists() else b""
        return text[-LOG_TAIL_BYTES:].decode("utf-8", "replace")


@attrs.frozen(kw_only=True)
class Sizes:
    """The number of processes per program, and of machines that may be lost at the same time."""

    keepers: int = 3
    stores: int = 3
    proxies: int = 2
    machine_failures: int = 1


def create_daemons(directory: Path, sizes: Sizes, platform: str, network: str) -> list[Daemon]:
    """Create the daemons of a tier, keepers first, and write their settings files."""
    daemons: list[Daemon] = []
    for program, count in (("keeper", sizes.keepers), ("store", sizes.stores), ("proxy", sizes.proxies)):
        for number in range(1, count + 1):
            ip = f"{network}.{len(daemons) + 1}"
            daemons.append(Daemon(program=program, number=number, ip=ip, directory=directory))
    seeds = [daemon.control_plane for daemon in daemons if daemon.program == "keeper"][:MAX_SEEDS]
    for daemon in daemons:
        settings = make_settings(daemon, seeds, platform, sizes)
        daemon.settings_path.write_text(yaml.safe_dump(settings, sort_keys=False))
    return daemons


def make_settings(daemon: Daemon, seeds: list[str], platform: str, sizes: Sizes) -> dict[str, Any]:
    """Return the content of the settings file of a process, as a platform would write it."""
    zone = f"zone-{daemon.number}"
    return {
        "nodeName": daemon.node_name,
        "role": daemon.program,
        "machineClass": MACHINE_CLASSES[daemon.program],
        "serves": [SERVED_ROLES[daemon.program]],
        "ipAddress": daemon.ip,
        "zone": zone,
        "region": "region-1",
        "zones": {zone: "region-1"},
        "listenAddresses": _listen_addresses(daemon),
        "internalPortRange": INTERNAL_PORTS,
        "seedNodes": seeds,
        "firstStart": True,
        "countsForQuorum": daemon.program != "proxy",
        "dataDirectory": None if daemon.program == "proxy" else _data_directory(daemon),
        "limits": {
            "memoryMb": 300,
            "fileDescriptors": 1024,
            "diskMb": 0 if daemon.program == "proxy" else 64,
        },
        "faultTolerance": {"machineFailures": sizes.machine_failures},
        "bounds": {"gracePeriodS": GRACE_PERIOD_S},
        "cloudApi": {"address": platform, "ratePerS": 20.0, "maxLagMs": 200},
    }


def _listen_addresses(daemon: Daemon) -> dict[str, str]:
    if daemon.program == "proxy":
        return {"frontend": daemon.frontend, "readiness": daemon.readiness}
    return {"controlPlane": daemon.control_plane} if daemon.program == "keeper" else {}


def _data_directory(daemon: Daemon) -> str:
    path = daemon.directory / f"{daemon.name}.data"
    path.mkdir()
    return str(path)
