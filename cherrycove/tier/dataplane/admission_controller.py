"""Between the exchanges, which wait, and admission, which is pure: clock, timer and futures."""

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
    """A place at a broker; ``finish`` gives it back, once."""

    controller: AdmissionController
    request: AdmissionRequest
    broker: Broker
    on_stalled: Callable[[], None] | None = None  # called if the broker seems to have gone silent

    def response_started(self, load: InstanceLoad | None) -> None:
        """The head of the answer has come."""
        self.controller.response_started(self.request, load)

    def body_received(self) -> None:
        """Some of the answer's body has come."""
        self.controller.body_received(self.request)

    def finish(self, ending: AttemptOutcome) -> None:
        self.controller.finish(self.request, ending)


class AdmissionController:
    """Lets exchanges wait for admission, and carries out what it decides."""

    def __init__(self, views: ClusterView, rng: random.Random) -> None:
        self._views = views
        self._rng = rng
        self._scheduler: AdmissionScheduler | None = None
        self._pending: dict[AdmissionRequest, asyncio.Future[Permit | Reject]] = {}
        self._permits: dict[AdmissionRequest, Permit] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to follow the views; within the event loop."""
        self._scheduler = AdmissionScheduler(self._rng, self._now())
        self._views.on_change(self._update_cluster)
        self._update_cluster()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def acquire(self, request: AdmissionRequest) -> Permit | Reject:
        """Wait until the request may be sent, or is refused."""
        answer: asyncio.Future[Permit | Reject] = asyncio.get_running_loop().create_future()
        self._pending[request] = answer
        try:
            self._execute(self._running_scheduler.request_arrived(self._now(), request))
            return await answer
        except asyncio.CancelledError:
            if answer.done() and not answer.cancelled() and isinstance(answer.result(), Permit):
                self.finish(request, AttemptOutcome.CANCELLED)
            raise
        finally:
            if self._pending.pop(request, None) is not None:
                self._running_scheduler.request_withdrawn(request)

    def response_started(self, request: AdmissionRequest, load: InstanceLoad | None) -> None:
        self._running_scheduler.response_started(self._now(), request, load)

    def body_received(self, request: AdmissionRequest) -> None:
        self._running_scheduler.body_received(self._now(), request)

    def finish(self, request: AdmissionRequest, ending: AttemptOutcome) -> None:
        self._permits.pop(request, None)
        self._execute(self._running_scheduler.attempt_ended(self._now(), request, ending))

    def limit_deadlines(self, at: float) -> None:
        """Every live request that waits or is out must be answered by then."""
        for request in (*self._pending, *self._permits):
            if not request.is_batch:
                request.deadline = min(request.deadline, at)

    def free_slots(self) -> int:
        """How many batch items could be started now."""
        return self._running_scheduler.free_slots(self._now()) if self._scheduler is not None else 0

    @property
    def _running_scheduler(self) -> AdmissionScheduler:
        assert self._scheduler is not None, "the gate has not been started"
        return self._scheduler

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _update_cluster(self) -> None:
        views = self._views
        proxies = views.proxies()
        rates: Counter[str] = Counter()
        for proxy in proxies:
            rates.update(dict(proxy.arrivals_per_s))
        snapshot = ClusterSnapshot(
            configuration=views.configuration,
            brokers=views.brokers,
            proxies=len(proxies),
            arrivals_per_s=rates,
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
                    self._abandon(action.request)
        self._schedule_wake()

    def _grant(self, action: StartAttempt) -> None:
        broker = self._running_scheduler.state.brokers[action.instance_id].listing
        permit = self._permits[action.request] = Permit(self, action.request, broker)
        self._resolve(action.request, permit)

    def _abandon(self, request: AdmissionRequest) -> None:
        permit = self._permits.get(request)
        if permit is not None and permit.on_stalled is not None:
            stalled, permit.on_stalled = permit.on_stalled, None  # once
            stalled()

    def _resolve(self, request: AdmissionRequest, outcome: Permit | Reject) -> None:
        answer = self._pending.pop(request, None)
        if answer is not None and not answer.done():
            answer.set_result(outcome)
        elif isinstance(outcome, Permit):
            asyncio.get_running_loop().call_soon(self.finish, request, AttemptOutcome.CANCELLED)

    def _schedule_wake(self) -> None:
        """One timer, for when admission next wants to look."""
        when = self._running_scheduler.next_wake_at()
        if self._timer is None and when < inf:
            self._timer = asyncio.get_running_loop().call_at(when, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._execute(self._running_scheduler.wake(self._now()))
