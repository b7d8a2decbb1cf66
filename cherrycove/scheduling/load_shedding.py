"""Load shedding: requests that cannot be answered in time are given up at once, whatever they wait for.

An early refusal leaves the client time to retry, and frees units, queue space and a connection for requests
that can still be answered in time. Lateness at a slow node is an estimate: where it is wrong, a request is
refused that would have been in time.
"""

from __future__ import annotations

from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Request, Volume


class LoadShedding:
    """Gives up requests that would be late or exceed the open-request limit. Owned by ``Scheduler``."""

    def __init__(
        self, state: SchedulerState, latency: LatencyEstimate, completion: RequestCompletion
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self.max_open_requests: float = inf

    def is_late(self, request: Request, wait: float = 0.0) -> bool:
        """Return whether an attempt sent after this wait (s) would be answered past the latency target.

        A node that keeps up still accepts requests that were admitted by credit and limit. A new object is
        late only when its target has passed, since any node may store it.
        """
        state = self._state
        node = request.node if request.place == "queue" else None
        if node is None and request.shard is not None:
            node = state.node(request.shard)
        if node is None:
            return state.now + wait > request.due
        late = state.now + max(wait, self._latency.lower_bound(node)) > request.due
        return late and not ((request.attempts or request.place == "queue") and state.keeps_up(node))

    def give_up_if_late(self, request: Request) -> None:
        """Give up a request that would be late; otherwise check again when it may be.

        It may wait for credit, the limit, earlier requests with its key, or a node that is absent or in
        backoff.
        """
        if request.done or request.in_flight:
            return
        if self.is_late(request):
            self._completion.give_up(request)
            return
        state = self._state
        node = state.node(request.shard) if request.shard is not None else None
        last_chance = request.due - (self._latency.expected(node) if node and state.is_crowded else 0.0)
        if last_chance >= state.now:
            state.timers.schedule(last_chance + state.settings.tick, self.give_up_if_late, request)

    def give_up_unsent(self, request: Request) -> None:
        """Give up a request not sent by half of its client's timeout: the client may retry in time."""
        if not request.done and not request.attempts:
            self._completion.give_up(request, api.Code.HALF_TIME)

    def shed_over_limit(self, volume: Volume) -> None:
        """Give up the requests that the volume's limit would admit only when too late.

        Units of the limit go to requests of the highest value first. A refused request earns nothing, but if
        it were held until its deadline it would delay its client as well. Units planned here for a request
        that is then given up for another reason go unused.
        """
        need = volume.queued_units - volume.bucket_level(self._state.now)
        waiting = [request for lane in volume.lanes.values() for request in lane]
        for request in sorted(waiting, key=lambda r: (-r.cls.worth, r.due - r.cls.aim)):
            wait = (need + request.units) / volume.limit
            if self.is_late(request, wait):
                self._completion.give_up(request, api.Code.OVER_LIMIT, wait)
            else:
                need += request.units

    def shed_over_capacity(self) -> None:
        """Give up requests that wait for credit while more requests are open than allowed.

        Each open request holds a client connection. If requests that wait for credit held all of them,
        clients could not send the requests that their reserves guarantee. Requests of the lowest value are
        given up first, among these the ones due first.
        """
        excess = len(self._state.requests) - self.max_open_requests
        if excess > 0:
            volumes = self._state.volumes.values()
            waiting = [request for volume in volumes for lane in volume.lanes.values() for request in lane]
            for request in sorted(waiting, key=lambda r: (r.cls.worth, r.due))[: int(excess)]:
                self._completion.give_up(request, api.Code.PLACES)
