"""What strikes in a run, and when: a function of the seed alone."""

from __future__ import annotations

from enum import Enum
from random import Random

import attrs


class Kind(Enum):
    """Kinds of episodes. Each is a series of single strikes; episodes overlap."""

    ROLL_PROXIES = "roll proxies"  # SIGTERM one after the other, each started again once it has ended
    ROLL_MACHINES = "roll machines"  # the same with all processes of a machine with disks
    RELOAD = "reload"  # SIGHUP to many processes, with other seeds in their settings
    KILL_PROXIES = "kill proxies"  # SIGKILL, started again at once
    KILL_MACHINE = "kill machine"  # SIGKILL of controller and store, started again later
    FREEZE_MACHINE = "freeze machine"  # SIGSTOP, SIGCONT later
    WIPE_MACHINE = "wipe machine"  # killed, started again with empty disks
    KILL_CONTROLLERS = "kill controllers"  # all at once, started again at once
    KILL_STORES = "kill stores"
    KILL_ALL = "kill all"  # every process
    CHANGES = "changes"  # of the configuration, one right after the other


WEIGHTS = {
    Kind.ROLL_PROXIES: 4,
    Kind.ROLL_MACHINES: 2,
    Kind.RELOAD: 3,
    Kind.KILL_PROXIES: 2,
    Kind.KILL_MACHINE: 4,
    Kind.FREEZE_MACHINE: 2,
    Kind.WIPE_MACHINE: 3,
    Kind.KILL_CONTROLLERS: 1,
    Kind.KILL_STORES: 1,
    Kind.KILL_ALL: 1,
    Kind.CHANGES: 6,
}
EPISODES_PER_S = 0.7
LONGEST_S = 6.0  # of one episode
MOST_STRIKES = 40
FASTEST_CHANGES_S = 0.02  # pause between two changes of a series
SLOWEST_CHANGES_S = 0.3
FIRST_AT_S = 1.0


@attrs.frozen(kw_only=True)
class Episode:
    """One series. ``strikes`` of it come ``gap_s`` apart; what is struck stays away for ``away_s``."""

    kind: Kind
    at_s: float
    strikes: int
    gap_s: float
    away_s: float
    share: float  # of the processes that fit

    @property
    def end_s(self) -> float:
        """When the last strike comes."""
        return self.at_s + self.strikes * self.gap_s


def draw_schedule(seed: int, duration_s: float) -> list[Episode]:
    """Return the episodes of a run, by their start; each ends within ``duration_s``."""
    random = Random(f"soak/{seed}")
    episodes = [_draw_changes(random, FIRST_AT_S)]
    at_s = FIRST_AT_S
    while (at_s := at_s + random.expovariate(EPISODES_PER_S)) < duration_s - LONGEST_S:
        kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        episodes.append(_draw_changes(random, at_s) if kind is Kind.CHANGES else _draw(random, kind, at_s))
    return episodes


def _draw(random: Random, kind: Kind, at_s: float) -> Episode:
    strikes = random.randint(1, 8)
    return Episode(
        kind=kind,
        at_s=at_s,
        strikes=strikes,
        gap_s=random.uniform(0.05, LONGEST_S / strikes),
        away_s=random.choice((0.0, 0.2, 1.0, 3.0, 6.0)),
        share=random.choice((0.2, 0.5, 1.0)),
    )


def _draw_changes(random: Random, at_s: float) -> Episode:
    gap_s = random.uniform(FASTEST_CHANGES_S, SLOWEST_CHANGES_S)
    strikes = min(MOST_STRIKES, int(LONGEST_S / gap_s))
    return Episode(kind=Kind.CHANGES, at_s=at_s, strikes=strikes, gap_s=gap_s, away_s=0.0, share=1.0)
