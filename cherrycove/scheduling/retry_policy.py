"""Whether a request may be sent again: its duplicate effects, its number of attempts, its time, the budget.

The rule on duplicate effects itself is in ``retry_safety``; it is asked when a node is chosen, when a retry
is planned and when it is sent, since the window in which a repeat is dropped may end in between.
"""

from __future__ import annotations

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.retry_safety import may_repeat
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request, SlidingWindowSum


class RetryPolicy:
    """The bounds on further attempts, and the budget of them over all requests. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        settings = state.settings
        # Two ticks less than the window: no request counts that the platform may have forgotten already.
        self._arrived = SlidingWindowSum(max(settings.extra_window - 2 * settings.tick, 0.0))
        self._retried = SlidingWindowSum(settings.extra_window)

    def count_arrival(self) -> None:
        """A request has arrived; it adds to the budget of further attempts."""
        self._arrived.add(self._state.now)

    def count_retry(self) -> None:
        """A further attempt is sent, out of the budget."""
        self._retried.add(self._state.now)

    def may_run_at(self, request: Request, when: float, node: NodeQueue | None) -> bool:
        """Whether an attempt then, at this node (None: at some node), could not cause a second effect."""
        return may_repeat(request.cls, request.possible_run, when + self._state.settings.tick, node)

    def obstacle(self, request: Request, when: float) -> api.Code | None:
        """Return why no attempt may be sent at this time; None: one may."""
        node = None if request.shard is None else self._state.node(request.shard)
        if not self.may_run_at(request, when, node):
            return api.Code.MAY_HAVE_RUN
        if request.attempts >= self._state.settings.max_attempts:
            return api.Code.LAST_ATTEMPT
        return api.Code.NO_TIME if when >= request.end else None

    def may_retry_now(self, request: Request, node: NodeQueue) -> bool:
        """Whether a further attempt may be sent to this node now, by its effect and by the budget."""
        now, settings = self._state.now, self._state.settings
        if not self.may_run_at(request, now, node):
            return False
        if settings.extra_spare is None:
            return True
        allowed = settings.extra_spare + settings.extra_ratio * self._arrived.total(now)
        return self._retried.total(now) + 1 <= allowed
