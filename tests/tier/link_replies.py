"""Replies that a link gives twice, late or in place of others, as a faulty peer does.

Each of these alters the replies on one connection; they are told apart by their Content-Length. What has none
is passed on as it comes.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable

import attrs
from links import Alter, unaltered

_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)\r\n", re.IGNORECASE)
_HEAD_END = b"\r\n\r\n"


@attrs.define
class Replies:
    """Cuts what one connection brings into whole replies, and passes on what ``alter`` makes of each."""

    alter: Callable[[bytes, bytes], list[bytes]]  # of a reply and the one before it
    altered: int = 0
    _buffer: bytes = b""
    _previous: bytes = b""
    _framed: bool = True

    def __call__(self, piece: bytes) -> bytes:
        if not self._framed:
            return piece
        self._buffer += piece
        passed = []
        while (reply := self._whole_reply()) is not None:
            passed += self.alter(reply, self._previous)
            self.altered += passed[-1:] != [reply] or len(passed) > 1
            self._previous = reply
        if not self._framed:
            passed.append(self._buffer)
        return b"".join(passed)

    def _whole_reply(self) -> bytes | None:
        """Taken from the buffer; None while it has none."""
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


def twice(reply: bytes, previous: bytes) -> list[bytes]:
    """Each reply comes two times in a row."""
    return [reply, reply]


def again_later(reply: bytes, previous: bytes) -> list[bytes]:
    """Each reply comes once more after the next call was sent, before that one's reply."""
    return [previous, reply] if previous else [reply]


def one_behind(reply: bytes, previous: bytes) -> list[bytes]:
    """The second call and all further ones get the reply to the call before."""
    return [previous or reply]


@attrs.define
class FaultyReplies:
    """Gives each new connection of an opener the next fault, and counts what was altered."""

    openers: Callable[[str, str], bool]  # whether connections between these two are faulty
    active: bool = True
    _made: list[Replies] = attrs.field(factory=list)
    _faults: itertools.cycle[Callable[[bytes, bytes], list[bytes]]] = attrs.field(
        factory=lambda: itertools.cycle((twice, again_later, one_behind))
    )

    @property
    def altered(self) -> int:
        return sum(replies.altered for replies in self._made)

    def __call__(self, opener: str, target: str) -> Alter:
        if not (self.active and self.openers(opener, target)):
            return unaltered
        self._made.append(Replies(next(self._faults)))
        return self._made[-1]
