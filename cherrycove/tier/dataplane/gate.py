"""Between the exchanges, which wait, and admission, which is pure: clock, timer and futures."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import attrs

from cherrycove.tier.dataplane.admission.interface import Ending, Refuse, Ticket
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.distribution.views import Broker, Views


@attrs.define(eq=False)
class Grant:
    """A place at a broker; ``finish`` gives it back, once."""

    gate: Gate
    ticket: Ticket
    broker: Broker
    sent_at: float
    on_stalled: Callable[[], None] | None = None  # called once if the broker seems to have gone silent

    def answered(self, load: InstanceLoad | None) -> None:
        """The head of the answer has come."""

    def heard(self) -> None:
        """Something has come."""

    def finish(self, ending: Ending) -> None:
        self.gate.finish(self, ending)


class Gate:
    """Least outstanding, first come first."""

    def __init__(self, views: Views, rng: random.Random) -> None:
        self._views = views
        self._rng = rng
        self._out: Counter[str] = Counter()
        self._changed = asyncio.Event()

    async def acquire(self, ticket: Ticket) -> Grant | Refuse:
        loop = asyncio.get_running_loop()
        while True:
            grant = self._grant(ticket)
            if grant is not None:
                return grant
            self._changed.clear()
            try:
                async with asyncio.timeout_at(min(ticket.end, ticket.arrived + ticket.aim_s)):
                    await self._changed.wait()
            except TimeoutError:
                return Refuse(ticket, 0.3)
            if loop.time() >= ticket.end:
                return Refuse(ticket, 0.3)

    def _grant(self, ticket: Ticket) -> Grant | None:
        free = [
            broker for broker in self._views.brokers
            if broker.service == ticket.service and not broker.draining
            and broker.instance_id not in ticket.excluded
            and self._out[broker.instance_id] < max(broker.capacity_slots, 1)
        ]  # fmt: skip
        if not free:
            return None
        broker = min(free, key=lambda each: (self._out[each.instance_id], self._rng.random()))
        self._out[broker.instance_id] += 1
        ticket.sends += 1
        return Grant(self, ticket, broker, asyncio.get_running_loop().time())

    def finish(self, grant: Grant, ending: Ending) -> None:
        self._out[grant.broker.instance_id] -= 1
        if ending is not Ending.SERVED:
            grant.ticket.excluded.add(grant.broker.instance_id)
        self._changed.set()

    def free_places(self) -> int:
        free = (max(int(b.capacity_slots * 0.7) - self._out[b.instance_id], 0) for b in self._views.brokers)
        return sum(free) // max(len(self._views.proxies()), 1)
