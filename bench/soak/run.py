"""One run of the soak: a tier, its clients, a schedule, and at the end what was acknowledged is read back."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any

import attrs

from bench.soak import traffic
from bench.soak.batch_clients import BatchClients
from bench.soak.ledger import Ledger
from bench.soak.live_clients import LiveClient, RunCounter
from bench.soak.operator_client import Operator
from bench.soak.schedule import draw_schedule
from bench.soak.strikes import Striker
from bench.soak.tier import SoakTier
from examples import small_tier
from examples.tier_processes import Daemon, Sizes

BROKERS = 3
CLIENTS_OF_A_PROXY = 3
BATCH_CLIENTS = 3
START_S = 30.0  # for the tier to serve at first
RECOVERY_S = 15.0  # behind the last strike, until every proxy has to serve
APPLY_S = 2.5  # after the acknowledgement of a configuration, every proxy works by it
READ_BACK_S = 20.0
OUTSIDE_SEEDS_SHARE = 0.5  # of the runs whose last start has seeds outside the group, where there are any
ERROR_EVENTS = {"pull_failed", "controller_step_failed", "batch_maintenance_failed", "batch_exchange_failed",
                "batch_item_failed", "apply_failed", "disk_damaged"}  # fmt: skip


@attrs.frozen(kw_only=True)
class Plan:
    """What a run is made of."""

    seed: int
    duration_s: float
    sizes: Sizes
    final_loss: bool = True  # the run ends with the loss of as many disks as may be, and a kill of all else


@attrs.frozen(kw_only=True)
class Outcome:
    """What a run came to."""

    seed: int
    violations: list[str]
    counts: dict[str, Any]


async def play(plan: Plan, directory: Path) -> Outcome:
    """Play ``plan`` with all files in ``directory``."""
    ledger = Ledger()
    random = Random(f"soak run/{plan.seed}")
    brokers = traffic.make_brokers(BROKERS)
    tier = SoakTier(directory, brokers, plan.sizes, random=Random(random.random()), ledger=ledger)
    async with tier:
        run = _Run(plan, tier, ledger, RunCounter(brokers), random)
        stall_watch = asyncio.create_task(ledger.watch_stalls())
        try:
            await run.play()
        finally:
            stall_watch.cancel()
            await run.close()
    _check_logs(tier.daemons, ledger)
    return Outcome(seed=plan.seed, violations=ledger.violations, counts=ledger.summary())


class _Run:
    """The clients of one run, and its order of events."""

    def __init__(self, plan: Plan, tier: SoakTier, ledger: Ledger, runs: RunCounter, random: Random) -> None:
        self._plan = plan
        self._tier = tier
        self._ledger = ledger
        self._operator = Operator(tier, ledger, Random(random.random()))
        self._batch = BatchClients(tier, ledger, Random(random.random()))
        self._striker = Striker(tier, self._operator, Random(random.random()))
        self._random = random
        self._live = [
            LiveClient(proxy, runs, ledger, Random(random.random()))
            for proxy in tier.all_of("proxy")
            for _ in range(CLIENTS_OF_A_PROXY)
        ]

    async def close(self) -> None:
        """End what is open."""
        await self._operator.close()
        await self._batch.close()

    async def play(self) -> None:
        """Start, strike, calm down, read back."""
        await self._operator.change()
        await asyncio.gather(*(self._is_ready(proxy, START_S) for proxy in self._tier.all_of("proxy")))
        async with asyncio.TaskGroup() as clients:
            for live in self._live:
                clients.create_task(live.run())
            for _ in range(BATCH_CLIENTS):
                clients.create_task(self._batch.run())
            await self._striker.run(draw_schedule(self._plan.seed, self._plan.duration_s))
            await self._striker.wait()
            if self._plan.final_loss:
                await self._lose_as_much_as_allowed()
            await self._recover()
            for live in self._live:
                live.stop()
            self._batch.stop()
        await self._read_back()

    async def _lose_as_much_as_allowed(self) -> None:
        """As many machines lose their disks as may, right after an acknowledgement; all else is killed."""
        await asyncio.sleep(RECOVERY_S / 2)  # what was lost before has caught up
        await self._operator.change()
        tier = self._tier
        wiped = self._random.sample(tier.machines, tier.sizes.machine_failures)
        outside = await tier.machines_outside()
        await tier.kill(tier.daemons)
        tier.draw_seeds(outside if self._random.random() < OUTSIDE_SEEDS_SHARE else ())
        for machine in wiped:
            tier.wipe(tier.on_machine(machine))
        for daemon in tier.daemons:
            await tier.start_again(daemon)
            self._ledger.note_fault(daemon.name)

    async def _recover(self) -> None:
        """Within RECOVERY_S every proxy serves, and then works by a new change within APPLY_S."""
        proxies = self._tier.all_of("proxy")
        began_at = time.monotonic()
        await asyncio.gather(*(self._is_ready(proxy, RECOVERY_S) for proxy in proxies))
        self._ledger.counts["ms to recover"] += int((time.monotonic() - began_at) * 1000)
        self._tier.check_none_ended()
        await self._operator.change()
        acknowledged_at = time.monotonic()
        target = f"{traffic.MARK_PREFIX}{self._operator.acknowledged}/"
        await asyncio.gather(*(self._serves_mark(proxy, target, acknowledged_at) for proxy in proxies))

    async def _is_ready(self, proxy: Daemon, within_s: float) -> None:
        try:
            async with asyncio.timeout(within_s):
                await self._tier.answers_readiness(proxy, 200)
        except (TimeoutError, small_tier.TierError):
            self._ledger.violate(f"{proxy.name} is not ready {within_s} s after all processes run")

    async def _serves_mark(self, proxy: Daemon, target: str, acknowledged_at: float) -> None:
        while time.monotonic() < acknowledged_at + APPLY_S:
            if await self._batch.status_of("POST", target, proxy.frontend) == 200:
                return
            await asyncio.sleep(small_tier.POLL_S)
        self._ledger.violate(f"{proxy.name} does not serve {target} {APPLY_S} s after its acknowledgement")

    async def _read_back(self) -> None:
        deadline = time.monotonic() + READ_BACK_S
        await self._batch.read_back(deadline)
        body = await self._operator.read(time.monotonic() + READ_BACK_S)
        expected = traffic.configuration(self._operator.acknowledged)
        version = json.loads(body)["version"] if body else None
        self._ledger.require(
            holds=body == expected,
            detail=f"configuration read back: {version}, acknowledged {self._operator.acknowledged}",
        )
        self._ledger.counts["jobs read back"] = len(self._batch.jobs)


def _check_logs(daemons: list[Daemon], ledger: Ledger) -> None:
    """No process logged an unforeseen error."""
    for daemon in daemons:
        if not daemon.log_path.exists():
            continue
        for line in daemon.log_path.read_text(errors="replace").splitlines():
            event = _event(line)
            if event is None or event in ERROR_EVENTS:
                ledger.violate(f"{daemon.name} logged {line[:500]}")


def _event(line: str) -> str | None:
    """The event of a log line; None for a line that is not of the log, such as a trace's."""
    try:
        return str(json.loads(line)["event"])
    except (ValueError, KeyError, TypeError):
        return None
