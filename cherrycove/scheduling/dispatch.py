"""Dispatch from the nodes' queues: earliest deadline first, while fewer than L are in flight (AVATAR)."""

from __future__ import annotations

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.attempts import Attempts
from cherrycove.scheduling.concurrency_limit import SPARE_FRACTION
from cherrycove.scheduling.credits import Credits
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request


class Dispatch:
    """Sends requests from the queues of nodes that were touched by a call. Owned by ``Scheduler``."""

    def __init__(
        self,
        state: SchedulerState,
        latency: LatencyEstimate,
        completion: RequestCompletion,
        shedding: LoadShedding,
        credit: Credits,
        attempts: Attempts,
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self._shedding = shedding
        self._credits = credit
        self._attempts = attempts

    def process_touched(self) -> None:
        """Process each touched node, including nodes touched meanwhile."""
        touched = self._state.touched
        while touched:
            self._process(touched.pop(next(iter(touched))))

    def _process(self, node: NodeQueue) -> None:
        """Give up what would miss its deadline, send until L are in flight, then release spare capacity."""
        self._shedding.shed_queue(node)
        while node.id is not None and self._state.now >= node.backoff_until:
            self._send_waiting(node)
            if not self._has_spare_capacity(node) or not self._credits.refill_for_spare_capacity(node):
                return

    def _has_spare_capacity(self, node: NodeQueue) -> bool:
        """Return whether the node could take more requests than its queue holds.

        With many schedulers it may not while its expected latency is above the shortest latency target.
        """
        limit = 1.0 if node.failures else node.threshold
        if node.waiting or not node.in_flight < SPARE_FRACTION * limit:
            return False
        state = self._state
        return not (state.is_crowded and self._latency.expected(node) > state.latency_target_s)

    def _send_waiting(self, node: NodeQueue) -> None:
        """Send from the head of the queue until L are in flight.

        Overdue requests are sent beyond L if the node keeps up. A failing node is sent one attempt at a time.
        """
        state = self._state
        while node.has_waiting():
            request, keeps_up = node.queue[0][2], state.keeps_up(node)
            full = node.in_flight >= (1 if node.failures else node.threshold)
            if full and (request.due > state.now or not keeps_up):
                return
            if not self._is_warm_enough(node, request):
                return
            code = api.Code.OVERDUE if full else api.Code.TRIAL if node.failures else request.release_code
            self._attempts.start(node, request, code)

    def _is_warm_enough(self, node: NodeQueue, request: Request) -> bool:
        """Return whether slow start admits this request now; if not, schedule the node for when it may."""
        state = self._state
        admission = state.slow_start.admit(node, request.units, state.now)
        if admission.request_loan:
            state.actions.append(api.BorrowCapacity(node.id or "", request.units))
        for when in admission.retry_at:
            state.timers.schedule(when, state.touch, node)
        return admission.granted
