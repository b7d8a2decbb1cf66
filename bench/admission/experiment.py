"""Simulates one day of a site with one seed: assembles the models, runs them and summarises the outcomes."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from bench.admission.batch import BatchJobs
from bench.admission.clock import Clock
from bench.admission.faults import FaultScheduler
from bench.admission.network import SERVICE, Network
from bench.admission.outcomes import Figures, Outcome, figures
from bench.admission.proxy import Proxy
from bench.admission.site import Day, RequestKind, Site, ZoneTraffic
from bench.admission.traffic import Clients
from cherrycove.tier.configuration import Configuration, Engine, Route, Service
from cherrycove.tier.dataplane.admission import ClusterSnapshot

PROPAGATION_DELAY_S = (0.01, 0.1)  # range of the delay from a change of the platform's listing to a proxy
PUBLISH_INTERVAL_S = 1.0
SETTLE_S = 10.0  # after the last request


@attrs.frozen
class Result:
    """The result of one simulated day."""

    seed: int
    figures: Figures
    losses: dict[str, dict[str, int]]  # counts by request kind, then by cause of loss
    max_waiting: int  # longest queue of any broker
    new_connections: int
    skipped_faults: tuple[str, ...]  # kinds of faults that this model does not support


class Experiment:
    """Owns all models of one simulated day."""

    def __init__(self, site: Site, day: Day, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._seed = seed
        self._clock = Clock()
        self._proxies: list[Proxy] = []
        self._network = Network(self._clock, site, self._publish_listing)
        for zone, count in site.proxies.items():
            for _ in range(count):
                self._proxies.append(self._new_proxy(zone))
        self._faults = FaultScheduler(self._clock, site, self._network, self._rng, self._kill_proxies)
        for fault in day.faults:
            self._faults.add(fault)
        self._publish_listing()
        self._clients = Clients(self._clock, site, day, self._proxies, self._rng, self._submit)
        self._batch = BatchJobs(self._clock, site, self._proxies, self._clients.prompts, self._rng)
        self._clock.after(PUBLISH_INTERVAL_S, self._publish_periodically)

    def run(self) -> Result:
        """Simulate the day to its end and return its result."""
        self._clock.run(self._site.length_s + SETTLE_S)
        outcomes = [*self._clients.outcomes, *self._batch.outcomes]
        return Result(
            seed=self._seed,
            figures=figures(outcomes),
            losses=_losses(outcomes),
            max_waiting=max(engine.max_waiting for engine in self._network.engines),
            new_connections=self._network.new_connections,
            skipped_faults=tuple(sorted(set(self._faults.skipped_faults))),
        )

    def _new_proxy(self, zone: str) -> Proxy:
        number = len(self._proxies)
        return Proxy(number, zone, self._clock, self._network, self._site.client_s, self._rng)

    def _submit(self, zone: ZoneTraffic, kind: RequestKind, now: float) -> None:
        self._batch.submit(zone, kind, now)

    def _publish_listing(self) -> None:
        """Send the present cluster state to each proxy, each with a random delay."""
        snapshot = self._snapshot()
        for proxy in self._proxies:
            self._clock.after(self._rng.uniform(*PROPAGATION_DELAY_S), proxy.update_cluster, snapshot)

    def _publish_periodically(self) -> None:
        self._publish_listing()
        self._clock.after(PUBLISH_INTERVAL_S, self._publish_periodically)

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
        proxy.update_cluster(self._snapshot())


def _configuration(site: Site) -> Configuration:
    engine = Engine(
        capacity_slots=site.engine.slots,
        kv_cache_tokens=site.engine.kv_cache_tokens,
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
        gap_aim_ms=kind.max_pause_s * 1000,
        completion_target_ms=kind.target_s * 1000,
    )


def _losses(outcomes: list[Outcome]) -> dict[str, dict[str, int]]:
    losses: dict[str, Counter[str]] = {}
    for outcome in outcomes:
        if outcome.is_in_time:
            continue
        losses.setdefault(outcome.kind.name, Counter())[outcome.loss] += 1
    return {kind: dict(counts) for kind, counts in losses.items()}
