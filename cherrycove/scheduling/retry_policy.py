"""Whether a request may be retried: duplicate execution, number of attempts, time left and retry budget.

``retry_safety`` implements the rule on duplicate execution. It is checked when a node is chosen, when a retry
is planned and when it is sent, since the window in which nodes drop repeats may end in between.
"""

from __future__ import annotations

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.retry_safety import may_repeat
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import NodeQueue, Request, SlidingWindowSum


class RetryPolicy:
    """The limits on further attempts, and their budget over all requests. Owned by ``Scheduler``."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        settings = state.settings
        # Two ticks shorter than the window, so that no request counts that the platform may have expired.
        self._arrived = SlidingWindowSum(max(settings.extra_window - 2 * settings.tick, 0.0))
        self._retried = SlidingWindowSum(settings.extra_window)

    def count_arrival(self) -> None:
        """Count an arrival, which adds to the budget of further attempts."""
        self._arrived.add(self._state.now)

    def count_retry(self) -> None:
        """Count a further attempt, which uses up the budget."""
        self._retried.add(self._state.now)

    def may_run_at(self, request: Request, when: float, node: NodeQueue | None) -> bool:
        """Return whether an attempt at this time and node (None: any node) cannot take effect twice."""
        return may_repeat(request.cls, request.possible_run, when + self._state.settings.tick, node)

    def denial_code(self, request: Request, when: float) -> api.Code | None:
        """Return why no attempt may be sent at this time; None if one may."""
        node = None if request.shard is None else self._state.node(request.shard)
        if not self.may_run_at(request, when, node):
            return api.Code.MAY_HAVE_RUN
        if request.attempts >= self._state.settings.max_attempts:
            return api.Code.LAST_ATTEMPT
        return api.Code.NO_TIME if when >= request.deadline else None

    def may_retry_now(self, request: Request, node: NodeQueue) -> bool:
        """Return whether a further attempt at this node is safe now and within the budget."""
        now, settings = self._state.now, self._state.settings
        if not self.may_run_at(request, now, node):
            return False
        if settings.extra_spare is None:
            return True
        allowed = settings.extra_spare + settings.extra_ratio * self._arrived.total(now)
        return self._retried.total(now) + 1 <= allowed
