"""State that the admission policies share; cluster snapshots update it."""

from __future__ import annotations

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission._batch_queue import BatchQueue
from cherrycove.tier.dataplane.admission._broker_state import BrokerState, new_broker_state
from cherrycove.tier.dataplane.admission._interface import AdmissionRequest, ClusterSnapshot, StartAttempt
from cherrycove.tier.dataplane.admission._latency_estimate import LatencyEstimate
from cherrycove.tier.dataplane.admission._pending_requests import PendingRequests
from cherrycove.tier.dataplane.admission._route_state import RouteState, new_route_state


class AdmissionState:
    """Routes, brokers, latency estimates and requests of one proxy; owned by its ``AdmissionScheduler``.

    Each request is in at most one of ``pending``, ``batch_queue`` and ``attempts``. Nothing here survives the
    process.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteState] = {}  # routes of live requests, by name
        self.brokers: dict[str, BrokerState] = {}  # by instance id, in the order of their first listing
        self.latencies: dict[str, LatencyEstimate] = {}  # by service name
        self.proxies = 1
        self.pending = PendingRequests()
        self.batch_queue = BatchQueue()
        self.attempts: dict[AdmissionRequest, BrokerState] = {}  # requests in flight, with their broker
        self._last_broker_number = 0

    def update(self, now: float, snapshot: ClusterSnapshot) -> None:
        """Apply a snapshot of the cluster."""
        self.proxies = max(snapshot.proxies, 1)
        if snapshot.configuration is not None:
            for route in snapshot.configuration.routes:
                if not route.is_batch:
                    self._update_route(route, snapshot.arrivals_per_s.get(route.name), now)
        self._update_brokers(now, snapshot)

    def remove_unlisted(self) -> None:
        """Remove unlisted brokers that have no attempts in flight and no queued requests."""
        for broker in list(self.brokers.values()):
            if not broker.is_listed and not broker.in_flight and not broker.queue.has_waiting():
                del self.brokers[broker.instance_id]

    def capable_brokers(self, request: AdmissionRequest) -> list[BrokerState]:
        """Return the brokers that could run the request, whether or not they have capacity now."""
        return [broker for broker in self.brokers.values() if broker.can_serve(request)]

    def latency(self, service: str) -> LatencyEstimate:
        """Return the latency estimate of a service, which is created on first use."""
        estimate = self.latencies.get(service)
        if estimate is None:
            estimate = self.latencies[service] = LatencyEstimate()
        return estimate

    def start_attempt(self, request: AdmissionRequest, broker: BrokerState, now: float) -> StartAttempt:
        """Record that an attempt starts, and return the action that starts it."""
        request.attempts += 1
        broker.start_attempt(request, now)
        self.attempts[request] = broker
        return StartAttempt(request, broker.instance_id)

    def _update_route(self, route: Route, arrivals_per_s: float | None, now: float) -> None:
        state = self.routes.get(route.name)
        if state is None or state.route != route:
            new_state = new_route_state(route, now)
            if state is not None:
                new_state.credit_account = state.credit_account
            state = self.routes[route.name] = new_state
        if arrivals_per_s is not None:
            state.set_arrival_rate(arrivals_per_s / self.proxies)

    def _update_brokers(self, now: float, snapshot: ClusterSnapshot) -> None:
        listings = {listing.instance_id: listing for listing in snapshot.brokers}
        configuration = snapshot.configuration
        for instance_id, listing in listings.items():
            service = configuration.service(listing.service) if configuration else None
            broker = self.brokers.get(instance_id)
            if broker is None:
                self._last_broker_number += 1
                self.brokers[instance_id] = new_broker_state(listing, service, self._last_broker_number, now)
            else:
                broker.listing = listing
                broker.service = service
        for instance_id, broker in self.brokers.items():
            broker.is_listed = instance_id in listings
        self.remove_unlisted()
