"""One execution of a batch item: its attempts at brokers, and the events collected so far."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import attrs
from multidict import CIMultiDict

from cherrycove.tier.batch.execution import ItemOutcome, ItemState, RecordFailures
from cherrycove.tier.dataplane.admission import AdmissionRequest, AttemptOutcome, Reject
from cherrycove.tier.dataplane.admission_controller import AdmissionController, Permit
from cherrycove.tier.dataplane.attempt_outcomes import not_executed_outcome
from cherrycove.tier.dataplane.event_stream import EventStreamParser, EventTooLongError, StreamEvent
from cherrycove.tier.dataplane.headers import DEADLINE_MS, LAST_EVENT_ID, REQUEST_ID, end_to_end_headers
from cherrycove.tier.dataplane.loss_cause import RequestTimeline
from cherrycove.tier.dataplane.upstream import NotExecuted, PossiblyExecuted, UpstreamClient, UpstreamRequest
from cherrycove.tier.dataplane.upstream_response import (
    IncompleteResponseError,
    ResponseFault,
    UpstreamResponse,
)
from cherrycove.tier.protocol.batch_pb2 import LeasedItem

INITIAL_BACKOFF_S = 0.1  # after an attempt without progress; doubles up to MAX_BACKOFF_S
MAX_BACKOFF_S = 1.0
STALL_TIMEOUT_S = 5.0  # an attempt that receives no byte for this long is aborted
MAX_ATTEMPTS_WITHOUT_PROGRESS = 20  # consecutive ones, after which the item is returned


@attrs.frozen
class _AttemptResult:
    """The result of one attempt: the item's final outcome, if any, and the outcome for admission."""

    item_outcome: ItemOutcome | None
    outcome: AttemptOutcome


@attrs.define(eq=False, kw_only=True)
class ItemExecution:
    """One execution of an item under one lease; owned by the task that runs it.

    Its stream may be collected from several brokers in turn, each of which resumes after the last event
    (``Last-Event-Id``). The item is *completed* only once its stream has ended completely, *dead-lettered*
    after a 422 or too many 500s, and otherwise *returned*, to be leased again. Collected events are not kept
    after the execution.
    """

    admission: AdmissionController
    upstream: UpstreamClient
    item: LeasedItem
    timeline: RequestTimeline
    failed_attempts: int  # responses with status 500, including those of earlier executions
    record_failures: RecordFailures
    _last_id: int | None = attrs.field(default=None, init=False)
    _data: list[bytes] = attrs.field(factory=list, init=False)
    _attempts_without_progress: int = attrs.field(default=0, init=False)  # consecutive
    _backoff_s: float = attrs.field(default=INITIAL_BACKOFF_S, init=False)

    @property
    def has_failed(self) -> bool:
        """Whether the failed attempts have reached the maximum."""
        return self.failed_attempts >= max(self.item.max_attempts, 1)

    def returned(self) -> ItemOutcome:
        """The outcome of an item that is not finished and may be leased again."""
        return ItemOutcome(ItemState.RETURNED, failed_attempts=self.failed_attempts)

    def dead_lettered(self) -> ItemOutcome:
        """The outcome of an item whose failed attempts have reached the maximum."""
        return ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=self.failed_attempts)

    async def attempt(
        self,
        admission_request: AdmissionRequest,
        may_send: Callable[[], bool],
        is_served_by: Callable[[str], bool],
    ) -> ItemOutcome | None:
        """Run one attempt; None if the item should be attempted again.

        Just before the send, ``may_send`` says whether the item may still be sent, and ``is_served_by``
        whether the current configuration, which may have changed while the item was pending, routes it to
        this service.
        """
        permit = await self.admission.acquire(admission_request, self.timeline)
        if isinstance(permit, Reject):
            return await self._back_off()
        failed_before = self.failed_attempts
        result = _AttemptResult(None, AttemptOutcome.CANCELLED)
        try:
            if not may_send():
                return self.returned()
            if not is_served_by(admission_request.service):
                return None
            result = await self._send_or_fail(permit)
        finally:
            permit.release(result.outcome)
        if result.item_outcome is None and self.failed_attempts > failed_before:
            await self.record_failures(self.failed_attempts)
        return result.item_outcome or await self._back_off()

    async def _back_off(self) -> ItemOutcome | None:
        """Wait before the next attempt; return the item after too many attempts without progress."""
        self._attempts_without_progress += 1
        if self._attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS:
            return self.returned()
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return None

    async def _send_or_fail(self, permit: Permit) -> _AttemptResult:
        try:
            return await self._send(permit)
        except IncompleteResponseError:
            return _AttemptResult(None, AttemptOutcome.INCOMPLETE)
        except TimeoutError:
            return _AttemptResult(None, AttemptOutcome.STALLED)

    async def _send(self, permit: Permit) -> _AttemptResult:
        async with asyncio.timeout(STALL_TIMEOUT_S) as stall_timeout:
            permit.on_stalled = lambda: stall_timeout.reschedule(0.0)
            result = await self.upstream.send(permit.broker, self._upstream_request(), None)
            if isinstance(result, NotExecuted):
                return _AttemptResult(None, not_executed_outcome(result.reason, expects_version=False))
            if isinstance(result, PossiblyExecuted):
                return _AttemptResult(None, AttemptOutcome.INCOMPLETE)
            try:
                item_outcome = await self._receive(result.response, permit, stall_timeout)
                return _AttemptResult(item_outcome, AttemptOutcome.SERVED)
            finally:
                result.response.close()

    def _upstream_request(self) -> UpstreamRequest:
        item = self.item.item
        headers = end_to_end_headers(CIMultiDict(item.headers))
        headers.popall(DEADLINE_MS, None)
        headers["Host"] = self.item.host
        headers[REQUEST_ID] = item.item_id
        if self._last_id is not None:
            headers[LAST_EVENT_ID] = str(self._last_id)
        return UpstreamRequest(
            request_id=item.item_id,
            method="POST",
            target=item.path,
            headers=headers,
            body=item.body,
            is_idempotent=True,
        )

    async def _receive(
        self, response: UpstreamResponse, permit: Permit, stall_timeout: asyncio.Timeout
    ) -> ItemOutcome | None:
        permit.response_started(response.load)
        if response.is_success:
            return await self._collect(response, permit, stall_timeout)
        await response.read()
        return self._failure_outcome(response.status)

    def _failure_outcome(self, status: int) -> ItemOutcome | None:
        """The outcome after an error response; None if the item may be attempted again."""
        if status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return ItemOutcome(
                ItemState.DEAD_LETTERED, reason="unprocessable", failed_attempts=self.failed_attempts
            )
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            self.failed_attempts += 1
            if self.has_failed:
                return self.dead_lettered()
        return None

    async def _collect(
        self, response: UpstreamResponse, permit: Permit, stall_timeout: asyncio.Timeout
    ) -> ItemOutcome:
        """Collect all events up to the end of the stream.

        Raises ``IncompleteResponseError`` if the stream is malformed or ends early.
        """
        loop = asyncio.get_running_loop()
        parser = EventStreamParser()
        while chunk := await response.read_chunk():
            permit.body_received()
            stall_timeout.reschedule(loop.time() + STALL_TIMEOUT_S)
            try:
                events = parser.feed(chunk)
            except EventTooLongError as error:
                raise IncompleteResponseError(ResponseFault.MALFORMED, str(error)) from error
            for event in events:
                self._collect_event(event)
        if parser.incomplete.strip():
            raise IncompleteResponseError(ResponseFault.MALFORMED, "stream ended within an event")
        return ItemOutcome(
            ItemState.COMPLETED, text=b"\n".join(self._data), failed_attempts=self.failed_attempts
        )

    def _collect_event(self, event: StreamEvent) -> None:
        """Collect the next event, or skip one already collected.

        Raises ``IncompleteResponseError`` if an event between the last one and this one is missing.
        """
        if event.id is None:
            if event.data is not None:
                raise IncompleteResponseError(
                    ResponseFault.MALFORMED, f"event with data but without id, after event {self._last_id}"
                )
            return
        if self._last_id is not None and event.id <= self._last_id:
            return
        if self._last_id is not None and event.id != self._last_id + 1:
            raise IncompleteResponseError(
                ResponseFault.MALFORMED, f"event id gap: received {event.id} after {self._last_id}"
            )
        self._last_id = event.id
        self._data.append(event.data or b"")
        self._attempts_without_progress = 0
        self._backoff_s = INITIAL_BACKOFF_S
