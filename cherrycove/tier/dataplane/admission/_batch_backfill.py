"""Backfill: sends batch items to slots that live requests leave free."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._interface import Action, AdmissionRequest, Reject

# An item that is due within this time is urgent: it may use a larger fraction of a broker's slots, and is
# sent even while live requests are pending.
URGENT_BEFORE_DUE_S = 3.0


class BatchBackfill:
    """Takes items out of ``AdmissionState.batch_queue``: starts an attempt or returns them to the worker."""

    def __init__(self, state: AdmissionState, selector: BrokerSelector) -> None:
        self._state = state
        self._selector = selector

    def dispatch(self, now: float) -> list[Action]:
        """Start attempts, earliest due time first; only for urgent items while live requests are pending."""
        if not self._state.batch_queue:
            return []
        proxies = self._state.proxies
        brokers = self._state.brokers.values()
        has_room = any(broker.batch_capacity(now, proxies, urgent=True) >= 1 for broker in brokers)
        actions: list[Action] = []
        for request in self._state.batch_queue.in_dispatch_order(now):
            is_urgent = request.due_at - now < URGENT_BEFORE_DUE_S
            if self._state.pending and not is_urgent:
                break
            broker = self._placed_broker(request, now)
            if broker is None and has_room:
                broker = self._select_broker(request, now, is_urgent=is_urgent)
            if broker is not None:
                self._state.batch_queue.remove(request)
                actions.append(self._state.start_attempt(request, broker, now))
        return actions

    def _placed_broker(self, request: AdmissionRequest, now: float) -> BrokerState | None:
        """Return the broker at which the batch stores placed the item; None if it cannot take the item now.

        It cannot if it does not accept the item, has just rejected a request, has no connection left for this
        proxy, or has no free slot by a fresh load report. The slots reserved for live requests are not
        subtracted here: the stores already do that when they limit the items of all proxies together.
        """
        broker = self._state.brokers.get(request.preferred_broker)
        if broker is None or not broker.accepts(request, now):
            return None
        proxies = self._state.proxies
        if broker.load.is_fresh(now) and broker.load.free_slots(now, proxies) < 1:
            return None
        is_free = now >= broker.load.full_until and broker.free_connections(proxies) > 0
        return broker if is_free else None

    def _select_broker(self, request: AdmissionRequest, now: float, *, is_urgent: bool) -> BrokerState | None:
        """Select a broker with estimated batch capacity; None if there is none.

        What other proxies run at a broker is known only from its last load report.
        """
        proxies = self._state.proxies
        candidates = [
            broker
            for broker in self._state.brokers.values()
            if broker.batch_capacity(now, proxies, urgent=is_urgent) >= 1 and broker.accepts(request, now)
        ]
        return self._selector.select(request, candidates, now) if candidates else None

    def reject_unservable(self, now: float) -> list[Action]:
        """Return items to the worker if no broker can run them: their route may name another service now."""
        actions: list[Action] = []
        for request in self._state.batch_queue.in_dispatch_order(now):
            if not self._state.capable_brokers(request):
                self._state.batch_queue.remove(request)
                actions.append(Reject(request, 0.0))
        return actions

    def free_slots(self, now: float) -> int:
        """Return how many items this proxy could start now, in addition to those queued here.

        This is the proxy's equal share of the brokers' batch capacity, at least one while there is capacity,
        within the connections that it has left; 0 while live requests are pending.
        """
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
