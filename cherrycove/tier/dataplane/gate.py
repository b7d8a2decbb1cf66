"""Between the exchanges, which wait, and admission, which is pure: clock, timer and futures."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from math import inf

import attrs

from cherrycove.tier.dataplane.admission.interface import (
    Abandon,
    Action,
    Ending,
    Knowledge,
    Refuse,
    Send,
    Ticket,
)
from cherrycove.tier.dataplane.admission.scheduler import Scheduler
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView


@attrs.define(eq=False)
class Grant:
    """A place at a broker; ``finish`` gives it back, once."""

    gate: Gate
    ticket: Ticket
    broker: Broker
    on_stalled: Callable[[], None] | None = None  # called if the broker seems to have gone silent

    def answered(self, load: InstanceLoad | None) -> None:
        """The head of the answer has come."""
        self.gate.answered(self.ticket, load)

    def heard(self) -> None:
        """Some of the answer's body has come."""
        self.gate.heard(self.ticket)

    def finish(self, ending: Ending) -> None:
        self.gate.finish(self.ticket, ending)


class Gate:
    """Lets exchanges wait for admission, and carries out what it decides."""

    def __init__(self, views: ClusterView, rng: random.Random) -> None:
        self._views = views
        self._rng = rng
        self._scheduler: Scheduler | None = None
        self._waiting: dict[Ticket, asyncio.Future[Grant | Refuse]] = {}
        self._grants: dict[Ticket, Grant] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to follow the views; within the event loop."""
        self._scheduler = Scheduler(self._rng, self._now())
        self._views.on_change(self._learn)
        self._learn()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def acquire(self, ticket: Ticket) -> Grant | Refuse:
        """Wait until the ticket may be sent, or is refused."""
        answer: asyncio.Future[Grant | Refuse] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = answer
        try:
            self._carry_out(self._admission.arrive(self._now(), ticket))
            return await answer
        except asyncio.CancelledError:
            if answer.done() and not answer.cancelled() and isinstance(answer.result(), Grant):
                self.finish(ticket, Ending.LEFT)
            raise
        finally:
            if self._waiting.pop(ticket, None) is not None:
                self._admission.withdraw(ticket)

    def answered(self, ticket: Ticket, load: InstanceLoad | None) -> None:
        self._admission.answered(self._now(), ticket, load)

    def heard(self, ticket: Ticket) -> None:
        self._admission.heard(self._now(), ticket)

    def finish(self, ticket: Ticket, ending: Ending) -> None:
        self._grants.pop(ticket, None)
        self._carry_out(self._admission.ended(self._now(), ticket, ending))

    def end_by(self, at: float) -> None:
        """Every live request that waits or is out must be answered by then."""
        for ticket in (*self._waiting, *self._grants):
            if not ticket.batch:
                ticket.end = min(ticket.end, at)

    def free_slots(self) -> int:
        """How many batch items could be started now."""
        return self._admission.free_slots(self._now()) if self._scheduler is not None else 0

    @property
    def _admission(self) -> Scheduler:
        assert self._scheduler is not None, "the gate has not been started"
        return self._scheduler

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _learn(self) -> None:
        views = self._views
        proxies = views.proxies()
        rates: Counter[str] = Counter()
        for proxy in proxies:
            rates.update(dict(proxy.arrivals_per_s))
        knowledge = Knowledge(
            configuration=views.configuration, brokers=views.brokers, proxies=len(proxies), rates=rates
        )
        self._carry_out(self._admission.know(self._now(), knowledge))

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._grant(action)
                case Refuse():
                    self._settle(action.ticket, action)
                case Abandon():
                    self._abandon(action.ticket)
        self._arm()

    def _grant(self, action: Send) -> None:
        broker = self._admission.roster.states[action.instance_id].broker
        grant = self._grants[action.ticket] = Grant(self, action.ticket, broker)
        self._settle(action.ticket, grant)

    def _abandon(self, ticket: Ticket) -> None:
        grant = self._grants.get(ticket)
        if grant is not None and grant.on_stalled is not None:
            stalled, grant.on_stalled = grant.on_stalled, None  # once
            stalled()

    def _settle(self, ticket: Ticket, outcome: Grant | Refuse) -> None:
        answer = self._waiting.pop(ticket, None)
        if answer is not None and not answer.done():
            answer.set_result(outcome)
        elif isinstance(outcome, Grant):
            asyncio.get_running_loop().call_soon(self.finish, ticket, Ending.LEFT)

    def _arm(self) -> None:
        """One timer, for when admission next wants to look."""
        when = self._admission.next_wake()
        if self._timer is None and when < inf:
            self._timer = asyncio.get_running_loop().call_at(when, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._carry_out(self._admission.wake(self._now()))
