"""Runs a coroutine on an event loop with a virtual clock, which jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Value = TypeVar("Value")


class _JumpingSelector(selectors.SelectSelector):
    """Polls without blocking, and advances the clock by the time that it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop for coroutines without sockets; one that waits for anything but a timer never ends."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(coroutine: Coroutine[Any, Any, Value]) -> Value:
    """Run ``coroutine`` until it returns, in virtual time that starts at 0."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
