"""Plays a drawn deployment: hosts with the real decision module, nodes that answer, err, die and come back.

It owns the world of one day in virtual time. It must never give a scheduler anything but its events, nor
judge what one does: that is the checker's.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from math import inf

from bench.fleet.world import Clock
from bench.rules.checker import Checker
from bench.rules.draw import Deployment
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler
from cherrycove.scheduling.state import SlidingWindowSum

HOP = 0.0005  # s to a node and back
DOWN = (0.02, 0.5)  # s that a dead node or host is away
KINDS = (
    api.Outcome.SERVED,
    api.Outcome.ERROR,
    api.Outcome.FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.RESET,
    None,
)  # None: silence
AT_ONCE = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class Machine:
    """One disk node, as it is; hosts hear of it later."""

    entry: api.Node
    up: bool = True
    silent: bool = False


class Host:
    """One scheduler, its batches, timers and attempts, for one life."""

    def __init__(self, day: Day, number: int, recalled: api.RestartState | None = None) -> None:
        self.day, self.number, self.clock = day, number, day.clock
        self.scheduler = Scheduler(day.settings, day.dice.getrandbits(32))
        self.events: list[api.Event] = []
        self.last, self.waking, self.up, self.subscribed = -inf, False, True, not day.settings.list_on_request
        self.told_at = 0.0  # news comes in its order
        self.open: dict[int, api.RequestArrival] = {}
        self.tries: dict[int, int] = {}  # attempts made, by request
        self.out: dict[tuple[int, int], str] = {}
        if day.of.lent:
            self.push(api.CapacityPool(day.of.lent))
        self.noted: api.RestartState | None = None  # what this life took down at some time
        if recalled is not None:
            self.push(recalled)
        self.listed(api.ListKind.RESTORED)

    def push(self, event: api.Event) -> None:
        if not self.up:
            return
        self.events.append(event)
        if not self.waking:
            self.waking = True
            self.clock.at(self.last + self.day.settings.tick, self.turn)

    def turn(self) -> None:
        if not self.up:
            return
        now = self.last = self.clock.now
        self.waking, events, self.events = False, self.events, []
        if self.day.memory_dice.random() < 0.05:
            self.noted = self.scheduler.export_restart_state()
        for event in events:
            if isinstance(event, api.NodeListUpdate):
                self.day.checker.listed(self.number, now, event)
            elif isinstance(event, api.RequestArrival):
                self.day.checker.arrived(self.number, now, event)
            elif isinstance(event, api.ClientDeparture):
                self.day.checker.left(self.number, now, event.request)
        for action in self.scheduler.handle(now, events):
            node = self.day.checker.did(self.number, now, action)
            self.act(action, node)

    def act(self, action: api.Action, node: api.Node | None) -> None:
        match action:
            case api.Send(request) if node is not None:
                self.send(request, node)
            case api.Refuse(request, after):
                self.answered(request, True, after)
            case api.Fail(request):
                self.answered(request, False, 0.0)
            case api.SetTimer(token, delay):
                self.clock.at(self.clock.now + delay, self.push, api.TimerExpiry(token))
            case api.WatchNodes():
                self.watch()
            case api.BorrowCapacity(name, units):
                self.day.lend(self, name, units)

    def watch(self) -> None:
        self.clock.at(self.clock.now + self.day.dice.uniform(0.001, 0.2), self.watched)

    def watched(self) -> None:
        self.subscribed = self.day.dice.random() < 0.7
        if self.subscribed:
            self.listed(api.ListKind.FULL)
            self.clock.at(self.clock.now + self.day.dice.expovariate(0.5), self.unsubscribed)
        else:
            self.push(api.NodeListFailure())

    def unsubscribed(self) -> None:
        if self.subscribed:
            self.subscribed = False
            self.push(api.NodeListFailure())

    def listed(self, kind: api.ListKind) -> None:
        self.push(api.NodeListUpdate(self.day.version, kind, tuple(self.day.list.values())))

    def hear(self, news: api.NodeListUpdate) -> None:
        """News that discovery has now; here it comes later, and never ahead of what came before."""
        if self.subscribed:
            late = self.day.dice.uniform(0.0, self.day.of.late_list)
            self.told_at = max(self.told_at, self.clock.now + late)
            self.clock.at(self.told_at, self.push, news)

    def take(self, event: api.RequestArrival) -> None:
        self.open[event.request] = event
        self.push(event)
        if self.day.dice.random() < 0.02:
            self.clock.at(self.clock.now + event.budget * self.day.dice.random(), self.leave, event.request)

    def leave(self, request: int) -> None:
        """The client goes before its answer."""
        if self.up and self.open.pop(request, None) is not None:
            self.push(api.ClientDeparture(request))

    def answered(self, request: int, refused: bool, after: float) -> None:
        event = self.open.pop(request, None)
        if event is not None and refused:
            self.day.again(event, self.number, after)

    def send(self, request: int, node: api.Node) -> None:
        dice, now, number = self.day.dice, self.clock.now, self.tries.get(request, 0)
        self.tries[request] = number + 1
        self.out[request, number] = node.id
        machine, sent = self.day.machines.get(node.id), now
        event = self.open.get(request)
        until = self.day.ends.get((self.number, request), now)
        self.clock.at(until, self.end, request, number, api.Outcome.TIMEOUT, sent, 0.0)
        if machine is None or not machine.up:
            return self.clock.at(now + HOP, self.end, request, number, api.Outcome.CONNECT_FAILED, sent, 0.0)
        if machine.silent:
            return
        outcome = dice.choices(KINDS, self.day.of.answers)[0]
        if event is not None and event.shard not in (None, node.shard):
            outcome = api.Outcome.NOT_EXECUTED
        if outcome is not None:
            took = HOP if outcome in AT_ONCE else HOP + dice.expovariate(1 / self.day.of.work)
            units = event.units if event is not None else 0.0
            self.clock.at(now + took, self.end, request, number, outcome, sent, units)

    def end(self, request: int, number: int, outcome: api.Outcome, sent: float, units: float) -> None:
        name = self.out.pop((request, number), None)
        if name is None or not self.up:
            return
        day, s = self.day, self.day.settings
        closed = request not in self.open or outcome is api.Outcome.SERVED
        event = api.AttemptEnd(
            request,
            number,
            name,
            outcome,
            closed,
            self.clock.now - sent,
            day.dice.uniform(0.0, 2.0) if s.meter_period and day.dice.random() < 0.5 else None,
            units * day.dice.random() if s.tells_elsewhere else 0.0,
            # Some answers lack the report that the settings promise.
            {each: day.dice.uniform(0.0, 1.0) for each in s.load_names} if request % 5 else {},
        )
        day.checker.ended(self.number, self.clock.now, event)
        if outcome is api.Outcome.SERVED:
            self.open.pop(request, None)
        self.push(event)

    def broke(self, name: str) -> None:
        """A node has died: whatever is out at it is reset."""
        for (request, number), at in list(self.out.items()):
            if at == name:
                self.end(request, number, api.Outcome.RESET, self.clock.now, 0.0)

    def die(self) -> None:
        self.up = False
        self.day.checker.died(self.number)
        self.clock.at(self.clock.now + self.day.dice.uniform(*DOWN), self.day.start, self.number, self.left())

    def left(self) -> api.RestartState | None:
        """What the next life finds: all that this one knew, something older, a lie, or nothing."""
        dice = self.day.memory_dice
        whole, older = dice.random() < 0.4, dice.random() < 0.7
        if whole:
            return replace(self.scheduler.export_restart_state(), whole=True)
        if not older or self.noted is None:
            return None
        if dice.random() < 0.5:
            return self.noted
        return replace(
            self.noted,
            nodes=tuple(
                replace(node, threshold=1000.0, sent=0.0, mean_latency_s=1e-6, draw_window=-1)
                for node in self.noted.nodes
            ),
            volumes=tuple(replace(each, credits=1000.0) for each in self.noted.volumes),
        )


class Day:
    """One deployment, played to its end."""

    def __init__(self, of: Deployment) -> None:
        self.of, self.settings, self.dice, self.clock = of, of.settings, random.Random(of.seed), Clock()
        self.memory_dice = random.Random(of.seed + 1)  # of its own: the days stay as they were
        self.clock.now = self.dice.choice((0.0, 1e5))
        self.until = self.clock.now + of.seconds
        self.checker = Checker(of.settings, of.lent)
        self.version, self.serial, self.births = 1, 0, 0
        self.ends: dict[tuple[int, int], float] = {}
        self.loans: dict[str, SlidingWindowSum] = {}
        self.machines: dict[str, Machine] = {}
        self.list: dict[str, api.Node] = {}
        for shard in range(of.nodes):
            for _ in range(2 if of.twins and shard % 2 else 1):
                self._born(shard, None)
        self.homes = [[self.dice.randrange(of.nodes) for _ in range(3)] for _ in range(of.volumes)]
        self.sets = [
            self.dice.sample(
                range(of.settings.schedulers), self.dice.randint(1, min(3, of.settings.schedulers))
            )
            for _ in range(of.volumes)
        ]
        self.hosts = [Host(self, number) for number in range(of.settings.schedulers)]

    def play(self) -> list[tuple[str, str]]:
        for volume in range(self.of.volumes):
            self.clock.at(self.clock.now + self.dice.expovariate(1 / self.of.gap), self.ask, volume)
        for rate, what in ((self.of.crashes, self.crash), (self.of.deaths, self.kill)):
            if rate:
                self.clock.at(self.clock.now + self.dice.expovariate(rate), what)
        longest = max(cls.deadline for cls in self.settings.classes)
        end = self.until + 3 * longest + 1.0  # the last repeat begins a whole time behind the last request
        self.clock.run(end)
        self.checker.over(end)
        return self.checker.broken

    def _born(self, shard: int, started: float | None) -> api.Node:
        self.births += 1
        node = api.Node(f"s{shard}-{self.births}", shard, shard % self.of.zones, 1.0, started)
        self.machines[node.id] = Machine(node)
        self.list[node.id] = node
        return node

    def ask(self, volume: int) -> None:
        if self.clock.now > self.until:
            return
        dice, s = self.dice, self.settings
        cls = dice.randrange(len(s.classes))
        shard = None if dice.random() < 0.25 else dice.choice(self.homes[volume])
        for number in range(dice.choice((1, 1, 1, 4))):
            units = float(dice.randint(1, int(s.max_units)))
            key = f"{volume}-{dice.randrange(4)}" if dice.random() < 0.8 else None
            budget = s.classes[cls].deadline * dice.choice((1.0, 1.0, 1.0, dice.random()))
            event = api.RequestArrival(
                0, cls, volume % len(s.plans), f"v{volume}", units, shard, len(self.sets[volume]), budget, key
            )
            self.clock.at(self.clock.now + 0.002 * number, self.bring, event, dice.choice(self.sets[volume]))
        self.clock.at(self.clock.now + dice.expovariate(1 / self.of.gap), self.ask, volume)

    def bring(self, event: api.RequestArrival, host: int) -> None:
        if self.hosts[host].up:
            self.serial += 1
            event = replace(event, request=self.serial)
            # The module's turn is a tick later at most, and its client's time runs from then on.
            self.ends[host, event.request] = self.clock.now + event.budget
            self.hosts[host].take(event)

    def again(self, event: api.RequestArrival, host: int, after: float) -> None:
        """A refused client's repeat: a new request with what is left of its time."""
        left = event.budget - after - 0.05
        if left > 0.02 and self.dice.random() < self.of.retries:
            self.clock.at(
                self.clock.now + max(after, 0.01), self.bring, replace(event, budget=left, repeat=True), host
            )

    def lend(self, host: Host, name: str, units: float) -> None:
        """What peers lend of a node's room within the rule's window, by datagrams of which some are lost."""
        s, now = self.settings, self.clock.now
        book = self.loans.setdefault(
            name, SlidingWindowSum(2 * s.fall_window)
        )  # a loan, and what is sent on it
        if self.dice.random() < 0.1 or book.total(now) + units > self.of.lent * s.cold_units:
            return
        book.add(now, units)
        if self.dice.random() >= 0.1:
            self.clock.at(
                now + self.dice.uniform(0.001, 0.02),
                host.push,
                api.CapacityLoan(name, units, s.fall_window / 2),
            )

    def news(self, *nodes: api.Node) -> None:
        self.version += 1
        for node in nodes:
            if node.state is api.NodeState.GONE:
                self.list.pop(node.id, None)
            else:
                self.list[node.id] = node
        told = api.NodeListUpdate(self.version, api.ListKind.CHANGES, nodes)
        for host in self.hosts:
            if host.up:
                host.hear(told)

    def crash(self) -> None:
        """A node dies, falls silent, or is drained; later it, or another in its place, comes back cold."""
        dice, now = self.dice, self.clock.now
        if now < self.until:
            self.clock.at(now + dice.expovariate(self.of.crashes), self.crash)
        up = [machine for machine in self.machines.values() if machine.up and not machine.silent]
        if not up:
            return
        victim, how = dice.choice(up), dice.choice(("dies", "silent", "drains"))
        if how == "drains":
            self.news(replace(victim.entry, state=api.NodeState.DRAINING))
        elif how == "silent":
            victim.silent = True
        else:
            self.down(victim)
        self.clock.at(now + dice.uniform(*DOWN), self.back, victim, dice.random() < 0.5)

    def down(self, victim: Machine) -> None:
        victim.up = False
        for host in self.hosts:
            host.broke(victim.entry.id)

    def back(self, victim: Machine, same: bool) -> None:
        if victim.entry.id not in self.machines:
            return  # another took its place meanwhile
        now, gone = self.clock.now, replace(victim.entry, state=api.NodeState.GONE)
        if victim.up:
            self.down(victim)
        if same:
            victim.entry = replace(victim.entry, started=max(now, 1e-6))
            victim.up, victim.silent = True, False
            self.news(victim.entry)
        else:
            del self.machines[victim.entry.id]
            self.list.pop(victim.entry.id, None)
            self.news(gone, self._born(victim.entry.shard, max(now, 1e-6)))

    def kill(self) -> None:
        if self.clock.now < self.until:
            self.clock.at(self.clock.now + self.dice.expovariate(self.of.deaths), self.kill)
        up = [host for host in self.hosts if host.up]
        if up:
            self.dice.choice(up).die()

    def start(self, number: int, recalled: api.RestartState | None) -> None:
        self.hosts[number] = Host(self, number, recalled)
