"""Made-up settings and a driver for tests of the scheduler."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cherrycove.scheduling.interface import (
    Action,
    AttemptEnd,
    Effect,
    Event,
    Fail,
    ListKind,
    Node,
    NodeListUpdate,
    NodeState,
    Outcome,
    Plan,
    Refuse,
    RequestArrival,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerExpiry,
    WatchNodes,
)
from cherrycove.scheduling.scheduler import Scheduler

READ = RequestClass("read", aim=0.6, deadline=3.0, effect=Effect.SAFE)
WRITE = RequestClass("write", aim=0.8, deadline=3.0, effect=Effect.UNSAFE, writes=True)
NEW = RequestClass("new", aim=0.8, deadline=3.0, effect=Effect.UNSAFE, ordered=True, writes=True)
GOLD = Plan("gold", usual=20.0, reserve=18.0)
CAPPED = Plan("capped", usual=5.0, reserve=3.0, limit=10.0, burst=20.0, slack=2.0)
SETTINGS = Settings(
    schedulers=2,
    classes=(READ, WRITE, NEW),
    plans=(GOLD, CAPPED),
    max_attempts=3,
    tick=0.002,
    answer_grace=0.008,
    cold_units=20.0,
    fall_window=2.0,
    start_capacity=0.2,
    warm_after=10.0,
    max_units=6.0,
    usual_units=2.0,
)


class Rig:
    """Drives one scheduler: keeps its clock, fires its timers and records its sends and answers."""

    def __init__(self, nodes: int = 1, now: float = 100.0, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.scheduler = Scheduler(self.settings, seed=1)
        self.now = now
        self.timers: list[tuple[float, int]] = []
        self.said: list[Action] = []
        self.in_flight: set[int] = set()  # requests with an attempt in flight
        self.sends: list[Send] = []
        self.send_times: list[float] = []
        self.answers: dict[int, Action] = {}
        self.attempts: dict[int, int] = {}
        self.watches: list[float] = []
        self.serial = 0
        self.give(NodeListUpdate(1, ListKind.RESTORED, tuple(Node(f"n{i}", i) for i in range(nodes))))

    def give(self, *events: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, list(events))
        self.said += actions
        for action in actions:
            match action:
                case Send(request):
                    self.in_flight.add(request)
                    self.sends.append(action)
                    self.send_times.append(self.now)
                    self.attempts[request] = self.attempts.get(request, -1) + 1
                case Refuse(request) | Fail(request):
                    assert request not in self.answers, "answered twice"
                    self.answers[request] = action
                case SetTimer(token, delay):
                    self.timers.append((self.now + delay, token))
                case WatchNodes():
                    self.watches.append(self.now)
        return actions

    def wait(self, seconds: float) -> None:
        """Advance the clock and fire the scheduler's timers on the way."""
        until = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= until]:
            when, token = min(due)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            self.give(TimerExpiry(token))
        self.now = until

    def arrive(
        self,
        cls: int = 0,
        plan: int = 0,
        volume: str = "v",
        units: float = 2.0,
        shard: int | None = 0,
        hosts: int = 2,
        budget: float = 3.0,
        key: str | None = None,
    ) -> int:
        self.serial += 1
        self.give(RequestArrival(self.serial, cls, plan, volume, units, shard, hosts, budget, key))
        return self.serial

    def end(
        self,
        request: int,
        outcome: Outcome = Outcome.SERVED,
        latency: float = 0.05,
        attempt: int | None = None,
    ) -> list[Action]:
        node = next(s.node for s in reversed(self.sends) if s.request == request)
        number = self.attempts[request] if attempt is None else attempt
        closed = outcome is Outcome.SERVED
        self.in_flight.discard(request)
        return self.give(AttemptEnd(request, number, node, outcome, closed, latency))

    def sent(self) -> list[int]:
        return [send.request for send in self.sends]

    def listed(self, *nodes: Node, kind: ListKind = ListKind.CHANGES) -> None:
        self.give(NodeListUpdate(2, kind, nodes))


__all__ = ["CAPPED", "GOLD", "NEW", "READ", "SETTINGS", "WRITE", "NodeState", "Rig"]
