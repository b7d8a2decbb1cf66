"""Finds where the parts of HTTP/1.1 requests end (RFC 9112), so that each is parsed only once it is whole.

Pure: no sockets and no clock. A parser still checks every byte; these machines only decide how far it sees.
"""

from __future__ import annotations

import re
from enum import Enum

USUAL_HEAD_END = b"\r\n\r\n"
HEAD_END = re.compile(rb"\n\r?\n")
MAX_TERMINATOR_BYTES = 3  # of a head's last line end and the empty line, less one byte
REQUEST_LINE_FRAMING_BYTES = len("  HTTP/1.1\r\n\r\n")  # of a head, besides method, target and fields
MAX_SIZE_DIGITS = 16
_SIZE_LINE = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,16})[ \t\r]*(;|$)")
_KEPT_SIZE_LINE_BYTES = MAX_SIZE_DIGITS + 4  # more of a size line, such as its extensions, is not kept


class HeadScanner:
    """Finds the end of a head in a buffer that grows at its end."""

    def __init__(self) -> None:
        self._scanned_bytes = 0

    def end_of(self, buffer: bytearray) -> int | None:
        """Return how many bytes the head at the start of ``buffer`` has; None while it is incomplete."""
        start = max(self._scanned_bytes - MAX_TERMINATOR_BYTES, 0)
        usual_end = buffer.find(USUAL_HEAD_END, start)
        if usual_end >= 0:
            self._scanned_bytes = 0
            return usual_end + len(USUAL_HEAD_END)
        found = HEAD_END.search(buffer, start)
        if found is None:
            self._scanned_bytes = len(buffer)
            return None
        self._scanned_bytes = 0
        return found.end()

    def reset(self) -> None:
        """Start with another head."""
        self._scanned_bytes = 0


def counted_head_bytes(head_bytes: int) -> int:
    """Return the bytes of a head that count against ``maxHeaderBytes``: method, target and fields."""
    return max(head_bytes - REQUEST_LINE_FRAMING_BYTES, 0)


def leading_line_ends(buffer: bytearray) -> int:
    """Return the number of bytes in empty lines before a request line, to be ignored (RFC 9112, 2.2)."""
    if not buffer or buffer[0] not in b"\r\n":
        return 0
    return len(buffer) - len(buffer.lstrip(b"\r\n"))


class ChunkedState(Enum):
    """Where a ``ChunkedScanner`` is in a body."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    TRAILERS = "trailers"
    COMPLETE = "complete"
    MALFORMED = "malformed"


class ChunkedScanner:
    """Finds the end of a body in chunks (RFC 9112, 7.1).

    States: ``ChunkedState``. Chunks end with the line of the last one; after it, ``skip_trailers`` counts the
    trailer section without keeping it.
    """

    def __init__(self) -> None:
        self.state = ChunkedState.SIZE
        self.data_bytes = 0  # of the body, without framing
        self.trailer_bytes = 0
        self.latest_chunk_bytes = 0  # size of the chunk that began last
        self._size_line = b""
        self._remaining = 0  # of the current chunk's data, or of the line end behind it
        self._is_line_empty = True  # of the current trailer line so far

    def scan_chunks(self, data: bytes) -> int:
        """Advance over ``data``; return how many of its bytes belong to chunks."""
        position = 0
        while position < len(data):
            if self.state is ChunkedState.SIZE:
                position = self._scan_size_line(data, position)
            elif self.state in (ChunkedState.DATA, ChunkedState.DATA_END):
                position = self._scan_data(data, position)
            else:
                break
        return position

    def _scan_size_line(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position)
        line_end = len(data) if end < 0 else end
        free = _KEPT_SIZE_LINE_BYTES - len(self._size_line)
        self._size_line += data[position : min(line_end, position + free)]
        if end < 0:
            return len(data)
        size = _SIZE_LINE.match(self._size_line)
        self._size_line = b""
        if size is None:
            self.state = ChunkedState.MALFORMED
            return end + 1
        self._remaining = int(size.group(1), 16)
        self.latest_chunk_bytes = self._remaining
        self.data_bytes += self._remaining
        self.state = ChunkedState.DATA if self._remaining else ChunkedState.TRAILERS
        return end + 1

    def _scan_data(self, data: bytes, position: int) -> int:
        taken = min(self._remaining, len(data) - position)
        self._remaining -= taken
        if not self._remaining:
            is_line_end_next = self.state is ChunkedState.DATA
            self.state = ChunkedState.DATA_END if is_line_end_next else ChunkedState.SIZE
            self._remaining = len(b"\r\n") if is_line_end_next else 0
        return position + taken

    def skip_trailers(self, data: bytes) -> int:
        """Advance over trailers in ``data``; return how many bytes belong to them or to their empty line."""
        position = 0
        while position < len(data) and self.state is ChunkedState.TRAILERS:
            end = data.find(b"\n", position)
            line_end = len(data) if end < 0 else end
            self._is_line_empty = self._is_line_empty and not data[position:line_end].strip(b"\r")
            position = line_end if end < 0 else end + 1
            if end >= 0 and self._is_line_empty:
                self.state = ChunkedState.COMPLETE
            elif end >= 0:
                self._is_line_empty = True
        self.trailer_bytes += position
        return position
