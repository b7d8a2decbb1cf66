"""A whole tier on loopback: real daemons, toy brokers, and a stand-in of the platform's list."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
import attrs

from examples.tier_processes import ROOT, Daemon, Sizes, draw_network, lay_out
from examples.toy_broker import ToyBroker
from examples.toy_platform import ToyPlatform

CONFIGURATION_PATH = ROOT / "examples" / "tier-configuration.json"
SERVICE = "model"  # of that configuration
LONGEST_WAIT_S = 20.0  # for a fact that a running tier brings about
POLL_S = 0.05  # between two questions whether it has come about
QUESTION_TIMEOUT_S = 1.0


class TierError(Exception):
    """The tier did not do what it was asked for."""


async def until(fact: str, holds: Callable[[], Awaitable[bool]], within_s: float = LONGEST_WAIT_S) -> None:
    """Ask ``holds`` until it says yes; TierError naming ``fact`` if it does not in time."""
    try:
        async with asyncio.timeout(within_s):
            while not await holds():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise TierError(f"not within {within_s:g} s: {fact}") from None


@attrs.frozen
class CommandOutput:
    """What one command of the tier's command line printed."""

    exit_code: int
    out: str
    err: str


@attrs.define(eq=False)
class SmallTier:
    """Starts a tier in ``directory`` and ends it in order; an asynchronous context manager."""

    directory: Path
    brokers: list[ToyBroker]
    sizes: Sizes = attrs.field(factory=Sizes)
    network: str = attrs.field(factory=draw_network)
    daemons: list[Daemon] = attrs.field(init=False, factory=list)
    platform: ToyPlatform = attrs.field(init=False)

    def of(self, program: str) -> list[Daemon]:
        """The daemons of one program that run."""
        return [daemon for daemon in self.daemons if daemon.program == program and daemon.running]

    def daemon(self, name: str) -> Daemon:
        return next(daemon for daemon in self.daemons if daemon.name == name)

    @property
    def keepers(self) -> list[Daemon]:
        return self.of("keeper")

    @property
    def proxies(self) -> list[Daemon]:
        return self.of("proxy")

    async def __aenter__(self) -> SmallTier:
        self.platform = ToyPlatform(service=SERVICE, brokers=self.brokers)
        try:
            for broker in self.brokers:
                await broker.start()
            await self.platform.start()
            self.daemons = self._lay_out()
            await self._start_all()
        except BaseException:
            await self._end_all()
            raise
        return self

    def _lay_out(self) -> list[Daemon]:
        """The daemons to be started, in this order."""
        return lay_out(self.directory, self.sizes, self.platform.address, self.network)

    async def _start_all(self) -> None:
        for daemon in self.daemons:
            await daemon.start()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._end_all()

    async def stop(self) -> dict[str, int]:
        """End all daemons in order, proxies first, keepers last; exit codes by name."""
        codes: dict[str, int] = {}
        for program in ("proxy", "store", "keeper"):
            daemons = self.of(program)
            ends = await asyncio.gather(*(daemon.terminate() for daemon in daemons))
            codes.update({daemon.name: code for daemon, code in zip(daemons, ends, strict=True)})
        return codes

    async def _end_all(self) -> None:
        """What is still running ends at once."""
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
        await asyncio.gather(*(daemon.ended() for daemon in self.daemons))
        for broker in self.brokers:
            await broker.stop()
        await self.platform.stop()

    # The command line

    async def command(self, *arguments: str) -> CommandOutput:
        """Run ``python -m cherrycove.tier`` with ``arguments``."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrycove.tier", *arguments,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await process.communicate()
        return CommandOutput(process.returncode or 0, out.decode().strip(), err.decode().strip())

    async def put_configuration(self, path: Path = CONFIGURATION_PATH) -> str:
        """Have the keepers take the configuration in ``path``; what the command said."""
        keepers = _keeper_options(self.keepers, "control_plane")
        output = await self.command("config", "put", str(path), *keepers)
        if output.exit_code:
            raise TierError(f"config put: {output.err}")
        return output.out

    async def status(self) -> dict[str, Any]:
        """The primary keeper's view of the tier."""
        output = await self.command("status", "--json", *_keeper_options(self.keepers, "internal"))
        if output.exit_code:
            raise TierError(f"status: {output.err or output.out}")
        document: dict[str, Any] = json.loads(output.out)
        return document

    async def primary(self, program: str) -> Daemon:
        """The keeper or store that leads its group, as the keepers tell."""
        found: list[str] = []

        async def known() -> bool:
            processes = (await self.status())["processes"]
            leaders = [each for each in processes if each["program"] == program and each["groupPrimary"]]
            found[:] = [each["node"] for each in leaders]
            return len(found) == 1

        await until(f"one {program} leads", known)
        return self.daemon(found[0])

    # Readiness

    async def ready(self) -> None:
        """Until every proxy calls itself ready, as the platform asks it."""
        await asyncio.gather(*(self.answers_readiness(proxy, 200) for proxy in self.proxies))

    async def answers_readiness(self, proxy: Daemon, status: int) -> None:
        """Until ``proxy`` answers the platform's question with ``status``."""

        async def answers() -> bool:
            if not proxy.running:
                raise TierError(f"{proxy.name} has ended")
            return await _readiness(proxy) == status

        await until(f"{proxy.name} answers {status} to the readiness check", answers)

    def logs(self) -> str:
        """The last log lines of all daemons."""
        return "\n".join(f"--- {daemon.name}\n{daemon.log_tail()}" for daemon in self.daemons)


def _keeper_options(keepers: list[Daemon], address: str) -> list[str]:
    return [part for keeper in keepers for part in ("--keeper", getattr(keeper, address))]


async def _readiness(proxy: Daemon) -> int:
    timeout = aiohttp.ClientTimeout(total=QUESTION_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{proxy.readiness}/api/readiness") as answer,
        ):
            return answer.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0
