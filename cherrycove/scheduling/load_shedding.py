"""Load shedding: requests that cannot be answered within their clients' time are given up at once.

A request is kept, whatever it waits for, while its client's time bears the work that is left. Given up, it
leaves its client time to go elsewhere, and units, queue space and a connection to other requests. How long an
answer takes is an estimate: where it is too high, a request is refused that could have been answered. A node
without answers yet counts as fast.
"""

from __future__ import annotations

from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request, Volume


class LoadShedding:
    """Gives up requests that would miss their deadline, and those beyond a limit. Owned by ``Scheduler``."""

    def __init__(
        self, state: SchedulerState, latency: LatencyEstimate, completion: RequestCompletion
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self.max_open_requests: float = inf

    def misses_deadline(self, request: Request, wait: float = 0.0) -> bool:
        """Return whether an attempt sent after this wait (s) would be answered past its client's time.

        A new object needs no certain node: it misses its deadline only when that would pass while it waits.
        """
        state = self._state
        node = request.node if request.place == "queue" else None
        if node is None and request.shard is not None:
            node = state.node(request.shard)
        latency = self._latency.lower_bound(node) if node is not None else 0.0
        return state.now + max(wait, latency) > request.deadline

    def give_up_if_late(self, request: Request) -> None:
        """Give up a request that would miss its deadline; otherwise check again when it may.

        It may wait for credit, the limit, earlier requests with its key, or a node that is absent or in
        backoff.
        """
        if request.done or request.in_flight:
            return
        if self.misses_deadline(request):
            self._completion.give_up(request)
            return
        state = self._state
        node = state.node(request.shard) if request.shard is not None else None
        latency = self._latency.lower_bound(node) if node is not None else 0.0
        if latency > 0:  # otherwise it may be sent until its deadline, which has a timer of its own
            last_chance = request.deadline - latency
            state.timers.schedule(last_chance + state.settings.tick, self.give_up_if_late, request)

    def shed_queue(self, node: NodeQueue) -> None:
        """Give up the requests for a node that those due before them at its queue make miss their deadline.

        L requests are answered in each expected latency of the node. The queue's order is that of dispatch.
        """
        ahead, latency = 0, self._latency.expected(node)
        for request in sorted(node.waiting_requests(), key=lambda each: (each.due, each.entry_serial)):
            wait = ahead / node.threshold * latency
            if self.misses_deadline(request, wait):
                self._completion.give_up(request, wait=wait)
            else:
                ahead += 1
        for volume in list(node.lanes.values()):
            for request in list(volume.lanes[node.shard]):
                if self.misses_deadline(request):
                    self._completion.give_up(request)

    def shed_over_limit(self, volume: Volume) -> None:
        """Give up the requests that the volume's limit would admit only when too late.

        Units of the limit go to requests in order of arrival. Units planned here for a request that is then
        given up for another reason go unused.
        """
        need = volume.queued_units - volume.bucket_level(self._state.now)
        waiting = [request for lane in volume.lanes.values() for request in lane]
        for request in sorted(waiting, key=lambda r: r.arrived):
            wait = (need + request.units) / volume.limit
            if self.misses_deadline(request, wait):
                self._completion.give_up(request, api.Code.OVER_LIMIT, wait)
            else:
                need += request.units

    def shed_over_capacity(self) -> None:
        """Give up requests that wait for credit while more requests are open than allowed.

        Each open request holds a client connection. If requests that wait for credit held all of them,
        clients could not send the requests that their reserves guarantee. The newest are given up first: the
        queues that they wait in are first in, first out, and their clients have the most time left.
        """
        excess = len(self._state.requests) - self.max_open_requests
        if excess > 0:
            volumes = self._state.volumes.values()
            waiting = [request for volume in volumes for lane in volume.lanes.values() for request in lane]
            for request in sorted(waiting, key=lambda r: (r.arrived, r.id), reverse=True)[: int(excess)]:
                self._completion.give_up(request, api.Code.PLACES)
