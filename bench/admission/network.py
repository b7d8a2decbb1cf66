"""The brokers of a day, the platform's listing of them, and the network between proxies and brokers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import attrs

from bench.admission.clock import Clock
from bench.admission.engine import EngineBroker, EngineFault, Run, RunEnd
from bench.admission.site import Site
from cherrycove.tier.dataplane.admission import AttemptOutcome
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.dataplane.upstream import CONNECT_TIMEOUT_S
from cherrycove.tier.distribution.cluster_view import Broker

SERVICE = "service"
CONNECTION_IDLE_S = 2.0  # idle time after which a connection is closed
OUTCOMES = {
    RunEnd.COMPLETE: AttemptOutcome.SERVED,
    RunEnd.REJECTED: AttemptOutcome.REJECTED,
    RunEnd.ABORTED: AttemptOutcome.INCOMPLETE,
}


@attrs.define(eq=False)
class BrokerHost:
    """A host for a broker; ``Network.replace`` changes its instance and keeps its address."""

    number: int
    zone: str
    slowdown: float
    instance_id: str
    engine: EngineBroker


@attrs.define(eq=False)
class Attempt:
    """One request sent to a broker; owned by the proxy that sent it. ``one_way_s`` is the network delay."""

    run: Run
    engine: EngineBroker
    one_way_s: float
    is_over: bool = False


class Network:
    """Owns the brokers. Calls ``on_listing`` whenever the platform's listing changes."""

    def __init__(self, clock: Clock, site: Site, on_listing: Callable[[], None]) -> None:
        self.hosts: list[BrokerHost] = []
        self.listed: dict[str, Broker] = {}
        self.engines: list[EngineBroker] = []
        self.new_connections = 0
        self._clock = clock
        self._site = site
        self._on_listing = on_listing
        self._started = 0
        self._by_id: dict[str, BrokerHost] = {}
        self._last_used: dict[tuple[int, str], float] = {}
        for zone, count in site.brokers.items():
            for _ in range(count):
                number = len(self.hosts)
                slowdown = site.slowdowns[number % len(site.slowdowns)]
                self.hosts.append(self._new_host(number, zone, slowdown))
        for host in self.hosts:
            self.listed[host.instance_id] = self._entry(host)

    def replace(self, host: BrokerHost) -> None:
        """Start a new instance on the host; it is listed after the platform's lag."""
        replacement = self._new_host(host.number, host.zone, host.slowdown)
        host.instance_id, host.engine = replacement.instance_id, replacement.engine
        self._by_id[host.instance_id] = host
        self._clock.after(self._site.listing_lag_s, self._list, host)

    def unlist(self, instance_id: str) -> None:
        """Remove an instance from the platform's listing."""
        if self.listed.pop(instance_id, None) is not None:
            self._on_listing()

    def drain(self, instance_id: str) -> None:
        """Mark an instance as draining in the platform's listing."""
        if instance_id in self.listed:
            self.listed[instance_id] = attrs.evolve(self.listed[instance_id], draining=True)
            self._on_listing()

    def send(
        self,
        proxy: int,
        zone: str,
        instance_id: str,
        run: Run,
        on_end: Callable[[AttemptOutcome], None],
        on_event: Callable[[InstanceLoad], None],
    ) -> Attempt:
        """Send a request; the callbacks are called after the network delay between the zones."""
        host = self._by_id[instance_id]
        one_way_s = self._site.in_zone_s if host.zone == zone else self._site.cross_zone_s
        attempt = Attempt(run, host.engine, one_way_s)
        run.on_event = lambda load: self._clock.after(
            one_way_s, self._if_open, attempt, partial(on_event, load)
        )
        run.on_end = lambda end: self._clock.after(
            one_way_s, self._finish, attempt, partial(on_end, OUTCOMES[end])
        )
        is_new = self._clock.now - self._last_used.get((proxy, instance_id), -1e9) > CONNECTION_IDLE_S
        self.new_connections += is_new
        self._last_used[proxy, instance_id] = self._clock.now
        self._clock.after(one_way_s * (3 if is_new else 1), self._deliver, attempt, host, is_new, on_end)
        return attempt

    def abandon(self, attempt: Attempt) -> None:
        """Close the connection of an attempt; the broker drops the request after the network delay."""
        attempt.is_over = True
        self._clock.after(attempt.one_way_s, attempt.engine.drop, attempt.run)

    def _deliver(
        self, attempt: Attempt, host: BrokerHost, is_new: bool, on_end: Callable[[AttemptOutcome], None]
    ) -> None:
        if attempt.is_over:
            return
        engine = attempt.engine
        is_replaced = host.engine is not engine
        if engine.fault is EngineFault.REFUSING or is_replaced and engine.fault is not EngineFault.NONE:
            self._finish(attempt, partial(on_end, AttemptOutcome.UNREACHABLE))
        elif engine.fault is EngineFault.UNRESPONSIVE:
            if is_new:
                self._clock.after(
                    CONNECT_TIMEOUT_S, self._finish, attempt, partial(on_end, AttemptOutcome.UNREACHABLE)
                )
        elif engine.fault is EngineFault.HANGING and self._is_affected(engine):
            return
        elif engine.fault is EngineFault.FAILING and self._is_affected(engine):
            self._finish(attempt, partial(on_end, AttemptOutcome.INCOMPLETE))
        else:
            engine.submit(attempt.run)

    def _is_affected(self, engine: EngineBroker) -> bool:
        return (self._clock.now * 7919.0) % 1.0 < engine.affected_share

    def _if_open(self, attempt: Attempt, call: Callable[[], None]) -> None:
        if not attempt.is_over:
            call()

    def _finish(self, attempt: Attempt, call: Callable[[], None]) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            call()

    def _new_host(self, number: int, zone: str, slowdown: float) -> BrokerHost:
        self._started += 1
        engine = EngineBroker(self._clock, self._site.engine, slowdown)
        self.engines.append(engine)
        host = BrokerHost(number, zone, slowdown, f"i-{self._started}", engine)
        self._by_id[host.instance_id] = host
        return host

    def _list(self, host: BrokerHost) -> None:
        self.listed[host.instance_id] = self._entry(host)
        self._on_listing()

    def _entry(self, host: BrokerHost) -> Broker:
        return Broker(
            instance_id=host.instance_id,
            service=SERVICE,
            address=f"10.0.0.{host.number}:80",
            zone=host.zone,
            capacity_slots=self._site.engine.slots,
            draining=False,
        )
