"""A model of several proxies and model brokers in simulated time, driving the scheduler of each proxy."""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import attrs
from dataplane_harness import configuration_bytes, route

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.dataplane.admission import (
    Action,
    AdmissionRequest,
    AdmissionScheduler,
    AttemptOutcome,
    ClusterSnapshot,
    Reject,
    StartAttempt,
)
from cherrycove.tier.dataplane.arrival_rates import ArrivalRates
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.dataplane.prompt import Prompt, PromptSegment
from cherrycove.tier.distribution.cluster_view import Broker

WAY_S = 0.001  # between proxy and broker
SLOTS = 24
QUEUE = 4  # requests that a broker holds beyond its slots
EVENT_S = 0.045  # between events of a stream
READ_TOKENS_PER_S = 128_000
TARGET_LATENCY_S = 0.2
CLIENT_TIMEOUT_S = 6.0
ITEM_DUE_S = 8.0
EVENTS = {"chat": 15, "report": 8, "lots": 30}


@attrs.define(eq=False)
class Work:
    """One request of a client, or one batch item, over all its tries."""

    kind: str
    began: float
    prompt: Prompt
    tries: int = 0
    try_began: float = 0.0
    first_s: float | None = None  # from the last try to the first event
    done: float | None = None
    refused: bool = False
    broken: bool = False


@attrs.define(eq=False)
class Engine:
    """One model broker."""

    broker: Broker
    running: dict[AdmissionRequest, int] = attrs.field(factory=dict)
    waiting: list[tuple[AdmissionRequest, int]] = attrs.field(factory=list)
    kept: set[str] = attrs.field(factory=set)
    reads_until: float = 0.0
    read_tokens: int = 0
    dead: bool = False


@attrs.define(eq=False)
class Fleet:
    proxies: int = 3
    brokers: int = 3
    seed: int = 1
    now: float = 0.0
    works: list[Work] = attrs.field(factory=list)
    backlog: list[Work] = attrs.field(factory=list)  # items that no proxy has
    engines: dict[str, Engine] = attrs.field(init=False)
    schedulers: list[AdmissionScheduler] = attrs.field(init=False)
    _rng: random.Random = attrs.field(init=False)
    _agenda: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = attrs.field(factory=list)
    _serial: int = 0
    _open: dict[AdmissionRequest, Work] = attrs.field(factory=dict)
    _wakes: dict[int, float] = attrs.field(factory=dict)
    _arrivals: list[ArrivalRates] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        names = [f"i-{number}" for number in range(self.brokers)]
        self.engines = {name: Engine(_listed(name)) for name in names}
        seeds = range(self.seed, self.seed + 7 * self.proxies, 7)
        self.schedulers = [AdmissionScheduler(random.Random(seed), 0.0) for seed in seeds]
        self._arrivals = [ArrivalRates() for _ in range(self.proxies)]
        self._know()

    # Traffic

    def requests(self, kind: str, per_s: float, start: float, end: float, shared: int, own: int) -> None:
        """Requests at random times; those of ``report`` belong to one of six subjects."""
        when = start + self._rng.expovariate(per_s)
        while when < end:
            subject = f"{kind}-{self._rng.randrange(6) if kind == 'report' else 0}"
            self._serial += 1
            prompt = Prompt(
                (PromptSegment(subject, shared), PromptSegment(f"own-{self._serial}", own)),
                shared + own,
                EVENTS[kind] * 20,
            )
            self._at(when, self._begin, Work(kind, when, prompt))
            when += self._rng.expovariate(per_s)

    def crash(self, name: str, when: float, unlisted_after: float) -> None:
        self._at(when, self._die, self.engines[name])
        self._at(when + unlisted_after, self._unlist, name)

    def run(self, until: float) -> None:
        while self._agenda and self._agenda[0][0] <= until:
            self.now, _, task, subject = heappop(self._agenda)
            task(*subject)

    def of(self, kind: str) -> list[Work]:
        return [work for work in self.works if work.kind == kind]

    def _at(self, when: float, task: Callable[..., None], *subject: Any) -> None:
        self._serial += 1
        heappush(self._agenda, (when, self._serial, task, subject))

    def _begin(self, work: Work) -> None:
        self.works.append(work)
        if work.kind == "lots":
            self.backlog.append(work)
            self._lease()
        else:
            self._try(work)

    def _try(self, work: Work) -> None:
        proxy = self._rng.randrange(self.proxies)
        work.tries, work.try_began = work.tries + 1, self.now
        left = CLIENT_TIMEOUT_S - (self.now - work.began)
        self._arrivals[proxy].add(work.kind, self.now)
        self._arrive(proxy, work, AdmissionRequest(
            route=work.kind, service="lm", arrived_at=self.now, target_latency_s=TARGET_LATENCY_S,
            deadline=self.now + left, client_timeout_s=left, prompt=work.prompt,
        ))  # fmt: skip

    def _lease(self) -> None:
        """Items to the proxies that have places; asked again while some are left."""
        for proxy, scheduler in enumerate(self.schedulers):
            for _ in range(min(scheduler.free_slots(self.now), len(self.backlog))):
                work = self.backlog.pop(0)
                self._arrive(proxy, work, AdmissionRequest(
                    route="lots", service="lm", arrived_at=self.now, target_latency_s=ITEM_DUE_S,
                    deadline=float("inf"), client_timeout_s=float("inf"), prompt=work.prompt, is_batch=True,
                    due_at=work.began + ITEM_DUE_S,
                ))  # fmt: skip

    # Proxies

    def _know(self) -> None:
        rates: dict[str, float] = {}
        for arrivals in self._arrivals:
            for name, rate in arrivals.per_second(self.now).items():
                rates[name] = rates.get(name, 0.0) + rate
        snapshot = ClusterSnapshot(
            configuration=CONFIGURATION, brokers=tuple(each.broker for each in self.engines.values()),
            proxies=self.proxies, arrivals_per_s=rates,
        )  # fmt: skip
        for proxy, scheduler in enumerate(self.schedulers):
            self._carry_out(proxy, scheduler.cluster_changed(self.now, snapshot))
        if self.backlog:
            self._lease()
        self._at(self.now + 0.25, self._know)

    def _arrive(self, proxy: int, work: Work, request: AdmissionRequest) -> None:
        self._open[request] = work
        self._carry_out(proxy, self.schedulers[proxy].request_arrived(self.now, request))

    def _carry_out(self, proxy: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt(request, name):
                    self._at(self.now + WAY_S, self._receive, proxy, request, self.engines[name])
                case Reject(request, advice):
                    self._refused(self._open.pop(request), advice)
        wake = self.schedulers[proxy].next_wake_at()
        if wake < self._wakes.get(proxy, float("inf")):
            self._wakes[proxy] = wake
            self._at(max(wake, self.now), self._wake, proxy, wake)

    def _wake(self, proxy: int, wake: float) -> None:
        if self._wakes.get(proxy) == wake:
            del self._wakes[proxy]
            self._carry_out(proxy, self.schedulers[proxy].wake(self.now))

    def _refused(self, work: Work, advice: float) -> None:
        left = CLIENT_TIMEOUT_S - (self.now - work.began)
        if work.tries < 2:
            self._at(self.now + min(advice, left / 3), self._try, work)
        else:
            work.refused = True

    # Brokers

    def _receive(self, proxy: int, request: AdmissionRequest, engine: Engine) -> None:
        if engine.dead:
            return self._end(proxy, request, AttemptOutcome.UNREACHABLE)
        if len(engine.running) < SLOTS:
            return self._start(proxy, request, engine)
        if len(engine.waiting) < QUEUE:
            engine.waiting.append((request, proxy))
        else:
            self._end(proxy, request, AttemptOutcome.REJECTED)

    def _start(self, proxy: int, request: AdmissionRequest, engine: Engine) -> None:
        tokens = sum(part.tokens for part in request.prompt.segments if part.id not in engine.kept)
        engine.kept.update(part.id for part in request.prompt.shared_segments)
        engine.running[request] = proxy
        engine.read_tokens += tokens
        engine.reads_until = max(engine.reads_until, self.now) + tokens / READ_TOKENS_PER_S
        self._at(engine.reads_until + EVENT_S, self._event, proxy, request, engine, 1)

    def _event(self, proxy: int, request: AdmissionRequest, engine: Engine, number: int) -> None:
        if engine.dead:
            return
        work, scheduler = self._open[request], self.schedulers[proxy]
        if number == 1:
            load = InstanceLoad(len(engine.running), len(engine.waiting), SLOTS)
            scheduler.response_started(self.now, request, load)
            work.first_s = self.now - work.try_began
        scheduler.body_received(self.now, request)
        if number < EVENTS[work.kind]:
            return self._at(self.now + EVENT_S, self._event, proxy, request, engine, number + 1)
        work.done = self.now
        del engine.running[request]
        self._end(proxy, request, AttemptOutcome.SERVED)
        if engine.waiting:
            waiting, its_proxy = engine.waiting.pop(0)
            self._start(its_proxy, waiting, engine)

    def _end(self, proxy: int, request: AdmissionRequest, ending: AttemptOutcome) -> None:
        self._carry_out(proxy, self.schedulers[proxy].attempt_ended(self.now, request, ending))
        work = self._open.pop(request)
        if ending in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE):
            self._arrive(proxy, work, request)
        elif ending is AttemptOutcome.INCOMPLETE:
            work.broken = True
            if request.is_batch:
                self.backlog.append(work)

    def _die(self, engine: Engine) -> None:
        engine.dead = True
        for request, proxy in [*engine.running.items(), *engine.waiting]:
            self._end(proxy, request, AttemptOutcome.INCOMPLETE)

    def _unlist(self, name: str) -> None:
        del self.engines[name]


def _listed(name: str) -> Broker:
    return Broker(
        instance_id=name, service="lm", address="10.0.0.1:80", zone="z", capacity_slots=SLOTS, draining=False
    )


CONFIGURATION = parse_configuration(configuration_bytes([
    route("chat", "/chat/", "streaming", targetLatencyMs=TARGET_LATENCY_S * 1000,
          timeoutMs=CLIENT_TIMEOUT_S * 1000),
    route("report", "/report/", "streaming", targetLatencyMs=TARGET_LATENCY_S * 1000,
          timeoutMs=CLIENT_TIMEOUT_S * 1000),
    route("lots", "/lots/", "batch", timeoutMs=60000, completionTargetMs=8000, retentionS=60),
])).unwrap()  # fmt: skip
