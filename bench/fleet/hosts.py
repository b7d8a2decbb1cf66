"""The hosts of a modelled deployment: the real decision module, or a dispatcher that sees everything.

It owns the wire between a client's ask, a scheduler and the nodes, and what clients do when they are turned
away. It must never give a scheduler anything but its events.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

from bench.fleet.world import CORES, HANDSHAKE, HOP, MESSAGE, MESSAGE_LOST, Ask, Node, Volume, World
from cherrycove.broker.peer_capacity import lending
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler

OUTCOMES = {
    "served": api.Outcome.SERVED,
    "error": api.Outcome.ERROR,
    "full": api.Outcome.FULL,
    "refused": api.Outcome.CONNECT_FAILED,
}
IDLE = 12.0  # s that a host keeps a connection
DOWN = 4.0  # s that a killed host is away


class Host:
    """One scheduler, its batches, timers, attempts."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.clock = fleet, number, fleet.clock
        self.lives = 0
        self.up = False
        self.start()

    def start(self) -> None:
        self.lives += 1
        self.up = True
        self.scheduler = Scheduler(self.fleet.settings, self.fleet.dice.getrandbits(32))
        self.events: list[api.Event] = []
        self.waking = False
        self.last = -inf
        self.serial = 0
        self.open: dict[int, tuple[Ask, float]] = {}
        self.tries: dict[tuple[int, int], str] = {}  # attempts out, by node
        self.connections: dict[str, float] = {}
        self.lender = lending.Lender(self.fleet.settings, self.number, self.clock.now)
        self.borrower = lending.Borrower(self.fleet.hosts)
        self.listed = {node.id: node for node in self.fleet.listed_nodes}
        if self.fleet.pooled:
            self.know()
            self.push(api.CapacityPool(lending.LENT_FRACTION))
        listed = tuple(map(self.fleet.entry, self.fleet.listed_nodes))
        self.push(api.NodeListUpdate(1, api.ListKind.RESTORED, listed))

    def kill(self) -> None:
        self.up = False
        for ask, _ in self.open.values():
            self.fleet.ended(ask, self.number, "lost", 0.0)
        self.clock.at(self.clock.now + DOWN, self.start)

    def push(self, event: api.Event) -> None:
        self.events.append(event)
        if not self.waking:
            self.waking = True
            self.clock.at(max(self.last + self.fleet.settings.tick, self.clock.now), self.tick, self.lives)

    def tick(self, life: int) -> None:
        if life != self.lives or not self.up:
            return
        self.waking, self.last = False, self.clock.now
        events, self.events = self.events, []
        for action in self.scheduler.handle(self.clock.now, events):
            match action:
                case api.Send(request, node, _, why):
                    self.send(request, node, why)
                case api.Refuse(request, after, why):
                    self.end(request, "refused", why, after)
                case api.Fail(request, why):
                    self.end(request, "failed", why)
                case api.BorrowCapacity(node, units):
                    self.ask_room(node, units)
                case api.SetTimer(token, delay):
                    self.clock.at(self.clock.now + delay, self.timer, self.lives, token)

    def know(self) -> None:
        self.lender.set_nodes(
            (lending.node_key(name, node.born * 1000), node.born)
            for name, node in self.listed.items()
            if node.born
        )

    def ask_room(self, name: str, units: float) -> None:
        key = lending.node_key(name, self.listed[name].born * 1000)
        asked = self.borrower.begin_request(key, self.clock.now)
        if asked is not None:
            whom, serial = asked
            to = self.fleet.fronts[whom]
            self.fleet.message(self, to, Host.asked, self, self.lives, key, serial, units)

    def asked(self, who: Host, life: int, key: bytes, serial: int, units: float) -> None:
        lent, wait = self.lender.lend(key, units, self.clock.now)
        self.fleet.message(self, who, Host.lent, self.number, life, serial, lent, wait)

    def lent(self, whom: int, life: int, serial: int, units: float, wait: float) -> None:
        found = (
            self.borrower.accept_answer(whom, serial, wait, self.clock.now) if life == self.lives else None
        )
        if found is not None and units:
            for name, node in self.listed.items():
                if lending.node_key(name, node.born * 1000) == found[0]:
                    self.push(api.CapacityLoan(name, units, found[1]))

    def timer(self, life: int, token: int) -> None:
        if life == self.lives and self.up:
            self.push(api.TimerExpiry(token))

    def take(self, ask: Ask) -> None:
        if not self.up:
            return self.fleet.ended(ask, self.number, "no host", 0.0)
        self.serial += 1
        cls = self.fleet.settings.classes[ask.cls]
        left = cls.deadline - (self.clock.now - ask.came)
        self.open[self.serial] = ask, self.clock.now + left
        self.push(
            api.RequestArrival(
                self.serial,
                ask.cls,
                ask.volume.plan,
                ask.volume.name,
                ask.units,
                ask.shard,
                len(ask.volume.hosts),
                left - 0.05,
            )
        )

    def end(self, request: int, how: str, why: api.Reason | None, after: float = 0.0) -> None:
        ask, _ = self.open.pop(request)
        if why is not None:
            self.fleet.reasons[how, why.code.name] += 1
            self.fleet.judge(ask, how, why.code.name)
        self.fleet.ended(ask, self.number, how, after)

    def send(self, request: int, name: str, why: api.Reason | None) -> None:
        fleet, now = self.fleet, self.clock.now
        ask, until = self.open[request]
        number = self.tries_of(request)
        if why is not None:
            fleet.reasons["sent", why.code.name] += 1
        fleet.attempts += 1
        hop = fleet.dice.uniform(*HOP)
        if self.connections.get(name, -inf) < now - IDLE:
            fleet.handshakes += 1
            hop += HANDSHAKE
        self.connections[name] = now
        self.tries[request, number] = name
        node, life = fleet.by_name[name], self.lives

        def answer(how: str) -> None:
            load, use = node.load(), fleet.use(ask.volume)
            if how == "served":
                period = int(self.clock.now / 0.5)
                ask.volume.used[period] = ask.volume.used.get(period, 0.0) + ask.units
            back = self.clock.now + fleet.dice.uniform(*HOP)
            self.clock.at(back, self.answered, life, request, number, how, now, use, load)

        if fleet.cut(self.number, node):
            pass  # it says nothing
        else:
            self.clock.at(now + hop, node.take, ask, ask.tries == 0 and number == 0, answer)
        self.clock.at(until, self.answered, life, request, number, "timeout", now, None, 0.0)

    def tries_of(self, request: int) -> int:
        number = 0
        while (request, number) in self.tries:
            number += 1
        return number

    def answered(
        self, life: int, request: int, number: int, how: str, sent: float, use: float | None, load: float
    ) -> None:
        if life != self.lives or not self.up or not self.tries.get((request, number)):
            return
        node, self.tries[request, number] = self.tries[request, number], ""
        closed = how in ("served", "timeout") or request not in self.open
        self.push(
            api.AttemptEnd(
                request,
                number,
                node,
                OUTCOMES.get(how, api.Outcome.TIMEOUT),
                closed,
                self.clock.now - sent,
                use,
                load={"busy_reqs": load} if load else {},
            )
        )
        if request in self.open and closed:
            self.end(request, "served" if how == "served" else "failed", None)
        if closed:
            for each in [key for key in self.tries if key[0] == request]:
                del self.tries[each]


class Fleet(World):
    """The world with hosts in it."""

    retries = 1
    pooled = True  # room on cold nodes is lent among the hosts

    def __init__(self, *arguments: int | float) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.reasons: Counter[tuple[str, str]] = Counter()
        self.judged: Counter[tuple[str, str, str]] = Counter()  # refusals: node's true state, code, truth
        self.attempts = self.handshakes = self.messages = 0
        self.listed_nodes = list(self.nodes)
        self.by_name = {node.id: node for node in self.nodes}
        self.silent_zone: int | None = None
        self.version = 1
        self.listed = self._listed
        self.fronts = [Host(self, number) for number in range(self.hosts)]

    def entry(self, node: Node) -> api.Node:
        return api.Node(node.id, node.shard, node.zone, 1.0, node.born or None)

    def cut(self, host: int, node: Node) -> bool:
        apart = (node.zone == self.silent_zone) != (host % 2 == self.silent_zone)
        return self.silent_zone is not None and apart

    def message(self, sender: Host, to: Host, act: Callable[..., None], *what: Any) -> None:
        """A datagram from one host to another; to itself it costs nothing."""
        apart = self.silent_zone is not None and (sender.number + to.number) % 2
        if sender is to:
            return act(to, *what)
        self.messages += 1
        if not apart and self.dice.random() >= MESSAGE_LOST:
            self.clock.at(self.clock.now + self.dice.uniform(*MESSAGE), self._deliver, to, act, what)

    @staticmethod
    def _deliver(to: Host, act: Callable[..., None], what: tuple[Any, ...]) -> None:
        if to.up:
            act(to, *what)

    def _listed(self, old: Node, new: Node) -> None:
        """Every host hears of it, each at a time of its own."""
        self.listed_nodes = [new if node is old else node for node in self.listed_nodes]
        self.by_name[new.id] = new
        self.version += 1
        gone = api.Node(old.id, old.shard, old.zone, state=api.NodeState.GONE)
        news = api.NodeListUpdate(self.version, api.ListKind.CHANGES, (gone, self.entry(new)))
        for host in self.fronts:
            heard = self.clock.now + self.dice.uniform(0.2, 1.5)
            self.clock.at(heard, self._tell, host, host.lives, news, old, new)

    def _tell(self, host: Host, life: int, news: api.NodeListUpdate, old: Node, new: Node) -> None:
        if host.up and host.lives == life:
            host.listed.pop(old.id, None)
            host.listed[new.id] = new
            if self.pooled:
                host.know()
            host.push(news)

    def judge(self, ask: Ask, how: str, code: str) -> None:
        """Whether the node was as the host believed: an attempt at once would have been in time, or not."""
        node, cls = self.nodes[ask.shard], self.settings.classes[ask.cls]
        if how != "refused":
            return
        own = 0.025 * self.stretch / node.capacity()
        left = ask.came + cls.aim - self.clock.now
        cold = node.capacity() < node.speed
        state = "down" if not node.up or node.silent or node.errors else "cold" if cold else "warm"
        kind = "held" if left < 0.3 * cls.aim else "in time" if node.backlog() + own < left else "late"
        self.judged[state, code, kind] += 1

    def arrive(self, host: int, ask: Ask) -> None:
        self.fronts[host].take(ask)

    def ended(self, ask: Ask, host: int, how: str, after: float) -> None:
        """Clients try once more after a refusal, and after any failure of what is safe to repeat."""
        now, cls = self.clock.now, self.settings.classes[ask.cls]
        ask.ended, ask.took = how, now - ask.came
        again = how in ("refused", "no host") or (how in ("failed", "lost") and cls.effect is api.Effect.SAFE)
        wait = max(after, self.dice.uniform(0.05, 0.3) * self.stretch)
        if again and ask.tries < self.retries and ask.took + wait < cls.deadline:
            ask.tries += 1
            self.clock.at(now + wait, self.arrive, host, ask)

    def service(self) -> float:
        """Worth answered within the aim over the worth asked for; a late answer counts its part."""
        due = sum(ask.worth for ask in self.asks)
        got = 0.0
        for ask in self.asks:
            cls = self.settings.classes[ask.cls]
            if ask.ended == "served":
                got += ask.worth * (1.0 if ask.took <= cls.aim else cls.late_worth)
        return got / due if due else 0.0


class Dispatcher(Fleet):
    """Sees the true state of every node, and sends what will be answered within its aim; the worthier first
    where the backlog is long: what earns little is turned away earlier."""

    def __init__(self, *arguments: int | float) -> None:
        super().__init__(*arguments)

    def arrive(self, host: int, ask: Ask) -> None:
        if not self.fronts[host].up:
            return self.ended(ask, host, "no host", 0.0)
        node, cls = self.nodes[ask.shard], self.settings.classes[ask.cls]
        wait = node.backlog()
        rich = ask.worth / max(ask.units, 1.0) / (cls.worth / 2.06)
        room = sum(w for _, w in node.recent if _ > self.clock.now - 3) < 3.2 * node.capacity() * CORES * 3
        patience = 0.7 if rich > 0.5 else 0.35 if rich > 0.2 else 0.1
        if not node.up or node.silent or self.cut(host, node) or wait > patience * cls.aim or not room:
            return self.ended(ask, host, "refused", 0.25 * cls.aim)
        self.attempts += 1

        def answer(how: str) -> None:
            ask.ended, ask.took = ("served" if how == "served" else "failed"), self.clock.now - ask.came

        node.take(ask, ask.tries == 0, answer)


__all__ = ["Dispatcher", "Fleet", "Host", "Volume"]
