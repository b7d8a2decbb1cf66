"""The queues of the nodes, in order of deadline, and the choice of a node for a new object.

The records of a queue are ``state.NodeQueue``; what leaves it, and when, is decided in ``dispatch``.
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

    def enqueue(self, request: Request, why: api.Code) -> None:
        """Move a request from where it waits into its node's queue; ``why`` goes into the reason of its send.

        A new object for which there is no node is given up.
        """
        state = self._state
        request.leave()
        request.why = why
        node = state.node(request.shard) if request.shard is not None else self._choose_node(request)
        if node is None:
            self._completion.give_up(request, api.Code.NO_NODE)
            return
        request.wait_at(node, state.now)
        node.window.new_due += request.due <= state.window_end
        state.touch(node)

    def _choose_node(self, request: Request) -> NodeQueue | None:
        """Return a warm, answering node with the least work for its threshold, weighed by its latency.

        Among many schedulers each threshold is at its least and nothing is in flight, so that the amount of
        work alone does not tell slow nodes from others. A new object that may have run goes only to a node
        at which a repeat of it is dropped.
        """
        now = self._state.now
        nodes = (node for node in self._state.nodes.values() if node.id)
        allowed = [node for node in nodes if self._retries.may_run_at(request, now, node)]
        return min(allowed, default=None, key=self._preference)

    def _preference(self, node: NodeQueue) -> tuple[bool, bool, float, float]:
        """Return the sort key of a node for a new object, the best one first; ties are broken at random."""
        state = self._state
        return (
            state.is_cold(node),
            node.failures > 0 or state.now < node.backoff_until,
            (node.in_flight + node.waiting + 1)
            / node.threshold
            * max(self._latency.expected(node), state.settings.tick),
            state.random.random(),
        )
