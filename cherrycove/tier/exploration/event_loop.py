"""An event loop without sockets or a clock: it runs what is ready, and time passes on demand only."""

from __future__ import annotations

import asyncio
from typing import Any


class _NoSelector:
    """In place of the selector: there is nothing to wait for, so the loop ends when nothing is ready."""

    def __init__(self, loop: asyncio.BaseEventLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None or timeout > 0:
            self._loop.stop()
        return []


class ManualLoop(asyncio.BaseEventLoop):
    """Runs coroutines up to the point where all of them wait."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _NoSelector(self)
        self._now = 0.0

    def time(self) -> float:
        """Return the time in seconds."""
        return self._now

    def run_until_idle(self) -> None:
        """Run until nothing is ready."""
        self.run_forever()

    def pass_time(self, seconds: float) -> None:
        """Let ``seconds`` pass, and run what is due then."""
        self._now += seconds
        self.run_until_idle()

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no sockets."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread schedules callbacks."""
