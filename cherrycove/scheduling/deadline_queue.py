"""Insertion into the nodes' earliest-deadline-first queues, and the choice of a node for a new object.

The queues themselves are ``state.NodeQueue``; ``dispatch`` takes requests out of them.
"""

from __future__ import annotations

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.retry_policy import RetryPolicy
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request


class DeadlineQueues:
    """Puts requests into the queues of nodes. Owned by ``Scheduler``."""

    def __init__(
        self,
        state: SchedulerState,
        latency: LatencyEstimate,
        completion: RequestCompletion,
        retries: RetryPolicy,
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self._retries = retries

    def enqueue(self, request: Request, code: api.Code) -> None:
        """Move a request into its node's queue; ``code`` becomes the code of its send.

        A new object that was not sent yet waits for a node while there is none; a further attempt is given up
        if no node may have it.
        """
        state = self._state
        request.leave()
        request.release_code = code
        node = state.node(request.shard) if request.shard is not None else self._choose_node(request)
        if node is None and not request.attempts:
            request.wait_for_credit(state.node(None))
            return
        if node is None:
            self._completion.give_up(request, api.Code.NO_NODE)
            return
        request.wait_at(node, state.now)
        node.window.new_due += request.due <= state.window_end
        state.touch(node)

    def _choose_node(self, request: Request) -> NodeQueue | None:
        """Return the best node for a new object: warm, answering, with the least load for its threshold.

        Load is weighted by latency: with many schedulers each threshold is at its minimum and nothing is in
        flight, so load alone does not identify slow nodes. A request that may have been executed goes only to
        a node that drops a repeat of it. None: there is no allowed node.
        """
        now = self._state.now
        nodes = (node for node in self._state.nodes.values() if node.id)
        allowed = [node for node in nodes if self._retries.may_run_at(request, now, node)]
        return min(allowed, default=None, key=self._preference)

    def _preference(self, node: NodeQueue) -> tuple[bool, bool, float, float]:
        """Return the sort key of a node for a new object, lowest first; ties are broken at random."""
        state = self._state
        return (
            state.is_cold(node),
            node.failures > 0 or state.now < node.backoff_until,
            (node.in_flight + node.waiting + 1)
            / node.threshold
            * max(self._latency.expected(node), state.settings.tick),
            state.random.random(),
        )
