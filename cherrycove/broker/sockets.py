"""What the kernel knows of a connection that nobody reads just now: an end, or bytes that wait.

It owns these looks and when they are taken. It must never read, write or close.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

POLL_INTERVAL_S = 0.05  # between two looks at a connection that is not read; a client may have left for 0.3 s
ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def _look(transport: asyncio.BaseTransport, at: int) -> bool:
    place = transport.get_extra_info("socket")
    if place is None or place.fileno() < 0:
        return False
    look = select.poll()
    look.register(place.fileno(), at)
    return any(found & (at | select.POLLHUP | select.POLLERR) for _, found in look.poll(0))


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Whether something has come that nobody has read: bytes, an end or a fault."""
    return _look(transport, select.POLLIN)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended the connection, be it behind bytes that nobody has read."""
    return _look(transport, ENDED)


class DisconnectWatcher:
    """Calls ``gone`` once the other side has ended a connection that is not read for a while.

    Guard: a loop learns of an end by reading alone. A client that sent more than is read ahead and left was
    not missed, and its request was sent on however much later.
    """

    def __init__(self, transport: asyncio.Transport, gone: Callable[[], None]) -> None:
        self._transport, self._gone = transport, gone
        self._timer: asyncio.TimerHandle | None = None

    def on_reading_paused(self) -> None:
        """The connection is not read any more. Guard: one timer, however often that changes."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._look)

    def _look(self) -> None:
        self._timer = None
        if self._transport.is_closing() or self._transport.is_reading():
            return
        if is_closed_by_peer(self._transport):
            self._gone()
        else:
            self.on_reading_paused()
