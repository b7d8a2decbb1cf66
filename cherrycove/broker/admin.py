"""The admin protocol for operators, on an address of its own: one call, a line of text, per connection.

No call waits for a client or a node, no caller can block another, and an incomplete line is never executed.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from cherrycove.broker.core import Metrics, Verdict
from cherrycove.broker.event_log import Log

log = Log("cherrycove.admin")

MAX_LINE_BYTES = 512
MAX_CONNECTIONS = 8  # at the same time
CALL_TIMEOUT_S = 5.0  # for receiving the whole line
MAX_EXCESS_BYTES = 64 * 1024  # data after a call that is read and dropped
HANG_UP_TIMEOUT_S = 1.0  # for the caller to read its answer and disconnect
PLAIN_COMMANDS, NODE_COMMANDS, QUERY_COMMANDS = ("status", "stats"), ("maint-on", "maint-off"), ("why",)
NODE_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
VERDICT_NAMES = {Verdict.SERVED: "passed", Verdict.REFUSED: "dropped", Verdict.FAILED: "bad_gateway"}


class InvalidCallError(ValueError):
    """A line is not a valid call; the message is sent to the caller."""


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's call."""

    command: str
    node: str = ""  # node id, for commands on a node
    arguments: tuple[str, ...] = ()  # of a query command


def parse_call(line: bytes) -> Call:
    """Parse a line, given without its newline.

    Raises:
        InvalidCallError: the line is not a valid call.
    """
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError as error:
        raise InvalidCallError("not a line of text") from error
    if not words:
        raise InvalidCallError("an empty line")
    command, *rest = words
    if command in PLAIN_COMMANDS:
        if rest:
            raise InvalidCallError(f"{command} stands alone")
        return Call(command)
    if command in QUERY_COMMANDS:
        return Call(command, arguments=tuple(rest))
    if command not in NODE_COMMANDS:
        raise InvalidCallError(
            f"no such call; there are {', '.join(PLAIN_COMMANDS + NODE_COMMANDS + QUERY_COMMANDS)}"
        )
    if len(rest) != 1 or not NODE_ID.fullmatch(rest[0]):
        raise InvalidCallError(f"{command} takes one disk node's id")
    return Call(command, rest[0])


def report(metrics: Metrics, parts: Mapping[str, int] | None = None) -> str:
    """Return the metrics, one per line, then the counters of ``parts``, and the line END."""
    lines = [
        f"{word}.{cls}:{counts[verdict]}|c"
        for verdict, word in VERDICT_NAMES.items()
        for cls, counts in metrics.answers.items()
    ]
    lines += [
        f"upstream_tries:{metrics.attempts}|c",
        f"in_progress:{metrics.open_requests}|g",
        f"known_disk_nodes:{metrics.listed_nodes}|g",
        f"skipped_disk_nodes:{metrics.unused_nodes}|g",
    ]
    lines += [f"{name}:{count}|c" for name, count in (parts or {}).items()]
    return "\n".join([f"broker.{line}" for line in lines] + ["END"])


def yes_or_no(refusal: str | None, done: str) -> str:
    """Return the answer NO with the refusal or, if that is None, YES with what was done."""
    return f"YES {done}" if refusal is None else f"NO {refusal}"


class AdminServer:
    """Serves operators' calls. Owned by the broker.

    ``answer`` executes a call and returns the answer, without a newline at the end. If it raises, the
    exception is logged and the caller receives NO.
    """

    def __init__(self, answer: Callable[[Call], Awaitable[str]]) -> None:
        self._answer = answer
        self._connections: dict[_Connection, None] = {}  # ordered by arrival; the values are unused
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Listen on this address; return the port."""
        listener = socket.create_server((host, port))
        # The event loop accepts up to ``backlog`` connections at a time; the socket may queue many more.
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), sock=listener, backlog=MAX_CONNECTIONS
        )
        listener.listen(128)
        bound: int = listener.getsockname()[1]
        return bound

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: _Connection) -> None:
        """Add a connection.

        Beyond ``MAX_CONNECTIONS``, the oldest other connection without a call is aborted, or if there is
        none, the oldest.
        """
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            # Callers that keep connections open must not exhaust the file descriptors for others.
            others = list(self._connections)[:-1]
            oldest = next((each for each in others if not each.has_call), others[0])
            # It is closed later in this turn of the loop, in which more connections may be added.
            self.remove(oldest)
            oldest.abort()

    def remove(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    async def reply(self, line: bytes) -> str:
        """Return the answer to a line, including NO for an invalid or failed call."""
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return f"NO {error}"
        try:
            return await self._answer(call)
        except Exception:  # noqa: BLE001  # logged; a failed call must not stop the broker
            log.exception("call.failed", call=call.command)
            return "NO the broker could not carry it out; its log says why"


class _Connection(asyncio.Protocol):
    """A connection of an operator: receives a line, sends its answer and closes."""

    def __init__(self, server: AdminServer) -> None:
        self._server, self._line, self.has_call = server, b"", False
        self._answered, self._eof_received, self._excess_bytes = False, False, 0
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the call for at most ``CALL_TIMEOUT_S``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._abort_after(CALL_TIMEOUT_S)
        self._server.add(self)

    def _abort_after(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay, self.abort)

    def data_received(self, data: bytes) -> None:
        """Collect the line and execute its call; drop any data after it."""
        if self.has_call:
            # Closing with unread data would reset the connection, and the answer being sent would be lost.
            self._excess_bytes += len(data)
            if self._excess_bytes > MAX_EXCESS_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if end and len(line) <= MAX_LINE_BYTES:
            self._start_call(line)
        elif len(line) > MAX_LINE_BYTES:
            self._send_answer(f"NO more than {MAX_LINE_BYTES} bytes without a whole call")

    def eof_received(self) -> bool:
        """Reject an incomplete line; return whether the transport stays open for the answer."""
        if not self.has_call:
            # ``maint-on s-1`` may be a truncated ``maint-on s-12``.
            self._send_answer("NO the line has no end")
        self._eof_received = True
        return not self._answered  # the answer may be still to be sent

    def _start_call(self, line: bytes) -> None:
        self.has_call = True
        self._task = asyncio.get_running_loop().create_task(self._execute(line))

    async def _execute(self, line: bytes) -> None:
        self._send_answer(await self._server.reply(line))

    def _send_answer(self, answer: str) -> None:
        self.has_call, self._answered, self._line = True, True, b""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer.encode("ascii", "replace") + b"\n")
            if self._eof_received:
                self._transport.close()
            else:
                self._transport.write_eof()
                self._abort_after(HANG_UP_TIMEOUT_S)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Stop the timer and remove the connection from the server."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)
