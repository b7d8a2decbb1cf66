"""Connects the tasks that wait for admission to its scheduler, which is pure: clock, timer and futures."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from math import inf

import attrs

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
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView


@attrs.define(eq=False)
class Permit:
    """Leave for one attempt at one broker, and the broker's slot that it takes.

    Owned by the task that acquired it, which must call ``release`` once, however the attempt ends.
    """

    controller: AdmissionController
    request: AdmissionRequest
    broker: Broker
    on_stalled: Callable[[], None] | None = None  # called at most once, if the broker seems to have stalled

    def response_started(self, load: InstanceLoad | None) -> None:
        """The head of the response came."""
        self.controller.response_started(self.request, load)

    def body_received(self) -> None:
        """Bytes of the response's body came."""
        self.controller.body_received(self.request)

    def release(self, outcome: AttemptOutcome) -> None:
        """The attempt is over."""
        self.controller.release(self.request, outcome)


class AdmissionController:
    """Lets tasks wait for permits, and executes the scheduler's actions; owned by the ``DataPlane``.

    A request is pending (in ``_pending``) until it has a permit or is rejected, then in flight (in
    ``_permits``) until the permit is released. A task that is cancelled meanwhile withdraws its request or
    releases its permit.
    """

    def __init__(self, cluster_view: ClusterView, rng: random.Random) -> None:
        self._cluster_view = cluster_view
        self._rng = rng
        self._scheduler: AdmissionScheduler | None = None
        self._pending: dict[AdmissionRequest, asyncio.Future[Permit | Reject]] = {}
        self._permits: dict[AdmissionRequest, Permit] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to follow the cluster view; within the event loop."""
        self._scheduler = AdmissionScheduler(self._rng, self._now())
        self._cluster_view.on_change(self._update_cluster)
        self._update_cluster()

    def stop(self) -> None:
        """End the timer; tasks that still wait are cancelled by their owners."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def acquire(self, request: AdmissionRequest) -> Permit | Reject:
        """Wait until the request may be sent, or is rejected."""
        decision: asyncio.Future[Permit | Reject] = asyncio.get_running_loop().create_future()
        self._pending[request] = decision
        try:
            self._execute(self._running_scheduler.request_arrived(self._now(), request))
            return await decision
        except asyncio.CancelledError:
            if decision.done() and not decision.cancelled() and isinstance(decision.result(), Permit):
                self.release(request, AttemptOutcome.CANCELLED)
            raise
        finally:
            if self._pending.pop(request, None) is not None:
                self._running_scheduler.request_withdrawn(request)

    def response_started(self, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        """The head of a response came."""
        self._running_scheduler.response_started(self._now(), request, load)

    def body_received(self, request: AdmissionRequest) -> None:
        """Bytes of a response's body came."""
        self._running_scheduler.body_received(self._now(), request)

    def release(self, request: AdmissionRequest, outcome: AttemptOutcome) -> None:
        """The attempt of this request is over."""
        self._permits.pop(request, None)
        self._execute(self._running_scheduler.attempt_ended(self._now(), request, outcome))

    def limit_deadlines(self, at: float) -> None:
        """Every live request that is pending or in flight must be answered by then; for a drain."""
        for request in (*self._pending, *self._permits):
            if not request.is_batch:
                request.deadline = min(request.deadline, at)

    def free_slots(self) -> int:
        """How many batch items could be started now."""
        return self._scheduler.free_slots(self._now()) if self._scheduler is not None else 0

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
                    self._resolve(action.request, action)
                case CancelStalledAttempt():
                    self._cancel_stalled(action.request)
        self._schedule_wake()

    def _grant(self, action: StartAttempt) -> None:
        broker = self._running_scheduler.state.brokers[action.instance_id].listing
        permit = self._permits[action.request] = Permit(self, action.request, broker)
        self._resolve(action.request, permit)

    def _cancel_stalled(self, request: AdmissionRequest) -> None:
        permit = self._permits.get(request)
        if permit is not None and permit.on_stalled is not None:
            on_stalled = permit.on_stalled
            permit.on_stalled = None
            on_stalled()

    def _resolve(self, request: AdmissionRequest, decision: Permit | Reject) -> None:
        """Give the waiting task its decision; a permit that no task waits for any more is released soon."""
        waiter = self._pending.pop(request, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)
        elif isinstance(decision, Permit):
            asyncio.get_running_loop().call_soon(self.release, request, AttemptOutcome.CANCELLED)

    def _schedule_wake(self) -> None:
        """Set the one timer to when the scheduler next wants to run."""
        when = self._running_scheduler.next_wake_at()
        if self._timer is None and when < inf:
            self._timer = asyncio.get_running_loop().call_at(when, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._execute(self._running_scheduler.wake(self._now()))
