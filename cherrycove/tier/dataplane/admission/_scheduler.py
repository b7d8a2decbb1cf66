"""The state machine of admission at one proxy, which passes events on to the policies."""

from __future__ import annotations

import random
from collections.abc import Iterator, Set
from math import inf

from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._attempt_feedback import AttemptFeedback
from cherrycove.tier.dataplane.admission._batch_backfill import BatchBackfill
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._credit_policy import CreditPolicy
from cherrycove.tier.dataplane.admission._interface import (
    Action,
    AdmissionRequest,
    AttemptOutcome,
    ClusterSnapshot,
    Reject,
)
from cherrycove.tier.dataplane.admission._live_dispatcher import LiveDispatcher
from cherrycove.tier.dataplane.headers import InstanceLoad

PENDING_TICK_S = 0.02  # interval of wake-ups while live requests are pending
IN_FLIGHT_TICK_S = 0.05  # interval of wake-ups while there are only attempts in flight or pending batch items
# This process is taken to have stalled if it handled no event for this long while attempts were in flight.
PROCESS_STALL_S = 0.25


class AdmissionScheduler:
    """Admits, queues and rejects all requests of one proxy; owned by its ``AdmissionController``.

    Event methods take the monotonic time ``now``, which must never decrease, and return actions in the order
    in which they are to be executed. The scheduler has no clock and does no I/O; a restart of the process
    loses its state.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.state = AdmissionState()
        selector = BrokerSelector(self.state, rng)
        self._credits = CreditPolicy(self.state, selector, now)
        self._live = LiveDispatcher(self.state, selector)
        self._batch = BatchBackfill(self.state, selector)
        self._feedback = AttemptFeedback(self.state)
        self._advanced_at = now

    def cluster_changed(self, now: float, snapshot: ClusterSnapshot) -> list[Action]:
        """Apply a change of brokers, configuration, proxies or arrival rates.

        A stall of this process that ends with this event or with an arrival is not detected: only ``wake``
        and ``attempt_ended`` check for one, and this event resets the time that they compare with.
        """
        self.state.update(now, snapshot)
        for broker in self.state.brokers.values():
            if not broker.is_listed or broker.listing.draining:
                self._credits.return_to_credit_queue(broker)
        self.state.remove_unlisted()
        return self._batch.reject_unservable(now) + self._advance(now)

    def request_arrived(self, now: float, request: AdmissionRequest) -> list[Action]:
        """Add a request that is to be sent to a broker, for the first time or again."""
        request.queued_at = now
        return self._batch_arrived(now, request) if request.is_batch else self._live_arrived(now, request)

    def request_withdrawn(self, request: AdmissionRequest) -> None:
        """Remove a pending request that was cancelled."""
        if request.is_batch:
            self.state.batch_queue.remove(request)
        elif request in self.state.pending:
            self.state.pending.remove(request)

    def response_started(self, now: float, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        """Record that the head of a response was received, with the broker's load report if it had one."""
        self._feedback.response_started(now, request, load)

    def body_received(self, now: float, request: AdmissionRequest) -> None:
        """Record that bytes of a response body were received."""
        self._feedback.body_received(now, request)

    def attempt_ended(self, now: float, request: AdmissionRequest, outcome: AttemptOutcome) -> list[Action]:
        """Record the end of an attempt; to retry the request, call ``request_arrived`` again."""
        self._check_process_stall(now)
        if not self._feedback.attempt_ended(now, request, outcome):
            return []
        self.state.remove_unlisted()
        return self._advance(now)

    def next_wake_at(self) -> float:
        """Return when ``wake`` is to be called; inf while nothing is pending or in flight."""
        if self.state.pending:
            return self._advanced_at + PENDING_TICK_S
        if self.state.batch_queue or self.state.attempts:
            return self._advanced_at + IN_FLIGHT_TICK_S
        return inf

    def wake(self, now: float) -> list[Action]:
        """Do what is due by ``now``: cancel stalled attempts, dispatch, reject what cannot be answered."""
        self._check_process_stall(now)
        actions = self._feedback.cancel_stalled(now)
        actions += self._advance(now)
        actions += self._live.reject_infeasible(now)
        return actions

    def retry_after_s(self, now: float, request: AdmissionRequest) -> float:
        """Return when the client of a request that was not executed should come back."""
        return self._live.retry_after_s(request, now)

    def free_slots(self, now: float) -> int:
        """Return how many batch items this proxy could start now, in addition to those queued here."""
        return self._batch.free_slots(now)

    def usable_slots(self, services: Set[str]) -> int:
        """Return the slots of all brokers of ``services`` that are listed, not draining and healthy."""
        return sum(broker.load.slots for broker in self._healthy_brokers(services))

    def brokers_for_items(self, services: Set[str], now: float) -> dict[str, int]:
        """Return the slots, by instance id, of the brokers at which this proxy could start a batch item now.

        These are the brokers that ``usable_slots`` counts, except those that have no connection left for this
        proxy or have just rejected a request.
        """
        proxies = self.state.proxies
        return {
            broker.instance_id: broker.load.slots
            for broker in self._healthy_brokers(services)
            if broker.free_connections(proxies) and now >= broker.load.full_until
        }

    def _healthy_brokers(self, services: Set[str]) -> Iterator[BrokerState]:
        for broker in self.state.brokers.values():
            is_serving = broker.is_listed and not broker.listing.draining
            if is_serving and broker.listing.service in services and broker.health.is_healthy:
                yield broker

    def _batch_arrived(self, now: float, request: AdmissionRequest) -> list[Action]:
        if not self.state.capable_brokers(request):
            return [Reject(request, 0.0)]
        self.state.batch_queue.add(request)
        return self._advance(now)

    def _live_arrived(self, now: float, request: AdmissionRequest) -> list[Action]:
        if request.route not in self.state.routes:
            return [Reject(request, 0.0)]
        self._credits.enqueue(request)
        self.state.pending.add(request)
        request.pending_cause = None
        actions = self._advance(now)
        if request in self.state.pending:
            request.pending_cause = self._live.pending_cause(request, now)
            self._credits.spend_credit(request, now)
            actions += self._live.reject_if_infeasible(request, now)
        return actions

    def _advance(self, now: float) -> list[Action]:
        """Close the period if it has ended, then dispatch live requests and after them batch items."""
        self._advanced_at = now
        self._credits.close_period(now)
        return self._live.dispatch(now, self._credits.window_end) + self._batch.dispatch(now)

    def _check_process_stall(self, now: float) -> None:
        if self.state.attempts and now - self._advanced_at > PROCESS_STALL_S:
            self._feedback.process_stalled(now)
