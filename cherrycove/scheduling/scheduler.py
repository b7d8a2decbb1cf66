"""The storage broker's scheduler, which dispatches events to its policies. interface.py defines both sides.

It follows "Storage Performance Virtualization via Throughput and Latency Control": the SARC and AVATAR parts.
docs/design.md says which module implements which part, and how illegible passages of the paper are read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from math import inf
from typing import Any

from cherrycove.scheduling import interface as api
from cherrycove.scheduling.arrivals import Arrivals
from cherrycove.scheduling.attempts import Attempts
from cherrycove.scheduling.credits import Credits
from cherrycove.scheduling.deadline_queue import DeadlineQueues
from cherrycove.scheduling.dispatch import Dispatch
from cherrycove.scheduling.key_order import KeyOrder
from cherrycove.scheduling.latency_estimate import LatencyEstimate
from cherrycove.scheduling.limit_policy import LimitPolicy
from cherrycove.scheduling.load_shedding import LoadShedding
from cherrycove.scheduling.node_membership import NodeMembership
from cherrycove.scheduling.request_completion import RequestCompletion
from cherrycove.scheduling.restart_state import FormerIncarnation, collect_restart_state
from cherrycove.scheduling.retry_policy import RetryPolicy
from cherrycove.scheduling.scheduler_state import SchedulerState
from cherrycove.scheduling.state import REFILL_PERIOD_S

REPORT_INTERVAL_S = 5.0  # between ``Report`` actions
HOST_STALL_S = 0.02  # a timer that fires this much later shows that this host did not run meanwhile


class Scheduler:
    """The scheduler of one host: takes events, returns actions.

    Owned by the host's event loop, which calls ``handle`` and executes the returned actions. The scheduler
    reads no clock and does no I/O: equal settings, seed and calls give equal actions. ``state``, ``latency``
    and ``shedding`` are exposed for inspection.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.state = state = SchedulerState(settings, seed)
        self.latency = latency = LatencyEstimate(state)
        key_order = KeyOrder(state, admit=lambda request: self._credits.admit(request))
        completion = RequestCompletion(state, latency, key_order)
        self.shedding = shedding = LoadShedding(state, latency, completion)
        retries = RetryPolicy(state)
        queues = DeadlineQueues(state, latency, completion, retries)
        self._credits = Credits(state, latency, shedding, queues)
        self._attempts = Attempts(state, latency, completion, shedding, retries, queues, self._credits)
        self._dispatch = Dispatch(state, latency, completion, shedding, self._credits, self._attempts)
        self._arrivals = Arrivals(state, key_order, shedding, retries, self._credits, self._attempts)
        self._membership = NodeMembership(state, queues)
        self._limits = LimitPolicy(state)
        self._completion = completion
        self._timer_due = inf  # when the most recently set timer fires
        self._handlers = self._event_handlers()

    def _event_handlers(self) -> Mapping[type[api.Event], Callable[[Any], None]]:
        """Return the handler of each event type; events of other types are ignored."""
        return {
            api.RequestArrival: self._arrivals.accept,
            api.UploadEnd: self._attempts.finish_upload,
            api.AttemptEnd: self._attempts.finish,
            api.ClientDeparture: self._close_departed,
            api.NodeListUpdate: self._membership.update,
            api.OpenRequestLimit: self._set_max_open_requests,
            api.BudgetShare: self._set_budget_share,
            api.RestartState: self._restore,
            api.CapacityPool: self._set_capacity_pool,
            api.CapacityLoan: self._set_capacity_loan,
            api.NodeListFailure: self._membership.retry_watch,
            api.TimerExpiry: self._clear_timer,
        }

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Process the events up to ``now`` (s, monotonic) and return the actions to execute, in order.

        A ``now`` that lies before that of an earlier call is replaced by the latest time seen.
        """
        state = self.state
        state.now = max(now, state.now)
        state.actions = []
        if state.started == inf:
            self._start()
        # After this host has stalled, the times at which the events happened are unknown.
        self._attempts.is_stalled = state.now > self._timer_due + HOST_STALL_S
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        state.timers.run_due(state.now)
        self.shedding.shed_over_capacity()
        self._dispatch.process_touched()
        self._set_timer()
        return state.actions

    def export_restart_state(self) -> api.RestartState:
        """Return the state that the next incarnation of this scheduler may restore."""
        state = self.state
        refilled_at = state.window_end - REFILL_PERIOD_S
        return collect_restart_state(state.nodes.values(), state.volumes, state.epoch, state.now, refilled_at)

    def recent_sent_units(self) -> dict[str, float]:
        """Return the units sent to each node within ``Settings.fall_window``, by node id."""
        nodes = self.state.nodes.values()
        return {node.id: node.sent_window.total(self.state.now) for node in nodes if node.id is not None}

    def accepting_nodes(self) -> set[str]:
        """Return the ids of the nodes that are up, not draining, and have no consecutive failures."""
        nodes = self.state.nodes.values()
        return {node.id for node in nodes if node.id is not None and not node.failures}

    def _start(self) -> None:
        self.state.started = self.state.now
        self.state.slow_start.begin(self.state.now)
        self._begin_period()
        self._report()
        if self.settings.list_on_request:
            self._membership.watch()

    def _set_timer(self) -> None:
        """Set a timer for the next task, unless one that fires earlier is set already."""
        due = self.state.timers.next_due()
        if due < self._timer_due:
            self._timer_due = due
            self.state.actions.append(api.SetTimer(0, due - self.state.now))

    def _clear_timer(self, _: api.TimerExpiry) -> None:
        """Forget the timer that fired, even if its time has not come: it may fire a rounding error early."""
        self._timer_due = inf

    def _begin_period(self, _: None = None) -> None:
        """Refill the credits of all volumes and update the concurrency limits of all nodes."""
        state = self.state
        state.epoch += 1
        state.window_end = state.now + REFILL_PERIOD_S
        state.timers.schedule(state.window_end, self._begin_period)
        self._credits.refill()
        self.latency.refresh_typical()
        self._limits.end_windows()

    def _report(self, _: None = None) -> None:
        lines = [node.summary() for node in self.state.nodes.values() if node.incarnation]
        note = "L(!overload ?failing -gone)/out/queued/held " + " ".join(lines)
        self.state.actions.append(api.Report(note))
        self.state.timers.schedule(self.state.now + REPORT_INTERVAL_S, self._report)

    def _close_departed(self, event: api.ClientDeparture) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            self._completion.close(request)

    def _set_max_open_requests(self, event: api.OpenRequestLimit) -> None:
        self.shedding.max_open_requests = event.max_open

    def _set_budget_share(self, event: api.BudgetShare) -> None:
        """Use only a part of the budgets while two processes of one host run during a replacement.

        Together they count as one scheduler for plan limits and for cold nodes.
        """
        state = self.state
        state.slow_start.set_own_fraction(event.fraction, event.sent, state.now)
        for volume in state.volumes.values():
            volume.set_limit_fraction(state.now, state.slow_start.own_fraction)

    def _restore(self, event: api.RestartState) -> None:
        """Restore the state that an earlier incarnation exported."""
        former = FormerIncarnation(event)
        self._credits.former = former
        self.state.slow_start.restore(complete=event.whole)
        self._membership.restore(former)

    def _set_capacity_pool(self, event: api.CapacityPool) -> None:
        self.state.slow_start.pooled_fraction = event.pooled_fraction

    def _set_capacity_loan(self, event: api.CapacityLoan) -> None:
        for node in self.state.nodes.values():
            if node.id == event.node:
                node.set_loan(event.units, self.state.now, event.duration)
                self.state.touch(node)
