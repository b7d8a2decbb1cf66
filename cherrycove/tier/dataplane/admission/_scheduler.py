"""The decisions of admission at one proxy: credits by kind, deadline queues by broker, batch items behind.

It owns every held request. It must never look at a clock, send by itself, or hold a request back while a
broker that may run it is known to have a place.
"""

from __future__ import annotations

import random
from math import inf

from cherrycove.scheduling.state import PERIOD, NodeQueue, Recent
from cherrycove.tier.dataplane.admission import _concurrency_limit, _stall_detection
from cherrycove.tier.dataplane.admission._admission_state import AdmissionState
from cherrycove.tier.dataplane.admission._batch_queue import BatchQueue
from cherrycove.tier.dataplane.admission._broker_selector import BrokerSelector
from cherrycove.tier.dataplane.admission._broker_state import BrokerState
from cherrycove.tier.dataplane.admission._deadline_feasibility import rejection_retry_after_s
from cherrycove.tier.dataplane.admission._interface import (
    Action,
    AdmissionRequest,
    AttemptOutcome,
    CancelStalledAttempt,
    ClusterSnapshot,
    Reject,
    StartAttempt,
)
from cherrycove.tier.dataplane.admission._pending_requests import PendingRequests
from cherrycove.tier.dataplane.headers import InstanceLoad

HELD_TICK_S = 0.02  # between looks while live requests are held
TICK_S = 0.05  # and while any are out
STALL_S = 0.25  # without a look, while requests are out, after which this process itself stood still
UNSURE_S = 0.5  # behind a stall in which a time-out is no evidence against a broker
URGENT_S = 3.0  # before its time to be done from which a batch item may use more of a broker
LOBBY_L = 1.0
SHUT_S = {  # for which a request does not go again to a broker that ended it so
    AttemptOutcome.REJECTED: 0.1,
    AttemptOutcome.UNREACHABLE: 0.2,
    AttemptOutcome.MISDIRECTED: 1.0,
    AttemptOutcome.VERSION_MISMATCH: 1.0,
    AttemptOutcome.INCOMPLETE: 0.3,
    AttemptOutcome.STALLED: 1.0,
}


class AdmissionScheduler:
    """Takes what happened by ``now``; each method returns what is to be done, in order."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.state = AdmissionState()
        self._placement = BrokerSelector(rng)
        self._held = PendingRequests()
        self._items = BatchQueue()
        self._where: dict[AdmissionRequest, BrokerState] = {}  # sends that have not ended
        self._lobby = NodeQueue(None, LOBBY_L, Recent(PERIOD), Recent(PERIOD))  # where requests await credit
        self._serial = 0
        self._epoch = 0
        self._window_end = now + PERIOD
        self._looked_at = now
        self._stood_still_at = -inf
        self._actions: list[Action] = []

    # What happens

    def cluster_changed(self, now: float, snapshot: ClusterSnapshot) -> list[Action]:
        """The views have changed."""
        self.state.update(now, snapshot)
        for state in self.state.brokers.values():
            if not state.is_listed or state.broker.draining:
                self._empty(state)
        self.state.remove_unlisted()
        self._refuse_unserved_items(now)
        self._look(now)
        return self._taken()

    def request_arrived(self, now: float, request: AdmissionRequest) -> list[Action]:
        """A request wants to be sent, for the first time or again."""
        request.queued_at = now
        if request.is_batch:
            if not self.state.serving(request):
                return [Reject(request, 0.0)]
            self._items.add(request)
            self._look(now)
            return self._taken()
        kind = self.state.routes.get(request.route)
        if kind is None:
            return [Reject(request, 0.0)]
        self._serial += 1
        kind.enqueue(request, self._serial, self._lobby)
        self._held.add(request)
        self._look(now)
        if request in self._held:
            self._spend_credit(request, now)
            self._refuse_if_hopeless(request, self._held.in_order(now).index(request), now)
        return self._taken()

    def request_withdrawn(self, request: AdmissionRequest) -> None:
        """One that waits does so no more: its client left."""
        if request.is_batch:
            self._items.remove(request)
        elif request in self._held:
            self._held.remove(request)

    def response_started(self, now: float, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        """The head of an answer has come, perhaps with what the broker tells of its load."""
        state = self._where.get(request)
        if state is not None:
            state.health.response_received(now)
            if load is not None:
                state.load.record_report(now, load)

    def body_received(self, now: float, request: AdmissionRequest) -> None:
        """Some of an answer's body has come."""
        state = self._where.get(request)
        if state is None:
            return
        state.health.response_received(now)
        if request in state.awaiting_first_event:
            state.awaiting_first_event.discard(request)
            self._first_event(state, request, now - state.in_flight[request])

    def attempt_ended(self, now: float, request: AdmissionRequest, outcome: AttemptOutcome) -> list[Action]:
        """A send is over, however; a request that is to be sent again arrives again."""
        self._notice_stall(now)
        state = self._where.pop(request, None)
        if state is None:
            return []
        began = state.end_attempt(request)
        self._judge(state, request, outcome, now)
        if outcome is AttemptOutcome.SERVED:
            self.state.latency(request.service).record_slot_hold(now - began)
        self.state.remove_unlisted()
        self._look(now)
        return self._taken()

    def next_wake_at(self) -> float:
        """When ``wake`` is to be called; inf while nothing is open."""
        if self._held:
            return self._looked_at + HELD_TICK_S
        return self._looked_at + TICK_S if self._items or self._where else inf

    def wake(self, now: float) -> list[Action]:
        """Time has passed."""
        self._notice_stall(now)
        self._actions += [
            CancelStalledAttempt(request) for request in _stall_detection.detect_stalls(self.state, now)
        ]
        self._look(now)
        for ahead, request in enumerate(self._held.in_order(now)):
            self._refuse_if_hopeless(request, ahead, now)
        return self._taken()

    def free_slots(self, now: float) -> int:
        """How many batch items this proxy could start now, besides those that wait here."""
        if self._held:
            return 0
        proxies = self.state.proxies
        states = [each for each in self.state.brokers.values() if each.is_listed and not each.broker.draining]
        places = sum(each.batch_capacity(now, proxies) for each in states)
        part = int(places / proxies) or int(places >= 1)
        return max(min(part, sum(each.free_connections(proxies) for each in states)) - len(self._items), 0)

    # What is learned

    def _first_event(self, state: BrokerState, request: AdmissionRequest, latency_s: float) -> None:
        shared = sum(part.tokens for part in request.prompt.shared_segments)
        self.state.latency(request.service).record_first_event(
            latency_s, request.prompt.input_tokens - shared
        )
        if not request.is_batch:
            _concurrency_limit.note_served(state, request.route, latency_s)

    def _judge(
        self, state: BrokerState, request: AdmissionRequest, outcome: AttemptOutcome, now: float
    ) -> None:
        """What an outcome tells of the broker, and for how long the request does not go there again."""
        request.excluded_until[state.id] = now + SHUT_S.get(outcome, 0.0)
        match outcome:
            case AttemptOutcome.SERVED:
                state.health.response_completed()
            case AttemptOutcome.REJECTED:
                state.health.response_received(now)
                state.load.record_rejection(now)
            case AttemptOutcome.INCOMPLETE:
                state.health.response_incomplete(now)
            case AttemptOutcome.CANCELLED:
                state.health.probe_in_flight = False
            case AttemptOutcome.VERSION_MISMATCH:
                state.health.response_received(now)
            case _ if now - self._stood_still_at < UNSURE_S:
                state.health.probe_in_flight = False
            case _:
                state.health.attempt_failed(now)

    def _notice_stall(self, now: float) -> None:
        """After this process stood still, what seemed silent or out of reach may not have been."""
        if self._where and now - self._looked_at > STALL_S:
            self._stood_still_at = now
            _stall_detection.discount_process_stall(self.state, now)

    def _look(self, now: float) -> None:
        """Close windows and periods that are over, and send what may be sent."""
        self._looked_at = now
        if now >= self._window_end:
            self._close_period(now)
        if self._held:
            self._send_held(now)
        if self._items:
            self._send_items(now)

    def _close_period(self, now: float) -> None:
        """All kinds refill together; each broker's L is set."""
        passed = int((now - self._window_end) // PERIOD) + 1
        self._epoch += passed
        self._window_end += passed * PERIOD
        classes = [kind.request_class for kind in self.state.routes.values()]
        for state in self.state.brokers.values():
            _concurrency_limit.close_window(state, classes, now)
        for request in self._held.in_order(now):
            self._spend_credit(request, now)

    # Live requests

    def _send_held(self, now: float) -> None:
        """To brokers with room, in order; what is past its aim also regardless of L."""
        proxies = self.state.proxies
        states = self.state.brokers.values()
        roomy = dict.fromkeys(each for each in states if each.has_live_capacity(now, proxies))
        spare = dict.fromkeys(each for each in states if each.has_overdue_capacity(now, proxies))
        if not roomy and not spare:
            return
        for request in self._held.in_order(now):
            places = roomy | spare if now >= request.due_at else roomy
            among = [each for each in places if each.accepts(request, now)]
            if not among:
                continue
            trusted = [each for each in among if each.health.admits_live(now)]
            state = self._choose(request, trusted or among, now)
            if request.queue_entry is None or request.queue_entry.node is not state.node:
                _concurrency_limit.note_arrival(state, request.due_at, self._window_end)
            self._held.remove(request)
            _concurrency_limit.note_wait(state, request.route, now - request.queued_at)
            self._send(request, state, now)
            if not state.has_live_capacity(now, proxies):
                roomy.pop(state, None)
            if not state.has_overdue_capacity(now, proxies):
                spare.pop(state, None)
            if not roomy and not spare:
                return

    def _spend_credit(self, request: AdmissionRequest, now: float) -> None:
        """Move the first request of a kind with credit from its kind's queue to that of a broker."""
        record, kind = request.queue_entry, self.state.routes[request.route]
        assert record is not None
        kind.refill(self._epoch)
        if record.place != "lane" or kind.credit_account.credits <= 0 or kind.credit_queue()[0] is not record:
            return
        among = [each for each in self.state.brokers.values() if each.accepts(request, now)]
        if not among:
            return
        kind.credit_account.credits -= 1.0
        state = self._choose(request, among, now)
        record.leave()
        record.wait_at(state.node, now)  # which counts the arrival
        state.node.window.new_due += record.due <= self._window_end

    def _choose(self, request: AdmissionRequest, among: list[BrokerState], now: float) -> BrokerState:
        """The broker in whose queue it waits, or else the one that is expected to answer first."""
        if request.queue_entry is not None and request.queue_entry.place == "queue":
            for state in among:
                if state.node is request.queue_entry.node:
                    return state
        agreed = [each.id for each in self.state.serving(request)]
        latency = self.state.latency(request.service)
        return self._placement.choose(request, among, agreed, latency, now, self.state.proxies)

    def _refuse_if_hopeless(self, request: AdmissionRequest, ahead: int, now: float) -> None:
        advice = rejection_retry_after_s(request, now, self.state.forecast(request, ahead))
        if advice is not None:
            self._held.remove(request)
            self._actions.append(Reject(request, advice))

    def _empty(self, state: BrokerState) -> None:
        """What waits at a broker that takes nothing any more waits for credit again."""
        for record in state.node.held():
            record.leave()
            record.wait_for_credit(self._lobby)

    # Batch items

    def _refuse_unserved_items(self, now: float) -> None:
        """Those whose service has no broker left: their route may name another service by now."""
        for request in self._items.in_order(now):
            if not self.state.serving(request):
                self._items.remove(request)
                self._actions.append(Reject(request, 0.0))

    def _send_items(self, now: float) -> None:
        """To brokers with spare places, the most urgent first; while live requests wait, only urgent ones."""
        proxies = self.state.proxies
        if not any(each.batch_capacity(now, proxies, True) >= 1 for each in self.state.brokers.values()):
            return
        for request in self._items.in_order(now):
            urgent = request.due_at - now < URGENT_S
            if self._held and not urgent:
                return
            among = [
                each for each in self.state.brokers.values()
                if each.batch_capacity(now, proxies, urgent) >= 1 and each.accepts(request, now)
            ]  # fmt: skip
            if among:
                self._items.remove(request)
                self._send(request, self._choose(request, among, now), now)

    def _send(self, request: AdmissionRequest, state: BrokerState, now: float) -> None:
        request.attempts += 1
        state.start_attempt(request, now)
        self._where[request] = state
        self._actions.append(StartAttempt(request, state.id))

    def _taken(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
