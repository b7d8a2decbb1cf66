"""Runs the episodes of a schedule."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from bench.soak.operator_client import Operator
from bench.soak.schedule import Episode, EpisodeKind
from bench.soak.tier import SoakTier
from examples.tier_processes import Daemon

MAX_GROUP_DOWNTIME_S = 0.8  # all controllers, stores or processes are back within 1 s


class EpisodeRunner:
    """Runs episodes concurrently; ``wait`` returns once all episodes and their actions have ended."""

    def __init__(self, tier: SoakTier, operator: Operator, random: Random) -> None:
        self._tier = tier
        self._operator = operator
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, episodes: list[Episode]) -> None:
        """Start each episode at its scheduled time."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for episode in episodes:
            await asyncio.sleep(max(0.0, began_at + episode.at_s - loop.time()))
            self._start_task(self._run_episode(episode))

    async def wait(self) -> None:
        """Wait for all started tasks; raises the first error of a task."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)

    def _discard_task(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            self._tasks.discard(task)

    async def _run_episode(self, episode: Episode) -> None:
        self._tier.ledger.counts[f"episodes: {episode.kind.value}"] += 1
        for _ in range(episode.actions):
            self._start_task(self._perform(episode))
            await asyncio.sleep(episode.interval_s)

    async def _perform(self, episode: Episode) -> None:
        match episode.kind:
            case EpisodeKind.CHANGES:
                await self._operator.change()
            case EpisodeKind.ROLL_PROXIES:
                await self._tier.restart_gracefully(self._random.choice(self._tier.all_of("proxy")))
            case EpisodeKind.RELOAD:
                for daemon in self._sample(self._tier.daemons, episode.share):
                    self._tier.reload(daemon)
            case EpisodeKind.KILL_PROXIES:
                targets = self._sample(self._tier.all_of("proxy"), episode.share)
                await self._tier.restart_after_kill(targets, min(episode.downtime_s, MAX_GROUP_DOWNTIME_S))
            case _:
                await self._perform_on_machine(episode)

    async def _perform_on_machine(self, episode: Episode) -> None:
        tier = self._tier
        machine = self._random.choice(tier.machines)
        group_downtime_s = min(episode.downtime_s, MAX_GROUP_DOWNTIME_S)
        match episode.kind:
            case EpisodeKind.ROLL_MACHINES:
                await tier.restart_machine_gracefully(machine)
            case EpisodeKind.KILL_MACHINE:
                await tier.lose_machine(machine, episode.downtime_s)
            case EpisodeKind.WIPE_MACHINE:
                await tier.lose_machine(machine, episode.downtime_s, wipe=True)
            case EpisodeKind.FREEZE_MACHINE:
                await tier.freeze_machine(machine, episode.downtime_s)
            case EpisodeKind.KILL_CONTROLLERS:
                await tier.restart_after_kill(tier.all_of("keeper"), group_downtime_s)
            case EpisodeKind.KILL_STORES:
                await tier.restart_after_kill(tier.all_of("store"), group_downtime_s)
            case EpisodeKind.KILL_ALL:
                await tier.restart_after_kill(tier.daemons, group_downtime_s)

    def _sample(self, daemons: list[Daemon], share: float) -> list[Daemon]:
        count = max(1, round(len(daemons) * share))
        return self._random.sample(daemons, count)
