"""Events of a stream (``text/event-stream``), cut from the bytes of an answer. Pure."""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE = re.compile(rb"\r\n|\n|\r")
LONGEST_EVENT_END = 4  # bytes
MOST_EVENT_BYTES = 4 * 1024 * 1024


class EventTooLongError(ValueError):
    """An event has no end within the bound on its size."""


@attrs.frozen
class StreamEvent:
    """One whole event: its bytes with the empty line, its id if it has one, and its data."""

    raw: bytes
    id: int | None
    data: bytes | None  # its data lines joined by line feeds; None: it has none


class EventStreamParser:
    """Collects bytes and gives back each event once it is whole."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that end within ``data``."""
        buffer, start, events = self._pending + data, 0, []
        for end in _END.finditer(buffer):
            events.append(_event(buffer[start : end.end()]))
            start = end.end()
        self._pending = buffer[start:]
        if len(self._pending) > MOST_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MOST_EVENT_BYTES} bytes")
        return events


def ends_with_event(tail: bytes) -> bool:
    """Whether a stream with these last bytes ends behind a whole event."""
    return tail.endswith((b"\n\n", b"\r\r", b"\r\n\r\n"))


def _event(raw: bytes) -> StreamEvent:
    identity: int | None = None
    data: list[bytes] = []
    for line in _LINE.split(raw):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            identity = int(value)
    return StreamEvent(raw, identity, b"\n".join(data) if data else None)
