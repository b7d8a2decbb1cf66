"""Models a deployment generated from a seed: nodes, volumes, request sequences and node pauses.

It models everything outside the hosts. It does not read a scheduler's state, and gives a host only what the
platform's protocol would give it. Figures are those of the operators' brief. Work, aims and deadlines are
multiplied by ``stretch``, as the platform does where a host has little traffic.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from typing import Any

from cherrycove.scheduling import interface as api

# Seconds per usual request on a core of speed 1, by class.
SERVICE_TIME = ((0.015, 0.024), (0.022, 0.035), (0.040, 0.064))
CLASS_SHARE = (0.55, 0.30, 0.15)
# Of each node; a request for a cached key takes CACHED_WORK_FACTOR of the usual work.
CORES, QUEUE_LIMIT, CACHED_KEYS, CACHED_WORK_FACTOR = 2, 64, 3, 0.4
MEAN_SEQUENCE_LENGTH = 5  # mean number of requests in one sequence
REPORT_AGE = (0.13, 0.94)
METER_PERIOD = 0.5  # s
METER_DELAY = (0.47, 1.3)
HOP_DELAY = (0.0007, 0.0013)
DATAGRAM_DELAY, DATAGRAM_LOSS = (0.0022, 0.019), 0.03  # s between hosts; fraction lost
HANDSHAKE_DELAY = 0.002
START_CAPACITY, WARM_UP_TIME, OVERLOAD_WINDOW, OVERLOAD_MULTIPLE = 0.18, 17.0, 3.0, 4.0
PLANS = ((0.41, 1.0, 0.5, 1.0, 0.72), (0.38, 2.0, 1.0, 3.0, 0.9), (0.21, 4.0, 1.2, 4.0, 1.5))


class Clock:
    """Runs callbacks in order of their virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> None:
        self._serial += 1
        heappush(self._heap, (max(when, self.now), self._serial, callback, arguments))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(self._heap)
            callback(*arguments)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, its retries and its outcome."""

    cls: int
    volume: Volume
    units: float
    shard: int
    key: int
    arrived_at: float
    worth: float = 0.0
    retries: int = 0
    outcome: str = ""
    latency: float = inf


@dataclass(slots=True, eq=False)
class Volume:
    name: str
    plan: int
    shards: list[int]
    hosts: list[int]
    rate: float  # units a second
    reserve_tokens: float = 8.0  # units left at full worth
    share_tokens: float = 8.0  # units left at share worth
    updated_at: float = 0.0
    usage: dict[int, float] = field(default_factory=dict)  # units served, by meter period

    def worth(self, now: float, units: float, plan: api.Plan, stretch: float) -> float:
        """Return the worth of these units and take them from the volume's tokens.

        Units count in full within the reserve, 0.4 within the usual rate and 0.05 beyond it.
        """
        elapsed, self.updated_at = now - self.updated_at, now
        self.reserve_tokens = min(self.reserve_tokens + elapsed * plan.reserve, plan.reserve * stretch + 8)
        self.share_tokens = min(self.share_tokens + elapsed * plan.usual, plan.usual * stretch + 8)
        if self.reserve_tokens >= units:
            self.reserve_tokens -= units
            return units
        if self.share_tokens >= units:
            self.share_tokens -= units
            return 0.4 * units
        return 0.05 * units


class Node:
    """Models a node with two cores, a FIFO queue, a small key cache and reduced capacity after a start."""

    def __init__(self, world: World, shard: int, speed: float, born: float) -> None:
        self.world, self.shard, self.speed, self.born = world, shard, speed, born
        self.id = f"s{shard}-{int(born * 1000)}"
        self.zone = shard % 2
        self.busy = 0
        self.queue: deque[tuple[float, Callable[[str], None], ClientRequest]] = deque()
        self.keys: deque[int] = deque(maxlen=CACHED_KEYS)
        self.up, self.silent, self.errors = True, False, 0.0
        self.paused_until = 0.0
        self.recent: deque[tuple[float, float]] = deque()
        self.crashed = False
        self.report, self.report_at = 0.0, -inf

    def capacity(self) -> float:
        age = self.world.clock.now - self.born if self.born > 0 else inf
        return self.speed * min(START_CAPACITY + (1 - START_CAPACITY) * age / WARM_UP_TIME, 1.0)

    def accept(self, client_request: ClientRequest, first: bool, answer: Callable[[str], None]) -> None:
        now = self.world.clock.now
        if not self.up or self.crashed:
            return answer("refused")
        if self.silent:
            return
        if self.errors and self.world.rng.random() < self.errors:
            return self.world.clock.at(now + 0.002, answer, "error")
        if len(self.queue) >= QUEUE_LIMIT:
            return answer("full")
        work = (
            self.world.rng.uniform(*SERVICE_TIME[client_request.cls])
            * self.world.stretch
            * client_request.units
            / 2.06
        )
        if first and client_request.key in self.keys:
            work *= CACHED_WORK_FACTOR
        self.keys.append(client_request.key)
        self._record_load(now, work)
        self.queue.append((work, answer, client_request))
        self.serve()

    def _record_load(self, now: float, work: float) -> None:
        """Crash the node for good if it is sent too much for its capacity while it is cold."""
        self.recent.append((now, work))
        while self.recent[0][0] < now - OVERLOAD_WINDOW:
            self.recent.popleft()
        if (
            self.born > 0
            and sum(w for _, w in self.recent) > OVERLOAD_MULTIPLE * self.capacity() * CORES * OVERLOAD_WINDOW
        ):
            self.crashed = True
            self.world.crashed_nodes += 1

    def serve(self) -> None:
        now = self.world.clock.now
        if now < self.paused_until or self.silent or not self.up:
            return
        while self.queue and self.busy < CORES:
            work, answer, client_request = self.queue.popleft()
            self.busy += 1
            self.world.clock.at(now + work / self.capacity(), self._served, answer)

    def _served(self, answer: Callable[[str], None]) -> None:
        self.busy -= 1
        if self.up and not self.silent:
            answer("served")
        self.serve()

    def pause(self) -> None:
        rng, now = self.world.rng, self.world.clock.now
        self.paused_until = now + rng.uniform(0.065, 0.24) * self.world.stretch
        self.world.clock.at(self.paused_until, self.serve)
        self.world.clock.at(now + rng.uniform(3.5, 8.6) * self.world.stretch, self.pause)

    def load(self) -> float:
        now = self.world.clock.now
        if now - self.report_at > self.world.rng.uniform(*REPORT_AGE):
            self.report, self.report_at = float(self.busy + len(self.queue)), now
        return self.report

    def backlog(self) -> float:
        """Return the seconds until a request that arrived now would start; only ``Dispatcher`` may use it."""
        held = sum(work for work, _, _ in self.queue) + 0.5 * self.busy * 0.02 * self.world.stretch
        return max(self.paused_until - self.world.clock.now, 0.0) + held / (self.capacity() * CORES)


class World:
    """Models the nodes, volumes and clients; subclasses add the hosts."""

    def __init__(
        self, seed: int, hosts: int, nodes: int, load: float, stretch: float, seconds: float
    ) -> None:
        self.rng, self.clock = random.Random(seed), Clock()
        self.hosts, self.stretch, self.seconds, self.load = hosts, stretch, seconds, load
        self.crashed_nodes, self.requests = 0, list[ClientRequest]()
        self.nodes = [Node(self, shard, self._speed(), 0.0) for shard in range(nodes)]
        self.volumes = [self._volume(number, nodes) for number in range(6 * nodes)]
        self.settings = self._settings()
        self.on_replaced: Callable[[Node, Node], None] = lambda old, new: None
        for node in self.nodes:
            self.clock.at(self.rng.uniform(0, 8) * stretch, node.pause)
        for volume in self.volumes:
            self.clock.at(self.rng.expovariate(1) * self._mean_gap(volume), self._send_sequence, volume)

    def _speed(self) -> float:
        return self.rng.uniform(0.85, 1.1) if self.rng.random() < 0.71 else self.rng.uniform(0.51, 0.69)

    def _volume(self, number: int, nodes: int) -> Volume:
        rng, pick = self.rng, self.rng.random()
        plan = 0 if pick < 0.6 else 1 if pick < 0.88 else 2
        greedy = rng.uniform(1.5, 3) if rng.random() < 0.25 else 1.0
        rate = PLANS[plan][1] * self._base_rate() * greedy * self.load
        return Volume(
            f"{number:016x}",
            plan,
            rng.sample(range(nodes), min(rng.randint(2, 6), nodes)),
            rng.sample(range(self.hosts), min(rng.randint(1, 3), self.hosts)),
            rate,
        )

    def _base_rate(self) -> float:
        return 6.7 / self.stretch

    def _mean_gap(self, volume: Volume) -> float:
        return MEAN_SEQUENCE_LENGTH * 2.06 / volume.rate

    def _settings(self) -> api.Settings:
        s, base = self.stretch, self._base_rate()
        classes = (
            api.RequestClass("read", 0.15 * s, 0.75 * s, api.Effect.SAFE, 3.0, 0.1),
            api.RequestClass("write", 0.2 * s, 1.2 * s, api.Effect.UNSAFE, 2.0, 0.1, writes=True),
            api.RequestClass("export", 0.75 * s, 2.5 * s, api.Effect.SAFE, 1.0, 0.2),
        )
        plans = tuple(
            api.Plan(name, size * base, size * base * part, weight, price)
            for name, (_, size, part, weight, price) in zip("abc", PLANS, strict=True)
        )
        return api.Settings(
            schedulers=self.hosts,
            classes=classes,
            plans=plans,
            max_attempts=3,
            tick=0.001,
            answer_grace=0.005,
            cold_units=34.0 / s,
            fall_window=OVERLOAD_WINDOW,
            start_capacity=START_CAPACITY,
            warm_after=WARM_UP_TIME,
            drain_grace=2.0,
            fall_multiple=OVERLOAD_MULTIPLE,
            retry_advice=1.0,
            max_units=8.0,
            usual_units=2.06,
            share_worth=0.4,
            spare_worth=0.05,
            meter_period=METER_PERIOD,
            shards=len(self.nodes),
        )

    def _send_sequence(self, volume: Volume) -> None:
        """Send several requests in a row for one key, then schedule the next sequence after a pause."""
        rng, now = self.rng, self.clock.now
        if now > self.seconds:
            return
        burst = rng.random() < 0.1 and 2.5 or 1.0  # one sequence in ten is followed by a shorter gap
        shard, key = rng.choice(volume.shards), rng.getrandbits(60)
        cls = rng.choices(range(3), CLASS_SHARE)[0]
        host = volume.hosts[0] if rng.random() < 0.7 else rng.choice(volume.hosts)
        for number in range(min(1 + int(rng.expovariate(1 / (MEAN_SEQUENCE_LENGTH - 1))), 13)):
            units = float(min(1 + int(rng.expovariate(1 / 1.3)), 8))
            self.clock.at(now + 0.002 * number, self._send_request, volume, host, cls, units, shard, key)
        self.clock.at(now + rng.expovariate(1) * self._mean_gap(volume) / burst, self._send_sequence, volume)

    def _send_request(self, volume: Volume, host: int, cls: int, units: float, shard: int, key: int) -> None:
        client_request = ClientRequest(cls, volume, units, shard, key, self.clock.now)
        plan, request = self.settings.plans[volume.plan], self.settings.classes[cls]
        due = volume.worth(self.clock.now, units, plan, self.stretch)
        client_request.worth = due * request.worth * plan.price / 2.06
        self.requests.append(client_request)
        self.submit(host, client_request)

    def submit(self, host: int, client_request: ClientRequest) -> None:
        raise NotImplementedError

    def volume_usage(self, volume: Volume) -> float | None:
        """Return the volume's use in the latest reported meter period, as a multiple of its usual rate."""
        period = int((self.clock.now - self.rng.uniform(*METER_DELAY)) / METER_PERIOD) - 1
        return volume.usage.get(period, 0.0) / METER_PERIOD / self.settings.plans[volume.plan].usual

    def replace(self, shard: int) -> None:
        """Replace the shard's node by a new, cold one. Hosts are notified later."""
        old = self.nodes[shard]
        old.up = False
        new = self.nodes[shard] = Node(self, shard, self._speed(), self.clock.now)
        self.clock.at(self.clock.now + 1.0, self.on_replaced, old, new)
