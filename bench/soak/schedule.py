"""Generates the schedule of faults and changes of a run from the seed and the duration alone."""

from __future__ import annotations

from enum import Enum
from random import Random

import attrs


class EpisodeKind(Enum):
    """The kinds of episodes. An episode is a series of actions of one kind; episodes overlap."""

    ROLL_PROXIES = "roll proxies"  # SIGTERM one after the other, each restarted once it has exited
    ROLL_MACHINES = "roll machines"  # the same for all processes of a machine with disks
    RELOAD = "reload"  # SIGHUP to many processes, with other seeds in their settings
    KILL_PROXIES = "kill proxies"  # SIGKILL, restarted at once
    KILL_MACHINE = "kill machine"  # SIGKILL of controller and store, restarted later
    FREEZE_MACHINE = "freeze machine"  # SIGSTOP, SIGCONT later
    WIPE_MACHINE = "wipe machine"  # killed, restarted with empty disks
    KILL_CONTROLLERS = "kill controllers"  # all at once, restarted at once
    KILL_STORES = "kill stores"
    KILL_ALL = "kill all"  # all processes at once
    CHANGES = "changes"  # configuration changes in quick succession


WEIGHTS = {
    EpisodeKind.ROLL_PROXIES: 4,
    EpisodeKind.ROLL_MACHINES: 2,
    EpisodeKind.RELOAD: 3,
    EpisodeKind.KILL_PROXIES: 2,
    EpisodeKind.KILL_MACHINE: 4,
    EpisodeKind.FREEZE_MACHINE: 2,
    EpisodeKind.WIPE_MACHINE: 3,
    EpisodeKind.KILL_CONTROLLERS: 1,
    EpisodeKind.KILL_STORES: 1,
    EpisodeKind.KILL_ALL: 1,
    EpisodeKind.CHANGES: 6,
}
EPISODES_PER_S = 0.7
MAX_EPISODE_S = 6.0  # duration of one episode
MAX_ACTIONS = 40
MIN_CHANGE_INTERVAL_S = 0.02  # pause between two changes of an episode
MAX_CHANGE_INTERVAL_S = 0.3
FIRST_EPISODE_AT_S = 1.0


@attrs.frozen(kw_only=True)
class Episode:
    """A series of ``actions`` actions, ``interval_s`` apart; killed processes are down for ``downtime_s``."""

    kind: EpisodeKind
    at_s: float
    actions: int
    interval_s: float
    downtime_s: float
    share: float  # share of the processes that the kind applies to

    @property
    def end_s(self) -> float:
        """The end of the interval after the last action."""
        return self.at_s + self.actions * self.interval_s


def generate_schedule(seed: int, duration_s: float) -> list[Episode]:
    """Return the episodes of a run in the order of their start; each ends within ``duration_s``."""
    random = Random(f"soak/{seed}")
    episodes = [_random_changes(random, FIRST_EPISODE_AT_S)]
    at_s = FIRST_EPISODE_AT_S
    while (at_s := at_s + random.expovariate(EPISODES_PER_S)) < duration_s - MAX_EPISODE_S:
        kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        episodes.append(
            _random_changes(random, at_s)
            if kind is EpisodeKind.CHANGES
            else _random_episode(random, kind, at_s)
        )
    return episodes


def _random_episode(random: Random, kind: EpisodeKind, at_s: float) -> Episode:
    actions = random.randint(1, 8)
    return Episode(
        kind=kind,
        at_s=at_s,
        actions=actions,
        interval_s=random.uniform(0.05, MAX_EPISODE_S / actions),
        downtime_s=random.choice((0.0, 0.2, 1.0, 3.0, 6.0)),
        share=random.choice((0.2, 0.5, 1.0)),
    )


def _random_changes(random: Random, at_s: float) -> Episode:
    interval_s = random.uniform(MIN_CHANGE_INTERVAL_S, MAX_CHANGE_INTERVAL_S)
    actions = min(MAX_ACTIONS, int(MAX_EPISODE_S / interval_s))
    return Episode(
        kind=EpisodeKind.CHANGES, at_s=at_s, actions=actions, interval_s=interval_s, downtime_s=0.0, share=1.0
    )
