"""Event loop with virtual time and no I/O: it runs ready callbacks, and time advances only on request."""

from __future__ import annotations

import asyncio
from typing import Any


class _NoSelector:
    """Replaces the I/O selector: stops the loop instead of waiting when no callback is ready."""

    def __init__(self, loop: asyncio.BaseEventLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None or timeout > 0:
            self._loop.stop()
        return []


class ManualLoop(asyncio.BaseEventLoop):
    """Runs coroutines until all of them are suspended; the caller advances its virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _NoSelector(self)
        self._now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def run_until_idle(self) -> None:
        """Run until no callback is ready."""
        self.run_forever()

    def pass_time(self, seconds: float) -> None:
        """Advance the time by ``seconds`` and run the callbacks that are due then."""
        self._now += seconds
        self.run_until_idle()

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no sockets."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread schedules callbacks."""
