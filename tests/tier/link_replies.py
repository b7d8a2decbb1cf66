"""Faults that duplicate, delay or swap replies on a link, as a faulty peer does.

Each fault applies to the replies of one connection, which are separated by their Content-Length. A connection
is forwarded unmodified from the first reply without that header.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable

import attrs
from links import Transform, unmodified

_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)\r\n", re.IGNORECASE)
_HEAD_END = b"\r\n\r\n"


@attrs.define
class ReplyRewriter:
    """Splits the data of one connection into complete replies and applies ``fault`` to each of them."""

    fault: Callable[[bytes, bytes], list[bytes]]  # maps a reply and the previous one to those to forward
    modified: int = 0
    _buffer: bytes = b""
    _previous: bytes = b""
    _framed: bool = True

    def __call__(self, chunk: bytes) -> bytes:
        if not self._framed:
            return chunk
        self._buffer += chunk
        forwarded = []
        while (reply := self._next_reply()) is not None:
            forwarded += self.fault(reply, self._previous)
            self.modified += forwarded[-1:] != [reply] or len(forwarded) > 1
            self._previous = reply
        if not self._framed:
            forwarded.append(self._buffer)
        return b"".join(forwarded)

    def _next_reply(self) -> bytes | None:
        """Remove the next complete reply from the buffer and return it; None if there is none."""
        head, end, _ = self._buffer.partition(_HEAD_END)
        if not end:
            return None
        length = _LENGTH.search(head + end)
        if length is None:
            self._framed = False
            return None
        size = len(head) + len(end) + int(length.group(1))
        if len(self._buffer) < size:
            return None
        reply, self._buffer = self._buffer[:size], self._buffer[size:]
        return reply


def duplicate(reply: bytes, previous: bytes) -> list[bytes]:
    """Forward each reply twice in a row."""
    return [reply, reply]


def repeat_before_next(reply: bytes, previous: bytes) -> list[bytes]:
    """Repeat each reply after the next call was sent, before the reply to that call."""
    return [previous, reply] if previous else [reply]


def delay_by_one(reply: bytes, previous: bytes) -> list[bytes]:
    """Give the second call and all later ones the reply to the previous call."""
    return [previous or reply]


@attrs.define
class FaultyReplies:
    """Assigns the next fault to each new connection that ``is_faulty`` selects; counts modified replies."""

    is_faulty: Callable[[str, str], bool]  # called with the opener and the target of a connection
    active: bool = True
    _rewriters: list[ReplyRewriter] = attrs.field(factory=list)
    _faults: itertools.cycle[Callable[[bytes, bytes], list[bytes]]] = attrs.field(
        factory=lambda: itertools.cycle((duplicate, repeat_before_next, delay_by_one))
    )

    @property
    def modified(self) -> int:
        return sum(rewriter.modified for rewriter in self._rewriters)

    def __call__(self, opener: str, target: str) -> Transform:
        if not (self.active and self.is_faulty(opener, target)):
            return unmodified
        self._rewriters.append(ReplyRewriter(next(self._faults)))
        return self._rewriters[-1]
