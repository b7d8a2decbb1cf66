"""The brokers of a day: which exist, what the platform lists, and how a request reaches them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import attrs

from bench.admission.clock import Clock
from bench.admission.engine import EngineBroker, Fault, Run, RunEnd
from bench.admission.site import Site
from cherrycove.tier.dataplane.admission import AttemptOutcome
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.dataplane.upstream import CONNECT_TIMEOUT_S
from cherrycove.tier.distribution.cluster_view import Broker

SERVICE = "service"
CONNECTION_IDLE_S = 2.0  # for which a connection is kept after its last request
OUTCOMES = {
    RunEnd.COMPLETE: AttemptOutcome.SERVED,
    RunEnd.REJECTED: AttemptOutcome.REJECTED,
    RunEnd.BROKEN: AttemptOutcome.INCOMPLETE,
}


@attrs.define(eq=False)
class BrokerSite:
    """A place for a broker: its present instance and address."""

    number: int
    zone: str
    speed: float
    instance_id: str
    engine: EngineBroker


@attrs.define(eq=False)
class Attempt:
    """One request on its way to a broker and back; owned by the proxy that sent it."""

    run: Run
    engine: EngineBroker
    way_s: float
    is_over: bool = False


class Network:
    """Owns the brokers. ``on_listing`` is called whenever the platform's list changes."""

    def __init__(self, clock: Clock, site: Site, on_listing: Callable[[], None]) -> None:
        self.sites: list[BrokerSite] = []
        self.listed: dict[str, Broker] = {}
        self.engines: list[EngineBroker] = []
        self.new_connections = 0
        self._clock = clock
        self._site = site
        self._on_listing = on_listing
        self._started = 0
        self._by_id: dict[str, BrokerSite] = {}
        self._last_used: dict[tuple[int, str], float] = {}
        for zone, count in site.brokers.items():
            for _ in range(count):
                number = len(self.sites)
                speed = site.speeds[number % len(site.speeds)]
                self.sites.append(self._new_site(number, zone, speed))
        for place in self.sites:
            self.listed[place.instance_id] = self._entry(place)

    def replace(self, place: BrokerSite) -> None:
        """A new instance runs at the place; it is listed after the platform's lag."""
        renewed = self._new_site(place.number, place.zone, place.speed)
        place.instance_id, place.engine = renewed.instance_id, renewed.engine
        self._by_id[place.instance_id] = place
        self._clock.after(self._site.listing_lag_s, self._list, place)

    def unlist(self, instance_id: str) -> None:
        """The platform lists it no more."""
        if self.listed.pop(instance_id, None) is not None:
            self._on_listing()

    def drain(self, instance_id: str) -> None:
        """The platform lists it as draining."""
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
        """Send a request; what comes back arrives after the way between the zones."""
        place = self._by_id[instance_id]
        way_s = self._site.in_zone_s if place.zone == zone else self._site.cross_zone_s
        attempt = Attempt(run, place.engine, way_s)
        run.on_event = lambda load: self._clock.after(way_s, self._if_open, attempt, partial(on_event, load))
        run.on_end = lambda end: self._clock.after(
            way_s, self._finish, attempt, partial(on_end, OUTCOMES[end])
        )
        is_new = self._clock.now - self._last_used.get((proxy, instance_id), -1e9) > CONNECTION_IDLE_S
        self.new_connections += is_new
        self._last_used[proxy, instance_id] = self._clock.now
        self._clock.after(way_s * (3 if is_new else 1), self._deliver, attempt, place, is_new, on_end)
        return attempt

    def abandon(self, attempt: Attempt) -> None:
        """Its proxy closes the connection."""
        attempt.is_over = True
        self._clock.after(attempt.way_s, attempt.engine.drop, attempt.run)

    def _deliver(
        self, attempt: Attempt, place: BrokerSite, is_new: bool, on_end: Callable[[AttemptOutcome], None]
    ) -> None:
        if attempt.is_over:
            return
        engine = attempt.engine
        is_replaced = place.engine is not engine
        if engine.fault is Fault.GONE or is_replaced and engine.fault is not Fault.NONE:
            self._finish(attempt, partial(on_end, AttemptOutcome.UNREACHABLE))
        elif engine.fault is Fault.DARK:
            if is_new:
                self._clock.after(
                    CONNECT_TIMEOUT_S, self._finish, attempt, partial(on_end, AttemptOutcome.UNREACHABLE)
                )
        elif engine.fault is Fault.MUTE and self._strikes(engine):
            return
        elif engine.fault is Fault.FAILING and self._strikes(engine):
            self._finish(attempt, partial(on_end, AttemptOutcome.INCOMPLETE))
        else:
            engine.submit(attempt.run)

    def _strikes(self, engine: EngineBroker) -> bool:
        return (self._clock.now * 7919.0) % 1.0 < engine.fault_share

    def _if_open(self, attempt: Attempt, call: Callable[[], None]) -> None:
        if not attempt.is_over:
            call()

    def _finish(self, attempt: Attempt, call: Callable[[], None]) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            call()

    def _new_site(self, number: int, zone: str, speed: float) -> BrokerSite:
        self._started += 1
        engine = EngineBroker(self._clock, self._site.engine, speed)
        self.engines.append(engine)
        place = BrokerSite(number, zone, speed, f"i-{self._started}", engine)
        self._by_id[place.instance_id] = place
        return place

    def _list(self, place: BrokerSite) -> None:
        self.listed[place.instance_id] = self._entry(place)
        self._on_listing()

    def _entry(self, place: BrokerSite) -> Broker:
        return Broker(
            instance_id=place.instance_id,
            service=SERVICE,
            address=f"10.0.0.{place.number}:80",
            zone=place.zone,
            capacity_slots=self._site.engine.slots,
            draining=False,
        )
