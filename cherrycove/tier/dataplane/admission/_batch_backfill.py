"""Backfill: batch items on slots that live requests leave free. Pure."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import Action, AdmissionRequest, Reject

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
        has_room = any(broker.batch_capacity(now, proxies, urgent=True) >= 1 for broker in brokers)
        actions: list[Action] = []
        for request in self._state.batch_queue.in_dispatch_order(now):
            is_urgent = request.due_at - now < URGENT_S
            if self._state.pending and not is_urgent:
                break
            broker = self._placed_broker(request, now)
            if broker is None and has_room:
                broker = self._chosen_broker(request, now, is_urgent=is_urgent)
            if broker is not None:
                self._state.batch_queue.remove(request)
                actions.append(self._state.start_attempt(request, broker, now))
        return actions

    def _placed_broker(self, request: AdmissionRequest, now: float) -> BrokerState | None:
        """The broker at which the stores placed the item, unless a fresh report says that it is full.

        The slots that are kept for live requests are not counted here: the stores bound the items of all
        proxies together by them.
        """
        broker = self._state.brokers.get(request.preferred_broker)
        if broker is None or not broker.accepts(request, now):
            return None
        proxies = self._state.proxies
        if broker.load.is_fresh(now) and broker.load.free_slots(now, proxies) < 1:
            return None
        is_free = now >= broker.load.full_until and broker.free_connections(proxies) > 0
        return broker if is_free else None

    def _chosen_broker(self, request: AdmissionRequest, now: float, *, is_urgent: bool) -> BrokerState | None:
        """One that seems to have room; what others run there is known from its last response only."""
        proxies = self._state.proxies
        candidates = [
            broker
            for broker in self._state.brokers.values()
            if broker.batch_capacity(now, proxies, urgent=is_urgent) >= 1 and broker.accepts(request, now)
        ]
        return self._selector.select(request, candidates, now) if candidates else None

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
