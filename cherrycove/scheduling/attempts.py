"""Attempts: start and end them, and apply their outcomes to the request and its node."""

from __future__ import annotations

from collections import deque

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.credits import Credits
from cherrycove.scheduling.deadline_queue import DeadlineQueues
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.object_placement import ObjectPlacements
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.retry_policy import RetryPolicy
from cherrycove.scheduling.retry_safety import record_possible_run, write_within
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request

# An unanswered attempt, whose answer may be lost, counts as in flight for this multiple of the mean latency.
# At a node without answers it counts until it ends.
ANSWER_TIMEOUT_MEAN_LATENCIES = 5.0
RETRY_PAUSE_S = 0.02  # between two attempts of a request, and first backoff of a node
MAX_BACKOFF_S = 0.5  # the backoff doubles with each consecutive failure
MAX_WAIT_SAMPLES = 256  # per class in a window, which without answers does not end

_MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
_NODE_FAULT = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.RESET)


class Attempts:
    """The attempts in flight. Owned by ``Scheduler``."""

    def __init__(
        self,
        state: SchedulerState,
        latency: LatencyEstimate,
        completion: RequestCompletion,
        shedding: LoadShedding,
        retries: RetryPolicy,
        queues: DeadlineQueues,
        credit: Credits,
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self._shedding = shedding
        self._retries = retries
        self._queues = queues
        self._credits = credit
        self.placements = ObjectPlacements()  # shards that recently stored new objects
        self.is_stalled = False  # this host was stalled: the times of the current events are unknown
        # By request id and attempt number; with the node and its incarnation when the attempt was sent.
        self._in_flight: dict[tuple[int, int], tuple[Request, NodeQueue, int]] = {}

    def start(self, node: NodeQueue, request: Request, code: api.Code) -> None:
        """Send the next attempt of a request to this node, or give it up if no attempt is allowed."""
        state = self._state
        request.leave()
        why = self._completion.reason(request, node, code, self._latency.lower_bound(node), request.due)
        if not request.attempts:
            request.volume.take_from_bucket(state.now, request.units)
        elif self._retries.may_retry_now(request, node):
            self._retries.count_retry()
        else:
            denial = self._retries.denial_code(request, state.now)
            self._completion.give_up(request, denial or api.Code.EXTRAS)
            return
        self._record_start(node, request)
        bound = write_within(request.cls, request.possible_run, state.now)
        state.actions.append(api.Send(request.id, node.id or "", why=why, write_within=bound))

    def _record_start(self, node: NodeQueue, request: Request) -> None:
        now = self._state.now
        self._in_flight[request.id, request.attempts] = request, node, node.incarnation
        if not request.upload:
            self._schedule_answer_timeout(node, request, request.attempts)
        request.attempts += 1
        request.in_flight, request.counted_in_flight, request.sent_at = True, not request.upload, now
        waits = node.window.waits.setdefault(request.cls.name, deque(maxlen=MAX_WAIT_SAMPLES))
        waits.append(now - request.queued_at)
        node.count_sent(now, request.units, works=not request.upload)

    def _schedule_answer_timeout(self, node: NodeQueue, request: Request, number: int) -> None:
        if not node.mean_latency_s:
            return
        timeout = ANSWER_TIMEOUT_MEAN_LATENCIES * node.mean_latency_s * request.relative_size
        self._state.timers.schedule(self._state.now + timeout, self._expire_in_flight, (request.id, number))

    def _expire_in_flight(self, attempt: tuple[int, int]) -> None:
        """Stop counting an overdue attempt as in flight: if its answer never came, it would use up L."""
        request, node, incarnation = self._in_flight.get(attempt, (None, None, 0))
        if node is not None and request is not None and incarnation == node.incarnation:
            request.counted_in_flight = False
            node.in_flight -= 1
            self._state.touch(node)

    def finish_upload(self, event: api.UploadEnd) -> None:
        """Restart a request's latency target and budget at its last byte, and count it as in flight.

        A node starts work with the last byte. The time that the client took to upload does not depend on the
        node.
        """
        state = self._state
        request = state.requests.get(event.request)
        if request is None:
            return
        number = request.attempts - 1
        _, node, incarnation = self._in_flight.get((request.id, number), (request, None, 0))
        request.upload, request.sent_at, request.due = False, state.now, state.now + request.cls.aim
        request.deadline = state.now + request.budget - 2 * state.settings.tick
        state.timers.schedule(request.deadline, self.retry, request)
        if node is not None and incarnation == node.incarnation:
            request.counted_in_flight = True
            node.count_sent(state.now, request.units)
            self._schedule_answer_timeout(node, request, number)

    def finish(self, event: api.AttemptEnd) -> None:
        """Record the outcome of an attempt, then close the request, retry it or give it up."""
        attempt = self._in_flight.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request, node, incarnation = attempt
        self._record_outcome(request, node, incarnation, event)
        if event.closed or request.done:
            self._completion.close(request)
        elif (
            event.outcome is api.Outcome.NOT_EXECUTED
            and incarnation == node.incarnation
            and not request.is_new_object
        ):
            self._redirect(request, node)
        else:
            self._plan_retry(request)

    def _record_outcome(
        self, request: Request, node: NodeQueue, incarnation: int, event: api.AttemptEnd
    ) -> None:
        request.in_flight = False
        if incarnation == node.incarnation:
            self._update_node_health(node, request, event)
        if event.use is not None:
            self._credits.record_use(request.volume, event.use)
        if not event.outcome.never_ran and request.possible_run is None:
            request.possible_run = record_possible_run(request.cls, node, incarnation, request.sent_at)
        if event.outcome in _MAY_STILL_RUN:
            request.key_blocked_until = self._state.now + self._state.settings.order_settle
        if request.is_new_object and event.outcome is api.Outcome.SERVED:
            self.placements.record(request.key, node.shard)

    def _update_node_health(self, node: NodeQueue, request: Request, event: api.AttemptEnd) -> None:
        """Update a node's health by an outcome. Only served requests update its latency.

        After a stall of this host the times of answers are unknown, so latencies are not counted.
        """
        state = self._state
        node.in_flight -= request.counted_in_flight
        state.touch(node)
        if event.outcome is api.Outcome.SERVED:
            node.window.served += 1
            node.failures = 0
            state.slow_start.count_served(node, request.units, state.now)
            if not self.is_stalled:
                self._latency.observe(node, request, event.latency)
        elif event.outcome in _NODE_FAULT:
            # A node that is full, down or unreachable gets no requests for a backoff, then one at a time.
            node.failures += 1
            pause = min(RETRY_PAUSE_S * 2 ** min(node.failures - 1, 8), MAX_BACKOFF_S)
            node.backoff_until = max(node.backoff_until, state.now + pause)
            state.timers.schedule(node.backoff_until, state.touch, node)

    def _redirect(self, request: Request, node: NodeQueue) -> None:
        """Send a request to the shard that stored its object, if that is known and not this one.

        A client may name the wrong shard for an object that was just written. A retry at this node would get
        the same answer; if no other shard is known, the request is given up, and the client may know the
        right one by now.
        """
        other = self.placements.record_rejection(request.key, node.shard)
        denial = self._retries.denial_code(request, self._state.now)
        if denial or other is None:
            self._completion.give_up(request, denial or api.Code.NOT_THERE)
            return
        request.shard = other
        self._queues.enqueue(request, api.Code.AGAIN)

    def _plan_retry(self, request: Request) -> None:
        retry_at = self._state.now + RETRY_PAUSE_S
        denial = self._retries.denial_code(request, retry_at)
        if denial or self._shedding.misses_deadline(request):
            self._completion.give_up(request, denial)
            return
        self._state.timers.schedule(retry_at, self.retry, request)
        self._shedding.give_up_if_late(request)

    def retry(self, request: Request) -> None:
        """Queue a request again after a pause, or give it up if no further attempt is allowed.

        A request in flight is left alone: the caller enforces its timeout.
        """
        if request.done or request.in_flight:
            return
        denial = self._retries.denial_code(request, self._state.now)
        if denial:
            # The reason of a request that was never sent is what it waited for.
            self._completion.give_up(request, denial if request.attempts else None)
        else:
            self._queues.enqueue(request, api.Code.AGAIN)
