"""Drives the pure admission scheduler: supplies the clock, the timer and the futures that tasks await."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Set
from math import inf

import attrs

from cherrycove.tier.batch.execution import ExecutorLoad
from cherrycove.tier.dataplane.admission import (
    Action,
    AdmissionRequest,
    AdmissionScheduler,
    AttemptOutcome,
    CancelStalledAttempt,
    ClusterSnapshot,
    Reject,
    StartAttempt,
)
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.dataplane.loss_cause import RequestTimeline
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView

MAX_REPORTED_BROKERS = 32  # in one lease request, which bounds its size; sampled at random if there are more


@attrs.define(eq=False)
class Permit:
    """Permission for one attempt at one broker; holds one of the broker's slots until it is released.

    Owned by the task that acquired it, which must call ``release`` exactly once, however the attempt ends.
    """

    controller: AdmissionController
    request: AdmissionRequest
    broker: Broker
    timeline: RequestTimeline
    on_stalled: Callable[[], None] | None = None  # called at most once, when the broker appears stalled

    def response_started(self, load: InstanceLoad | None) -> None:
        """Report that the response headers were received."""
        self.controller.response_started(self.request, load)

    def body_received(self) -> None:
        """Report that bytes of the response body were received."""
        self.timeline.event_received(self.controller.body_received(self.request))

    def release(self, outcome: AttemptOutcome) -> None:
        """Report how the attempt ended, and free the slot."""
        self.timeline.attempt_ended(self.controller.release(self.request, outcome), outcome)


@attrs.frozen(eq=False)
class _Waiter:
    """A task that awaits the admission decision on its request."""

    decision: asyncio.Future[Permit | Reject]
    timeline: RequestTimeline


class AdmissionController:
    """Grants permits to waiting tasks, and executes the scheduler's actions; owned by the ``DataPlane``.

    A request is pending (in ``_pending``) until it has a permit or is rejected, then in flight (in
    ``_permits``) until the permit is released. If its task is cancelled first, the request is withdrawn or
    the permit released.
    """

    def __init__(self, cluster_view: ClusterView, rng: random.Random) -> None:
        self._cluster_view = cluster_view
        self._rng = rng
        self._scheduler: AdmissionScheduler | None = None
        self._pending: dict[AdmissionRequest, _Waiter] = {}
        self._permits: dict[AdmissionRequest, Permit] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Subscribe to the cluster view. Must be called within the event loop."""
        self._scheduler = AdmissionScheduler(self._rng, self._now())
        self._cluster_view.on_change(self._update_cluster)
        self._update_cluster()

    def stop(self) -> None:
        """Cancel the timer; waiting tasks are cancelled by their owners."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def acquire(self, request: AdmissionRequest, timeline: RequestTimeline) -> Permit | Reject:
        """Wait until the request is admitted or rejected; ``timeline`` records the wait and the attempt."""
        decision: asyncio.Future[Permit | Reject] = asyncio.get_running_loop().create_future()
        self._pending[request] = _Waiter(decision, timeline)
        now = self._now()
        timeline.wait_started(now)
        try:
            self._execute(self._running_scheduler.request_arrived(now, request))
            return await decision
        except asyncio.CancelledError:
            timeline.wait_ended(self._now(), request.pending_cause)
            if decision.done() and not decision.cancelled() and isinstance(decision.result(), Permit):
                self.release(request, AttemptOutcome.CANCELLED)
            raise
        finally:
            if self._pending.pop(request, None) is not None:
                self._running_scheduler.request_withdrawn(request)

    def response_started(self, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        """Tell the scheduler that the headers of a response were received."""
        self._running_scheduler.response_started(self._now(), request, load)

    def body_received(self, request: AdmissionRequest) -> float:
        """Tell the scheduler that bytes of a response body were received; returns the monotonic time."""
        now = self._now()
        self._running_scheduler.body_received(now, request)
        return now

    def release(self, request: AdmissionRequest, outcome: AttemptOutcome) -> float:
        """Tell the scheduler how the request's attempt ended; returns the monotonic time."""
        now = self._now()
        self._permits.pop(request, None)
        self._execute(self._running_scheduler.attempt_ended(now, request, outcome))
        return now

    def retry_after_s(self, request: AdmissionRequest) -> float:
        """When the client of a request that was not executed should come back, in seconds from now."""
        return self._running_scheduler.retry_after_s(self._now(), request)

    def limit_deadlines(self, at: float) -> None:
        """Cap the deadline of every pending or in-flight live request at ``at``; used by a drain."""
        for request in (*self._pending, *self._permits):
            if not request.is_batch:
                request.deadline = min(request.deadline, at)

    def free_slots(self) -> int:
        """The number of batch items that could be started now."""
        return self._scheduler.free_slots(self._now()) if self._scheduler is not None else 0

    def load(self, services: Set[str]) -> ExecutorLoad:
        """The slots of the usable brokers of ``services``, and the live requests for these services."""
        if self._scheduler is None:
            return ExecutorLoad(0, 0)
        slots = self._scheduler.usable_slots(services)
        usable = self._scheduler.brokers_for_items(services, self._now())
        live = sum(
            not request.is_batch and request.service in services
            for request in (*self._pending, *self._permits)
        )
        if len(usable) > MAX_REPORTED_BROKERS:
            sampled = self._rng.sample(sorted(usable), MAX_REPORTED_BROKERS)
            usable = {instance_id: usable[instance_id] for instance_id in sampled}
        return ExecutorLoad(slots, live, usable)

    @property
    def _running_scheduler(self) -> AdmissionScheduler:
        assert self._scheduler is not None, "the controller has not been started"
        return self._scheduler

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _update_cluster(self) -> None:
        cluster_view = self._cluster_view
        proxies = cluster_view.proxies()
        arrivals_per_s: Counter[str] = Counter()
        for proxy in proxies:
            arrivals_per_s.update(dict(proxy.arrivals_per_s))
        snapshot = ClusterSnapshot(
            configuration=cluster_view.configuration,
            brokers=cluster_view.brokers,
            proxies=len(proxies),
            arrivals_per_s=arrivals_per_s,
        )
        self._execute(self._running_scheduler.cluster_changed(self._now(), snapshot))

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._grant(action)
                case Reject():
                    self._reject(action)
                case CancelStalledAttempt():
                    self._cancel_stalled(action.request)
        self._schedule_wake()

    def _grant(self, action: StartAttempt) -> None:
        """Hand the waiting task its permit.

        If no task waits for it any more, the permit is released in the next iteration of the event loop.
        """
        request = action.request
        waiter = self._pending.pop(request, None)
        if waiter is None or waiter.decision.done():
            asyncio.get_running_loop().call_soon(self.release, request, AttemptOutcome.CANCELLED)
            return
        state = self._running_scheduler.state
        prefill_s = state.latency(request.service).prefill_s(request.uncached_tokens)
        waiter.timeline.attempt_started(self._now(), request, prefill_s)
        broker = state.brokers[action.instance_id].listing
        permit = self._permits[request] = Permit(self, request, broker, waiter.timeline)
        waiter.decision.set_result(permit)

    def _reject(self, action: Reject) -> None:
        waiter = self._pending.pop(action.request, None)
        if waiter is not None and not waiter.decision.done():
            waiter.timeline.rejected(action.reason)
            waiter.decision.set_result(action)

    def _cancel_stalled(self, request: AdmissionRequest) -> None:
        permit = self._permits.get(request)
        if permit is not None and permit.on_stalled is not None:
            on_stalled = permit.on_stalled
            permit.on_stalled = None
            on_stalled()

    def _schedule_wake(self) -> None:
        """Arm the single timer for the scheduler's next wake-up time, unless it is armed already."""
        when = self._running_scheduler.next_wake_at()
        if self._timer is None and when < inf:
            self._timer = asyncio.get_running_loop().call_at(when, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._execute(self._running_scheduler.wake(self._now()))
