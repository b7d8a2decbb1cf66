"""Counts why a recorded day lost what it lost: replays a tap of the wire through the decision module.

    lbsim run DAY.json --tap day.tap ...          # the bench's own recording
    python -m bench.causes day.tap [--by class,plan,code] [--from 10 --to 20]

The module acts on its events and seed alone, so the replay does what the recorded run did, and here its
reasons can be read, which the wire does not carry. Worth is class worth x plan factor x units / usual units,
before it is known what of it was due. ``limit`` says whether the volume's limit over all hosts would have let
the request through at that moment. The tap must have been recorded with the same module: a reply that differs
is told.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from cherrycove.scheduling import interface as api
from cherrycove.scheduling import simulator_codec as wire
from cherrycove.scheduling.scheduler import Scheduler
from cherrycove.scheduling.simulator_host import SimulatorHost

KEYS = ("class", "plan", "code", "place", "node", "units", "try", "shard", "limit")


def batches(path: Path) -> Iterator[tuple[list[str], list[str]]]:
    """Each batch up to END, and the reply to it up to READY."""
    into: list[str] = []
    batch: list[str] = []
    with path.open(encoding="utf-8", errors="replace") as lines:
        for raw in lines:
            line = raw.rstrip("\n")
            if line.startswith((">> ", "<< ")) or not line:
                continue
            if line == "END":
                batch, into = into, []
            elif line == "READY":
                yield batch, into
                into = []
            else:
                into.append(line)


@dataclass(slots=True)
class Count:
    """Requests of a kind and their worth."""

    requests: int = 0
    worth: float = 0.0

    def add(self, worth: float) -> None:
        self.requests += 1
        self.worth += worth


@dataclass(slots=True)
class Account:
    """One day's requests by how they ended."""

    keys: tuple[str, ...]
    first: float = 0.0
    last: float = float("inf")
    taken: Count = field(default_factory=Count)
    lost: dict[tuple[str, ...], Count] = field(default_factory=lambda: defaultdict(Count))
    differs: int = 0
    stores: dict[str, tuple[float, float]] = field(default_factory=dict)  # level and time, over all hosts

    def level(self, now: float, plan: api.Plan, volume: str, units: float = 0.0) -> float:
        """What a volume's limit still lets through by the wire's rule; ``units`` are taken from it."""
        before, at = self.stores.get(volume, (plan.burst, now))
        level = min(plan.burst, before + (now - at) * plan.limit) - units
        self.stores[volume] = level, now
        return level

    def worth(self, settings: api.Settings, event: api.RequestArrival) -> float:
        cls, plan = settings.classes[event.cls], settings.plans[event.plan]
        return cls.worth * plan.price * event.units / settings.usual_units

    def answer(
        self, settings: api.Settings, event: api.RequestArrival, why: api.Reason | None, how: str, now: float
    ) -> None:
        plan = settings.plans[event.plan]
        within = not plan.limit or self.level(now, plan, event.volume) >= event.units
        told = {
            "class": settings.classes[event.cls].name,
            "plan": settings.plans[event.plan].name,
            "code": why.code.name.lower() if why else how,
            "place": (why.place if why else "") or "-",
            "node": "idle" if why is not None and not (why.out or why.queued) else "busy",
            "units": "heavy" if event.units > settings.usual_units else "usual",
            "try": "repeat" if event.repeat else "first",
            "shard": "new" if event.shard is None else "own",
            "limit": "within" if within else "beyond",
        }
        self.lost[(how, *(told[key] for key in self.keys))].add(self.worth(settings, event))


def replay(path: Path, account: Account) -> None:
    """Play the tap again and account for every refusal and failure."""
    host, now, start = SimulatorHost(sys.stderr), 0.0, None
    open_: dict[tuple[int, int], api.RequestArrival] = {}  # no attempt yet
    later: dict[tuple[int, int], api.RequestArrival] = {}
    handle = Scheduler.handle

    def watched(scheduler: Scheduler, at: float, events: list[api.Event]) -> list[api.Action]:
        who = id(scheduler)
        inside = account.first <= at - (start or at) < account.last
        for event in events:
            if isinstance(event, api.RequestArrival):
                open_[who, event.request] = event
                if inside:
                    account.taken.add(account.worth(scheduler.settings, event))
        actions = handle(scheduler, at, events)
        for action in sorted(actions, key=lambda each: not isinstance(each, api.Send)):  # sends come first
            if isinstance(action, api.Refuse | api.Fail):
                key = who, action.request
                asked = open_.pop(key, None) or later.pop(key, None)
                if asked is not None and inside:
                    how = "refused" if isinstance(action, api.Refuse) else "failed"
                    account.answer(scheduler.settings, asked, action.why, how, at)
            elif isinstance(action, api.Send) and (asked := open_.pop((who, action.request), None)):
                plan = scheduler.settings.plans[asked.plan]
                if plan.limit:
                    account.level(at, plan, asked.volume, asked.units)
                later[who, action.request] = asked
        return actions

    Scheduler.handle = watched  # type: ignore[method-assign, assignment]
    try:
        for batch, reply in batches(path):
            if batch and batch[0].startswith("SYNC"):
                now = wire.parse_time(batch[0])
                start = now if start is None else start
            account.differs += sorted(host.handle_batch(batch)) != sorted(reply)
    finally:
        Scheduler.handle = handle  # type: ignore[method-assign]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("tap", type=Path)
    parser.add_argument("--by", default="class,plan,code", help=f"of {','.join(KEYS)}")
    parser.add_argument("--from", dest="first", type=float, default=0.0, help="s of the day")
    parser.add_argument("--to", dest="last", type=float, default=float("inf"))
    parser.add_argument("--most", type=int, default=24)
    asked = parser.parse_args()
    keys = tuple(asked.by.split(","))
    if not set(keys) <= set(KEYS):
        parser.error(f"--by takes {','.join(KEYS)}")
    account = Account(keys, asked.first, asked.last)
    replay(asked.tap, account)
    if not account.taken.requests:
        print(f"{asked.tap}: no requests between {asked.first} and {asked.last} s", file=sys.stderr)
        return 2
    print(
        f"{account.taken.requests} requests taken, worth {account.taken.worth:.0f}; "
        f"{account.differs} replies differ from the recorded ones"
    )
    for row, count in sorted(account.lost.items(), key=lambda item: -item[1].worth)[: asked.most]:
        print(f"{count.worth / account.taken.worth:7.2%} {count.requests:6d}  {' '.join(row)}")
    return account.differs > 0


if __name__ == "__main__":
    sys.exit(main())
