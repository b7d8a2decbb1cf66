"""One day of one site, with one seed: assembles the models, plays them, and sums them up."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from bench.admission.batch import BatchJobs
from bench.admission.clock import Clock
from bench.admission.faults import FaultPlayer
from bench.admission.network import SERVICE, Network
from bench.admission.outcomes import Figures, Outcome, figures
from bench.admission.proxy import Proxy
from bench.admission.site import Day, RequestKind, Site, ZoneTraffic
from bench.admission.traffic import Clients
from cherrycove.tier.configuration import Configuration, Engine, Route, Service
from cherrycove.tier.dataplane.admission import ClusterSnapshot

NEWS_DELAY_S = (0.01, 0.1)  # from the platform's list to a proxy
RATES_INTERVAL_S = 1.0
SETTLE_S = 10.0  # behind the last request


@attrs.frozen
class Result:
    """One played day."""

    seed: int
    figures: Figures
    losses: dict[str, dict[str, int]]  # by kind, then by how it ended
    most_waiting: int  # in the queue of any broker
    new_connections: int
    left_out: tuple[str, ...]  # kinds of faults that were not played


class Experiment:
    """Owns all models of one day."""

    def __init__(self, site: Site, day: Day, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._seed = seed
        self._clock = Clock()
        self._proxies: list[Proxy] = []
        self._network = Network(self._clock, site, self._spread_list)
        for zone, count in site.proxies.items():
            for _ in range(count):
                self._proxies.append(self._new_proxy(zone))
        self._faults = FaultPlayer(self._clock, site, self._network, self._rng, self._kill_proxies)
        for fault in day.faults:
            self._faults.add(fault)
        self._spread_list()
        self._clients = Clients(self._clock, site, day, self._proxies, self._rng, self._submit)
        self._batch = BatchJobs(self._clock, site, self._proxies, self._clients.prompts, self._rng)
        self._clock.after(RATES_INTERVAL_S, self._spread_rates)

    def play(self) -> Result:
        """Play the day to its end."""
        self._clock.run(self._site.length_s + SETTLE_S)
        outcomes = [*self._clients.outcomes, *self._batch.outcomes]
        return Result(
            seed=self._seed,
            figures=figures(outcomes),
            losses=_losses(outcomes),
            most_waiting=max(engine.most_waiting for engine in self._network.engines),
            new_connections=self._network.new_connections,
            left_out=tuple(sorted(set(self._faults.left_out))),
        )

    def _new_proxy(self, zone: str) -> Proxy:
        number = len(self._proxies)
        return Proxy(number, zone, self._clock, self._network, self._site.client_s, self._rng)

    def _submit(self, zone: ZoneTraffic, kind: RequestKind, now: float) -> None:
        self._batch.submit(zone, kind, now)

    def _spread_list(self) -> None:
        """Each proxy learns the present list after a while of its own."""
        snapshot = self._snapshot()
        for proxy in self._proxies:
            self._clock.after(self._rng.uniform(*NEWS_DELAY_S), proxy.learn, snapshot)

    def _spread_rates(self) -> None:
        self._spread_list()
        self._clock.after(RATES_INTERVAL_S, self._spread_rates)

    def _snapshot(self) -> ClusterSnapshot:
        rates: Counter[str] = Counter()
        for proxy in self._proxies:
            if proxy.is_up:
                rates.update(proxy.arrivals.per_second(self._clock.now))
        return ClusterSnapshot(
            configuration=_configuration(self._site),
            brokers=tuple(self._network.listed.values()),
            proxies=sum(proxy.is_up for proxy in self._proxies),
            arrivals_per_s=rates,
        )

    def _kill_proxies(self, share: float, down_s: float) -> None:
        count = round(share * len(self._proxies))
        for proxy in self._rng.sample(self._proxies, count):
            proxy.kill()
            self._batch.proxy_killed(proxy)
            self._clock.after(down_s, self._start_proxy, proxy)

    def _start_proxy(self, proxy: Proxy) -> None:
        proxy.start()
        proxy.learn(self._snapshot())


def _configuration(site: Site) -> Configuration:
    engine = Engine(
        capacity_slots=site.engine.slots,
        kv_cache_tokens=site.engine.memory_tokens,
        stride=site.engine.stride,
    )
    return Configuration(
        version=1,
        routes=[_route(kind) for kind in site.kinds],
        services=[Service(name=SERVICE, connection_limit=site.engine.connections, engine=engine)],
    )


def _route(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        hostname="h.example",
        path_prefix=f"/{kind.name}/",
        route_kind="batch" if kind.is_batch else "streaming",
        service=SERVICE,
        timeout_ms=kind.route_timeout_s * 1000,
        target_latency_ms=kind.target_s * 1000,
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        resumable=kind.is_resumable,
        gap_aim_ms=kind.pause_s * 1000,
        completion_target_ms=kind.target_s * 1000,
    )


def _losses(outcomes: list[Outcome]) -> dict[str, dict[str, int]]:
    losses: dict[str, Counter[str]] = {}
    for outcome in outcomes:
        if outcome.is_in_time:
            continue
        losses.setdefault(outcome.kind.name, Counter())[outcome.loss] += 1
    return {kind: dict(counts) for kind, counts in losses.items()}
