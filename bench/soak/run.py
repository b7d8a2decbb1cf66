"""One run of the soak test: runs episodes against a tier with clients, then reads back acknowledged state."""

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
from bench.soak.episode_runner import EpisodeRunner
from bench.soak.ledger import Ledger
from bench.soak.live_clients import LiveClient, RunCounter
from bench.soak.operator_client import Operator
from bench.soak.schedule import generate_schedule
from bench.soak.tier import SoakTier
from examples import small_tier
from examples.tier_processes import Daemon, Sizes

BROKER_COUNTS = (1, 3)  # with one, further attempts of a request meet its first one's connection
CLIENTS_PER_PROXY = 3
BATCH_CLIENTS = 3
STARTUP_TIMEOUT_S = 30.0  # time limit for all proxies to become ready at the start
RECOVERY_TIMEOUT_S = 15.0  # time after the last action until every proxy has to be ready
APPLY_TIMEOUT_S = 2.5  # time limit for every proxy to apply an acknowledged configuration
READ_BACK_TIMEOUT_S = 20.0
NON_MEMBER_SEEDS_SHARE = 0.5  # share of the runs whose last start uses seeds outside the group, if any


@attrs.frozen(kw_only=True)
class Plan:
    """The parameters of a run."""

    seed: int
    duration_s: float
    sizes: Sizes
    wipe_at_end: bool = True  # at the end, kill all processes and wipe as many machines as tolerated


@attrs.frozen(kw_only=True)
class Outcome:
    """The violations and the counts of a run."""

    seed: int
    violations: list[str]
    counts: dict[str, Any]


async def run_plan(plan: Plan, directory: Path) -> Outcome:
    """Carry out ``plan`` with all files in ``directory``."""
    ledger = Ledger()
    random = Random(f"soak run/{plan.seed}")
    broker_random = Random(f"soak brokers/{plan.seed}")
    brokers = traffic.make_brokers(broker_random.choice(BROKER_COUNTS), broker_random)
    tier = SoakTier(directory, list(brokers), plan.sizes, random=Random(random.random()), ledger=ledger)
    async with tier:
        run = _Run(plan, tier, ledger, RunCounter(list(brokers)), random)
        stall_watch = asyncio.create_task(ledger.watch_stalls())
        try:
            await run.run()
        finally:
            stall_watch.cancel()
            await run.close()
    _check_logs(tier.daemons, ledger)
    ledger.counts["brokers"] = len(brokers)
    ledger.counts["attempts failed"] = sum(broker.faults for broker in brokers)
    ledger.counts["responses repeated"] = sum(broker.copies_sent for broker in brokers)
    return Outcome(seed=plan.seed, violations=ledger.violations, counts=ledger.summary())


class _Run:
    """Owns the clients of one run and carries out its phases."""

    def __init__(self, plan: Plan, tier: SoakTier, ledger: Ledger, runs: RunCounter, random: Random) -> None:
        self._plan = plan
        self._tier = tier
        self._ledger = ledger
        self._operator = Operator(tier, ledger, Random(random.random()))
        self._batch = BatchClients(tier, ledger, Random(random.random()))
        self._episodes = EpisodeRunner(tier, self._operator, Random(random.random()))
        self._random = random
        self._live = [
            LiveClient(proxy, runs, ledger, Random(random.random()))
            for proxy in tier.all_of("proxy")
            for _ in range(CLIENTS_PER_PROXY)
        ]

    async def close(self) -> None:
        """Close the connections of the clients."""
        await self._operator.close()
        await self._batch.close()

    async def run(self) -> None:
        """Start the tier, run the episodes, wait for recovery and read back what was acknowledged."""
        await self._operator.change()
        await asyncio.gather(
            *(self._check_ready(proxy, STARTUP_TIMEOUT_S) for proxy in self._tier.all_of("proxy"))
        )
        async with asyncio.TaskGroup() as clients:
            for live in self._live:
                clients.create_task(live.run())
            for _ in range(BATCH_CLIENTS):
                clients.create_task(self._batch.run())
            await self._episodes.run(generate_schedule(self._plan.seed, self._plan.duration_s))
            await self._episodes.wait()
            if self._plan.wipe_at_end:
                await self._wipe_max_machines()
            await self._recover()
            for live in self._live:
                live.stop()
            self._batch.stop()
        await self._read_back()

    async def _wipe_max_machines(self) -> None:
        """Kill all processes right after an acknowledgement and wipe as many machines as tolerated."""
        await asyncio.sleep(RECOVERY_TIMEOUT_S / 2)  # machines lost before have caught up
        await self._operator.change()
        tier = self._tier
        wiped = self._random.sample(tier.machines, tier.sizes.machine_failures)
        non_members = await tier.machines_outside_group()
        await tier.kill(tier.daemons)
        tier.choose_seeds(non_members if self._random.random() < NON_MEMBER_SEEDS_SHARE else ())
        for machine in wiped:
            tier.wipe(tier.on_machine(machine))
        for daemon in tier.daemons:
            await tier.start_again(daemon)
            self._ledger.record_fault(daemon.name)

    async def _recover(self) -> None:
        """Check that all proxies become ready, and then apply a new change, within their time limits."""
        proxies = self._tier.all_of("proxy")
        began_at = time.monotonic()
        await asyncio.gather(*(self._check_ready(proxy, RECOVERY_TIMEOUT_S) for proxy in proxies))
        self._ledger.counts["ms to recover"] += int((time.monotonic() - began_at) * 1000)
        self._tier.check_all_running()
        await self._operator.change()
        acknowledged_at = time.monotonic()
        target = f"{traffic.MARKER_PREFIX}{self._operator.acknowledged}/"
        await asyncio.gather(
            *(self._serves_marker_route(proxy, target, acknowledged_at) for proxy in proxies)
        )

    async def _check_ready(self, proxy: Daemon, within_s: float) -> None:
        try:
            async with asyncio.timeout(within_s):
                await self._tier.wait_for_readiness(proxy, 200)
        except (TimeoutError, small_tier.TierError):
            self._ledger.record_violation(
                f"{proxy.name} is not ready {within_s} s after all processes were started"
            )

    async def _serves_marker_route(self, proxy: Daemon, target: str, acknowledged_at: float) -> None:
        while time.monotonic() < acknowledged_at + APPLY_TIMEOUT_S:
            if await self._batch.status_of("POST", target, proxy.frontend) == 200:
                return
            await asyncio.sleep(small_tier.POLL_S)
        self._ledger.record_violation(
            f"{proxy.name} does not serve {target} {APPLY_TIMEOUT_S} s after its acknowledgement"
        )

    async def _read_back(self) -> None:
        deadline = time.monotonic() + READ_BACK_TIMEOUT_S
        await self._batch.read_back(deadline)
        body = await self._operator.read(time.monotonic() + READ_BACK_TIMEOUT_S)
        expected = traffic.configuration(self._operator.acknowledged)
        version = json.loads(body)["version"] if body else None
        self._ledger.require(
            holds=body == expected,
            detail=f"configuration read back: {version}, acknowledged {self._operator.acknowledged}",
        )
        self._ledger.counts["jobs read back"] = len(self._batch.jobs)


def _check_logs(daemons: list[Daemon], ledger: Ledger) -> None:
    """Record a violation for each log line that reports an error, and for each that is no event."""
    for daemon in daemons:
        if not daemon.log_path.exists():
            continue
        for line in daemon.log_path.read_text(errors="replace").splitlines():
            if _level(line) in (None, "error", "critical"):
                ledger.record_violation(f"{daemon.name} logged {line[:500]}")


def _level(line: str) -> str | None:
    """Return the level of a log line; None for a line of another form, such as a traceback."""
    try:
        return str(json.loads(line)["level"])
    except (ValueError, KeyError, TypeError):
        return None
