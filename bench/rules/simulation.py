"""Simulates a random deployment: hosts with the real decision module, nodes that answer, fail and restart.

It models everything outside the schedulers in virtual time. A scheduler receives nothing but its events; its
actions are checked by the checker alone.
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

NETWORK_DELAY = 0.0005  # s to a node and back
DOWNTIME = (0.02, 0.5)  # s until a failed node or host comes back
OUTCOMES = (
    api.Outcome.SERVED,
    api.Outcome.ERROR,
    api.Outcome.FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.RESET,
    None,
)  # None: no answer
IMMEDIATE = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """Holds the true state of one disk node; hosts learn of a change later."""

    entry: api.Node
    up: bool = True
    silent: bool = False


class Host:
    """Runs one scheduler from its start to its crash: batches, timers and attempts."""

    def __init__(
        self, simulation: Simulation, number: int, restart_state: api.RestartState | None = None
    ) -> None:
        self.simulation, self.number, self.clock = simulation, number, simulation.clock
        self.scheduler = Scheduler(simulation.settings, simulation.rng.getrandbits(32))
        self.events: list[api.Event] = []
        self.last_tick, self.tick_scheduled, self.up, self.subscribed = (
            -inf,
            False,
            True,
            not simulation.settings.list_on_request,
        )
        self.last_update_at = 0.0  # delivery time of the latest node list update; updates arrive in order
        self.open: dict[int, api.RequestArrival] = {}
        self.attempt_counts: dict[int, int] = {}  # attempts made, by request
        self.in_flight: dict[tuple[int, int], str] = {}
        if simulation.deployment.lent_fraction:
            self.push(api.CapacityPool(simulation.deployment.lent_fraction))
        self.earlier_state: api.RestartState | None = None  # a restart state exported at an earlier time
        if restart_state is not None:
            self.push(restart_state)
        self.push_node_list(api.ListKind.RESTORED)

    def push(self, event: api.Event) -> None:
        if not self.up:
            return
        self.events.append(event)
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.clock.at(self.last_tick + self.simulation.settings.tick, self.tick)

    def tick(self) -> None:
        if not self.up:
            return
        now = self.last_tick = self.clock.now
        self.tick_scheduled, events, self.events = False, self.events, []
        if self.simulation.restart_rng.random() < 0.05:
            self.earlier_state = self.scheduler.export_restart_state()
        for event in events:
            if isinstance(event, api.NodeListUpdate):
                self.simulation.checker.on_node_list(self.number, now, event)
            elif isinstance(event, api.RequestArrival):
                self.simulation.checker.on_arrival(self.number, now, event)
            elif isinstance(event, api.ClientDeparture):
                self.simulation.checker.on_client_departure(self.number, now, event.request)
        for action in self.scheduler.handle(now, events):
            node = self.simulation.checker.check_action(self.number, now, action)
            self.perform(action, node)

    def perform(self, action: api.Action, node: api.Node | None) -> None:
        match action:
            case api.Send(request) if node is not None:
                self.send(request, node)
            case api.Refuse(request, after):
                self.on_answer(request, True, after)
            case api.Fail(request):
                self.on_answer(request, False, 0.0)
            case api.SetTimer(token, delay):
                self.clock.at(self.clock.now + delay, self.push, api.TimerExpiry(token))
            case api.WatchNodes():
                self.subscribe()
            case api.BorrowCapacity(name, units):
                self.simulation.lend(self, name, units)

    def subscribe(self) -> None:
        self.clock.at(self.clock.now + self.simulation.rng.uniform(0.001, 0.2), self.on_subscribed)

    def on_subscribed(self) -> None:
        self.subscribed = self.simulation.rng.random() < 0.7
        if self.subscribed:
            self.push_node_list(api.ListKind.FULL)
            self.clock.at(self.clock.now + self.simulation.rng.expovariate(0.5), self.on_unsubscribed)
        else:
            self.push(api.NodeListFailure())

    def on_unsubscribed(self) -> None:
        if self.subscribed:
            self.subscribed = False
            self.push(api.NodeListFailure())

    def push_node_list(self, kind: api.ListKind) -> None:
        self.push(
            api.NodeListUpdate(self.simulation.version, kind, tuple(self.simulation.listed_nodes.values()))
        )

    def on_node_update(self, update: api.NodeListUpdate) -> None:
        """Deliver a node list update after a random delay, never ahead of an earlier update."""
        if self.subscribed:
            late = self.simulation.rng.uniform(0.0, self.simulation.deployment.max_list_delay)
            self.last_update_at = max(self.last_update_at, self.clock.now + late)
            self.clock.at(self.last_update_at, self.push, update)

    def accept(self, event: api.RequestArrival) -> None:
        self.open[event.request] = event
        self.push(event)
        if self.simulation.rng.random() < 0.02:
            self.clock.at(
                self.clock.now + event.budget * self.simulation.rng.random(), self.disconnect, event.request
            )

    def disconnect(self, request: int) -> None:
        """Disconnect the client if its request has no answer yet."""
        if self.up and self.open.pop(request, None) is not None:
            self.push(api.ClientDeparture(request))

    def on_answer(self, request: int, refused: bool, after: float) -> None:
        event = self.open.pop(request, None)
        if event is not None and refused:
            self.simulation.retry(event, self.number, after)

    def send(self, request: int, node: api.Node) -> None:
        rng, now, number = self.simulation.rng, self.clock.now, self.attempt_counts.get(request, 0)
        self.attempt_counts[request] = number + 1
        self.in_flight[request, number] = node.id
        target, sent = self.simulation.nodes.get(node.id), now
        event = self.open.get(request)
        until = self.simulation.deadlines.get((self.number, request), now)
        self.clock.at(until, self.on_attempt_end, request, number, api.Outcome.TIMEOUT, sent, 0.0)
        if target is None or not target.up:
            return self.clock.at(
                now + NETWORK_DELAY,
                self.on_attempt_end,
                request,
                number,
                api.Outcome.CONNECT_FAILED,
                sent,
                0.0,
            )
        if target.silent:
            return
        outcome = rng.choices(OUTCOMES, self.simulation.deployment.outcome_weights)[0]
        if event is not None and event.shard not in (None, node.shard):
            outcome = api.Outcome.NOT_EXECUTED
        if outcome is not None:
            took = (
                NETWORK_DELAY
                if outcome in IMMEDIATE
                else NETWORK_DELAY + rng.expovariate(1 / self.simulation.deployment.service_time)
            )
            units = event.units if event is not None else 0.0
            self.clock.at(now + took, self.on_attempt_end, request, number, outcome, sent, units)

    def on_attempt_end(
        self, request: int, number: int, outcome: api.Outcome, sent: float, units: float
    ) -> None:
        name = self.in_flight.pop((request, number), None)
        if name is None or not self.up:
            return
        simulation, s = self.simulation, self.simulation.settings
        closed = request not in self.open or outcome is api.Outcome.SERVED
        event = api.AttemptEnd(
            request,
            number,
            name,
            outcome,
            closed,
            self.clock.now - sent,
            simulation.rng.uniform(0.0, 2.0) if s.meter_period and simulation.rng.random() < 0.5 else None,
            units * simulation.rng.random() if s.tells_elsewhere else 0.0,
            # Some answers lack the report that the settings promise.
            {each: simulation.rng.uniform(0.0, 1.0) for each in s.load_names} if request % 5 else {},
        )
        simulation.checker.on_attempt_end(self.number, self.clock.now, event)
        if outcome is api.Outcome.SERVED:
            self.open.pop(request, None)
        self.push(event)

    def on_node_crash(self, name: str) -> None:
        """Reset the attempts that are in flight at a crashed node."""
        for (request, number), at in list(self.in_flight.items()):
            if at == name:
                self.on_attempt_end(request, number, api.Outcome.RESET, self.clock.now, 0.0)

    def crash(self) -> None:
        self.up = False
        self.simulation.checker.on_host_crash(self.number)
        self.clock.at(
            self.clock.now + self.simulation.rng.uniform(*DOWNTIME),
            self.simulation.restart_host,
            self.number,
            self.next_restart_state(),
        )

    def next_restart_state(self) -> api.RestartState | None:
        """Return the restart state for the next start: current, older, falsified or None."""
        rng = self.simulation.restart_rng
        current, older = rng.random() < 0.4, rng.random() < 0.7
        if current:
            return replace(self.scheduler.export_restart_state(), whole=True)
        if not older or self.earlier_state is None:
            return None
        if rng.random() < 0.5:
            return self.earlier_state
        return replace(
            self.earlier_state,
            nodes=tuple(
                replace(node, threshold=1000.0, sent=0.0, mean_latency_s=1e-6, draw_window=-1)
                for node in self.earlier_state.nodes
            ),
            volumes=tuple(replace(each, credits=1000.0) for each in self.earlier_state.volumes),
        )


class Simulation:
    """Simulates one deployment to its end."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.settings, self.rng, self.clock = (
            deployment,
            deployment.settings,
            random.Random(deployment.seed),
            Clock(),
        )
        # A separate generator, so that its draws do not change the rest of a simulation.
        self.restart_rng = random.Random(deployment.seed + 1)
        self.clock.now = self.rng.choice((0.0, 1e5))
        self.until = self.clock.now + deployment.seconds
        self.checker = Checker(deployment.settings, deployment.lent_fraction)
        self.version, self.serial, self.created_nodes = 1, 0, 0
        self.deadlines: dict[tuple[int, int], float] = {}
        self.loans: dict[str, SlidingWindowSum] = {}
        self.nodes: dict[str, SimulatedNode] = {}
        self.listed_nodes: dict[str, api.Node] = {}
        for shard in range(deployment.shards):
            for _ in range(2 if deployment.paired_nodes and shard % 2 else 1):
                self._add_node(shard, None)
        self.volume_shards = [
            [self.rng.randrange(deployment.shards) for _ in range(3)] for _ in range(deployment.volumes)
        ]
        self.volume_hosts = [
            self.rng.sample(
                range(deployment.settings.schedulers),
                self.rng.randint(1, min(3, deployment.settings.schedulers)),
            )
            for _ in range(deployment.volumes)
        ]
        self.hosts = [Host(self, number) for number in range(deployment.settings.schedulers)]

    def run(self) -> list[tuple[str, str]]:
        for volume in range(self.deployment.volumes):
            self.clock.at(
                self.clock.now + self.rng.expovariate(1 / self.deployment.gap), self.send_requests, volume
            )
        for rate, callback in (
            (self.deployment.crashes, self.fail_node),
            (self.deployment.host_crashes, self.crash_host),
        ):
            if rate:
                self.clock.at(self.clock.now + self.rng.expovariate(rate), callback)
        longest = max(cls.deadline for cls in self.settings.classes)
        # The last retry may start a whole deadline after the last request.
        end = self.until + 3 * longest + 1.0
        self.clock.run(end)
        self.checker.finish(end)
        return self.checker.violations

    def _add_node(self, shard: int, started: float | None) -> api.Node:
        self.created_nodes += 1
        node = api.Node(f"s{shard}-{self.created_nodes}", shard, shard % self.deployment.zones, 1.0, started)
        self.nodes[node.id] = SimulatedNode(node)
        self.listed_nodes[node.id] = node
        return node

    def send_requests(self, volume: int) -> None:
        if self.clock.now > self.until:
            return
        rng, s = self.rng, self.settings
        cls = rng.randrange(len(s.classes))
        shard = None if rng.random() < 0.25 else rng.choice(self.volume_shards[volume])
        for number in range(rng.choice((1, 1, 1, 4))):
            units = float(rng.randint(1, int(s.max_units)))
            key = f"{volume}-{rng.randrange(4)}" if rng.random() < 0.8 else None
            budget = s.classes[cls].deadline * rng.choice((1.0, 1.0, 1.0, rng.random()))
            event = api.RequestArrival(
                0,
                cls,
                volume % len(s.plans),
                f"v{volume}",
                units,
                shard,
                len(self.volume_hosts[volume]),
                budget,
                key,
            )
            self.clock.at(
                self.clock.now + 0.002 * number, self.deliver, event, rng.choice(self.volume_hosts[volume])
            )
        self.clock.at(self.clock.now + rng.expovariate(1 / self.deployment.gap), self.send_requests, volume)

    def deliver(self, event: api.RequestArrival, host: int) -> None:
        if self.hosts[host].up:
            self.serial += 1
            event = replace(event, request=self.serial)
            # The module handles the request at most one tick later, and the client's time runs from then on.
            self.deadlines[host, event.request] = self.clock.now + event.budget
            self.hosts[host].accept(event)

    def retry(self, event: api.RequestArrival, host: int, after: float) -> None:
        """Maybe retry a refused request, as a new request with the remaining time."""
        left = event.budget - after - 0.05
        if left > 0.02 and self.rng.random() < self.deployment.retry_fraction:
            self.clock.at(
                self.clock.now + max(after, 0.01),
                self.deliver,
                replace(event, budget=left, repeat=True),
                host,
            )

    def lend(self, host: Host, name: str, units: float) -> None:
        """Lend a host part of a cold node's capacity per window; some requests and answers are lost."""
        s, now = self.settings, self.clock.now
        # The period covers a loan and what is sent on it.
        loans = self.loans.setdefault(name, SlidingWindowSum(2 * s.fall_window))
        if self.rng.random() < 0.1 or loans.total(now) + units > self.deployment.lent_fraction * s.cold_units:
            return
        loans.add(now, units)
        if self.rng.random() >= 0.1:
            self.clock.at(
                now + self.rng.uniform(0.001, 0.02),
                host.push,
                api.CapacityLoan(name, units, s.fall_window / 2),
            )

    def publish(self, *nodes: api.Node) -> None:
        self.version += 1
        for node in nodes:
            if node.state is api.NodeState.GONE:
                self.listed_nodes.pop(node.id, None)
            else:
                self.listed_nodes[node.id] = node
        update = api.NodeListUpdate(self.version, api.ListKind.CHANGES, nodes)
        for host in self.hosts:
            if host.up:
                host.on_node_update(update)

    def fail_node(self) -> None:
        """Crash, silence or drain a node; later it, or a replacement, comes back cold."""
        rng, now = self.rng, self.clock.now
        if now < self.until:
            self.clock.at(now + rng.expovariate(self.deployment.crashes), self.fail_node)
        up = [node for node in self.nodes.values() if node.up and not node.silent]
        if not up:
            return
        victim, how = rng.choice(up), rng.choice(("dies", "silent", "drains"))
        if how == "drains":
            self.publish(replace(victim.entry, state=api.NodeState.DRAINING))
        elif how == "silent":
            victim.silent = True
        else:
            self.stop_node(victim)
        self.clock.at(now + rng.uniform(*DOWNTIME), self.restore_node, victim, rng.random() < 0.5)

    def stop_node(self, victim: SimulatedNode) -> None:
        victim.up = False
        for host in self.hosts:
            host.on_node_crash(victim.entry.id)

    def restore_node(self, victim: SimulatedNode, same: bool) -> None:
        if victim.entry.id not in self.nodes:
            return  # it has been replaced meanwhile
        now, gone = self.clock.now, replace(victim.entry, state=api.NodeState.GONE)
        if victim.up:
            self.stop_node(victim)
        if same:
            victim.entry = replace(victim.entry, started=max(now, 1e-6))
            victim.up, victim.silent = True, False
            self.publish(victim.entry)
        else:
            del self.nodes[victim.entry.id]
            self.listed_nodes.pop(victim.entry.id, None)
            self.publish(gone, self._add_node(victim.entry.shard, max(now, 1e-6)))

    def crash_host(self) -> None:
        if self.clock.now < self.until:
            self.clock.at(
                self.clock.now + self.rng.expovariate(self.deployment.host_crashes), self.crash_host
            )
        up = [host for host in self.hosts if host.up]
        if up:
            self.rng.choice(up).crash()

    def restart_host(self, number: int, restart_state: api.RestartState | None) -> None:
        self.hosts[number] = Host(self, number, restart_state)
