"""Detects pending input and disconnects on connections whose reading is paused, by polling the kernel.

This module decides when to poll. It must never read, write or close a connection.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

POLL_INTERVAL_S = 0.05  # a disconnect must be noticed within 0.3 s
_CLOSED_EVENTS = select.POLLHUP | select.POLLERR
_CLOSED_BY_PEER_EVENTS = getattr(select, "POLLRDHUP", 0) | _CLOSED_EVENTS


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether data, end of stream or an error is pending on the connection."""
    return _has_event(transport, select.POLLIN)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed the connection, even if unread data precedes the end of stream."""
    return _has_event(transport, _CLOSED_BY_PEER_EVENTS)


def _has_event(transport: asyncio.BaseTransport, events: int) -> bool:
    """Return whether one of the events, a hang-up or an error is pending; False without an open socket."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(connection.fileno(), events)
    return any(found & (events | _CLOSED_EVENTS) for _, found in poller.poll(0))


class DisconnectWatcher:
    """Calls ``on_disconnect`` when the peer closes a connection whose reading is paused.

    An event loop notices the end of a connection only by reading. Without the watcher, the disconnect of a
    client that sent more than is buffered goes unnoticed, and its request is still forwarded later. The
    connection's protocol owns the watcher; polling stops once reading resumes or the transport closes.
    """

    def __init__(self, transport: asyncio.Transport, on_disconnect: Callable[[], None]) -> None:
        """Create a watcher; polling starts with ``on_reading_paused``."""
        self._transport = transport
        self._on_disconnect = on_disconnect
        self._timer: asyncio.TimerHandle | None = None

    def on_reading_paused(self) -> None:
        """Start polling, unless the timer is already running."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        if self._transport.is_closing() or self._transport.is_reading():
            return
        if is_closed_by_peer(self._transport):
            self._on_disconnect()
        else:
            self.on_reading_paused()
