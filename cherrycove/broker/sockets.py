"""State of a connection that nobody reads at the moment, as the kernel knows it.

It owns the polling and when that is done. It must never read, write or close a connection.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

POLL_INTERVAL_S = 0.05  # clients may have disconnected for up to 0.3 s before that is noticed
_CLOSED_EVENTS = select.POLLHUP | select.POLLERR
_CLOSED_BY_PEER_EVENTS = getattr(select, "POLLRDHUP", 0) | _CLOSED_EVENTS


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel has bytes, an end or an error that nobody has read."""
    return _has_event(transport, select.POLLIN)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed the connection, even if unread bytes precede the end."""
    return _has_event(transport, _CLOSED_BY_PEER_EVENTS)


def _has_event(transport: asyncio.BaseTransport, events: int) -> bool:
    """Whether one of the events, a hang-up or an error is pending; False without an open socket."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(connection.fileno(), events)
    return any(found & (events | _CLOSED_EVENTS) for _, found in poller.poll(0))


class DisconnectWatcher:
    """Calls back once the peer has closed a connection whose reading is paused.

    An event loop learns of an end by reading alone. Without the watcher a client that sends more than is
    buffered and then disconnects goes unnoticed, and its request is forwarded however much later. The
    connection's protocol owns the watcher; it ends by itself once reading resumes or the transport closes.
    """

    def __init__(self, transport: asyncio.Transport, on_disconnect: Callable[[], None]) -> None:
        """Nothing is polled before ``on_reading_paused``."""
        self._transport = transport
        self._on_disconnect = on_disconnect
        self._timer: asyncio.TimerHandle | None = None

    def on_reading_paused(self) -> None:
        """Poll from now on; a timer that already runs is kept, however often reading is paused."""
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
