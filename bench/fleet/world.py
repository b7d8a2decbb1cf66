"""A deployment drawn from a seed: nodes, volumes, programs of requests, and what goes wrong.

It owns the model of everything outside the hosts. It must never look into a scheduler, and never tell a host
what the platform's wire would not. Figures are those of the operators' brief, stretched by ``stretch`` as the
platform stretches work, aims and deadlines where a host has little traffic.
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

WORK = ((0.015, 0.024), (0.022, 0.035), (0.040, 0.064))  # s of a usual request on a core of speed 1, by class
SHARE = (0.55, 0.30, 0.15)
CORES, WAITING, KEYS, CACHED = 2, 64, 3, 0.4  # of a node: cores, places to wait, keys it keeps, work then
PROGRAM = 5  # requests that one sends in a row, in the mean
REPORT_AGE = (0.13, 0.94)
METER = 0.5  # s of a period of the meter
METER_LATE = (0.47, 1.3)
HOP = (0.0007, 0.0013)
MESSAGE, MESSAGE_LOST = (0.0022, 0.019), 0.03  # s that a datagram between hosts takes, and the part lost
HANDSHAKE = 0.002
COLD, WARM, FALL, FALLS_AT = 0.18, 17.0, 3.0, 4.0
PLANS = ((0.41, 1.0, 0.5, 1.0, 0.72), (0.38, 2.0, 1.0, 3.0, 0.9), (0.21, 4.0, 1.2, 4.0, 1.5))


class Clock:
    """Virtual time: what is to happen, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        self._serial += 1
        heappush(self._heap, (max(when, self.now), self._serial, act, arguments))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, arguments = heappop(self._heap)
            act(*arguments)


@dataclass(slots=True, eq=False)
class Ask:
    """One request of a client, with its tries."""

    cls: int
    volume: Volume
    units: float
    shard: int
    key: int
    came: float
    worth: float = 0.0
    tries: int = 0
    ended: str = ""
    took: float = inf


@dataclass(slots=True, eq=False)
class Volume:
    name: str
    plan: int
    shards: list[int]
    hosts: list[int]
    rate: float  # units a second
    store: float = 8.0  # what its reserve still owes
    share: float = 8.0
    seen: float = 0.0
    used: dict[int, float] = field(default_factory=dict)  # units by period of the meter

    def worth(self, now: float, units: float, plan: api.Plan, stretch: float) -> float:
        """What these units are worth: full within the reserve, 0.4 within as much again, 0.05 beyond."""
        past, self.seen = now - self.seen, now
        self.store = min(self.store + past * plan.reserve, plan.reserve * stretch + 8)
        self.share = min(self.share + past * plan.usual, plan.usual * stretch + 8)
        if self.store >= units:
            self.store -= units
            return units
        if self.share >= units:
            self.share -= units
            return 0.4 * units
        return 0.05 * units


class Node:
    """Two cores, a queue in turn of arrival, a few keys at hand; cold after a start."""

    def __init__(self, world: World, shard: int, speed: float, born: float) -> None:
        self.world, self.shard, self.speed, self.born = world, shard, speed, born
        self.id = f"s{shard}-{int(born * 1000)}"
        self.zone = shard % 2
        self.busy = 0
        self.queue: deque[tuple[float, Callable[[str], None], Ask]] = deque()
        self.keys: deque[int] = deque(maxlen=KEYS)
        self.up, self.silent, self.errors = True, False, 0.0
        self.paused_until = 0.0
        self.recent: deque[tuple[float, float]] = deque()
        self.fell = False
        self.report, self.report_at = 0.0, -inf

    def capacity(self) -> float:
        age = self.world.clock.now - self.born if self.born > 0 else inf
        return self.speed * min(COLD + (1 - COLD) * age / WARM, 1.0)

    def take(self, ask: Ask, first: bool, answer: Callable[[str], None]) -> None:
        now = self.world.clock.now
        if not self.up or self.fell:
            return answer("refused")
        if self.silent:
            return
        if self.errors and self.world.dice.random() < self.errors:
            return self.world.clock.at(now + 0.002, answer, "error")
        if len(self.queue) >= WAITING:
            return answer("full")
        work = self.world.dice.uniform(*WORK[ask.cls]) * self.world.stretch * ask.units / 2.06
        if first and ask.key in self.keys:
            work *= CACHED
        self.keys.append(ask.key)
        self._count(now, work)
        self.queue.append((work, answer, ask))
        self.serve()

    def _count(self, now: float, work: float) -> None:
        """The rule on cold nodes: too much for what it can do, and it stays down."""
        self.recent.append((now, work))
        while self.recent[0][0] < now - FALL:
            self.recent.popleft()
        if self.born > 0 and sum(w for _, w in self.recent) > FALLS_AT * self.capacity() * CORES * FALL:
            self.fell = True
            self.world.fallen += 1

    def serve(self) -> None:
        now = self.world.clock.now
        if now < self.paused_until or self.silent or not self.up:
            return
        while self.queue and self.busy < CORES:
            work, answer, ask = self.queue.popleft()
            self.busy += 1
            self.world.clock.at(now + work / self.capacity(), self._served, answer)

    def _served(self, answer: Callable[[str], None]) -> None:
        self.busy -= 1
        if self.up and not self.silent:
            answer("served")
        self.serve()

    def pause(self) -> None:
        dice, now = self.world.dice, self.world.clock.now
        self.paused_until = now + dice.uniform(0.065, 0.24) * self.world.stretch
        self.world.clock.at(self.paused_until, self.serve)
        self.world.clock.at(now + dice.uniform(3.5, 8.6) * self.world.stretch, self.pause)

    def load(self) -> float:
        now = self.world.clock.now
        if now - self.report_at > self.world.dice.uniform(*REPORT_AGE):
            self.report, self.report_at = float(self.busy + len(self.queue)), now
        return self.report

    def backlog(self) -> float:
        """s until a request that came now would begin (the all-seeing dispatcher's eye)."""
        held = sum(work for work, _, _ in self.queue) + 0.5 * self.busy * 0.02 * self.world.stretch
        return max(self.paused_until - self.world.clock.now, 0.0) + held / (self.capacity() * CORES)


class World:
    """All that is not a host."""

    def __init__(
        self, seed: int, hosts: int, nodes: int, load: float, stretch: float, seconds: float
    ) -> None:
        self.dice, self.clock = random.Random(seed), Clock()
        self.hosts, self.stretch, self.seconds, self.load = hosts, stretch, seconds, load
        self.fallen, self.asks = 0, list[Ask]()
        self.nodes = [Node(self, shard, self._speed(), 0.0) for shard in range(nodes)]
        self.volumes = [self._volume(number, nodes) for number in range(6 * nodes)]
        self.settings = self._settings()
        self.listed: Callable[[Node, Node], None] = lambda old, new: None
        for node in self.nodes:
            self.clock.at(self.dice.uniform(0, 8) * stretch, node.pause)
        for volume in self.volumes:
            self.clock.at(self.dice.expovariate(1) * self._gap(volume), self._program, volume)

    def _speed(self) -> float:
        return self.dice.uniform(0.85, 1.1) if self.dice.random() < 0.71 else self.dice.uniform(0.51, 0.69)

    def _volume(self, number: int, nodes: int) -> Volume:
        dice, pick = self.dice, self.dice.random()
        plan = 0 if pick < 0.6 else 1 if pick < 0.88 else 2
        greedy = dice.uniform(1.5, 3) if dice.random() < 0.25 else 1.0
        rate = PLANS[plan][1] * self._base() * greedy * self.load
        return Volume(
            f"{number:016x}",
            plan,
            dice.sample(range(nodes), min(dice.randint(2, 6), nodes)),
            dice.sample(range(self.hosts), min(dice.randint(1, 3), self.hosts)),
            rate,
        )

    def _base(self) -> float:
        return 6.7 / self.stretch

    def _gap(self, volume: Volume) -> float:
        return PROGRAM * 2.06 / volume.rate

    def _settings(self) -> api.Settings:
        s, base = self.stretch, self._base()
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
            fall_window=FALL,
            start_capacity=COLD,
            warm_after=WARM,
            drain_grace=2.0,
            fall_multiple=FALLS_AT,
            retry_advice=1.0,
            max_units=8.0,
            usual_units=2.06,
            share_worth=0.4,
            spare_worth=0.05,
            meter_period=METER,
            shards=len(self.nodes),
        )

    def _program(self, volume: Volume) -> None:
        """Several requests in a row, most for the same piece of data; then a pause."""
        dice, now = self.dice, self.clock.now
        if now > self.seconds:
            return
        burst = dice.random() < 0.1 and 2.5 or 1.0  # a busier spell
        shard, key = dice.choice(volume.shards), dice.getrandbits(60)
        cls = dice.choices(range(3), SHARE)[0]
        host = volume.hosts[0] if dice.random() < 0.7 else dice.choice(volume.hosts)
        for number in range(min(1 + int(dice.expovariate(1 / (PROGRAM - 1))), 13)):
            units = float(min(1 + int(dice.expovariate(1 / 1.3)), 8))
            self.clock.at(now + 0.002 * number, self._ask, volume, host, cls, units, shard, key)
        self.clock.at(now + dice.expovariate(1) * self._gap(volume) / burst, self._program, volume)

    def _ask(self, volume: Volume, host: int, cls: int, units: float, shard: int, key: int) -> None:
        ask = Ask(cls, volume, units, shard, key, self.clock.now)
        plan, request = self.settings.plans[volume.plan], self.settings.classes[cls]
        due = volume.worth(self.clock.now, units, plan, self.stretch)
        ask.worth = due * request.worth * plan.price / 2.06
        self.asks.append(ask)
        self.arrive(host, ask)

    def arrive(self, host: int, ask: Ask) -> None:
        raise NotImplementedError

    def use(self, volume: Volume) -> float | None:
        """The meter: usual rates served in the last period that is told of by now."""
        period = int((self.clock.now - self.dice.uniform(*METER_LATE)) / METER) - 1
        return volume.used.get(period, 0.0) / METER / self.settings.plans[volume.plan].usual

    def replace(self, shard: int) -> None:
        """The node goes and another one, cold, holds its shard. Hosts hear of it later."""
        old = self.nodes[shard]
        old.up = False
        new = self.nodes[shard] = Node(self, shard, self._speed(), self.clock.now)
        self.clock.at(self.clock.now + 1.0, self.listed, old, new)
