"""HTTP/1.1 connections of clients, on aiohttp's: a request is parsed once its parts are accounted.

Received bytes wait unparsed until the memory that they will take is reserved: a head until it is whole, a
body piece by piece, a pipelined request until the one before it is answered. Meanwhile the socket is not
read.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from cherrycove.broker.sockets import DisconnectWatcher
from cherrycove.http_listener.connection_owner import ConnectionLimits, ConnectionOwner
from cherrycove.http_listener.errors import GaveWayError, MalformedBodyError, TrailersTooLargeError
from cherrycove.http_listener.memory_credit import MemoryCredit
from cherrycove.http_listener.refusal import refusal
from cherrycove.http_listener.request_framing import (
    ChunkedScanner,
    ChunkedState,
    HeadScanner,
    counted_head_bytes,
    leading_line_ends,
)
from cherrycove.http_listener.transfer_progress import TransferProgress

READ_BYTES = 32 * 1024  # read from a socket at a time, and passed to the parser at a time
UNACKNOWLEDGED_TIMEOUT_MS = 20_000  # TCP_USER_TIMEOUT: closes connections whose client acknowledges no data
# Memory of the process, for accounting; docs/design/client-limits.md has the measurements.
CONNECTION_BYTES = 12 * 1024  # of a connection without a request
HEAD_BYTE_COST = 4  # of each byte of a head, once parsed
HEAD_LINE_COST = 400  # of each line of a head, once parsed, in addition to its bytes
DEFAULT_BODY_FACTOR = 2  # bytes of memory for a byte of a body: itself, and its copy on the way to a broker
SMALL_BODY_BYTES = 32 * 1024  # longer bodies are reserved as a whole before more of them is read
SMALL_CHUNK_BYTES = 256  # many smaller chunks take long to parse, for the bytes that they are
SMALL_CHUNKS_PIECE_BYTES = 2 * 1024  # of which so much is parsed in one turn of the event loop
GAVE_WAY_RETRY_AFTER_S = 1.0


class ConnectionPhase(Enum):
    """What the next bytes of a connection are used for."""

    HEAD = "head"  # of the next request
    BODY = "body"  # of the request in progress
    COMPLETE = "complete"  # nothing until the request in progress is answered
    DISCARD = "discard"  # nothing any more: the connection closes after the response


class ClientConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """One client's connection; closed if request headers or TCP acknowledgements do not arrive in time.

    Owned by the ``ClientServer``. States: ``ConnectionPhase``; in *head*, the header timer runs from the
    first byte on. Holds an account of the process's ``ClientMemory``, as a ``MemoryHolder``.
    """

    def __init__(
        self, manager: web.Server, owner: ConnectionOwner, *, limits: ConnectionLimits, **settings: Any
    ) -> None:
        """``owner`` is the same server as ``manager``, which is what aiohttp calls it."""
        super().__init__(manager, **settings)
        self._server = owner
        self._limits = limits
        self.account = owner.memory.open_account(self, CONNECTION_BYTES)
        self.give_way_early: Callable[[], None] | None = None  # ends a request that no broker has
        self.last_active_at = 0.0
        self._phase = ConnectionPhase.HEAD
        self._input = bytearray()
        self._credit = MemoryCredit(self.account, self._memory_granted)
        self._head_cost = 0  # reserved for the latest head, which lives until the next one
        self._body_cost = 0  # reserved for the body of the request in progress
        self._response_cost = 0  # reserved for its response
        self._head_scanner = HeadScanner()
        self._chunked: ChunkedScanner | None = None
        self._body_remaining = 0  # of a body with a length
        self._body_factor = 1
        self._is_body_reserved = False
        self._payload: StreamReader | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._progress = TransferProgress()  # of the request or response in transfer
        self._response_bytes = 0
        self._is_writing = False
        self._holds_input = False
        self._continuation: asyncio.Handle | None = None
        self._disconnects: DisconnectWatcher | None = None

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the TCP timeout of a new connection."""
        super().connection_made(transport)
        self._begin_progress()
        client = transport.get_extra_info("socket")
        if client is not None:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._server.connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 (asyncio's signature)
        """Return where to read to: as much as is reserved, or one byte, after which reading waits."""
        if self._reserve(READ_BYTES):
            return self._server.read_buffer
        return self._server.read_buffer[:1]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take what was read; with no data, let the parser continue with what it has buffered."""
        if not data:
            self._pass_to_parser(b"")
            self._advance()
            return
        self.account.reserve_unchecked(len(data) - self._credit.use(len(data)))
        self.last_active_at = self._loop.time()
        if self._phase is ConnectionPhase.HEAD and self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._limits.header_timeout_ms / 1000, self._head_timed_out
            )
            self._begin_progress()
        self._input += data
        self._advance()
        if not self.waits_for_memory and not self._is_body_reserved:
            self._credit.release()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._cancel_header_timer()
        self._server.connection_closed(self)
        self.account.close(has_request=self.has_request)
        self._input.clear()
        super().connection_lost(exc)

    # Called by aiohttp

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of the response, then go on with the next request."""
        self._is_writing = True
        self._response_bytes = _buffered_bytes(resp)
        self._hold_response(self._response_bytes - self._response_cost)
        self._begin_progress()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._is_writing = False
            if isinstance(resp, web.Response):
                resp.body = None  # aiohttp keeps the response until the next one
            self._request_answered()

    def close(self) -> None:
        """Close once the request in progress is answered, or at once if there is none.

        If the connection's task has not yet begun to wait for a request, aiohttp leaves the connection open
        and discards what it receives until the shutdown ends. Its client would wait for a response in vain.
        """
        super().close()
        if not self.has_request:
            self.force_close()

    def _resume_transport_reading(self) -> None:
        if not self._holds_input:
            super()._resume_transport_reading()

    # Called by handlers

    def try_reserve_response(self, size: int) -> bool:
        """Like ``reserve_response``, but without waiting; False if the memory does not fit now."""
        if not self.account.try_reserve(size):
            return False
        self._response_cost += size
        return True

    async def reserve_response(self, size: int) -> None:
        """Reserve ``size`` bytes for the response, or for preparing it, until it is written."""
        await self.account.reserve(size)
        self._response_cost += size

    def _hold_response(self, size: int) -> None:
        """Account ``size`` bytes of a response that exists already."""
        if size > 0:
            self.account.reserve_unchecked(size)
            self._response_cost += size
            self.account.memory.shed_excess()

    # State

    @property
    def has_request(self) -> bool:
        """Whether a request is in progress: its head was parsed, and its response is not complete."""
        return self._phase in (ConnectionPhase.BODY, ConnectionPhase.COMPLETE) or self._is_writing

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request was received since the last response."""
        return self._phase is ConnectionPhase.HEAD and not self._input and not self._is_writing

    @property
    def waits_for_memory(self) -> bool:
        """Whether it does not read on since its memory is not reserved yet."""
        return self._credit.is_waiting

    # MemoryHolder

    def can_give_way(self) -> bool:
        """Whether no broker has a request of this client."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self._phase in (ConnectionPhase.HEAD, ConnectionPhase.BODY) or self._is_writing:
            return True
        return self.give_way_early is not None

    def is_stalled(self, now: float) -> bool:
        """Whether the client sends or reads next to nothing; an idle one is stalled."""
        if self.waits_for_memory or (self._phase is ConnectionPhase.COMPLETE and not self._is_writing):
            return False
        if self._is_writing and self.transport is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
            self._progress.transferred_bytes = max(self._response_bytes - unsent_bytes, 0)
        return self._progress.is_stalled(now)

    def give_way(self) -> None:
        """Refuse the request that is being received or waits for a broker, or close the connection."""
        if self._is_writing and self.transport is not None:
            self.transport.abort()
        elif self._phase is ConnectionPhase.HEAD and self._input:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no memory now", GAVE_WAY_RETRY_AFTER_S)
        elif self._phase is ConnectionPhase.HEAD:
            self.force_close()
        elif self._phase is ConnectionPhase.BODY:
            self._fail_body(GaveWayError("no memory now"))
        elif self.give_way_early is not None:
            self.give_way_early()

    def refuse(self, status: HTTPStatus, reason: str, retry_after_s: float | None = None) -> None:
        """Answer a request whose head is not parsed, and close the connection."""
        if self.transport is None:
            return
        self.transport.write(refusal(self._input, status, reason, retry_after_s))
        self._discard_input()
        self.force_close()

    # Input

    def _advance(self) -> None:
        """Pass on what is whole and reserved, then read on unless something has to happen first."""
        if self._continuation is not None:
            return
        while self._input and not self.waits_for_memory and not self._reading_paused:
            if self._phase is ConnectionPhase.HEAD:
                if not self._take_head():
                    break
            elif self._phase is ConnectionPhase.BODY:
                if not self._take_body():
                    break
                if self._has_small_chunks and self._input:
                    self._continuation = self._continuation or self._loop.call_soon(self._continue)
                    break
            elif self._phase is ConnectionPhase.COMPLETE:
                break
            else:
                self._discard_input()
        self._hold_input(
            self.waits_for_memory
            or self._continuation is not None
            or (self._phase is ConnectionPhase.COMPLETE and len(self._input) >= READ_BYTES)
        )

    def _continue(self) -> None:
        self._continuation = None
        self._advance()

    @property
    def _has_small_chunks(self) -> bool:
        return self._chunked is not None and self._chunked.latest_chunk_bytes < SMALL_CHUNK_BYTES

    def _take_head(self) -> bool:
        """Parse a head that is whole and reserved; False if it is not, or was refused."""
        self._consume(leading_line_ends(self._input))
        end = self._head_scanner.end_of(self._input)
        size = len(self._input) if end is None else end
        if counted_head_bytes(size) > self._limits.max_header_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
            return False
        if end is None:
            return False
        cost = HEAD_BYTE_COST * end + HEAD_LINE_COST * self._input.count(b"\n", 0, end)
        if not self._reserve(cost):
            self._head_scanner.reset()
            return False
        self._credit.use(cost)
        self.account.release(self._head_cost)  # of the head before, which the parser now forgets
        self._head_cost = cost
        self._cancel_header_timer()
        head = bytes(self._input[:end])
        self._pass_to_parser(head)
        self._consume(end)
        self._begin_body()
        return True

    def _begin_body(self) -> None:
        self._begin_progress()
        message, payload = self._messages[-1] if self._messages else (None, EMPTY_PAYLOAD)
        self._chunked, self._body_remaining, self._is_body_reserved = None, 0, False
        if not isinstance(message, RawRequestMessage):
            self._phase = ConnectionPhase.DISCARD
            return
        self._payload = payload
        if payload is EMPTY_PAYLOAD:
            self._phase = ConnectionPhase.COMPLETE
            return
        self._phase = ConnectionPhase.BODY
        self._body_factor = DEFAULT_BODY_FACTOR
        if message.chunked:
            self._chunked = ChunkedScanner()
            self._body_factor = self._server.body_factor(message)
            return
        self._body_remaining = int(message.headers.get("Content-Length", "0"))
        if self._body_remaining > SMALL_BODY_BYTES:
            self._body_factor = self._server.body_factor(message)
        if self._body_remaining > self._server.limits().max_body_bytes:
            self._phase = ConnectionPhase.DISCARD  # the handler refuses it without reading it
        elif not self._body_remaining:
            self._phase = ConnectionPhase.COMPLETE

    def _take_body(self) -> bool:
        """Parse the next piece of a body; False if its memory is not reserved yet."""
        piece_bytes = SMALL_CHUNKS_PIECE_BYTES if self._has_small_chunks else READ_BYTES
        if not self._reserve_body(min(len(self._input), piece_bytes)):
            return False
        piece = bytes(self._input[:piece_bytes])
        if self._chunked is None:
            size = min(len(piece), self._body_remaining)
            self._body_remaining -= size
            is_complete = not self._body_remaining
            self._pass_body(piece[:size])
        else:
            size = self._take_chunks(self._chunked, piece)
            is_complete = self._chunked.state is ChunkedState.COMPLETE
        del self._input[:size]
        cost = self._body_factor * size  # of which ``size`` was reserved when it was read
        self._credit.free_bytes += size
        self._body_cost += self._credit.use(cost)
        self._progress.transferred_bytes += size
        if is_complete and self._phase is ConnectionPhase.BODY:
            self._phase = ConnectionPhase.COMPLETE
            self._credit.release()
        return True

    def _reserve_body(self, size: int) -> bool:
        """Reserve the cost of the next ``size`` bytes; once a body is not small, of the rest of it."""
        if self._is_body_reserved:
            return True
        if self._chunked is None:
            rest = self._body_remaining
        else:
            is_small = self._chunked.data_bytes <= SMALL_BODY_BYTES
            rest = size if is_small else self._server.limits().max_body_bytes + READ_BYTES
        if not self._reserve(self._body_factor * rest):
            return False
        self._is_body_reserved = self._chunked is None or rest > size
        return True

    def _take_chunks(self, chunked: ChunkedScanner, piece: bytes) -> int:
        """Pass on the chunks in ``piece`` and drop its trailers; return how many bytes were used."""
        size = chunked.scan_chunks(piece)
        self._pass_body(piece[:size])
        if chunked.state is ChunkedState.MALFORMED:
            self._fail_body(MalformedBodyError("a chunk is malformed"))
        elif chunked.state is ChunkedState.TRAILERS:
            size += self._drop_trailers(chunked, piece[size:])
        return size

    def _drop_trailers(self, chunked: ChunkedScanner, data: bytes) -> int:
        """Skip trailers, which nobody reads; return how many bytes were used."""
        size = chunked.skip_trailers(data)
        if chunked.trailer_bytes > self._limits.max_header_bytes:
            self._fail_body(TrailersTooLargeError("the trailers are too long"))
        elif chunked.state is ChunkedState.COMPLETE:
            self._pass_body(b"\r\n")  # the empty line that ends them
        return size

    def _pass_body(self, data: bytes) -> None:
        """Pass a part of a body to the parser, which may find it malformed."""
        queued = len(self._messages)
        if data:
            self._pass_to_parser(data)
        if len(self._messages) > queued:
            # An error, or a request where the framing says that the body goes on: neither is served.
            del self._messages[-1]
            self._fail_body(MalformedBodyError("the body is malformed"))

    def _pass_to_parser(self, data: bytes) -> None:
        super().data_received(data)

    def _fail_body(self, error: Exception) -> None:
        """Let the handler, which reads the body, answer with ``error``; the connection closes then."""
        self._phase = ConnectionPhase.DISCARD
        if self._payload is not None and self._payload.exception() is None:
            self._payload.set_exception(error)
        self._discard_input()

    def _request_answered(self) -> None:
        self.account.release(self._body_cost + self._response_cost)
        self._body_cost = self._response_cost = 0
        self._is_body_reserved = False
        self.give_way_early = None
        self._payload = None
        self._begin_progress()
        self.last_active_at = self._loop.time()
        if self._phase is not ConnectionPhase.COMPLETE:
            self._phase = ConnectionPhase.DISCARD  # aiohttp closes, as the body was not read
            self._discard_input()
            return
        self._phase = ConnectionPhase.HEAD
        if self._input:
            self._header_timer = self._loop.call_later(
                self._limits.header_timeout_ms / 1000, self._head_timed_out
            )
        self._advance()

    def _head_timed_out(self) -> None:
        self._header_timer = None
        if self.waits_for_memory:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no memory now", GAVE_WAY_RETRY_AFTER_S)
        else:
            self.force_close()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    # Memory

    def _reserve(self, size: int) -> bool:
        """Have ``size`` bytes of credit; if they do not fit now, stop reading until they do."""
        if self._credit.reserve(size):
            return True
        self._hold_input(True)
        return False

    def _memory_granted(self, waited_s: float) -> None:
        self._progress.exclude(waited_s)
        self._loop.call_soon(self._advance)

    def _consume(self, size: int) -> None:
        """Drop bytes from the start of the input."""
        if size > 0:
            del self._input[:size]
            self.account.release(size)

    def _discard_input(self) -> None:
        self._consume(len(self._input))
        self._credit.cancel()

    def _begin_progress(self) -> None:
        self._progress.begin(self._loop.time())

    def _hold_input(self, holds: bool) -> None:  # noqa: FBT001
        """Stop reading the socket, or read it again."""
        if holds == self._holds_input:
            return
        self._holds_input = holds
        if holds:
            self._pause_transport_reading()
            self._watch_disconnect()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _watch_disconnect(self) -> None:
        """Notice a client that leaves while its connection is not read."""
        if self.transport is not None:
            self._disconnects = self._disconnects or DisconnectWatcher(self.transport, self.transport.abort)
            self._disconnects.on_reading_paused()


def _buffered_bytes(response: web.StreamResponse) -> int:
    body = response.body if isinstance(response, web.Response) else None
    return len(body) if isinstance(body, bytes | bytearray) else 0
