"""Admission of arriving requests: their latency target, their deadline, their shard and scheduled checks."""

from __future__ import annotations

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.attempts import Attempts
from cherrycove.scheduling.credits import Credits
from cherrycove.scheduling.key_order import KeyOrder
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.retry_policy import RetryPolicy
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import Request, Volume


class Arrivals:
    """Accepts arriving requests. Owned by ``Scheduler``."""

    def __init__(
        self,
        state: SchedulerState,
        key_order: KeyOrder,
        shedding: LoadShedding,
        retries: RetryPolicy,
        credit: Credits,
        attempts: Attempts,
    ) -> None:
        self._state = state
        self._key_order = key_order
        self._shedding = shedding
        self._retries = retries
        self._credits = credit
        self._attempts = attempts

    def accept(self, event: api.RequestArrival) -> None:
        """Accept a request; give it up at once if its client's time does not bear the work."""
        state = self._state
        if event.request in state.requests:
            return
        self._retries.count_arrival()
        cls, plan = state.settings.classes[event.cls], state.settings.plans[event.plan]
        volume = self._credits.volume_of(event, plan)
        volume.last_request_at = state.now
        request = self._request(event, cls, volume)
        state.requests[request.id] = request
        state.timers.schedule(request.deadline, self._attempts.retry, request)
        self._shedding.give_up_if_late(request)
        if request.done:
            return
        if cls.ordered and event.key and not self._key_order.add(request, event.key):
            return
        self._credits.admit(request)

    def _request(self, event: api.RequestArrival, cls: api.RequestClass, volume: Volume) -> Request:
        state = self._state
        tick = state.settings.tick
        return Request(
            event.request,
            cls,
            volume,
            event.units,
            # Latency is divided by this: a large request is no evidence of a slow node.
            relative_size=max(event.units / state.settings.usual_units, 1.0),
            shard=self._attempts.placements.shard_for(event.key, event.shard),
            key=event.key,
            arrived=state.now,
            due=state.now + cls.aim,
            deadline=state.now + event.budget - 2 * tick,  # leaves time for the answer
            budget=event.budget,
            upload=event.upload,
            is_new_object=event.shard is None,
        )
