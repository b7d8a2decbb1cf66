"""One live request, from its arrival to its one answer.

It owns how often a request is sent and which answer ends it. It must never send a request again that may
have run unless its route allows that, and never answer with a promise (429, 503) then.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs
from aiohttp import web

from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission.interface import Ending, Refuse, Ticket
from cherrycove.tier.dataplane.drain import DrainDeadline
from cherrycove.tier.dataplane.gate import Gate, Grant
from cherrycove.tier.dataplane.headers import (
    DEADLINE_MS,
    EVENT_STREAM,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    REQUEST_ID,
    end_to_end,
    whole_number,
)
from cherrycove.tier.dataplane.prompt import parse_prompt
from cherrycove.tier.dataplane.relay import StreamRelay, own_answer, whole_answer
from cherrycove.tier.dataplane.upstream import (
    AnswerBrokenError,
    BrokerAnswer,
    MayHaveRun,
    NotRun,
    NotRunReason,
    Outgoing,
    Upstream,
)

MARGIN_S = 0.02  # ahead of the client's deadline, for the answer's way
MOST_SENDS = 24  # of one request, also those that were refused
RETRY_AFTER_S = 0.3  # advised where nothing better is known
RESUME_PAUSE_S = 0.1  # before a stream that has begun asks again for a broker
SERVER_ERROR = 500

ENDINGS = {
    NotRunReason.UNREACHABLE: Ending.UNREACHABLE,
    NotRunReason.REFUSED: Ending.REFUSED,
    NotRunReason.OTHER_INSTANCE: Ending.MISDIRECTED,
}


def latest_answer(request: web.BaseRequest, route: Route, arrived: float) -> float:
    """When a request is answered at the latest: within its client's deadline and its route's timeout."""
    patience_ms = whole_number(request.headers.get(DEADLINE_MS))
    held_ms = route.timeout_ms if patience_ms is None else min(patience_ms, route.timeout_ms)
    return arrived + held_ms / 1000 - MARGIN_S


class Dispatcher:
    """Serves live requests through admission and the connections to brokers."""

    def __init__(self, gate: Gate, upstream: Upstream, rng: random.Random, drain: DrainDeadline) -> None:
        self._gate = gate
        self._upstream = upstream
        self._rng = rng
        self._drain = drain

    async def handle(
        self, request: web.BaseRequest, body: bytes, route: Route, arrived: float, closing: Callable[[], bool]
    ) -> web.StreamResponse:
        """The answer to ``request``; ``closing`` tells whether its connection should end with it."""
        outgoing = Outgoing(
            request.headers.get(REQUEST_ID, ""), request.method, request.raw_path,
            end_to_end(request.headers), body, route.is_idempotent,
        )  # fmt: skip
        exchange = Exchange(
            gate=self._gate, upstream=self._upstream, request=request, outgoing=outgoing, route=route,
            ticket=self._ticket(request, route, arrived), closing=closing, drain=self._drain,
        )  # fmt: skip
        return await exchange.run()

    def _ticket(self, request: web.BaseRequest, route: Route, arrived: float) -> Ticket:
        patience_ms = whole_number(request.headers.get(DEADLINE_MS))
        return Ticket(
            route=route.name, service=self._service(route), arrived=arrived,
            aim_s=route.target_latency_ms / 1000,
            end=min(latest_answer(request, route, arrived), self._drain.at),
            patience_s=(route.timeout_ms if patience_ms is None else patience_ms) / 1000,
            prompt=parse_prompt(request.headers),
        )  # fmt: skip

    def _service(self, route: Route) -> str:
        splits = route.splits
        return self._rng.choices([each.service for each in splits], [each.weight for each in splits])[0]


@attrs.define(eq=False, kw_only=True)
class Exchange:
    """The sends of one request and its answer."""

    gate: Gate
    upstream: Upstream
    request: web.BaseRequest
    outgoing: Outgoing
    route: Route
    ticket: Ticket
    closing: Callable[[], bool]
    drain: DrainDeadline
    ran: int = 0  # brokers that may have run it
    in_flight: bool = False  # sent, and nothing is known yet
    relay: StreamRelay = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        own_last_id = whole_number(self.outgoing.headers.get(LAST_EVENT_ID))
        self.relay = StreamRelay(self.request, own_last_id, self.route.resumable, self.closing())

    async def run(self) -> web.StreamResponse:
        try:
            async with self.drain.limit(self.ticket.end):
                return await self._serve()
        except TimeoutError:
            return self._failed(504)

    async def _serve(self) -> web.StreamResponse:
        while True:
            granted = await self.gate.acquire(self.ticket)
            if isinstance(granted, Refuse):
                if not self.relay.begun:
                    return self._failed(502, granted.retry_after_s)
                await asyncio.sleep(RESUME_PAUSE_S)  # its client has a part, and time is left for the others
                continue
            response = await self._attempt(granted)
            if response is not None:
                return response
            if not self._may_go_on():
                return self._failed(502)

    def _may_go_on(self) -> bool:
        if self.ticket.sends >= MOST_SENDS:
            return False
        return self.ran == 0 or (self.route.is_idempotent and self.ran < self.route.max_attempts)

    async def _attempt(self, grant: Grant) -> web.StreamResponse | None:
        """One send; None if it gave no answer for the client."""
        ending = Ending.LEFT
        try:
            async with asyncio.timeout(None) as patience:
                if self.route.is_idempotent and self.ran + 1 < self.route.max_attempts:
                    grant.on_stalled = lambda: patience.reschedule(0.0)
                response, ending = await self._send(grant)
                return response
        except TimeoutError:
            ending = Ending.SILENT
            self._count_run()
            return None
        except AnswerBrokenError:
            ending = Ending.BROKEN
            return None
        finally:
            grant.finish(ending)

    async def _send(self, grant: Grant) -> tuple[web.StreamResponse | None, Ending]:
        remaining_s = self.ticket.end - asyncio.get_running_loop().time()
        self.in_flight = True
        outcome = await self.upstream.send(grant.broker, self._resuming(), remaining_s)
        if isinstance(outcome, NotRun):
            self.in_flight = False
            return None, self._not_run(outcome.reason)
        self._count_run()
        if isinstance(outcome, MayHaveRun):
            return None, Ending.BROKEN
        try:
            return await self._pass_on(outcome.answer, grant), Ending.SERVED
        finally:
            outcome.answer.close()

    def _not_run(self, reason: NotRunReason) -> Ending:
        if reason is NotRunReason.OTHER_INSTANCE and EXPECT_VERSION in self.outgoing.headers:
            return Ending.UNSUITED  # the same status says that the weights have another version
        return ENDINGS[reason]

    def _count_run(self) -> None:
        if self.in_flight:
            self.in_flight = False
            self.ran += 1

    def _resuming(self) -> Outgoing:
        if not self.relay.begun or self.relay.last_id is None:
            return self.outgoing
        headers = self.outgoing.headers.copy()
        headers[LAST_EVENT_ID] = str(self.relay.last_id)
        return attrs.evolve(self.outgoing, headers=headers)

    async def _pass_on(self, answer: BrokerAnswer, grant: Grant) -> web.StreamResponse | None:
        grant.answered(answer.load)
        if answer.status // 100 == 2 and answer.media_type == EVENT_STREAM:
            return await self.relay.feed(answer, grant.heard)
        body = await answer.read()
        grant.heard()
        if self.relay.begun or (answer.status == SERVER_ERROR and self._may_go_on()):
            return None
        return whole_answer(answer, body, self.closing())

    def _failed(self, status: int, retry_after_s: float = RETRY_AFTER_S) -> web.StreamResponse:
        """The final answer where no broker gave one; a promise only if the request has not run."""
        if self.relay.begun:
            return self.relay.abort()
        identity = self.outgoing.request_id
        if self.ran or self.in_flight:
            return own_answer(status, "no whole answer came", identity, self.closing())
        return own_answer(503, "no broker has room", identity, self.closing(), retry_after_s)
