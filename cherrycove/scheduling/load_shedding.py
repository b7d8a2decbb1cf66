"""Requests that cannot be answered in time are given up at once, whatever they wait for.

An early refusal leaves the client time to ask again, and leaves the units, the queue and the connection to
requests that can still be answered in time. Whether a node that looks slow makes a request late is an
estimate: where the estimate misleads, a request is refused that would have been in time.
"""

from __future__ import annotations

from math import inf

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Request, Volume


class LoadShedding:
    """Gives up requests that would be late, or for which there is no place. Owned by ``Scheduler``."""

    def __init__(
        self, state: SchedulerState, latency: LatencyEstimate, completion: RequestCompletion
    ) -> None:
        self._state = state
        self._latency = latency
        self._completion = completion
        self.max_open_requests: float = inf

    def is_late(self, request: Request, wait: float = 0.0) -> bool:
        """Whether an attempt sent after this wait (s) would be answered past the latency target.

        A node that keeps up still takes what has passed credit and limit. A new object has its whole target,
        since any node may take it.
        """
        state = self._state
        node = request.node if request.place == "queue" else None
        if node is None and request.shard is not None:
            node = state.node(request.shard)
        if node is None:
            return state.now + wait > request.due
        late = state.now + max(wait, self._latency.lower_bound(node)) > request.due
        return late and not ((request.attempts or request.place == "queue") and state.keeps_up(node))

    def review(self, request: Request) -> None:
        """Give up a request that would be late, wherever it waits; otherwise look again when it may be.

        It may wait for credit, the limit, its key's turn, or a node that rests or is gone.
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
            state.timers.schedule(last_chance + state.settings.tick, self.review, request)

    def give_up_unsent(self, request: Request) -> None:
        """Give up a request that was never sent by half of its time: its client may ask once more."""
        if not request.done and not request.attempts:
            self._completion.give_up(request, api.Code.HALF_TIME)

    def shed_over_limit(self, volume: Volume) -> None:
        """Give up what the volume's limit would let through only when too late.

        The limit's units go to what has the highest value first: a request refused here earns nothing, and
        held until its time is over it would hold up its client as well. Units reserved before a request
        that is then given up elsewhere go unused.
        """
        need = volume.pending - volume.level(self._state.now)
        waiting = [request for lane in volume.lanes.values() for request in lane]
        for request in sorted(waiting, key=lambda r: (-r.cls.worth, r.due - r.cls.aim)):
            wait = (need + request.units) / volume.limit
            if self.is_late(request, wait):
                self._completion.give_up(request, api.Code.OVER_LIMIT, wait)
            else:
                need += request.units

    def shed_over_capacity(self) -> None:
        """Give up what exceeds the number of requests that may be open.

        Each open request holds a connection of its client. If requests that wait for credit held all of
        them, nobody could ask for what the reserves guarantee. Those of the lowest value are given up, of
        these the ones due first.
        """
        excess = len(self._state.requests) - self.max_open_requests
        if excess > 0:
            volumes = self._state.volumes.values()
            waiting = [request for volume in volumes for lane in volume.lanes.values() for request in lane]
            for request in sorted(waiting, key=lambda r: (r.cls.worth, r.due))[: int(excess)]:
                self._completion.give_up(request, api.Code.PLACES)
