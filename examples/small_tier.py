"""A complete tier on loopback: real daemons, toy brokers, and a fake of the platform's instance listing."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp
import attrs

from examples.tier_processes import ROOT, Daemon, NetworkReservation, Sizes, create_daemons, reserve_network
from examples.toy_broker import ToyBroker
from examples.toy_platform import ToyPlatform

CONFIGURATION_PATH = ROOT / "examples" / "tier-configuration.json"
SERVICE = "model"  # name of the service in that configuration
WAIT_TIMEOUT_S = 20.0  # time limit for a condition of a running tier to become true
POLL_S = 0.05  # between two checks of a condition
READINESS_TIMEOUT_S = 1.0


class TierError(Exception):
    """A request to the tier failed, or a condition did not become true in time."""


async def until(fact: str, holds: Callable[[], Awaitable[bool]], within_s: float = WAIT_TIMEOUT_S) -> None:
    """Poll ``holds`` until it returns True; raises ``TierError`` with ``fact`` if it does not in time."""
    try:
        async with asyncio.timeout(within_s):
            while not await holds():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise TierError(f"condition not met within {within_s:g} s: {fact}") from None


@attrs.frozen
class CommandOutput:
    """The exit code and output of a command of the tier's command line."""

    exit_code: int
    out: str
    err: str


@attrs.define(eq=False)
class SmallTier:
    """An asynchronous context manager that starts a tier in ``directory`` and kills it on exit.

    ``stop`` shuts the tier down gracefully before that.
    """

    directory: Path
    brokers: list[ToyBroker]
    sizes: Sizes = attrs.field(factory=Sizes)
    _reservation: NetworkReservation | None = attrs.field(init=False, default=None)
    daemons: list[Daemon] = attrs.field(init=False, factory=list)
    platform: ToyPlatform = attrs.field(init=False)

    def running_daemons(self, program: str) -> list[Daemon]:
        """Return the running daemons of a program."""
        return [daemon for daemon in self.daemons if daemon.program == program and daemon.running]

    def daemon(self, name: str) -> Daemon:
        return next(daemon for daemon in self.daemons if daemon.name == name)

    @property
    def keepers(self) -> list[Daemon]:
        return self.running_daemons("keeper")

    @property
    def proxies(self) -> list[Daemon]:
        return self.running_daemons("proxy")

    @property
    def network(self) -> str:
        """The first three octets of the addresses of its processes, reserved while the tier is up."""
        if self._reservation is None:
            raise TierError("the tier is not started")
        return self._reservation.network

    async def __aenter__(self) -> Self:
        self.platform = ToyPlatform(service=SERVICE, brokers=self.brokers)
        self._reservation = reserve_network()
        try:
            for broker in self.brokers:
                await broker.start()
            await self.platform.start()
            self.daemons = self._create_daemons()
            await self._start_all()
        except BaseException:
            await self._kill_all()
            raise
        return self

    def _create_daemons(self) -> list[Daemon]:
        """Create the daemons in the order in which they are started."""
        return create_daemons(self.directory, self.sizes, self.platform.address, self.network)

    async def _start_all(self) -> None:
        for daemon in self.daemons:
            await daemon.start()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._kill_all()

    async def stop(self) -> dict[str, int]:
        """Shut down all daemons gracefully, proxies first, keepers last; returns exit codes by name."""
        codes: dict[str, int] = {}
        for program in ("proxy", "store", "keeper"):
            daemons = self.running_daemons(program)
            exit_codes = await asyncio.gather(*(daemon.terminate() for daemon in daemons))
            codes.update({daemon.name: code for daemon, code in zip(daemons, exit_codes, strict=True)})
        return codes

    async def _kill_all(self) -> None:
        """Kill all running daemons, and stop the brokers and the platform."""
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
        await asyncio.gather(*(daemon.ended() for daemon in self.daemons))
        for broker in self.brokers:
            await broker.stop()
        await self.platform.stop()
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    # The command line

    async def command(self, *arguments: str) -> CommandOutput:
        """Run ``python -m cherrycove.tier`` with ``arguments`` and wait for its exit."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrycove.tier", *arguments,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await process.communicate()
        return CommandOutput(process.returncode or 0, out.decode().strip(), err.decode().strip())

    async def put_configuration(self, path: Path = CONFIGURATION_PATH) -> str:
        """Send the configuration in ``path`` to the keepers and return the output of the command."""
        keepers = _keeper_options(self.keepers, "control_plane")
        output = await self.command("config", "put", str(path), *keepers)
        if output.exit_code:
            raise TierError(f"config put: {output.err}")
        return output.out

    async def status(self) -> dict[str, Any]:
        """Return the primary keeper's view of the tier."""
        output = await self.command("status", "--json", *_keeper_options(self.keepers, "internal"))
        if output.exit_code:
            raise TierError(f"status: {output.err or output.out}")
        document: dict[str, Any] = json.loads(output.out)
        return document

    async def primary(self, program: str) -> Daemon:
        """Return the keeper or store that is the primary of its group, according to the keepers."""
        found: list[str] = []

        async def has_one_primary() -> bool:
            processes = (await self.status())["processes"]
            primaries = [each for each in processes if each["program"] == program and each["groupPrimary"]]
            found[:] = [each["node"] for each in primaries]
            return len(found) == 1

        await until(f"one {program} is the primary", has_one_primary)
        return self.daemon(found[0])

    # Readiness

    async def ready(self) -> None:
        """Wait until every proxy passes the platform's readiness check."""
        await asyncio.gather(*(self.wait_for_readiness(proxy, 200) for proxy in self.proxies))

    async def wait_for_readiness(self, proxy: Daemon, status: int) -> None:
        """Wait until ``proxy`` answers the platform's readiness check with ``status``."""

        async def answers() -> bool:
            if not proxy.running:
                raise TierError(f"{proxy.name} has exited")
            return await _readiness(proxy) == status

        await until(f"{proxy.name} answers {status} to the readiness check", answers)

    def logs(self) -> str:
        """Return the last log lines of all daemons."""
        return "\n".join(f"--- {daemon.name}\n{daemon.log_tail()}" for daemon in self.daemons)


def _keeper_options(keepers: list[Daemon], address: str) -> list[str]:
    return [part for keeper in keepers for part in ("--keeper", getattr(keeper, address))]


async def _readiness(proxy: Daemon) -> int:
    timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{proxy.readiness}/api/readiness") as response,
        ):
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0
