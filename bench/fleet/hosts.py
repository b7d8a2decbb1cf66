"""Models the hosts of a deployment: the real decision module, or a dispatcher with full knowledge.

It models the path between clients, schedulers and nodes, and the clients' retries after a refusal or failure.
A scheduler receives nothing but its events.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

from bench.fleet.world import (
    CORES,
    DATAGRAM_DELAY,
    DATAGRAM_LOSS,
    HANDSHAKE_DELAY,
    HOP_DELAY,
    ClientRequest,
    Node,
    Volume,
    World,
)
from cherrycove.broker.peer_capacity import lending
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler

OUTCOMES = {
    "served": api.Outcome.SERVED,
    "error": api.Outcome.ERROR,
    "full": api.Outcome.FULL,
    "refused": api.Outcome.CONNECT_FAILED,
}
CONNECTION_IDLE_LIMIT = 12.0  # s after which a host closes an idle connection
RESTART_DELAY = 4.0  # s until a killed host starts again


class Host:
    """Runs one scheduler: batches its events and carries out its actions."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.clock = fleet, number, fleet.clock
        self.incarnation = 0
        self.up = False
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.up = True
        self.scheduler = Scheduler(self.fleet.settings, self.fleet.rng.getrandbits(32))
        self.events: list[api.Event] = []
        self.tick_scheduled = False
        self.last_tick = -inf
        self.serial = 0
        self.open: dict[int, tuple[ClientRequest, float]] = {}
        # The node of each attempt, by request and attempt number; "" once the attempt has ended.
        self.attempt_nodes: dict[tuple[int, int], str] = {}
        self.connections: dict[str, float] = {}
        self.lender = lending.Lender(self.fleet.settings, self.number, self.clock.now)
        self.borrower = lending.Borrower(self.fleet.hosts)
        self.known_nodes = {node.id: node for node in self.fleet.listed_nodes}
        if self.fleet.pooling:
            self.update_lender()
            self.push(api.CapacityPool(lending.LENT_FRACTION))
        listed = tuple(map(self.fleet.entry, self.fleet.listed_nodes))
        self.push(api.NodeListUpdate(1, api.ListKind.RESTORED, listed))

    def kill(self) -> None:
        self.up = False
        for client_request, _ in self.open.values():
            self.fleet.finish_request(client_request, self.number, "lost", 0.0)
        self.clock.at(self.clock.now + RESTART_DELAY, self.start)

    def push(self, event: api.Event) -> None:
        self.events.append(event)
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.clock.at(
                max(self.last_tick + self.fleet.settings.tick, self.clock.now), self.tick, self.incarnation
            )

    def tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        self.tick_scheduled, self.last_tick = False, self.clock.now
        events, self.events = self.events, []
        for action in self.scheduler.handle(self.clock.now, events):
            match action:
                case api.Send(request, node, _, why):
                    self.send(request, node, why)
                case api.Refuse(request, after, why):
                    self.finish(request, "refused", why, after)
                case api.Fail(request, why):
                    self.finish(request, "failed", why)
                case api.BorrowCapacity(node, units):
                    self.request_loan(node, units)
                case api.SetTimer(token, delay):
                    self.clock.at(self.clock.now + delay, self.on_timer, self.incarnation, token)

    def update_lender(self) -> None:
        self.lender.set_nodes(
            (lending.node_key(name, node.born * 1000), node.born)
            for name, node in self.known_nodes.items()
            if node.born
        )

    def request_loan(self, name: str, units: float) -> None:
        key = lending.node_key(name, self.known_nodes[name].born * 1000)
        asked = self.borrower.begin_request(key, self.clock.now)
        if asked is not None:
            lender_host, serial = asked
            to = self.fleet.host_list[lender_host]
            self.fleet.message(self, to, Host.on_loan_request, self, self.incarnation, key, serial, units)

    def on_loan_request(self, sender: Host, incarnation: int, key: bytes, serial: int, units: float) -> None:
        lent, wait = self.lender.lend(key, units, self.clock.now)
        self.fleet.message(self, sender, Host.on_loan_reply, self.number, incarnation, serial, lent, wait)

    def on_loan_reply(
        self, lender_host: int, incarnation: int, serial: int, units: float, wait: float
    ) -> None:
        found = (
            self.borrower.accept_answer(lender_host, serial, wait, self.clock.now)
            if incarnation == self.incarnation
            else None
        )
        if found is not None and units:
            for name, node in self.known_nodes.items():
                if lending.node_key(name, node.born * 1000) == found[0]:
                    self.push(api.CapacityLoan(name, units, found[1]))

    def on_timer(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.push(api.TimerExpiry(token))

    def accept(self, client_request: ClientRequest) -> None:
        if not self.up:
            return self.fleet.finish_request(client_request, self.number, "no host", 0.0)
        self.serial += 1
        cls = self.fleet.settings.classes[client_request.cls]
        left = cls.deadline - (self.clock.now - client_request.arrived_at)
        self.open[self.serial] = client_request, self.clock.now + left
        self.push(
            api.RequestArrival(
                self.serial,
                client_request.cls,
                client_request.volume.plan,
                client_request.volume.name,
                client_request.units,
                client_request.shard,
                len(client_request.volume.hosts),
                left - 0.05,
            )
        )

    def finish(self, request: int, how: str, why: api.Reason | None, after: float = 0.0) -> None:
        client_request, _ = self.open.pop(request)
        if why is not None:
            self.fleet.reasons[how, why.code.name] += 1
            self.fleet.record_refusal(client_request, how, why.code.name)
        self.fleet.finish_request(client_request, self.number, how, after)

    def send(self, request: int, name: str, why: api.Reason | None) -> None:
        fleet, now = self.fleet, self.clock.now
        client_request, until = self.open[request]
        number = self.next_attempt(request)
        if why is not None:
            fleet.reasons["sent", why.code.name] += 1
        fleet.attempts += 1
        hop = fleet.rng.uniform(*HOP_DELAY)
        if self.connections.get(name, -inf) < now - CONNECTION_IDLE_LIMIT:
            fleet.handshakes += 1
            hop += HANDSHAKE_DELAY
        self.connections[name] = now
        self.attempt_nodes[request, number] = name
        node, incarnation = fleet.by_name[name], self.incarnation

        def answer(how: str) -> None:
            load, usage = node.load(), fleet.volume_usage(client_request.volume)
            if how == "served":
                period = int(self.clock.now / 0.5)
                client_request.volume.usage[period] = (
                    client_request.volume.usage.get(period, 0.0) + client_request.units
                )
            back = self.clock.now + fleet.rng.uniform(*HOP_DELAY)
            self.clock.at(back, self.on_attempt_end, incarnation, request, number, how, now, usage, load)

        if fleet.is_partitioned(self.number, node):
            pass  # a partition drops the attempt without an answer
        else:
            self.clock.at(
                now + hop, node.accept, client_request, client_request.retries == 0 and number == 0, answer
            )
        self.clock.at(until, self.on_attempt_end, incarnation, request, number, "timeout", now, None, 0.0)

    def next_attempt(self, request: int) -> int:
        number = 0
        while (request, number) in self.attempt_nodes:
            number += 1
        return number

    def on_attempt_end(
        self,
        incarnation: int,
        request: int,
        number: int,
        how: str,
        sent: float,
        usage: float | None,
        load: float,
    ) -> None:
        if incarnation != self.incarnation or not self.up or not self.attempt_nodes.get((request, number)):
            return
        node, self.attempt_nodes[request, number] = self.attempt_nodes[request, number], ""
        closed = how in ("served", "timeout") or request not in self.open
        self.push(
            api.AttemptEnd(
                request,
                number,
                node,
                OUTCOMES.get(how, api.Outcome.TIMEOUT),
                closed,
                self.clock.now - sent,
                usage,
                load={"busy_reqs": load} if load else {},
            )
        )
        if request in self.open and closed:
            self.finish(request, "served" if how == "served" else "failed", None)
        if closed:
            for each in [key for key in self.attempt_nodes if key[0] == request]:
                del self.attempt_nodes[each]


class Fleet(World):
    """Adds hosts with the real decision module to the model."""

    max_retries = 1
    pooling = True  # whether hosts lend each other capacity on cold nodes

    def __init__(self, *arguments: int | float) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.reasons: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[tuple[str, str, str]] = Counter()  # by node state, reason code and timeliness
        self.attempts = self.handshakes = self.messages = 0
        self.listed_nodes = list(self.nodes)
        self.by_name = {node.id: node for node in self.nodes}
        self.silent_zone: int | None = None
        self.version = 1
        self.on_replaced = self._announce_replacement
        self.host_list = [Host(self, number) for number in range(self.hosts)]

    def entry(self, node: Node) -> api.Node:
        return api.Node(node.id, node.shard, node.zone, 1.0, node.born or None)

    def is_partitioned(self, host: int, node: Node) -> bool:
        separated = (node.zone == self.silent_zone) != (host % 2 == self.silent_zone)
        return self.silent_zone is not None and separated

    def message(self, sender: Host, to: Host, callback: Callable[..., None], *what: Any) -> None:
        """Send a datagram to another host; a host calls itself directly, without delay or loss."""
        separated = self.silent_zone is not None and (sender.number + to.number) % 2
        if sender is to:
            return callback(to, *what)
        self.messages += 1
        if not separated and self.rng.random() >= DATAGRAM_LOSS:
            self.clock.at(
                self.clock.now + self.rng.uniform(*DATAGRAM_DELAY), self._deliver, to, callback, what
            )

    @staticmethod
    def _deliver(to: Host, callback: Callable[..., None], what: tuple[Any, ...]) -> None:
        if to.up:
            callback(to, *what)

    def _announce_replacement(self, old: Node, new: Node) -> None:
        """Notify every host of the replacement, each after its own random delay."""
        self.listed_nodes = [new if node is old else node for node in self.listed_nodes]
        self.by_name[new.id] = new
        self.version += 1
        gone = api.Node(old.id, old.shard, old.zone, state=api.NodeState.GONE)
        update = api.NodeListUpdate(self.version, api.ListKind.CHANGES, (gone, self.entry(new)))
        for host in self.host_list:
            received_at = self.clock.now + self.rng.uniform(0.2, 1.5)
            self.clock.at(received_at, self._update_host, host, host.incarnation, update, old, new)

    def _update_host(
        self, host: Host, incarnation: int, update: api.NodeListUpdate, old: Node, new: Node
    ) -> None:
        if host.up and host.incarnation == incarnation:
            host.known_nodes.pop(old.id, None)
            host.known_nodes[new.id] = new
            if self.pooling:
                host.update_lender()
            host.push(update)

    def record_refusal(self, client_request: ClientRequest, how: str, code: str) -> None:
        """Count a refusal by the node's true state and by whether an immediate attempt would be timely."""
        node, cls = self.nodes[client_request.shard], self.settings.classes[client_request.cls]
        if how != "refused":
            return
        own = 0.025 * self.stretch / node.capacity()
        left = client_request.arrived_at + cls.aim - self.clock.now
        cold = node.capacity() < node.speed
        state = "down" if not node.up or node.silent or node.errors else "cold" if cold else "warm"
        kind = "held" if left < 0.3 * cls.aim else "in time" if node.backlog() + own < left else "late"
        self.refusals[state, code, kind] += 1

    def submit(self, host: int, client_request: ClientRequest) -> None:
        self.host_list[host].accept(client_request)

    def finish_request(self, client_request: ClientRequest, host: int, how: str, after: float) -> None:
        """Record the outcome; retry once after a refusal, or after any failure of a SAFE request."""
        now, cls = self.clock.now, self.settings.classes[client_request.cls]
        client_request.outcome, client_request.latency = how, now - client_request.arrived_at
        retry = how in ("refused", "no host") or (how in ("failed", "lost") and cls.effect is api.Effect.SAFE)
        wait = max(after, self.rng.uniform(0.05, 0.3) * self.stretch)
        if (
            retry
            and client_request.retries < self.max_retries
            and client_request.latency + wait < cls.deadline
        ):
            client_request.retries += 1
            self.clock.at(now + wait, self.submit, host, client_request)

    def service_ratio(self) -> float:
        """Return the worth served over the worth requested; an answer after the aim counts its late worth."""
        due = sum(client_request.worth for client_request in self.requests)
        got = 0.0
        for client_request in self.requests:
            cls = self.settings.classes[client_request.cls]
            if client_request.outcome == "served":
                got += client_request.worth * (1.0 if client_request.latency <= cls.aim else cls.late_worth)
        return got / due if due else 0.0


class Dispatcher(Fleet):
    """Admits requests with full knowledge of every node's state.

    It sends a request if it will be answered within its aim. With a long backlog, requests of low worth per
    unit are refused earlier.
    """

    def __init__(self, *arguments: int | float) -> None:
        super().__init__(*arguments)

    def submit(self, host: int, client_request: ClientRequest) -> None:
        if not self.host_list[host].up:
            return self.finish_request(client_request, host, "no host", 0.0)
        node, cls = self.nodes[client_request.shard], self.settings.classes[client_request.cls]
        wait = node.backlog()
        relative_worth = client_request.worth / max(client_request.units, 1.0) / (cls.worth / 2.06)
        has_capacity = (
            sum(w for _, w in node.recent if _ > self.clock.now - 3) < 3.2 * node.capacity() * CORES * 3
        )
        max_wait = 0.7 if relative_worth > 0.5 else 0.35 if relative_worth > 0.2 else 0.1
        if (
            not node.up
            or node.silent
            or self.is_partitioned(host, node)
            or wait > max_wait * cls.aim
            or not has_capacity
        ):
            return self.finish_request(client_request, host, "refused", 0.25 * cls.aim)
        self.attempts += 1

        def answer(how: str) -> None:
            client_request.outcome, client_request.latency = (
                ("served" if how == "served" else "failed"),
                self.clock.now - client_request.arrived_at,
            )

        node.accept(client_request, client_request.retries == 0, answer)


__all__ = ["Dispatcher", "Fleet", "Host", "Volume"]
