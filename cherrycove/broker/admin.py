"""Operators' calls: one line a connection on an address of their own, and the figures in the words they read.

It owns the form of a call and of its answer, and the few descriptors that callers may hold. It must never
wait for a client or a node, never let one caller keep out another, and never act on a line that did not come
whole.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from cherrycove.broker.core import Figures, Verdict
from cherrycove.broker.event_log import Log

log = Log("cherrycove.admin")

MOST_LINE = 512  # bytes
MOST_CALLERS = 8  # connections at once
CALL_TIME = 5.0  # s for the whole line
MOST_BEYOND = 64 * 1024  # bytes behind a call that are read and dropped
LEAVE_TIME = 1.0  # s that a caller has to take its answer and hang up
BARE, WITH_ID, ASKING = ("status", "stats"), ("maint-on", "maint-off"), ("why",)
NODE_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
PASSED = {Verdict.SERVED: "passed", Verdict.REFUSED: "dropped", Verdict.FAILED: "bad_gateway"}


class CallError(ValueError):
    """A line that is no call; the message says why."""


@dataclass(frozen=True, slots=True)
class Call:
    word: str
    node: str = ""
    words: tuple[str, ...] = ()  # what is asked


def parse_call(line: bytes) -> Call:
    """One line without its end, or CallError."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise CallError("not a line of text") from None
    if not words:
        raise CallError("an empty line")
    word, *rest = words
    if word in BARE:
        if rest:
            raise CallError(f"{word} stands alone")
        return Call(word)
    if word in ASKING:
        return Call(word, words=tuple(rest))
    if word not in WITH_ID:
        raise CallError(f"no such call; there are {', '.join(BARE + WITH_ID + ASKING)}")
    if len(rest) != 1 or not NODE_ID.fullmatch(rest[0]):
        raise CallError(f"{word} takes one disk node's id")
    return Call(word, rest[0])


def report(figures: Figures, parts: Mapping[str, int] | None = None) -> str:
    """The figures, a line each, those of parts that are on behind them, and the line that ends them."""
    lines = [
        f"{word}.{cls}:{counts[verdict]}|c"
        for verdict, word in PASSED.items()
        for cls, counts in figures.answers.items()
    ]
    lines += [
        f"upstream_tries:{figures.tries}|c",
        f"in_progress:{figures.open}|g",
        f"known_disk_nodes:{figures.known}|g",
        f"skipped_disk_nodes:{figures.skipped}|g",
    ]
    lines += [f"{name}:{count}|c" for name, count in (parts or {}).items()]
    return "\n".join([f"broker.{line}" for line in lines] + ["END"])


def yes_or_no(refusal: str | None, done: str) -> str:
    return f"YES {done}" if refusal is None else f"NO {refusal}"


class Desk:
    """Takes the calls. ``answer`` gives a call's answer, in whole lines without the last line's end."""

    def __init__(self, answer: Callable[[Call], Awaitable[str]]) -> None:
        self._answer = answer
        self._callers: dict[_Caller, None] = {}  # by their coming
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        listener = socket.create_server((host, port))
        # Guard: the loop accepts as many at a time as it queues; calls that wait are many more.
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Caller(self), sock=listener, backlog=MOST_CALLERS
        )
        listener.listen(128)
        bound: int = listener.getsockname()[1]
        return bound

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.end()

    def came(self, caller: _Caller) -> None:
        self._callers[caller] = None
        if len(self._callers) > MOST_CALLERS:
            # Guard: callers who hold on to their connections must not use up the descriptors of the others.
            others = list(self._callers)[:-1]
            next((each for each in others if not each.asked), others[0]).end()

    def left(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    async def reply(self, line: bytes) -> str:
        try:
            call = parse_call(line)
        except CallError as error:
            return f"NO {error}"
        try:
            return await self._answer(call)
        except Exception:
            log.exception("call.failed", call=call.word)
            return "NO the broker could not carry it out; its log says why"


class _Caller(asyncio.Protocol):
    """One operator's connection: a line, its answer, the end."""

    def __init__(self, desk: Desk) -> None:
        self._desk, self._line, self.asked = desk, b"", False
        self._said, self._hung_up, self._beyond = False, False, 0
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._work: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._after(CALL_TIME)
        self._desk.came(self)

    def _after(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay, self.end)

    def data_received(self, data: bytes) -> None:
        if self.asked:
            # Guard: left unread, it would reset the connection and with it the answer on its way.
            self._beyond += len(data)
            if self._beyond > MOST_BEYOND and self._transport is not None:
                self._transport.pause_reading()
            return
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if end and len(line) <= MOST_LINE:
            self._take(line)
        elif len(line) > MOST_LINE:
            self._say(f"NO more than {MOST_LINE} bytes without a whole call")

    def eof_received(self) -> bool:
        if not self.asked:
            # Guard: maint-on s-1 may be the first half of maint-on s-12.
            self._say("NO the line has no end")
        self._hung_up = True
        return not self._said  # the answer may still be due

    def _take(self, line: bytes) -> None:
        self.asked = True
        self._work = asyncio.get_running_loop().create_task(self._carry_out(line))

    async def _carry_out(self, line: bytes) -> None:
        self._say(await self._desk.reply(line))

    def _say(self, answer: str) -> None:
        self.asked, self._said, self._line = True, True, b""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer.encode("ascii", "replace") + b"\n")
            if self._hung_up:
                self._transport.close()
            else:
                self._transport.write_eof()
                self._after(LEAVE_TIME)

    def end(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._desk.left(self)
