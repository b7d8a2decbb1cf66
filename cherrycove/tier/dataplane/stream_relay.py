"""Forwards the streams of brokers to one client, as one response that looks complete only if it is."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import attrs
from aiohttp import HttpVersion11, web

from cherrycove.tier.dataplane.event_stream import (
    MAX_EVENT_END_BYTES,
    EventStreamParser,
    EventTooLongError,
    StreamEvent,
    ends_with_event,
)
from cherrycove.tier.dataplane.headers import end_to_end_headers
from cherrycove.tier.dataplane.upstream_response import (
    IncompleteResponseError,
    ResponseFault,
    UpstreamResponse,
)

BodyCallback = Callable[[], None]  # called whenever bytes of a response's body have come
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s: close sends a reset


@attrs.frozen
class _NewEvents:
    """What of a chunk of events the client lacks."""

    raw: bytes
    last_id: int | None  # of the last event that the client has after them
    gap: IncompleteResponseError | None  # an event is missing behind them


class StreamRelay:
    """One client's stream, which the responses of several brokers may feed one after the other.

    Owned by a ``ClientExchange``. States: *not begun*; *begun*, once the head has been sent, after which the
    client can get no other response; then *complete* by ``feed`` or *aborted*. Where the stream is resumable
    an event reaches the client once and in order: known ids are skipped, a missing id breaks the response
    off.
    """

    def __init__(
        self, request: web.BaseRequest, last_id: int | None, *, is_resumable: bool, closes_connection: bool
    ) -> None:
        """``last_id`` is the client's own ``Last-Event-Id`` (WHATWG HTML, 9.2.4)."""
        self._request = request
        self._is_resumable = is_resumable
        self._closes_connection = closes_connection
        self._response: web.StreamResponse | None = None
        self.last_id = last_id  # of the last event that the client has

    @property
    def has_begun(self) -> bool:
        """Whether the client has been sent something of the response."""
        return self._response is not None

    async def feed(self, upstream: UpstreamResponse, on_body: BodyCallback) -> web.StreamResponse:
        """Forward what is new in ``upstream``, and return the response once that has ended completely.

        Backpressure: each chunk is written before the next one is read, so a slow client slows its broker.
        Raises ``IncompleteResponseError``; another broker's response may then continue the stream.
        """
        if self._is_resumable:
            await self._feed_events(upstream, on_body)
        else:
            await self._feed_bytes(upstream, on_body)
        response = await self._begin(upstream)
        await response.write_eof()
        return response

    def abort(self) -> web.StreamResponse:
        """Close the client's connection within the response, so that it is incomplete (RFC 9112, 8)."""
        assert self._response is not None
        if self._request.version < HttpVersion11:  # there an orderly close would mark the end of the response
            _reset(self._request)
        self._request.protocol.force_close()
        return self._response

    async def _feed_bytes(self, upstream: UpstreamResponse, on_body: BodyCallback) -> None:
        tail = b""
        while chunk := await upstream.read_chunk():
            on_body()
            response = await self._begin(upstream)
            await response.write(chunk)
            tail = (tail + chunk)[-MAX_EVENT_END_BYTES:]
        if tail and not upstream.is_framed and not ends_with_event(tail):
            raise IncompleteResponseError(ResponseFault.CLOSED, "the stream ends within an event")

    async def _feed_events(self, upstream: UpstreamResponse, on_body: BodyCallback) -> None:
        parser = EventStreamParser()
        while chunk := await upstream.read_chunk():
            on_body()
            try:
                events = parser.feed(chunk)
            except EventTooLongError as error:
                raise IncompleteResponseError(ResponseFault.MALFORMED, str(error)) from error
            await self._forward(upstream, events)
        if parser.incomplete.strip():
            raise IncompleteResponseError(ResponseFault.MALFORMED, "the stream ends within an event")

    async def _forward(self, upstream: UpstreamResponse, events: list[StreamEvent]) -> None:
        """Write the events the client lacks; ``IncompleteResponseError`` if an earlier one is missing."""
        new = _select_new(events, self.last_id)
        if new.raw:
            response = await self._begin(upstream)
            self.last_id = new.last_id  # from here to the transport nothing can interrupt the write
            await response.write(new.raw)
        if new.gap is not None:
            raise new.gap

    async def _begin(self, upstream: UpstreamResponse) -> web.StreamResponse:
        """The response; its head is that of the first broker, also if others continue it."""
        if self._response is None:
            self._response = web.StreamResponse(
                status=upstream.status, headers=end_to_end_headers(upstream.headers)
            )
            is_http_1_1 = self._request.version >= HttpVersion11
            if is_http_1_1:
                self._response.enable_chunked_encoding()
            if self._closes_connection or not is_http_1_1:
                self._response.force_close()
            await self._response.prepare(self._request)
        return self._response


def _select_new(events: list[StreamEvent], last_id: int | None) -> _NewEvents:
    raw = b""
    for event in events:
        if last_id is not None and event.id is not None and event.id > last_id + 1:
            gap = IncompleteResponseError(ResponseFault.MALFORMED, f"event {event.id} after {last_id}")
            return _NewEvents(raw, last_id, gap)
        if _is_new(event, last_id):
            raw += event.raw
            last_id = last_id if event.id is None else event.id
    return _NewEvents(raw, last_id, None)


def _is_new(event: StreamEvent, last_id: int | None) -> bool:
    """Whether a client that has all events up to ``last_id`` lacks this one.

    An event with data but without id is forwarded only where nothing came before it, since otherwise nobody
    could tell whether the client has it.
    """
    if event.id is None:
        return event.data is None or last_id is None
    return last_id is None or event.id > last_id


def _reset(request: web.BaseRequest) -> None:
    """End the client's connection by a TCP reset."""
    if request.transport is None:
        return
    client = request.transport.get_extra_info("socket")
    if client is not None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    request.transport.abort()
