"""Passing a broker's answer on to the client.

It owns the one answer that a client gets. It must never end a stream as complete that did not end whole at a
broker, and never pass an event on twice or out of order.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from cherrycove.tier.dataplane.event_stream import (
    LONGEST_EVENT_END,
    EventStreamParser,
    EventTooLongError,
    StreamEvent,
    ends_with_event,
)
from cherrycove.tier.dataplane.headers import end_to_end_headers
from cherrycove.tier.dataplane.upstream import IncompleteResponseError, ResponseFault, UpstreamResponse

BodyCallback = Callable[[], None]
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER: on, for no time


class StreamRelay:
    """One client's stream, which the answers of several brokers may feed one after the other."""

    def __init__(self, request: web.BaseRequest, last_id: int | None, resumable: bool, closing: bool) -> None:
        self._request = request
        self._resumable = resumable
        self._closing = closing
        self._response: web.StreamResponse | None = None
        self.last_id = last_id  # of the event that the client has

    @property
    def begun(self) -> bool:
        """Whether the client has been sent something of the answer."""
        return self._response is not None

    async def feed(self, answer: UpstreamResponse, on_body: BodyCallback) -> web.StreamResponse:
        """Pass on all that is new in ``answer``; ``IncompleteResponseError`` if it does not end whole."""
        if self._resumable:
            await self._feed_events(answer, on_body)
        else:
            await self._feed_bytes(answer, on_body)
        response = await self._begin(answer)
        await response.write_eof()
        return response

    def abort(self) -> web.StreamResponse:
        """Close the client's connection within the answer, so that it does not look complete."""
        assert self._response is not None
        if self._request.version < HttpVersion11:  # there the end of the connection would end the answer
            _reset(self._request)
        self._request.protocol.force_close()
        return self._response

    async def _feed_bytes(self, answer: UpstreamResponse, on_body: BodyCallback) -> None:
        tail = b""
        while piece := await answer.chunk():
            on_body()
            response = await self._begin(answer)
            await response.write(piece)
            tail = (tail + piece)[-LONGEST_EVENT_END:]
        if tail and not answer.framed and not ends_with_event(tail):
            raise IncompleteResponseError(ResponseFault.CLOSED, "the stream ends within an event")

    async def _feed_events(self, answer: UpstreamResponse, on_body: BodyCallback) -> None:
        splitter = EventStreamParser()
        while piece := await answer.chunk():
            on_body()
            try:
                events = splitter.feed(piece)
            except EventTooLongError as error:
                raise IncompleteResponseError(ResponseFault.MALFORMED, str(error)) from error
            await self._pass_on(answer, events)
        if splitter.pending.strip():
            raise IncompleteResponseError(ResponseFault.MALFORMED, "the stream ends within an event")

    async def _pass_on(self, answer: UpstreamResponse, events: list[StreamEvent]) -> None:
        """Write the events the client lacks; ``IncompleteResponseError`` if an earlier one is missing."""
        new, last_id, gap = b"", self.last_id, None
        for event in events:
            if last_id is not None and event.id is not None and event.id > last_id + 1:
                gap = IncompleteResponseError(ResponseFault.MALFORMED, f"event {event.id} after {last_id}")
                break
            if _is_new(event, last_id):
                new += event.raw
                last_id = last_id if event.id is None else event.id
        if new:
            response = await self._begin(answer)
            self.last_id = last_id  # from here to the transport nothing can interrupt the write
            await response.write(new)
        if gap is not None:
            raise gap

    async def _begin(self, answer: UpstreamResponse) -> web.StreamResponse:
        if self._response is None:
            self._response = web.StreamResponse(
                status=answer.status, headers=end_to_end_headers(answer.headers)
            )
            if self._request.version >= HttpVersion11:
                self._response.enable_chunked_encoding()
            if self._closing or self._request.version < HttpVersion11:
                self._response.force_close()
            await self._response.prepare(self._request)
        return self._response


def _reset(request: web.BaseRequest) -> None:
    """End the client's connection by a reset."""
    if request.transport is None:
        return
    client = request.transport.get_extra_info("socket")
    if client is not None:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    request.transport.abort()


def _is_new(event: StreamEvent, last_id: int | None) -> bool:
    """Whether a client that has all events up to ``last_id`` lacks this one. One without an id but with data
    is passed on only where nothing came before it, since nobody could tell whether the client has it."""
    if event.id is None:
        return event.data is None or last_id is None
    return last_id is None or event.id > last_id


def buffered_response(answer: UpstreamResponse, body: bytes, closing: bool) -> web.Response:
    """An answer that was read to its end."""
    response = web.Response(status=answer.status, headers=end_to_end_headers(answer.headers), body=body)
    if closing:
        response.force_close()
    return response


def proxy_response(
    status: int, text: str, request_id: str, closing: bool, retry_after_s: float | None = None
) -> web.Response:
    """An answer of this system."""
    headers: CIMultiDict[str] = CIMultiDict({"Content-Type": "text/plain"})
    if request_id:
        headers["Request-Id"] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    response = web.Response(status=status, headers=headers, body=text.encode() + b"\n")
    if closing:
        response.force_close()
    return response
