"""HTTP/1.1: the front that clients come to, the back that disk nodes are asked through, the discovery watch.

It owns the platform's wire: which headers make a request, what an answer looks like, and how each way a
connection ends is named as an ``Ending``. It must never decide anything about a request that is well formed,
send one twice by itself, answer 200 with anything but a node's whole 200 body, or use a connection again on
which an answer is still to come.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
import select
import socket
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Mapping
from contextlib import aclosing, suppress
from dataclasses import dataclass, replace
from functools import partial
from math import isfinite
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp import StreamReader, web
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from multidict import MultiMapping
from yarl import URL

from cherrycove.core import Answer, Attempt, Core, Ending, Member, NodeList, Reply, Request, Verdict
from cherrycove.handover import listener
from finchrack.interface import NodeState, Settings

log = logging.getLogger("cherrycove.http1")
clients_log = logging.getLogger("cherrycove.http1.clients")  # the library's own, of what it could not read

MOST_BODY = 64 * 1024  # what is longer flows in pieces
MOST_LONG = 32 * 1024 * 1024  # bytes of a body or an answer at all
PIECE = 32 * 1024  # bytes in one read of a connection, and about as many in each of its buffers
MOST_HEADS = 32 * 1024  # bytes of an answer's head and of all that is said ahead of it
HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
INFO = {"volume", "units", "shard", "hosts"}
ONCE = ("X-Request-Id", "X-Class", "Tier", "X-Deadline-Ms", "IO-Info", "Cookie")
WHOLE = re.compile(r"[0-9]{1,9}", re.ASCII)
REQUEST_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
STATES = {"up": NodeState.UP, "draining": NodeState.DRAINING, "removed": NodeState.GONE}
WATCH_WAIT = 5.0  # s that a watch may wait for news
WATCH_SLACK = 1.0  # s past that until it counts as silent
WATCH_AGAIN = 0.1  # s before a watch that failed is renewed, doubled with each failure and drawn anew:
MOST_AGAIN = 1.0  # the first within the 200 ms in which one continues, all within what news may take
IDLE_TIME = 2.4  # s that a connection may stay without a whole head, at its start or between requests
SETTLED_TIME = 0.2  # s between requests after which a connection gives way where clients are many
BODY_TIME = 2.0  # s for each piece of a body, and in all this and
BODY_RATE = 32 * 1024  # bytes of it a second
FLOW = 160 * 1024  # bytes that a long body or answer holds on its way, at the most
ROOM_TIME = 1.0  # s that a body waits for room in memory until it is refused
START_TIME = 0.02  # s for an answer that does not tell its length to end, before it is passed on as it comes
STALL_TIME = 10.0  # s in which a node must take or give something of a long body
LEAVE_TIME = 3.0  # s that a client which still sends its body has to see its answer
UNREAD_TIME = 10.0  # s after which a client that takes nothing of what it is sent is cut off
ACCEPTED_AT_ONCE = 4  # connections in one turn of the loop; some turns pass until they can be dropped
ANSWER_TIME = 1.0  # s that a client has to take its answer when the broker ends


def _own_fault(record: logging.LogRecord) -> bool:
    """Guard: the library writes a trace for each unreadable request; any client could make it busy so."""
    return not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError | ConnectionError))


clients_log.addFilter(_own_fault)


class RequestError(ValueError):
    """What a client sent is not a request of this deployment; the message says why."""


class BodyError(RequestError):
    """A body did not come, or not as it was announced."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class ListError(ValueError):
    """What discovery sent is not a node list."""


# Parsers. They take text that anybody may have written.


@dataclass(frozen=True, slots=True)
class Head:
    """What the front reads of a request's head, before the core's view of it."""

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    budget: float
    key: str
    id: str
    repeat: bool


class Names:
    """The names of a deployment by their places, ready to look up."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.plans = {plan.name: place for place, plan in enumerate(settings.plans)}
        self.max_units, self.shards, self.brokers = settings.max_units, settings.shards, settings.schedulers


def _field(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name)
    if value is None:
        raise RequestError(f"{name} is missing")
    return value


def _matched(pattern: re.Pattern[str], text: str, what: str) -> str:
    if not pattern.fullmatch(text):
        raise RequestError(f"{what} is malformed")
    return text


def _cookie(text: str, name: str) -> str:
    for part in text.split(";"):
        key, mark, value = part.strip().partition("=")
        if mark and key == name:
            return value.strip('"')
    raise RequestError(f"the cookie {name} is missing")


def parse_head(path: str, headers: Mapping[str, str], names: Names) -> Head:
    """A request's head, or RequestError. A path that names no class is the caller's to answer."""
    word = _field(headers, "X-Class")
    cls, plan = names.classes.get(word), names.plans.get(_field(headers, "Tier"))
    if cls is None:
        raise RequestError("X-Class names no class")
    if plan is None:
        raise RequestError("Tier names no plan")
    if path.partition("?")[0].split("/", 2)[1:2] != [word]:
        raise RequestError("the path and X-Class differ")
    info = dict([part.strip().partition("=")[::2] for part in _field(headers, "IO-Info").split(",")])
    if not info.keys() >= INFO:
        raise RequestError(f"IO-Info lacks {min(INFO - info.keys())}")
    units = float(_matched(DECIMAL, info["units"], "units"))
    if not 0 < units <= names.max_units:
        raise RequestError("units is out of range")
    shard = -1 if info["shard"] == "-1" else int(_matched(WHOLE, info["shard"], "shard"))
    if shard >= names.shards > 0:
        # Guard: what the module keeps for each shard is kept for good.
        raise RequestError("shard is out of range")
    hosts = max(min(int(_matched(WHOLE, info["hosts"], "hosts")), names.brokers), 1)
    return Head(
        cls=cls, plan=plan, volume=_matched(HEX16, info["volume"], "volume"), units=units,
        shard=None if shard < 0 else shard, hosts=hosts,
        budget=int(_matched(WHOLE, _field(headers, "X-Deadline-Ms"), "X-Deadline-Ms")) / 1000,
        key=_matched(HEX16, _cookie(_field(headers, "Cookie"), "object"), "the cookie object"),
        id=_matched(REQUEST_ID, _field(headers, "X-Request-Id"), "X-Request-Id"),
        repeat=headers.get("X-Retry") == "1")


def _entry(raw: Any, zones: Mapping[str, int]) -> Member:
    if not isinstance(raw, dict):
        raise ListError("an entry is no object")
    try:
        name, state = raw["name"], STATES[raw["status"]]
        address, shard = raw.get("address", ""), raw.get("group", -1)
        weight, since = raw.get("weight", 1.0), raw.get("since_ms", 0)
    except (KeyError, TypeError) as error:
        raise ListError(f"an entry lacks or misstates {error}") from None
    numbers = all(type(x) in (int, float) and isfinite(x) for x in (weight, since))
    if not (isinstance(name, str) and name and isinstance(address, str) and type(shard) is int and numbers):
        raise ListError("an entry has a value of the wrong type")
    host, _, port = address.rpartition(":")
    if state is not NodeState.GONE and not (
            host and re.fullmatch(r"[0-9A-Za-z.\[\]:_-]+", host) and WHOLE.fullmatch(port)
            and 0 < int(port) < 65536 and shard >= 0):
        raise ListError("an entry has no usable address or group")
    zone = raw.get("zone")
    return Member(name, address, shard, zones.get(zone, 0) if isinstance(zone, str) else 0,
                  float(weight), float(since), state)


def parse_list(text: bytes | str, zones: Mapping[str, int]) -> NodeList:
    """Discovery's answer, or ListError: a list that is wrong in one place is trusted in none."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise ListError("not JSON") from None
    return read_list(raw, zones)


def read_list(raw: Any, zones: Mapping[str, int]) -> NodeList:
    if not isinstance(raw, dict):
        raise ListError("no object")
    index, full, entries = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
    if type(index) is not int or index < 0 or type(full) is not bool or not isinstance(entries, list):
        raise ListError("index, snapshot or endpoints is missing or of the wrong type")
    return NodeList(index, full, tuple(_entry(entry, zones) for entry in entries))


def parse_load(text: str | None) -> dict[str, float]:
    """A load report; what cannot be read is left out, for it is advice at most."""
    try:
        raw = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    return {name: float(x) for name, x in raw.items() if type(x) in (int, float) and abs(x) < 1e18}


def parse_use(text: str | None) -> float | None:
    """The volume's use, told in percent of its plan's rate."""
    return int(text) / 100 if text and WHOLE.fullmatch(text) else None


# The back.


class SpoiltAnswer(aiohttp.ClientPayloadError):
    """What a node sent is not an answer; the message says why."""


class NodeConnection(ResponseHandler):
    """The library's connection to a node, which here takes one answer for each request and nothing else.

    The library puts whatever comes into one queue, so bytes behind an answer would be the next request's; it
    loses a whole answer if noise comes in the same read. This gives its parser an answer's own bytes alone.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._begin()

    def _begin(self) -> None:
        self._answer: StreamReader | None = None  # the body of the answer whose head has come
        self._left: int | None = None  # of that body's length, where one is given
        self._clean = True  # whether chunks that have come so far can end here
        self._seam, self._heads = b"", 0  # the last bytes that came, and all bytes of heads

    def set_response_params(self, **params: Any) -> None:
        self._begin()
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Guard: what came while it stood idle may still be unread: an end, or a second answer."""
        if self.transport is None or not super().is_connected():
            return False
        if self._answer is None or not self._answer.is_eof():
            return True
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not look.poll(0)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """From the library's parser: a whole head, and the body to come."""
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            return  # a word ahead of the answer
        if self._answer is not None:
            return self._drop()  # a second answer, behind a body in chunks
        length = message.headers.get("Content-Length")
        self._answer, self._left = body, int(length) if length is not None else None
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        whole = self._answer is not None and self._answer.is_eof()
        if not data:  # the library goes on with what its parser has held back
            if not whole:
                super().data_received(data)
        elif self._parser is None or whole:
            return self._drop()  # nothing is asked, or all is answered
        elif self._answer is None:
            place = (self._seam + data).find(b"\r\n\r\n")
            size = place + 4 - len(self._seam) if place >= 0 else len(data)
            # Guard: a NUL in a load report would spoil the answer to the parser. RFC 9110, 5.5: as a space.
            head, rest = data[:size].replace(b"\0", b" "), data[size:]
            self._seam = (self._seam + head)[-3:] if place < 0 else b""
            self._heads += len(head)
            if self._heads > MOST_HEADS:
                return self._spoil()
            super().data_received(head)
            if rest and self.transport is not None and not self.transport.is_closing():
                return self.data_received(rest)
        elif self._left is not None:
            self._should_close |= len(data) > self._left  # before its body's end gives the connection back
            own, self._left = data[:self._left], max(self._left - len(data), 0)
            super().data_received(own)
        else:
            end = (self._seam + data)[-4:]
            self._seam, self._clean = end[-3:], end == b"\r\n\r\n"
            super().data_received(data)
        if not self._clean and self._answer is not None and self._answer.is_eof():
            self._drop()
        if self.transport is None or self.transport.is_closing():
            self._spoil()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.max_size = PIECE  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self._answer is not None and not self._answer.is_eof():
            # Guard: the library takes a reset for the end of an answer that only the connection's end ends.
            self._answer.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
            self._parser = None
        super().connection_lost(exc)

    def _drop(self) -> None:
        """Bytes beyond an answer: that is served, and the connection is of no further use."""
        self._should_close = True
        if self.transport is not None:
            self.transport.close()

    def _spoil(self) -> None:
        """Guard: told of a fault in the body, the library lets the body's reader wait for the end of time."""
        self._drop()
        if self._answer is None and self._exception is None:
            self.set_exception(SpoiltAnswer("the answer's head is too long"))
        elif self._answer is not None and not self._answer.is_eof():
            self._answer.set_exception(SpoiltAnswer("the answer's body is spoilt"))


class Connector(aiohttp.TCPConnector):
    """The library's pool, with connections of ours."""

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self._factory = partial(NodeConnection, loop=self._loop)  # type: ignore[assignment]

    async def _create_connection(self, *request: Any) -> ResponseHandler:
        # Guard: the library's limit is for those in use; kept ones came on top and took all descriptors.
        while sum(map(len, self._conns.values())) + len(self._acquired) > self._limit and self._conns:
            place = min(self._conns, key=lambda each: self._conns[each][0][1])
            protocol, _ = self._conns[place].popleft()
            if not self._conns[place]:
                del self._conns[place]
            protocol.close()
        return await super()._create_connection(*request)


class Pool:
    """Connections to disk nodes, and how each attempt over them ended."""

    def __init__(self, dial_timeout: float, conn_idle: float, most: int) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._headers_sent)
        trace.on_request_chunk_sent.append(self._chunk_sent)
        # Guard: a node closes what stood idle for conn_idle, and what is written to it then is lost.
        self._connector = Connector(limit=most, keepalive_timeout=min(conn_idle * 0.4, 15.0),
                                    happy_eyeballs_delay=None, use_dns_cache=False)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, trace_configs=[trace],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=PIECE // 2,
            timeout=aiohttp.ClientTimeout(total=None, connect=dial_timeout, sock_connect=dial_timeout))
        # Guard: the library sends a GET or PUT again by itself when a kept connection turns out to be dead.
        # That is a second copy which nobody decided; it has no public switch.
        self._session._retry_connection = False

    def resize(self, most: int) -> None:
        self._connector._limit = most

    async def close(self) -> None:
        await self._session.close()

    async def _headers_sent(self, session: Any, context: SimpleNamespace, params: Any) -> None:
        call: Call | None = context.trace_request_ctx
        if call is not None and call.bare:
            call.written()

    async def _chunk_sent(self, session: Any, context: SimpleNamespace,
                          params: aiohttp.TraceRequestChunkSentParams) -> None:
        call: Call | None = context.trace_request_ctx
        if call is not None:
            call.count(len(params.chunk))

    async def exchange(self, call: Call, address: str, headers: dict[str, str]) -> Reply:
        answer: aiohttp.ClientResponse | None = None
        try:
            answer = await self._session.request(
                call.method, URL(f"http://{address}{call.target}", encoded=True), headers=headers,
                data=call.payload(headers), allow_redirects=False, trace_request_ctx=call)
            reply = await _reply(answer, call.relay)
            if reply.relay is not None:
                answer = None  # it is the relay's now
            return reply
        except aiohttp.ConnectionTimeoutError:
            return Reply(Ending.CONNECT_TIMEOUT)
        except aiohttp.ClientConnectorError:
            return Reply(Ending.CONNECT_REFUSED)
        except (SpoiltAnswer, aiohttp.ClientResponseError):
            return Reply(Ending.SPOILT)
        except aiohttp.ClientPayloadError:
            return Reply(Ending.CUT_SHORT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if call.fault is not None:
                return Reply(Ending.CLIENT_BROKE)
            if isinstance(error, TimeoutError):
                raise
            return Reply(Ending.BROKEN if call.sent or call.begun else Ending.BROKEN_UNSENT)
        finally:
            if answer is not None:
                # Guard: one that came before the request was sent whole, or was not read to its end.
                if not call.sent or not answer.content.at_eof():
                    answer.close()
                answer.release()


class Rest:
    """What of a long answer is still to come."""

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        self._answer = answer
        self.length = None if answer.headers.get("Transfer-Encoding") else answer.content_length

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Until its end; a ClientError says that it broke off or stalled."""
        try:
            size = 0
            while True:
                async with asyncio.timeout(STALL_TIME):
                    piece = await self._answer.content.readany()
                if not piece:
                    return
                size += len(piece)
                if size > MOST_LONG:
                    raise SpoiltAnswer("it is longer than an answer may be")
                yield piece
        except TimeoutError:
            raise aiohttp.ClientPayloadError("it stalled") from None
        finally:
            if not self._answer.content.at_eof():
                self._answer.close()
            self._answer.release()


async def _beginning(answer: aiohttp.ClientResponse) -> tuple[bytes, bool] | None:
    """The start of the body and whether that is all; None where nobody can tell, or it is too much."""
    coding, length = answer.headers.get("Transfer-Encoding"), answer.content_length
    if coding:
        framed = coding.strip().lower() == "chunked"
    else:
        # Guard: a length that got lost leaves the connection open, and nothing would end the answer.
        framed = length is not None or answer.headers.get("Connection", "").strip().lower() == "close"
    if not framed or (not coding and (length or 0) > MOST_LONG):
        return None
    body = b""
    if not coding and (length or 0) > MOST_BODY:
        return body, False
    latest = asyncio.get_running_loop().time() + START_TIME if coding or length is None else None
    try:
        while len(body) <= MOST_BODY:
            async with asyncio.timeout_at(latest if body else None):
                piece = await answer.content.readany()
            if not piece:
                return body, True
            body += piece
    except TimeoutError:
        # Guard: of a long answer the first bytes are timed, and how long it is only its end tells. Held until
        # 64 KiB had come, it was late, and its node looked slow. Short ones are whole within 10 ms.
        pass
    return body, False


async def _reply(answer: aiohttp.ClientResponse, relay: Relay) -> Reply:
    status, headers = answer.status, answer.headers
    begun = await _beginning(answer)
    body, whole = begun or (b"", True)
    if status == 200:
        ending = Ending.SERVED if begun is not None else Ending.SPOILT
    elif status in (503, 504) and headers.get("X-Not-Run") == "1":
        ending = Ending.TURNED_AWAY
    else:
        ending = Ending.NODE_ERROR
    reply = Reply(ending, body, headers.get("Content-Type", ""), parse_use(headers.get("Volume-Load")),
                  load=parse_load(headers.get("X-Load")))
    if whole or ending is not Ending.SERVED:
        return reply
    return replace(reply, relay=partial(relay, Rest(answer), reply))


Relay = Callable[[Rest, Reply], Awaitable[Ending]]


class Room:
    """The one bound on what bodies and answers hold in memory. What waits for room gets it in its order."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def take(self, size: int) -> None:
        """Whether there is room or not."""
        self.held += size

    async def enter(self, size: int) -> None:
        """Once there is room; something alone always has it. TimeoutError: there was none in time."""
        if not self._waiting and (not self.held or self.held + size <= self.most):
            return self.take(size)
        place = size, asyncio.get_running_loop().create_future()
        self._waiting.append(place)
        try:
            async with asyncio.timeout(ROOM_TIME):
                await place[1]
        except BaseException:
            if place in self._waiting:
                self._waiting.remove(place)
            elif place[1].done() and not place[1].cancelled():
                self.leave(size)  # given in the moment in which it was given up
            self._admit()
            raise

    def leave(self, size: int) -> None:
        self.held -= size
        self._admit()

    def resize(self, most: int) -> None:
        self.most = most
        self._admit()

    def _admit(self) -> None:
        while self._waiting and (not self.held or self.held + self._waiting[0][0] <= self.most):
            size, waiter = self._waiting.popleft()
            if not waiter.done():
                self.take(size)
                waiter.set_result(None)


class Upload:
    """A client's body in pieces, each read when the one before has gone. It can be read once."""

    def __init__(self, request: web.BaseRequest, start: bytes) -> None:
        self.length = None if request.headers.get("Transfer-Encoding") else request.content_length
        self.touched = False
        self._request, self._start = request, start

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Until its end; a BodyError says that it did not come whole."""
        self.touched = True
        if self._start:
            yield self._start
        async for piece in _pieces(self._request, len(self._start)):
            yield piece


class Call:
    """One client's request as the back sends it; the core's Backend."""

    def __init__(self, pool: Pool, method: str, target: str, request_id: str, body: bytes | Upload,
                 relay: Relay) -> None:
        self.method, self.target, self.relay = method, target, relay
        self.sent = self.begun = False  # the last byte; the first of a body that comes in pieces
        self.fault: BodyError | None = None  # the client's, in such a body
        self._pool, self._id, self._body = pool, request_id, body
        self._left = 0
        self._current: Attempt | None = None

    @property
    def bare(self) -> bool:
        return not self._body

    def written(self) -> None:
        self.sent = True
        if self._current is not None:
            self._current.wrote()

    def count(self, size: int) -> None:
        if isinstance(self._body, bytes):
            self._left -= size
            if self._left <= 0:
                self.written()

    def payload(self, headers: dict[str, str]) -> bytes | AsyncIterator[bytes] | None:
        if isinstance(self._body, bytes):
            return self._body or None
        if self._body.length is not None:
            headers["Content-Length"] = str(self._body.length)
        return self._flow(self._body)

    async def _flow(self, upload: Upload) -> AsyncIterator[bytes]:
        attempt, loop = self._current, asyncio.get_running_loop()
        assert attempt is not None and attempt.scope is not None
        size = 0
        try:
            async for piece in upload.pieces():
                attempt.begun = self.begun = True
                size += len(piece)
                if size == upload.length:
                    self.written()  # Guard: with this piece the node has it all, before anybody asks again
                else:
                    attempt.scope.reschedule(loop.time() + STALL_TIME)  # for the node to take it
                yield piece
                if not self.sent:
                    attempt.scope.reschedule(None)  # it is the client's turn
            if not self.sent:
                self.written()
        except BodyError as error:
            self.fault = error
            raise

    async def attempt(self, attempt: Attempt) -> Reply:
        if isinstance(self._body, Upload) and self._body.touched:
            return Reply(Ending.NOT_STARTED)  # Guard: its first pieces are gone
        self._current = attempt
        self.sent, self._left = False, len(self._body) if isinstance(self._body, bytes) else 0
        wait = max(int(attempt.wait * 1000), 1)
        return await self._pool.exchange(
            self, attempt.address, {"X-Request-Id": self._id, "X-Deadline-Ms": str(wait)})


# The front.


class ClientConnection(web.RequestHandler):
    """The library's connection to a client, which says when something has come over it."""

    def data_received(self, data: bytes) -> None:
        if isinstance(self._manager, Clients):
            self._manager.spoke(self)
        super().data_received(data)


class Clients(web.Server):
    """The library's server, bounded: past the bound, a connection without a request gives way to a new one.
    Those that say nothing give first, the longest so, then those that have sent a part of a head."""

    def __init__(self, handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], most: int,
                 crowd: int) -> None:
        # Guard: by itself the library waits an hour for a head, and reads on after an error for ten seconds.
        super().__init__(handle, handler_cancellation=True, access_log=None, tcp_keepalive=False,
                         auto_decompress=False, keepalive_timeout=IDLE_TIME, lingering_time=0.0,
                         logger=clients_log, read_bufsize=PIECE // 2)
        self._most, self._crowd = most, crowd
        # Each by their coming into it, with the time.
        self._silent: dict[web.RequestHandler, float] = {}  # nothing has come yet
        self._partly: dict[web.RequestHandler, float] = {}  # a part of a head
        self._idle: dict[web.RequestHandler, float] = {}  # between requests
        self._busy: dict[web.RequestHandler, float] = {}  # a request is open, or its body still comes
        self._groups = self._silent, self._partly, self._idle, self._busy

    def __call__(self) -> web.RequestHandler:
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def _move(self, handler: web.RequestHandler, to: dict[web.RequestHandler, float]) -> None:
        for group in self._groups:
            group.pop(handler, None)
        to[handler] = self._loop.time()

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        transport.max_size = PIECE  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(PIECE)
        self._move(handler, self._silent)
        self.resize(self._most)

    def resize(self, most: int) -> None:
        self._most = most
        while sum(map(len, self._groups)) > most:
            # Guard: descriptors used up stop the accepting of anybody; nothing taken is ever cut off.
            group = self._silent if len(self._silent) >= len(self._idle) else self._idle
            victim = next(iter(group or self._partly), None)
            if victim is None:
                return
            del (group or self._partly)[victim]
            self._connections[victim].abort()

    def spoke(self, handler: web.RequestHandler) -> None:
        if handler not in self._busy and handler not in self._partly:
            self._move(handler, self._partly)
            # Guard: the library counts from the last answer; a slow head on a kept connection was cut off.
            handler._next_keepalive_close_time = self._loop.time() + IDLE_TIME

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        super().connection_lost(handler, exc)
        for group in self._groups:
            group.pop(handler, None)

    @property
    def crowded(self) -> bool:
        """Whether so many ask that others may find no place: clients hold a third of all descriptors."""
        return len(self._idle) + len(self._busy) > self._crowd

    def begin(self, handler: web.RequestHandler) -> None:
        if handler.transport is None:
            return
        self._move(handler, self._busy)
        if self.crowded and self._idle:
            # Guard: those who have asked and stay would keep others from asking until their time is up.
            longest, since = next(iter(self._idle.items()))
            if since < self._loop.time() - SETTLED_TIME:
                del self._idle[longest]
                self._connections[longest].close()

    def finish(self, handler: web.RequestHandler) -> None:
        if handler in self._busy:
            self._move(handler, self._idle)


class Front:
    """Clients' connections. ``drain`` makes every further answer close its connection."""

    def __init__(self, core: Core, pool: Pool, most_connections: int, crowd: int, most_bytes: int) -> None:
        self._core, self._pool = core, pool
        self._names = Names(core.settings)
        self._draining = False
        self._server: asyncio.Server | None = None
        self.listener: socket.socket
        self._web = Clients(self._handle, most_connections, crowd)
        self.room = Room(most_bytes)
        self._open: set[str] = set()  # the ids of open requests
        self.last_request = 0.0

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; the port, should the system have chosen it."""
        # Guard: a client that never reads its answer would keep its connection for good. Inherited on accept.
        return await self.accept(listener(host, port, TCP_USER_TIMEOUT=int(UNREAD_TIME * 1000)))

    async def accept(self, given: socket.socket) -> int:
        """Start to accept from a socket that another process may have opened, and may accept from too."""
        # Guard: the loop accepts as many at a time as it queues; a crowd would take all descriptors.
        self._server = await asyncio.get_running_loop().create_server(
            self._web, sock=given, backlog=ACCEPTED_AT_ONCE)
        given.listen(1024)
        self.listener, self._draining = given, False
        bound: int = given.getsockname()[1]
        return bound

    def hand_over(self) -> socket.socket:
        """Another process accepts from now on; the socket, should it have to be taken back."""
        kept = self.listener.dup()
        if self._server is not None:
            self._server.close()
        self.drain()
        return kept

    def resize(self, most_connections: int, most_bytes: int) -> None:
        self._web.resize(most_connections)
        self.room.resize(most_bytes)

    def drain(self) -> None:
        self._draining = True
        self.last_request = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Stop accepting, finish whatever is open, then close the connections."""
        if self._server is not None:
            self._server.close()
        await self._core.idle()
        self._web.pre_shutdown()  # those between requests; the others close behind their answer
        await self._web.shutdown(ANSWER_TIME)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._web.begin(request.protocol)
        try:
            return await self._respond(request)
        finally:
            self._web.finish(request.protocol)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        target = _origin(request.raw_path)
        path = target.partition("?")[0]
        if path == "/-/ready":
            ok = self._core.ready and not self._draining
            return self._response(200 if ok else 503, "ready\n" if ok else "not ready\n")
        self.last_request = asyncio.get_running_loop().time()
        cls = self._names.classes.get((path.split("/", 2) + [""])[1])
        if cls is None:
            return self._response(404, "no such path\n", whole=not request.body_exists)
        try:
            if request.method not in ("GET", "PUT"):
                raise RequestError("the method is neither GET nor PUT")
            head = parse_head(target, _single(request.headers), self._names)
            if URL(f"http://h{target}", encoded=True).raw_path_qs != target:
                raise RequestError("the path cannot be passed on unchanged")
            need = _need(request)
            await self.room.enter(need)
        except TimeoutError:
            response = self._turn_away(cls, 503, "refused: no room for its body now\n", whole=False,
                                       verdict=Verdict.REFUSED)
            await self._leave(request, response)
            return response
        except (RequestError, ValueError) as error:
            return self._turn_away(cls, getattr(error, "status", 400), f"{error}\n",
                                   whole=not request.body_exists)
        try:
            return await self._take(request, cls, head)
        finally:
            self.room.leave(need)

    async def _take(self, request: web.BaseRequest, cls: int, head: Head) -> web.StreamResponse:
        try:
            body = await _taken(request)
        except (RequestError, ValueError, web.RequestPayloadError, HttpProcessingError) as error:
            status = error.status if isinstance(error, BodyError) else 400
            return self._turn_away(cls, status, f"{error}\n", whole=not request.body_exists)
        if head.id in self._open:
            # Guard: sent on, it would be a second copy of a request that is still out.
            return self._turn_away(cls, 409, "a request with this X-Request-Id is open\n",
                                   whole=isinstance(body, bytes))
        self._open.add(head.id)
        relayed: list[web.StreamResponse] = []
        call = Call(self._pool, request.method, _origin(request.raw_path), head.id, body,
                    partial(self._relay, request, relayed))
        try:
            answer = await self._core.serve(
                Request(head.cls, head.plan, head.volume, head.units, head.shard, head.hosts,
                        asyncio.get_running_loop().time() + head.budget, head.key, head.repeat,
                        isinstance(body, Upload)), call)
        finally:
            self._open.discard(head.id)
        if relayed:
            return relayed[0]
        if call.fault is not None:
            return self._response(call.fault.status, f"{call.fault}\n", whole=False)
        response = self._answer(answer)
        if not request.content.is_eof():
            await self._leave(request, response)
        return response

    async def _relay(self, request: web.BaseRequest, relayed: list[web.StreamResponse], rest: Rest,
                     reply: Reply) -> Ending:
        """Pass on a long answer. Whatever breaks it closes the connection ahead of its framed end."""
        response = web.StreamResponse(headers=self._headers(reply.kind or "application/octet-stream"))
        relayed.append(response)
        if rest.length is not None:
            response.content_length = rest.length
        elif request.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            response.force_close()
        if self._draining or self._web.crowded or not request.content.is_eof():
            response.force_close()
        self.room.take(FLOW)
        try:
            return await self._pump(request, response, rest, reply)
        finally:
            self.room.leave(FLOW)

    async def _pump(self, request: web.BaseRequest, response: web.StreamResponse, rest: Rest,
                    reply: Reply) -> Ending:
        async with aclosing(rest.pieces()) as pieces:
            await response.prepare(request)
            if reply.body:
                await response.write(reply.body)
            try:
                async for piece in pieces:
                    await response.write(piece)
            except SpoiltAnswer:
                ending = Ending.SPOILT
            except aiohttp.ClientPayloadError:
                ending = Ending.CUT_SHORT
            else:
                await response.write_eof()
                return Ending.SERVED
        # Guard: the library would end the answer as if it were whole.
        request.protocol.force_close()
        return ending

    async def _leave(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Answer a client that still sends. Guard: closed on what is unread, it would not see its answer."""
        response.force_close()
        await response.prepare(request)
        await response.write_eof()
        with suppress(TimeoutError, web.RequestPayloadError, HttpProcessingError):
            async with asyncio.timeout(LEAVE_TIME):
                while await request.content.readany():
                    pass

    def _turn_away(self, cls: int, status: int, why: str, whole: bool = True,
                   verdict: Verdict = Verdict.FAILED) -> web.Response:
        self._core.turned_away(cls, verdict)
        response = self._response(status, why, whole=whole)
        if verdict is Verdict.REFUSED:
            response.headers["Retry-After"] = f"{ROOM_TIME:.3f}"
        return response

    def _answer(self, answer: Answer) -> web.StreamResponse:
        if answer.verdict is Verdict.SERVED and answer.reply is not None:
            return self._response(200, answer.reply.body, answer.reply.kind)
        if answer.verdict is Verdict.REFUSED:
            response = self._response(503, "refused: a new try does no harm\n")
            if answer.retry_after > 0:
                response.headers["Retry-After"] = f"{answer.retry_after:.3f}"
            return response
        late = answer.cause in (Ending.TIMED_OUT, Ending.CONNECT_TIMEOUT)
        return self._response(504 if late else 500, "failed: it may have taken effect\n")

    @staticmethod
    def _headers(kind: str) -> dict[str, str]:
        return {"Server": "cherrycove", "Content-Type": kind}

    def _response(self, status: int, body: str | bytes, kind: str = "", whole: bool = True) -> web.Response:
        data = body.encode() if isinstance(body, str) else body
        response = web.Response(status=status, body=data, headers=self._headers(
            kind or ("text/plain" if isinstance(body, str) else "application/octet-stream")))
        # Guard: clients that ask once and stay would leave the others no place until their time is up.
        if self._draining or not whole or self._web.crowded:
            response.force_close()
        return response


def _origin(target: str) -> str:
    """A target without the scheme and host that a client may write before it (RFC 9112, 3.2.2)."""
    scheme, mark, rest = target.partition("://")
    return "/" + rest.partition("/")[2] if mark and scheme.lower() == "http" else target


def _single(headers: MultiMapping[str]) -> MultiMapping[str]:
    """The headers; a repeat of one that says what the request is leaves open which one counts."""
    for name in ONCE:
        if len(headers.getall(name, ())) > 1:
            raise RequestError(f"{name} comes twice")
    return headers


def _need(request: web.BaseRequest) -> int:
    """What a request's body will hold in memory; RequestError says why it is none."""
    if not request.body_exists:
        return 0
    if request.method == "GET":
        raise RequestError("a read has no body")
    coding = request.headers.get("Transfer-Encoding")
    if coding is not None and coding.strip().lower() != "chunked":
        raise RequestError("a Transfer-Encoding other than chunked")
    length = request.content_length or 0
    if length > MOST_LONG:
        raise BodyError(413, f"more than {MOST_LONG} bytes")
    return FLOW if coding is not None or length > MOST_BODY else length


async def _taken(request: web.BaseRequest) -> bytes | Upload:
    """The body, or what of it is too long to be held."""
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        # Guard: the low-level server leaves this to us; a client that waits for it would lose its time.
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0  # what follows is the answer's head, not its middle
    if (request.content_length or 0) > MOST_BODY:
        return Upload(request, b"")
    body = b""
    async for piece in _pieces(request):
        body += piece
        if len(body) > MOST_BODY:
            return Upload(request, body)
    return body


async def _pieces(request: web.BaseRequest, size: int = 0) -> AsyncIterator[bytes]:
    """The body as it comes, or BodyError. Guard: a client may be slow, but not hold its place for ever."""
    loop = asyncio.get_running_loop()
    began, taken = loop.time(), 0.0  # when, and how long of that was not the client's time
    while True:
        latest = began + taken + BODY_TIME + size / BODY_RATE
        try:
            async with asyncio.timeout_at(min(loop.time() + BODY_TIME, latest)):
                piece = await request.content.readany()
        except TimeoutError:
            raise BodyError(408, "the rest of the request did not come") from None
        except (web.RequestPayloadError, HttpProcessingError) as error:
            raise BodyError(400, str(error)) from None
        if not piece:
            return
        size += len(piece)
        if size > MOST_LONG:
            raise BodyError(413, f"more than {MOST_LONG} bytes")
        before = loop.time()
        yield piece
        taken += loop.time() - before


# Discovery.


async def watch(core: Core, address: str, zones: Mapping[str, int], afresh: bool = False) -> None:
    """Follow discovery's list for ever. Whatever it answers, the last good list stands until a better one."""
    limit = aiohttp.ClientTimeout(total=WATCH_WAIT + WATCH_SLACK, sock_connect=WATCH_SLACK)
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar(), timeout=limit) as session:
        known, silent, again = core.version is not None and not afresh, False, WATCH_AGAIN
        while True:
            query = f"?since={core.version}&timeout_ms={int(WATCH_WAIT * 1000)}" if known else ""
            try:
                url = URL(f"http://{address}/api/targets{query}", encoded=True)
                async with session.get(url, allow_redirects=False) as answer:
                    if answer.status != 200:
                        raise ListError(f"status {answer.status}")
                    news = parse_list(await answer.read(), zones)
                if not news.full and (not known or news.version < (core.version or 0)):
                    known = False  # it has started over: changes of an unknown list say nothing
                    continue
                if news.full or news.members or news.version != core.version:
                    log.info("node list %d: %s", news.version, _told(news))
                    core.update(news)
                known, silent, core.silent, again = True, False, False, WATCH_AGAIN
            except (ListError, aiohttp.ClientError, OSError, ValueError) as error:
                if not silent:
                    log.warning("discovery: %s; the last list stands", str(error) or type(error).__name__)
                silent = True
                core.list_unavailable()
                # Guard: many brokers that ask in step and at once keep a discovery down that is overbooked.
                await asyncio.sleep(again * random.uniform(0.5, 1.0))
                again = min(2 * again, MOST_AGAIN)


def _told(news: NodeList) -> str:
    return " ".join(f"{m.name}={m.state.value}" for m in news.members) or "no change"
