"""What admission knows: routes of requests, brokers, and how fast these are. Folded from the views. Pure."""

from __future__ import annotations

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission._broker_state import BrokerState, new_broker_state
from cherrycove.tier.dataplane.admission._deadline_feasibility import LatencyForecast
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest, ClusterSnapshot
from cherrycove.tier.dataplane.admission._latency_estimate import LatencyEstimate
from cherrycove.tier.dataplane.admission._route_state import RouteState, new_route_state

BATCH_KIND = "batch"


class AdmissionState:
    """Kinds by route name, brokers by instance id, latencies by service."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteState] = {}
        self.brokers: dict[str, BrokerState] = {}
        self.latencies: dict[str, LatencyEstimate] = {}
        self.proxies = 1
        self._number = 0

    def update(self, now: float, snapshot: ClusterSnapshot) -> None:
        """The views have changed."""
        self.proxies = max(snapshot.proxies, 1)
        if snapshot.configuration is not None:
            for route in snapshot.configuration.routes:
                if route.route_kind != BATCH_KIND:
                    self._update_route(route, snapshot.arrivals_per_s.get(route.name), now)
        self._update_brokers(now, snapshot)

    def _update_route(self, route: Route, rate: float | None, now: float) -> None:
        kind = self.routes.get(route.name)
        if kind is None or kind.route != route:
            renewed = new_route_state(route, now)
            if kind is not None:
                renewed.credit_account, renewed.max_client_timeout_s = (
                    kind.credit_account,
                    kind.max_client_timeout_s,
                )
            kind = self.routes[route.name] = renewed
        if rate is not None:
            kind.set_arrival_rate(rate / self.proxies)

    def _update_brokers(self, now: float, snapshot: ClusterSnapshot) -> None:
        listed = {broker.instance_id: broker for broker in snapshot.brokers}
        for name, broker in listed.items():
            service = snapshot.configuration.service(broker.service) if snapshot.configuration else None
            state = self.brokers.get(name)
            if state is None:
                self._number += 1
                self.brokers[name] = new_broker_state(broker, service, self._number, now)
            else:
                state.broker, state.service = broker, service
        for name, state in self.brokers.items():
            state.is_listed = name in listed
        self.remove_unlisted()

    def remove_unlisted(self) -> None:
        """Drop brokers that are gone once nothing is open there."""
        for state in list(self.brokers.values()):
            if not state.is_listed and not state.in_flight and not state.node.head():
                del self.brokers[state.id]

    def serving(self, request: AdmissionRequest) -> list[BrokerState]:
        """Brokers that could run the request, sooner or later."""
        return [state for state in self.brokers.values() if state.can_serve(request)]

    def latency(self, service: str) -> LatencyEstimate:
        return self.latencies.setdefault(service, LatencyEstimate())

    def forecast(self, request: AdmissionRequest, ahead: int) -> LatencyForecast:
        """What is foretold for a live request with ``ahead`` others before it: that this proxy gets its even
        part of what the brokers can take while all their places are in use."""
        serving, latency = self.serving(request), self.latency(request.service)
        answering = [state for state in serving if not state.health.consecutive_failures]
        slots = sum(state.load.slots for state in answering)
        per_s = slots / max(latency.slot_hold_s, 0.001) / self.proxies
        return LatencyForecast(
            queue_wait_s=(ahead + 1) / per_s if per_s else 0.0,
            first_event_s=latency.first_event_s,
            is_reachable=bool(answering),
            is_retry=self.routes[request.route].is_retry(request),
        )
