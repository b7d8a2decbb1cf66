"""Dispatches pending live requests to brokers with capacity, and rejects those that cannot be answered."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission import _concurrency_limit
from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._deadline_feasibility import LatencyForecaster, rejection
from cherrycove.tier.dataplane.admission._interface import Action, AdmissionRequest, PendingCause

BrokerSet = dict[BrokerState, None]  # used as an ordered set


class LiveDispatcher:
    """Takes live requests out of ``AdmissionState.pending``: starts an attempt or rejects them.

    A request is never kept pending while a broker that accepts it has capacity.
    """

    def __init__(self, state: AdmissionState, selector: BrokerSelector) -> None:
        self._state = state
        self._selector = selector

    def dispatch(self, now: float, window_end: float) -> list[Action]:
        """Start attempts in dispatch order; requests past their target may exceed the concurrency limit."""
        if not self._state.pending:
            return []
        proxies = self._state.proxies
        brokers = self._state.brokers.values()
        free: BrokerSet = dict.fromkeys(each for each in brokers if each.has_live_capacity(now, proxies))
        overdue_only: BrokerSet = dict.fromkeys(
            each for each in brokers if each.has_overdue_capacity(now, proxies)
        )
        actions: list[Action] = []
        for request in self._state.pending.in_dispatch_order(now):
            if not free and not overdue_only:
                break
            usable = free | overdue_only if now >= request.due_at else free
            candidates = [broker for broker in usable if broker.accepts(request, now)]
            if not candidates:
                continue
            actions.append(self._start_attempt(request, candidates, now, window_end))
            broker = self._state.attempts[request]
            if not broker.has_live_capacity(now, proxies):
                free.pop(broker, None)
            if not broker.has_overdue_capacity(now, proxies):
                overdue_only.pop(broker, None)
        return actions

    def reject_infeasible(self, now: float) -> list[Action]:
        """Reject all pending requests that cannot be served in time."""
        actions: list[Action] = []
        forecaster = LatencyForecaster(self._state, now)
        for ahead, request in enumerate(self._state.pending.in_dispatch_order(now)):
            actions += self._reject_if_infeasible(request, ahead, now, forecaster)
        return actions

    def reject_if_infeasible(self, request: AdmissionRequest, now: float) -> list[Action]:
        """Reject this pending request if it cannot be served in time."""
        ahead = self._state.pending.in_dispatch_order(now).index(request)
        return self._reject_if_infeasible(request, ahead, now, LatencyForecaster(self._state, now))

    def retry_after_s(self, request: AdmissionRequest, now: float) -> float:
        """Return when this request, were it to come again, could start an attempt behind all that wait."""
        proxies = self._state.proxies
        brokers = self._state.capable_brokers(request)
        if any(broker.has_live_capacity(now, proxies) and broker.accepts(request, now) for broker in brokers):
            return 0.0
        return LatencyForecaster(self._state, now).forecast(request, len(self._state.pending)).retry_after_s

    def pending_cause(self, request: AdmissionRequest, now: float) -> PendingCause:
        """Return why the request, for which no attempt has just started, has to wait."""
        capable = self._state.capable_brokers(request)
        if not capable:
            return PendingCause.NO_BROKER
        accepting = [broker for broker in capable if broker.accepts(request, now)]
        if not accepting:
            return PendingCause.EJECTED
        if not any(broker.free_connections(self._state.proxies) for broker in accepting):
            return PendingCause.NO_CONNECTION
        return PendingCause.NO_SLOT

    def _start_attempt(
        self, request: AdmissionRequest, candidates: list[BrokerState], now: float, window_end: float
    ) -> Action:
        healthy = [broker for broker in candidates if broker.health.admits_live(now)]
        broker = self._selector.select(request, healthy or candidates, now)
        if request.queue_entry is None or request.queue_entry.node is not broker.queue:
            _concurrency_limit.record_arrival(broker, request.due_at, window_end)
        self._state.pending.remove(request)
        _concurrency_limit.record_wait(broker, request.route, now - request.queued_at)
        return self._state.start_attempt(request, broker, now)

    def _reject_if_infeasible(
        self, request: AdmissionRequest, ahead: int, now: float, forecaster: LatencyForecaster
    ) -> list[Action]:
        decision = rejection(request, now, forecaster.forecast(request, ahead))
        if decision is None:
            return []
        self._state.pending.remove(request)
        return [decision]
