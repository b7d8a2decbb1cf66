"""Backfill: batch items on slots that live requests leave free. Pure."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._interface import Action, Reject

URGENT_S = 3.0  # before its due time, from which an item may use more of a broker and does not yield


class BatchBackfill:
    """Takes items out of ``AdmissionState.batch_queue``: into an attempt, or returned to their worker."""

    def __init__(self, state: AdmissionState, selector: BrokerSelector) -> None:
        self._state = state
        self._selector = selector

    def dispatch(self, now: float) -> list[Action]:
        """Start attempts, the earliest due first; while live requests are pending only urgent items."""
        if not self._state.batch_queue:
            return []
        proxies = self._state.proxies
        brokers = self._state.brokers.values()
        actions: list[Action] = []
        if not any(broker.batch_capacity(now, proxies, urgent=True) >= 1 for broker in brokers):
            return actions
        for request in self._state.batch_queue.in_dispatch_order(now):
            is_urgent = request.due_at - now < URGENT_S
            if self._state.pending and not is_urgent:
                break
            candidates = [
                broker
                for broker in brokers
                if broker.batch_capacity(now, proxies, urgent=is_urgent) >= 1 and broker.accepts(request, now)
            ]
            if candidates:
                self._state.batch_queue.remove(request)
                broker = self._selector.select(request, candidates, now)
                actions.append(self._state.start_attempt(request, broker, now))
        return actions

    def reject_unserved(self, now: float) -> list[Action]:
        """Return items whose service has no broker left: their route may name another service by now."""
        actions: list[Action] = []
        for request in self._state.batch_queue.in_dispatch_order(now):
            if not self._state.serving(request):
                self._state.batch_queue.remove(request)
                actions.append(Reject(request, 0.0))
        return actions

    def free_slots(self, now: float) -> int:
        """How many items this proxy could start now, besides those queued: its equal share, at least one."""
        if self._state.pending:
            return 0
        proxies = self._state.proxies
        brokers = [
            broker
            for broker in self._state.brokers.values()
            if broker.is_listed and not broker.listing.draining
        ]
        capacity = sum(broker.batch_capacity(now, proxies) for broker in brokers)
        share = int(capacity / proxies) or int(capacity >= 1)
        connections = sum(broker.free_connections(proxies) for broker in brokers)
        return max(min(share, connections) - len(self._state.batch_queue), 0)
