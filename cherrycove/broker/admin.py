"""The operators' calls: one line a connection, on an address of their own.

Nothing here waits for a client or a node, one caller cannot keep out another, and a line that did not arrive
completely is not acted on.
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
MAX_CONNECTIONS = 8  # connections at once
CALL_TIMEOUT_S = 5.0  # s for the whole line
MAX_EXCESS_BYTES = 64 * 1024  # bytes behind a call that are read and dropped
HANG_UP_TIMEOUT_S = 1.0  # s that a caller has to take its answer and hang up
PLAIN_COMMANDS, NODE_COMMANDS, QUERY_COMMANDS = ("status", "stats"), ("maint-on", "maint-off"), ("why",)
NODE_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
VERDICT_NAMES = {Verdict.SERVED: "passed", Verdict.REFUSED: "dropped", Verdict.FAILED: "bad_gateway"}


class InvalidCallError(ValueError):
    """A line that is no call; the text says why."""


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's call."""

    command: str
    node: str = ""  # id, of a command on a node
    arguments: tuple[str, ...] = ()  # of a query


def parse_call(line: bytes) -> Call:
    """Parse one line without its end; InvalidCallError if it is no call."""
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
    """Return the statistics, a line each, then those of ``parts`` that are enabled, and the end line."""
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
    """Return the answer NO with the refusal, or YES with what is done."""
    return f"YES {done}" if refusal is None else f"NO {refusal}"


class AdminServer:
    """Serves the calls; the broker's process owns it.

    ``answer`` returns a call's answer, in complete lines without the last line's end. If it fails, the caller
    receives NO and the log the fault.
    """

    def __init__(self, answer: Callable[[Call], Awaitable[str]]) -> None:
        self._answer = answer
        self._connections: dict[_Connection, None] = {}  # in the order of their arrival
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Serve calls at this address; return the port."""
        listener = socket.create_server((host, port))
        # The loop accepts as many at a time as the backlog given here; many more calls may wait.
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
        for caller in list(self._connections):
            caller.end()

    def add(self, caller: _Connection) -> None:
        """Add a connection; beyond the limit the oldest without a call is aborted, else the oldest."""
        self._connections[caller] = None
        if len(self._connections) > MAX_CONNECTIONS:
            # Callers that keep their connections must not use up the descriptors of the others.
            others = list(self._connections)[:-1]
            next((each for each in others if not each.asked), others[0]).end()

    def remove(self, caller: _Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(caller, None)

    async def reply(self, line: bytes) -> str:
        """Return the answer to a line, also to one that is no call or whose call failed."""
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return f"NO {error}"
        try:
            return await self._answer(call)
        except Exception:  # noqa: BLE001  # the top of a call: logged, and the broker serves on
            log.exception("call.failed", call=call.command)
            return "NO the broker could not carry it out; its log says why"


class _Connection(asyncio.Protocol):
    """One operator's connection: a line, its answer, the end.

    ``asked`` says whether a call has arrived.
    """

    def __init__(self, server: AdminServer) -> None:
        self._server, self._line, self.asked = server, b"", False
        self._answered, self._hung_up, self._excess_bytes = False, False, 0
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._work: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the call, for ``CALL_TIMEOUT_S`` at most."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._abort_after(CALL_TIMEOUT_S)
        self._server.add(self)

    def _abort_after(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay, self.end)

    def data_received(self, data: bytes) -> None:
        """Collect the line and start its call; drop what follows."""
        if self.asked:
            # Unread bytes would reset the connection, and the answer in transfer would be lost.
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
        """Reject an incomplete line; return whether the transport stays open for an answer."""
        if not self.asked:
            # ``maint-on s-1`` may be the first half of ``maint-on s-12``.
            self._send_answer("NO the line has no end")
        self._hung_up = True
        return not self._answered  # the answer may still be due

    def _start_call(self, line: bytes) -> None:
        self.asked = True
        self._work = asyncio.get_running_loop().create_task(self._carry_out(line))

    async def _carry_out(self, line: bytes) -> None:
        self._send_answer(await self._server.reply(line))

    def _send_answer(self, answer: str) -> None:
        self.asked, self._answered, self._line = True, True, b""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer.encode("ascii", "replace") + b"\n")
            if self._hung_up:
                self._transport.close()
            else:
                self._transport.write_eof()
                self._abort_after(HANG_UP_TIMEOUT_S)

    def end(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Remove the connection from its server."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)
