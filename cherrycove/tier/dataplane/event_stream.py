"""Incremental parser of ``text/event-stream`` (WHATWG HTML, 9.2 Server-sent events).

It keeps the raw bytes of each event, so that they can be forwarded unchanged. Performs no I/O.
"""

from __future__ import annotations

import re

import attrs

from cherrycove.tier.dataplane.errors import DataPlaneError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")
MAX_EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventTooLongError(DataPlaneError):
    """The broker sent an event that does not end within ``MAX_EVENT_BYTES``."""


@attrs.frozen
class StreamEvent:
    """One complete event: its raw bytes including the final empty line, its id, and its data."""

    raw: bytes
    id: int | None  # None if the event has no numeric id
    data: bytes | None  # the data lines joined by line feeds; None if there are none


class EventStreamParser:
    """Parses the body of one response; owned by the reader of that response."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """The bytes received of an event that has not ended."""
        return self._incomplete

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end within ``data``. Raises ``EventTooLongError``."""
        buffer = self._incomplete + data
        start = 0
        events = []
        for end in _EVENT_END.finditer(buffer):
            events.append(_parse_event(buffer[start : end.end()]))
            start = end.end()
        self._incomplete = buffer[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def ends_with_event(tail: bytes) -> bool:
    """Whether a stream with these last bytes ends with a complete event."""
    return tail.endswith((b"\n\n", b"\r\r", b"\r\n\r\n"))


def _parse_event(raw: bytes) -> StreamEvent:
    """Parse the fields of an event (9.2.6); ids other than unsigned numbers are ignored."""
    event_id: int | None = None
    data: list[bytes] = []
    for line in _LINE_END.split(raw):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            event_id = int(value)
    return StreamEvent(raw, event_id, b"\n".join(data) if data else None)
