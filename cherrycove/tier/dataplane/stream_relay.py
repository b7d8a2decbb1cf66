"""Forwards the streams of brokers to one client, as one response whose end is sent only if it is complete."""

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

BodyCallback = Callable[[], None]  # called whenever bytes of a response body have been received
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s: close sends a reset


@attrs.frozen
class _NewEvents:
    """The part of a chunk of events that the client lacks."""

    raw: bytes
    last_id: int | None  # of the last event that the client has once ``raw`` is written
    gap: IncompleteResponseError | None  # set if an event is missing after ``raw``


class StreamRelay:
    """One client's stream, assembled from the responses of one or more brokers in turn.

    Owned by a ``ClientExchange``. States: *not begun*; *begun*, once the headers have been sent, after which
    the client can get no other response; then *complete* by ``forward`` or *aborted*. If the stream is
    resumable, each event reaches the client once and in order: known ids are skipped, and a missing id fails
    the broker's response.
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
        """Whether part of the response has been sent to the client."""
        return self._response is not None

    async def forward(self, upstream: UpstreamResponse, on_body: BodyCallback) -> web.StreamResponse:
        """Forward what the client lacks of ``upstream``; return the response once ``upstream`` is complete.

        Each chunk is written before the next one is read, so a slow client exerts backpressure on its broker.
        Raises ``IncompleteResponseError``; another broker's response may then continue the stream.
        """
        if self._is_resumable:
            await self._forward_events(upstream, on_body)
        else:
            await self._forward_bytes(upstream, on_body)
        response = await self._begin(upstream)
        await response.write_eof()
        return response

    def abort(self) -> web.StreamResponse:
        """Close the client's connection within the response, which marks it incomplete (RFC 9112, 8)."""
        assert self._response is not None
        if self._request.version < HttpVersion11:  # an orderly close would mark the response complete
            _reset(self._request)
        self._request.protocol.force_close()
        return self._response

    async def _forward_bytes(self, upstream: UpstreamResponse, on_body: BodyCallback) -> None:
        tail = b""
        while chunk := await upstream.read_chunk():
            on_body()
            response = await self._begin(upstream)
            await response.write(chunk)
            tail = (tail + chunk)[-MAX_EVENT_END_BYTES:]
        if tail and not upstream.is_framed and not ends_with_event(tail):
            raise IncompleteResponseError(ResponseFault.CLOSED, "stream ended within an event")

    async def _forward_events(self, upstream: UpstreamResponse, on_body: BodyCallback) -> None:
        parser = EventStreamParser()
        while chunk := await upstream.read_chunk():
            on_body()
            try:
                events = parser.feed(chunk)
            except EventTooLongError as error:
                raise IncompleteResponseError(ResponseFault.MALFORMED, str(error)) from error
            await self._write_new_events(upstream, events)
        if parser.incomplete.strip():
            raise IncompleteResponseError(ResponseFault.MALFORMED, "stream ended within an event")

    async def _write_new_events(self, upstream: UpstreamResponse, events: list[StreamEvent]) -> None:
        """Write the events that the client lacks.

        Raises ``IncompleteResponseError`` if an event between two of them is missing.
        """
        new = _select_new_events(events, self.last_id)
        if new.raw:
            response = await self._begin(upstream)
            self.last_id = new.last_id  # nothing can interrupt between this and the write to the transport
            await response.write(new.raw)
        if new.gap is not None:
            raise new.gap

    async def _begin(self, upstream: UpstreamResponse) -> web.StreamResponse:
        """The response; its headers are those of the first broker, even if other brokers continue it."""
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


def _select_new_events(events: list[StreamEvent], last_id: int | None) -> _NewEvents:
    raw = b""
    for event in events:
        if last_id is not None and event.id is not None and event.id > last_id + 1:
            gap = IncompleteResponseError(
                ResponseFault.MALFORMED, f"event id gap: received {event.id} after {last_id}"
            )
            return _NewEvents(raw, last_id, gap)
        if _is_new(event, last_id):
            raw += event.raw
            last_id = last_id if event.id is None else event.id
    return _NewEvents(raw, last_id, None)


def _is_new(event: StreamEvent, last_id: int | None) -> bool:
    """Whether a client that has all events up to ``last_id`` lacks this one.

    An event with data but without id is forwarded only if the client has no event with an id, since otherwise
    the proxy could not tell whether the client has it.
    """
    if event.id is None:
        return event.data is None or last_id is None
    return last_id is None or event.id > last_id


def _reset(request: web.BaseRequest) -> None:
    """Reset the client's TCP connection."""
    if request.transport is None:
        return
    client = request.transport.get_extra_info("socket")
    if client is not None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    request.transport.abort()
