"""The attempts of requests: start, end, and what an outcome says of the request and of its node."""

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

MIN_PATIENCE = 0.5  # part of the latency target, and at least PATIENCE_FACTOR times the node's mean latency,
PATIENCE_FACTOR = 5.0  # after which an attempt no longer counts as out
RETRY_PAUSE = 0.1  # part of the target between a request's attempts; the pause of a node begins with it, too
MAX_WAITS = 256  # the most waits that a window keeps of one class: without answers it does not end

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
        self.placements = ObjectPlacements()  # at which shard new objects were put of late
        self.is_stalled = False  # this host was held up: when the present events happened is not known
        # By request and number; with the node and its incarnation at the time of the send.
        self._in_flight: dict[tuple[int, int], tuple[Request, NodeQueue, int]] = {}

    def start(self, node: NodeQueue, request: Request, code: api.Code) -> None:
        """Send the next attempt of a request to this node, or give the request up if no more is allowed."""
        state = self._state
        request.leave()
        why = self._completion.reason(request, node, code, self._latency.lower_bound(node))
        if not request.attempts:
            request.volume.take(state.now, request.units)
        elif self._retries.may_retry_now(request, node):
            self._retries.count_retry()
        else:
            obstacle = self._retries.obstacle(request, state.now)
            self._completion.give_up(request, obstacle or api.Code.EXTRAS)
            return
        self._record_start(node, request)
        bound = write_within(request.cls, request.possible_run, state.now)
        state.actions.append(api.Send(request.id, node.id or "", why=why, write_within=bound))

    def _record_start(self, node: NodeQueue, request: Request) -> None:
        now = self._state.now
        self._in_flight[request.id, request.attempts] = request, node, node.incarnation
        if not request.upload:
            self._await_answer(node, request, request.attempts)
        request.attempts += 1
        request.in_flight, request.counted, request.sent_at = True, not request.upload, now
        waits = node.window.waits.setdefault(request.cls.name, deque(maxlen=MAX_WAITS))
        waits.append(now - request.queued_at)
        node.count_sent(now, request.units, works=not request.upload)

    def _await_answer(self, node: NodeQueue, request: Request, number: int) -> None:
        patience = max(MIN_PATIENCE * request.cls.aim, PATIENCE_FACTOR * node.mean_latency_s)
        self._state.timers.schedule(self._state.now + patience, self._write_off, (request.id, number))

    def _write_off(self, attempt: tuple[int, int]) -> None:
        """Stop counting an attempt as out: long overdue, its answer may never come, and it would fill L."""
        request, node, incarnation = self._in_flight.get(attempt, (None, None, 0))
        if node is not None and request is not None and incarnation == node.incarnation:
            request.counted = False
            node.in_flight -= 1
            self._state.touch(node)

    def finish_upload(self, event: api.UploadEnd) -> None:
        """The last byte of a request has been sent: its time and its work at the node count from now.

        A node begins with the last byte. How long the client needed to send it says nothing of the node.
        """
        state = self._state
        request = state.requests.get(event.request)
        if request is None:
            return
        number = request.attempts - 1
        _, node, incarnation = self._in_flight.get((request.id, number), (request, None, 0))
        request.upload, request.sent_at, request.due = False, state.now, state.now + request.cls.aim
        request.end = state.now + request.budget - 2 * state.settings.tick
        state.timers.schedule(request.end, self.retry, request)
        if node is not None and incarnation == node.incarnation:
            request.counted = True
            node.count_sent(state.now, request.units)
            self._await_answer(node, request, number)

    def finish(self, event: api.AttemptEnd) -> None:
        """An attempt has ended: count its outcome, then close the request, send it again or give it up."""
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
            self._judge_node(node, request, event)
        if event.use is not None:
            self._credits.count_use(request.volume, event.use)
        if not event.outcome.never_ran and request.possible_run is None:
            request.possible_run = record_possible_run(request.cls, node, incarnation, request.sent_at)
        if event.outcome in _MAY_STILL_RUN:
            request.key_rests_until = self._state.now + self._state.settings.order_settle
        if request.is_new_object and event.outcome is api.Outcome.SERVED:
            self.placements.record(request.key, node.shard)

    def _judge_node(self, node: NodeQueue, request: Request, event: api.AttemptEnd) -> None:
        """Count an outcome for or against its node. Only served work counts as evidence of speed.

        After a stall of this host the times of answers are not known, so that they are no such evidence.
        """
        state = self._state
        node.in_flight -= request.counted
        state.touch(node)
        if event.outcome is api.Outcome.SERVED:
            node.window.served += 1
            node.failures = 0
            state.slow_start.count_served(node, request.units, state.now)
            if not self.is_stalled:
                self._latency.observe(node, request, event.latency)
        elif event.outcome in _NODE_FAULT:
            # A node that is full, down or cut off rests; after that one attempt at a time is sent to it.
            node.failures += 1
            pause = min(RETRY_PAUSE * 2 ** min(node.failures - 1, 8), 1.0) * request.cls.aim
            node.backoff_until = max(node.backoff_until, state.now + pause)
            state.timers.schedule(node.backoff_until, state.touch, node)

    def _redirect(self, request: Request, node: NodeQueue) -> None:
        """Send a request on to the shard at which its object was put, if that is known and another one.

        A client may name the wrong shard for an object that was just written. Asked again, this node would
        give the same answer, while its client may know better by now.
        """
        other = self.placements.record_rejection(request.key, node.shard)
        obstacle = self._retries.obstacle(request, self._state.now)
        if obstacle or other is None:
            self._completion.give_up(request, obstacle or api.Code.NOT_THERE)
            return
        request.shard = other
        self._queues.enqueue(request, api.Code.AGAIN)

    def _plan_retry(self, request: Request) -> None:
        again = self._state.now + RETRY_PAUSE * request.cls.aim
        obstacle = self._retries.obstacle(request, again)
        if obstacle or self._shedding.is_late(request):
            self._completion.give_up(request, obstacle)
            return
        self._state.timers.schedule(again, self.retry, request)
        self._shedding.review(request)

    def retry(self, request: Request) -> None:
        """Queue a request again after a pause, or give it up where its budget has ended.

        A request that is out then gets its time-out from the caller.
        """
        if request.done or request.in_flight:
            return
        obstacle = self._retries.obstacle(request, self._state.now)
        if obstacle:
            self._completion.give_up(request, obstacle)
        else:
            self._queues.enqueue(request, api.Code.AGAIN)
