"""Counts the reasons of refusals and failures in a recorded simulation, by replaying its protocol trace.

    lbsim run DAY.json --tap day.tap ...          # the bench's own recording
    python -m bench.causes day.tap [--by class,plan,code] [--from 10 --to 20]

The decision module depends on its events and seed alone, so the replay repeats the recorded run, and gives
access to the reasons, which the protocol does not carry. Worth is class worth x plan factor x units / usual
units; how much of it would have counted in full is not known here. ``limit`` says whether the volume's limit
over all hosts would have admitted the request at that moment. The trace must have been recorded with the same
version of the module: replies that differ from the recorded ones are counted and printed.
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
    """Yield each batch (the lines up to END) with the reply to it (the lines up to READY)."""
    lines_read: list[str] = []
    batch: list[str] = []
    with path.open(encoding="utf-8", errors="replace") as lines:
        for raw in lines:
            line = raw.rstrip("\n")
            if line.startswith((">> ", "<< ")) or not line:
                continue
            if line == "END":
                batch, lines_read = lines_read, []
            elif line == "READY":
                yield batch, lines_read
                lines_read = []
            else:
                lines_read.append(line)


@dataclass(slots=True)
class Count:
    """Counts requests and sums their worth."""

    requests: int = 0
    worth: float = 0.0

    def add(self, worth: float) -> None:
        self.requests += 1
        self.worth += worth


@dataclass(slots=True)
class LossTally:
    """Counts the requests received between ``first`` and ``last``, and the losses among them by ``keys``.

    A loss is a refusal or a failure. Times are seconds from the start of the trace.
    """

    keys: tuple[str, ...]
    first: float = 0.0
    last: float = float("inf")
    received: Count = field(default_factory=Count)
    losses: dict[tuple[str, ...], Count] = field(default_factory=lambda: defaultdict(Count))
    differing_replies: int = 0
    # By volume: its tokens over all hosts, and the time at which they were counted.
    buckets: dict[str, tuple[float, float]] = field(default_factory=dict)

    def take_tokens(self, now: float, plan: api.Plan, volume: str, units: float = 0.0) -> float:
        """Take ``units`` from a volume's token bucket by the protocol's rule; return the tokens left."""
        before, at = self.buckets.get(volume, (plan.burst, now))
        tokens = min(plan.burst, before + (now - at) * plan.limit) - units
        self.buckets[volume] = tokens, now
        return tokens

    def worth(self, settings: api.Settings, event: api.RequestArrival) -> float:
        cls, plan = settings.classes[event.cls], settings.plans[event.plan]
        return cls.worth * plan.price * event.units / settings.usual_units

    def record_loss(
        self,
        settings: api.Settings,
        event: api.RequestArrival,
        reason: api.Reason | None,
        outcome: str,
        now: float,
    ) -> None:
        plan = settings.plans[event.plan]
        within = not plan.limit or self.take_tokens(now, plan, event.volume) >= event.units
        labels = {
            "class": settings.classes[event.cls].name,
            "plan": settings.plans[event.plan].name,
            "code": reason.code.name.lower() if reason else outcome,
            "place": (reason.place if reason else "") or "-",
            "node": "idle" if reason is not None and not (reason.out or reason.queued) else "busy",
            "units": "heavy" if event.units > settings.usual_units else "usual",
            "try": "repeat" if event.repeat else "first",
            "shard": "new" if event.shard is None else "own",
            "limit": "within" if within else "beyond",
        }
        self.losses[(outcome, *(labels[key] for key in self.keys))].add(self.worth(settings, event))


def replay(path: Path, tally: LossTally) -> None:
    """Replay the trace and count every refusal and failure in ``tally``."""
    host, now, start = SimulatorHost(sys.stderr), 0.0, None
    unattempted: dict[tuple[int, int], api.RequestArrival] = {}  # requests without an attempt
    attempted: dict[tuple[int, int], api.RequestArrival] = {}
    handle = Scheduler.handle

    def recording_handle(scheduler: Scheduler, at: float, events: list[api.Event]) -> list[api.Action]:
        scheduler_id = id(scheduler)
        in_range = tally.first <= at - (start or at) < tally.last
        for event in events:
            if isinstance(event, api.RequestArrival):
                unattempted[scheduler_id, event.request] = event
                if in_range:
                    tally.received.add(tally.worth(scheduler.settings, event))
        actions = handle(scheduler, at, events)
        for action in sorted(actions, key=lambda each: not isinstance(each, api.Send)):  # handle sends first
            if isinstance(action, api.Refuse | api.Fail):
                key = scheduler_id, action.request
                request = unattempted.pop(key, None) or attempted.pop(key, None)
                if request is not None and in_range:
                    outcome = "refused" if isinstance(action, api.Refuse) else "failed"
                    tally.record_loss(scheduler.settings, request, action.why, outcome, at)
            elif isinstance(action, api.Send) and (
                request := unattempted.pop((scheduler_id, action.request), None)
            ):
                plan = scheduler.settings.plans[request.plan]
                if plan.limit:
                    tally.take_tokens(at, plan, request.volume, request.units)
                attempted[scheduler_id, action.request] = request
        return actions

    Scheduler.handle = recording_handle  # type: ignore[method-assign, assignment]
    try:
        for batch, reply in batches(path):
            if batch and batch[0].startswith("SYNC"):
                now = wire.parse_time(batch[0])
                start = now if start is None else start
            tally.differing_replies += sorted(host.handle_batch(batch)) != sorted(reply)
    finally:
        Scheduler.handle = handle  # type: ignore[method-assign]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("tap", type=Path)
    parser.add_argument("--by", default="class,plan,code", help=f"comma-separated, of {','.join(KEYS)}")
    parser.add_argument("--from", dest="first", type=float, default=0.0, help="s from the start of the trace")
    parser.add_argument("--to", dest="last", type=float, default=float("inf"))
    parser.add_argument("--most", type=int, default=24)
    options = parser.parse_args()
    keys = tuple(options.by.split(","))
    if not set(keys) <= set(KEYS):
        parser.error(f"--by takes {','.join(KEYS)}")
    tally = LossTally(keys, options.first, options.last)
    replay(options.tap, tally)
    if not tally.received.requests:
        print(f"{options.tap}: no requests between {options.first} and {options.last} s", file=sys.stderr)
        return 2
    print(
        f"{tally.received.requests} requests received, worth {tally.received.worth:.0f}; "
        f"{tally.differing_replies} replies differ from the recorded ones"
    )
    for row, count in sorted(tally.losses.items(), key=lambda item: -item[1].worth)[: options.most]:
        print(f"{count.worth / tally.received.worth:7.2%} {count.requests:6d}  {' '.join(row)}")
    return tally.differing_replies > 0


if __name__ == "__main__":
    sys.exit(main())
