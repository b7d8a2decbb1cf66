"""The tier under the soak test: machines with a controller and a store each, proxies, and faults for them."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import attrs

from bench.soak.ledger import Ledger
from examples.small_tier import SmallTier, TierError, until
from examples.tier_processes import MAX_SEEDS, Daemon, make_settings

CATCH_UP_S = 4.8  # a machine counts as lost until this long after its restart
FIRST_MACHINE = 100  # offset of the last octet of addresses of machines with disks
EARLY_EXIT_CODES = (-signal.SIGTERM, -signal.SIGHUP)
SEED_PERIOD_S = 5.0  # processes that start within this period get the same seeds
GRACE_PERIOD_S = 8.0
SHUTDOWN_TIMEOUT_S = GRACE_PERIOD_S + 2.0  # time in which a process has to exit after SIGTERM


@attrs.define(eq=False)
class SoakTier(SmallTier):
    """A tier in which ``sizes.keepers`` machines run a controller and a store each."""

    random: Random = attrs.field(factory=Random)
    ledger: Ledger = attrs.field(factory=Ledger)
    _lost_until: dict[str, float] = attrs.field(factory=dict)  # by machine; infinity while it is down
    _log_bytes: dict[str, int] = attrs.field(factory=dict)  # by process: log size at its last start
    _settings: dict[str, dict[str, Any]] = attrs.field(factory=dict)  # by process: its initial settings
    _seeds: list[str] = attrs.field(factory=list)
    _seeds_until: float = 0.0  # monotonic s
    _reserved: set[str] = attrs.field(factory=set)  # names of processes that an action uses; others skip them
    _stopping: set[str] = attrs.field(factory=set)  # the subset that got SIGTERM and has not exited yet

    def _create_daemons(self) -> list[Daemon]:
        daemons = [
            self._daemon(program, number)
            for program, count in (
                ("keeper", self.sizes.keepers),
                ("store", self.sizes.keepers),
                ("proxy", self.sizes.proxies),
            )
            for number in range(1, count + 1)
        ]
        seeds = [daemon.control_plane for daemon in daemons if daemon.program == "keeper"][:MAX_SEEDS]
        for daemon in daemons:
            settings = make_settings(daemon, seeds, self.platform.address, self.sizes)
            settings["bounds"]["gracePeriodS"] = GRACE_PERIOD_S
            self._settings[daemon.name] = settings
            daemon.settings_path.write_text(json.dumps(settings))
        return daemons

    def _daemon(self, program: str, number: int) -> Daemon:
        is_proxy = program == "proxy"
        ip = f"{self.network}.{number if is_proxy else FIRST_MACHINE + number}"
        machine = "" if is_proxy else f"machine-{number}"
        return Daemon(program=program, number=number, ip=ip, directory=self.directory, machine=machine)

    # Machines and processes

    @property
    def machines(self) -> list[str]:
        """The names of the machines with disks."""
        return sorted({daemon.machine for daemon in self.daemons if daemon.machine})

    def on_machine(self, machine: str) -> list[Daemon]:
        """Return the processes of a machine with disks."""
        return [daemon for daemon in self.daemons if daemon.machine == machine]

    def all_of(self, program: str) -> list[Daemon]:
        """Return the processes of one program, running or not."""
        return [daemon for daemon in self.daemons if daemon.program == program]

    # Limit on the machines that are lost at the same time

    def may_take_down(self, machine: str) -> bool:
        """Return whether ``machine`` may be taken down now, in addition to those that count as lost."""
        now = time.monotonic()
        lost = {name for name, until in self._lost_until.items() if until > now}
        return len(lost | {machine}) <= self.sizes.machine_failures

    def _mark_lost(self, machine: str) -> None:
        self._lost_until[machine] = float("inf")

    def _mark_returned(self, machine: str) -> None:
        self._lost_until[machine] = time.monotonic() + CATCH_UP_S

    # Seeds

    def choose_seeds(self, machines: Sequence[str] = ()) -> None:
        """Choose new seeds at random, from the controllers of ``machines`` or, if empty, from all."""
        controllers = [
            each.control_plane for each in self.all_of("keeper") if not machines or each.machine in machines
        ]
        self._seeds = self.random.sample(controllers, min(MAX_SEEDS, len(controllers)))
        self._seeds_until = time.monotonic() + SEED_PERIOD_S

    def write_settings(self, daemon: Daemon) -> None:
        """Write the settings of ``daemon`` with the present seeds, for its next start or SIGHUP."""
        if time.monotonic() >= self._seeds_until:
            self.choose_seeds()
        changed = {**self._settings[daemon.name], "seedNodes": self._seeds, "firstStart": False}
        written = daemon.settings_path.with_suffix(".next")
        written.write_text(json.dumps(changed))  # JSON is valid YAML and much faster to write
        written.rename(daemon.settings_path)  # atomic, so that a starting process reads a complete file

    async def machines_outside_group(self) -> list[str]:
        """Return the machines whose controllers are not members of the group, once its primary answers."""
        members: set[str] = set()

        async def primary_answers() -> bool:
            try:
                status = await self.status()
            except TierError:
                return False
            members.update(member["address"].partition(":")[0] for member in status["keepers"])
            return True

        await until("the primary controller answers", primary_answers)
        return [each.machine for each in self.all_of("keeper") if each.ip not in members]

    # Actions

    async def start_again(self, daemon: Daemon) -> None:
        """Start a process that has exited, with new seeds."""
        self.write_settings(daemon)
        self._log_bytes[daemon.name] = daemon.log_path.stat().st_size
        await daemon.start()

    async def kill(self, daemons: Iterable[Daemon]) -> None:
        """Send SIGKILL to all running processes of ``daemons`` and wait until they have exited."""
        targets = [daemon for daemon in daemons if daemon.running]
        for daemon in targets:
            self.ledger.record_fault(daemon.name)
            daemon.send(signal.SIGKILL)
        await asyncio.gather(*(daemon.ended() for daemon in targets))

    async def restart_after_kill(self, daemons: Sequence[Daemon], downtime_s: float) -> None:
        """Kill processes and start them again after ``downtime_s``.

        A process that is shutting down after SIGTERM is only killed; whoever sent SIGTERM starts it again.
        """
        await self.kill(daemon for daemon in daemons if daemon.name in self._stopping)
        available = [daemon for daemon in daemons if daemon.name not in self._reserved]
        self._reserved |= {daemon.name for daemon in available}
        try:
            await self.kill(available)
            await asyncio.sleep(downtime_s)
            for daemon in available:
                await self.start_again(daemon)
                self.ledger.record_fault(daemon.name)
        finally:
            self._reserved -= {daemon.name for daemon in available}

    async def restart_gracefully(self, daemon: Daemon) -> None:
        """Send SIGTERM and start again; records a violation unless the process exits in time with code 0."""
        if daemon.name in self._reserved or not daemon.running or daemon.process is None:
            return
        self._reserved.add(daemon.name)
        self._stopping.add(daemon.name)
        try:
            process = daemon.process
            daemon.send(signal.SIGTERM)
            self.ledger.counts["stopped in order"] += 1
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                    code = await process.wait()
            except TimeoutError:
                self.ledger.record_violation(
                    f"{daemon.name} has not exited {SHUTDOWN_TIMEOUT_S} s after SIGTERM"
                )
                self.ledger.record_fault(daemon.name)
                code = await daemon.ended()
            # Until the daemon handles signals, the first one ends the interpreter; nothing has started yet.
            is_early = code in EARLY_EXIT_CODES and not self._has_logged(daemon)
            if code != 0 and not is_early and code != -signal.SIGKILL:
                self.ledger.record_violation(f"{daemon.name} exited with code {code} after SIGTERM")
            self._stopping.discard(daemon.name)
            await self.start_again(daemon)
        finally:
            self._stopping.discard(daemon.name)
            self._reserved.discard(daemon.name)

    async def restart_machine_gracefully(self, machine: str) -> None:
        """Send SIGTERM to all processes of a machine and start each again once it has exited."""
        daemons = self.on_machine(machine)
        if not self.may_take_down(machine) or any(daemon.name in self._reserved for daemon in daemons):
            return
        self._mark_lost(machine)
        try:
            await asyncio.gather(*(self.restart_gracefully(daemon) for daemon in daemons))
        finally:
            self._mark_returned(machine)

    @asynccontextmanager
    async def _machine_lost(self, machine: str) -> AsyncIterator[list[Daemon]]:
        """Count ``machine`` as lost within the block; yields its processes, or none if not allowed."""
        daemons = self.on_machine(machine)
        if not self.may_take_down(machine) or any(daemon.name in self._reserved for daemon in daemons):
            yield []
            return
        self._mark_lost(machine)
        self._reserved |= {daemon.name for daemon in daemons}
        try:
            yield daemons
        finally:
            self._reserved -= {daemon.name for daemon in daemons}
            self._mark_returned(machine)

    async def lose_machine(self, machine: str, downtime_s: float, *, wipe: bool = False) -> None:
        """Kill a machine and restart it after ``downtime_s``; with ``wipe``, with empty disks."""
        async with self._machine_lost(machine) as daemons:
            if not daemons:
                return
            await self.kill(daemons)
            if wipe:
                self.wipe(daemons)
            await asyncio.sleep(downtime_s)
            for daemon in daemons:
                await self.start_again(daemon)

    def wipe(self, daemons: Iterable[Daemon]) -> None:
        """Empty the disks of processes that are not running."""
        for daemon in daemons:
            disk = daemon.directory / f"{daemon.name}.data"
            shutil.rmtree(disk)
            disk.mkdir()

    async def freeze_machine(self, machine: str, for_s: float) -> None:
        """Send SIGSTOP to the processes of a machine, and SIGCONT after ``for_s`` seconds."""
        async with self._machine_lost(machine) as daemons:
            if not daemons:
                return
            try:
                for daemon in daemons:
                    daemon.send(signal.SIGSTOP)
                await asyncio.sleep(for_s)
            finally:
                for daemon in daemons:
                    daemon.send(signal.SIGCONT)

    def _has_logged(self, daemon: Daemon) -> bool:
        """Return whether the newest process of ``daemon`` has logged anything and so handles signals."""
        return daemon.log_path.stat().st_size > self._log_bytes.get(daemon.name, 0)

    def reload(self, daemon: Daemon) -> None:
        """Write settings with new seeds and send SIGHUP, if the process is up and not being restarted."""
        if daemon.name in self._reserved or not daemon.running or not self._has_logged(daemon):
            return
        self.write_settings(daemon)
        daemon.send(signal.SIGHUP)
        self.ledger.counts["reloaded"] += 1

    def check_all_running(self) -> None:
        """Record a violation for each process that is down and is not being restarted."""
        for daemon in self.daemons:
            if daemon.name not in self._reserved and not daemon.running:
                code = daemon.process.returncode if daemon.process is not None else None
                self.ledger.record_violation(f"{daemon.name} has exited unexpectedly with code {code}")
