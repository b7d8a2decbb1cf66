"""Carries the episodes of a schedule out."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from bench.soak.operator_client import Operator
from bench.soak.schedule import Episode, Kind
from bench.soak.tier import SoakTier
from examples.tier_processes import Daemon

LONGEST_GROUP_AWAY_S = 0.8  # all controllers, all stores or all processes are back within a second


class Striker:
    """Runs episodes beside each other; ``wait`` returns once all of them and what they began is over."""

    def __init__(self, tier: SoakTier, operator: Operator, random: Random) -> None:
        self._tier = tier
        self._operator = operator
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, episodes: list[Episode]) -> None:
        """Begin each episode at its time."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for episode in episodes:
            await asyncio.sleep(max(0.0, began_at + episode.at_s - loop.time()))
            self._begin(self._play(episode))

    async def wait(self) -> None:
        """Wait for what was begun; raises the first error of it."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            self._tasks.discard(task)

    async def _play(self, episode: Episode) -> None:
        self._tier.ledger.counts[f"episodes: {episode.kind.value}"] += 1
        for _ in range(episode.strikes):
            self._begin(self._strike(episode))
            await asyncio.sleep(episode.gap_s)

    async def _strike(self, episode: Episode) -> None:
        match episode.kind:
            case Kind.CHANGES:
                await self._operator.change()
            case Kind.ROLL_PROXIES:
                await self._tier.restart_in_order(self._random.choice(self._tier.all_of("proxy")))
            case Kind.RELOAD:
                for daemon in self._some(self._tier.daemons, episode.share):
                    self._tier.reload(daemon)
            case Kind.KILL_PROXIES:
                struck = self._some(self._tier.all_of("proxy"), episode.share)
                await self._tier.restart_after_kill(struck, min(episode.away_s, LONGEST_GROUP_AWAY_S))
            case _:
                await self._strike_machines(episode)

    async def _strike_machines(self, episode: Episode) -> None:
        tier = self._tier
        machine = self._random.choice(tier.machines)
        group_away_s = min(episode.away_s, LONGEST_GROUP_AWAY_S)
        match episode.kind:
            case Kind.ROLL_MACHINES:
                await tier.restart_machine_in_order(machine)
            case Kind.KILL_MACHINE:
                await tier.lose_machine(machine, episode.away_s)
            case Kind.WIPE_MACHINE:
                await tier.lose_machine(machine, episode.away_s, wipe=True)
            case Kind.FREEZE_MACHINE:
                await tier.freeze_machine(machine, episode.away_s)
            case Kind.KILL_CONTROLLERS:
                await tier.restart_after_kill(tier.all_of("keeper"), group_away_s)
            case Kind.KILL_STORES:
                await tier.restart_after_kill(tier.all_of("store"), group_away_s)
            case Kind.KILL_ALL:
                await tier.restart_after_kill(tier.daemons, group_away_s)

    def _some(self, daemons: list[Daemon], share: float) -> list[Daemon]:
        count = max(1, round(len(daemons) * share))
        return self._random.sample(daemons, count)
