"""Completion of requests: final answers with their reasons, and removal from all records."""

from __future__ import annotations

from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.key_order import KeyOrder
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.retry_safety import may_refuse
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request


class RequestCompletion:
    """Completes requests. Owned by ``Scheduler``; each request is removed once."""

    def __init__(self, state: SchedulerState, latency: LatencyEstimate, key_order: KeyOrder) -> None:
        self._state = state
        self._latency = latency
        self._key_order = key_order

    def give_up(self, request: Request, code: api.Code | None = None, wait: float = 0.0) -> None:
        """Refuse a request, or fail it if an attempt may have been executed and a retry could do harm.

        ``code`` defaults to the condition that the request waits for; ``wait`` is the time (s) until it could
        have been sent, if the caller knows it.
        """
        node = request.node if request.place == "queue" and request.node else self._state.node(request.shard)
        why = self.reason(
            request,
            node,
            code or self._waiting_code(request, node),
            max(wait, self._latency.lower_bound(node)),
            request.deadline,
        )
        if may_refuse(request.cls, may_have_run=request.possible_run is not None):
            retry_after = self._retry_after(request, code, wait)
            self._state.actions.append(api.Refuse(request.id, retry_after, why))
        else:
            self._state.actions.append(api.Fail(request.id, why))
        self.close(request)

    def _waiting_code(self, request: Request, node: NodeQueue) -> api.Code:
        if request.shard is None and request.place == "lane" and not self._state.has_nodes():
            return api.Code.NO_NODE
        return request.waiting_code(node, is_cold=self._state.is_cold(node))

    def _retry_after(self, request: Request, code: api.Code | None, wait: float) -> float:
        """Return the time (s) until the backlog ahead of the request, here or at its node, has cleared."""
        state = self._state
        node = state.node(request.shard)
        if code is api.Code.NOT_THERE:
            return 0.0
        if request.shard is not None and not state.keeps_up(node):
            wait = inf
        wait = max(wait, self._latency.expected(node), state.window_end - state.now)
        return min(wait, state.settings.retry_advice)

    def close(self, request: Request) -> None:
        """Remove a request from all records, and schedule the next request with its key.

        If the request is closed already, only the key is scheduled.
        """
        if not request.done:
            request.leave()
            request.done = True
            del self._state.requests[request.id]
        self._key_order.schedule_next(request)

    def reason(
        self, request: Request, node: NodeQueue, code: api.Code, wait: float, until: float
    ) -> api.Reason:
        """Return the reason of a decision on this request at this node, with the current figures.

        ``until`` (s) is the end of the time that decides: its target's for a send, else its client's.
        """
        state = self._state
        return api.Reason(
            code,
            node.id or "",
            request.place,
            node.threshold,
            node.in_flight,
            node.waiting,
            request.volume.credits,
            wait,
            until - state.now,
            state.window_end - state.now,
            state.epoch,
        )
