"""Runs batch items at model brokers: the ItemExecutor of the batch plane.

It owns one execution of an item. It must never report an item completed unless its stream ended whole, and
never send one that its worker no longer may.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf

import attrs
from multidict import CIMultiDict

from cherrycove.tier.batch.execution import ItemOutcome, ItemState, RecordFailures
from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission import AdmissionRequest, AttemptOutcome, Reject
from cherrycove.tier.dataplane.admission_controller import AdmissionController, Permit
from cherrycove.tier.dataplane.event_stream import EventStreamParser, EventTooLongError, StreamEvent
from cherrycove.tier.dataplane.headers import DEADLINE_MS, LAST_EVENT_ID, REQUEST_ID, end_to_end_headers
from cherrycove.tier.dataplane.prompt import parse_prompt
from cherrycove.tier.dataplane.request_forwarder import NOT_EXECUTED_OUTCOMES
from cherrycove.tier.dataplane.upstream import (
    IncompleteResponseError,
    NotExecuted,
    PossiblyExecuted,
    ResponseFault,
    UpstreamClient,
    UpstreamRequest,
    UpstreamResponse,
)
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.batch_pb2 import LeasedItem

PAUSE_S = 0.1  # after a send without progress; doubles up to the longest
LONGEST_PAUSE_S = 1.0
SILENCE_S = 5.0  # without a byte after which a broker is given up
MOST_FRUITLESS_SENDS = 20  # in a row, before the item is given back
UNPROCESSABLE = 422
SERVER_ERROR = 500


class BrokerItemExecutor:
    """Sends items through admission to brokers and collects what they generate."""

    def __init__(
        self, views: ClusterView, admission: AdmissionController, upstream: UpstreamClient, rng: random.Random
    ) -> None:
        self._views = views
        self._admission = admission
        self._upstream = upstream
        self._rng = rng

    def free_slots(self) -> int:
        return self._admission.free_slots()

    async def run_item(
        self, item: LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        run = ItemExecution(
            admission=self._admission, upstream=self._upstream, item=item, failed=item.failed_attempts,
            record_failures=record_failures,
        )  # fmt: skip
        if run.failed_for_good:  # its last holder did not come to report that
            return run.dead_lettered()
        while True:
            route = self._route(item)
            if route is None:
                return run.returned()
            outcome = await run.attempt(
                self._admission_request(item, route),
                may_send,
                lambda service: self._is_served_by(item, service),
            )
            if outcome is not None:
                return outcome

    def _route(self, item: LeasedItem) -> Route | None:
        configuration = self._views.configuration
        return configuration.route(item.route) if configuration is not None else None

    def _is_served_by(self, item: LeasedItem, service: str) -> bool:
        route = self._route(item)
        return route is not None and service in route.services

    def _admission_request(self, item: LeasedItem, route: Route) -> AdmissionRequest:
        now = asyncio.get_running_loop().time()
        services = [each.service for each in route.splits]
        weights = [each.weight for each in route.splits]
        due = now + item.due_in_ms / 1000
        return AdmissionRequest(
            route=route.name, service=self._rng.choices(services, weights)[0], arrived_at=now,
            target_latency_s=max(due - now, 0.0), deadline=inf, client_timeout_s=inf, due_at=due,
            is_batch=True,
            prompt=parse_prompt(CIMultiDict(item.item.headers)),
        )  # fmt: skip


@attrs.define(eq=False, kw_only=True)
class ItemExecution:
    """One execution: what has come so far, over all its sends."""

    admission: AdmissionController
    upstream: UpstreamClient
    item: LeasedItem
    failed: int  # answers of 500
    record_failures: RecordFailures
    last_id: int | None = None
    data: list[bytes] = attrs.field(factory=list)
    fruitless: int = 0  # sends in a row that brought nothing
    pause_s: float = PAUSE_S

    def returned(self) -> ItemOutcome:
        return ItemOutcome(ItemState.RETURNED, failed_attempts=self.failed)

    @property
    def failed_for_good(self) -> bool:
        return self.failed >= max(self.item.max_attempts, 1)

    def dead_lettered(self) -> ItemOutcome:
        return ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=self.failed)

    async def attempt(
        self,
        admission_request: AdmissionRequest,
        may_send: Callable[[], bool],
        still_served: Callable[[str], bool],
    ) -> ItemOutcome | None:
        """One send; None if the item should be sent again. ``still_served`` tells whether the configuration
        in force, which may have changed while the item waited, sends it to this service."""
        permit = await self.admission.acquire(admission_request)
        if isinstance(permit, Reject):
            return await self._rest()
        ending, failed_before = AttemptOutcome.CANCELLED, self.failed
        try:
            if not may_send():
                return self.returned()
            if not still_served(admission_request.service):
                return None
            outcome, ending = await self._send(permit)
        except IncompleteResponseError:
            outcome, ending = None, AttemptOutcome.INCOMPLETE
        except TimeoutError:
            outcome, ending = None, AttemptOutcome.STALLED
        finally:
            permit.finish(ending)
        if outcome is None and self.failed > failed_before:
            await self.record_failures(self.failed)
        return outcome or await self._rest()

    async def _rest(self) -> ItemOutcome | None:
        """Pause before the next send; give the item back after many that brought nothing."""
        self.fruitless += 1
        if self.fruitless >= MOST_FRUITLESS_SENDS:
            return self.returned()
        await asyncio.sleep(self.pause_s)
        self.pause_s = min(self.pause_s * 2, LONGEST_PAUSE_S)
        return None

    async def _send(self, permit: Permit) -> tuple[ItemOutcome | None, AttemptOutcome]:
        async with asyncio.timeout(SILENCE_S) as patience:
            permit.on_stalled = lambda: patience.reschedule(0.0)
            sent = await self.upstream.send(permit.broker, self._upstream_request(), None)
            if isinstance(sent, NotExecuted):
                return None, NOT_EXECUTED_OUTCOMES[sent.reason]
            if isinstance(sent, PossiblyExecuted):
                return None, AttemptOutcome.INCOMPLETE
            answer = sent.answer
            try:
                permit.response_started(answer.load)
                if answer.status // 100 == 2:
                    return await self._collect(answer, permit, patience), AttemptOutcome.SERVED
                await answer.read()
                return self._failure(answer.status), AttemptOutcome.SERVED
            finally:
                answer.close()

    def _upstream_request(self) -> UpstreamRequest:
        item = self.item.item
        headers = end_to_end_headers(CIMultiDict(item.headers))
        headers.popall(DEADLINE_MS, None)
        headers["Host"] = self.item.host
        headers[REQUEST_ID] = item.item_id
        if self.last_id is not None:
            headers[LAST_EVENT_ID] = str(self.last_id)
        return UpstreamRequest(item.item_id, "POST", item.path, headers, item.body, is_idempotent=True)

    def _failure(self, status: int) -> ItemOutcome | None:
        if status == UNPROCESSABLE:
            return ItemOutcome(ItemState.DEAD_LETTERED, reason="unprocessable", failed_attempts=self.failed)
        if status == SERVER_ERROR:
            self.failed += 1
            if self.failed_for_good:
                return self.dead_lettered()
        return None

    async def _collect(
        self, answer: UpstreamResponse, permit: Permit, patience: asyncio.Timeout
    ) -> ItemOutcome:
        """Take all events to the stream's own end."""
        loop, splitter = asyncio.get_running_loop(), EventStreamParser()
        while piece := await answer.chunk():
            permit.body_received()
            patience.reschedule(loop.time() + SILENCE_S)
            try:
                events = splitter.feed(piece)
            except EventTooLongError as error:
                raise IncompleteResponseError(ResponseFault.MALFORMED, str(error)) from error
            for event in events:
                self._take(event)
        if splitter.pending.strip():
            raise IncompleteResponseError(ResponseFault.MALFORMED, "the stream ends within an event")
        return ItemOutcome(ItemState.COMPLETED, text=b"\n".join(self.data), failed_attempts=self.failed)

    def _take(self, event: StreamEvent) -> None:
        """Keep the next event; ``IncompleteResponseError`` where one before it is missing."""
        if event.id is None:
            if event.data is not None:
                raise IncompleteResponseError(ResponseFault.MALFORMED, "an event without id")
            return
        if self.last_id is not None and event.id <= self.last_id:
            return
        if self.last_id is not None and event.id != self.last_id + 1:
            raise IncompleteResponseError(ResponseFault.MALFORMED, f"event {event.id} after {self.last_id}")
        self.last_id = event.id
        self.data.append(event.data or b"")
        self.fruitless, self.pause_s = 0, PAUSE_S
