"""Runs the controller's background tasks, which repeat their steps until the controller stops."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress

ERROR_BACKOFF_S = 0.5  # pause after a step that raised an exception

Step = Callable[[], Awaitable[None]]

_log = logging.getLogger(__name__)


class PeriodicTasks:
    """Owns one task for each step, from ``start`` to ``stop``.

    A step contains its own pause. An unexpected exception in a step is logged, and the step is repeated.
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, steps: Mapping[str, Step]) -> None:
        """Start one task per entry of ``steps``; the keys name the tasks and appear in the log."""
        self._tasks = [asyncio.create_task(_repeat(name, step), name=name) for name, step in steps.items()]

    async def stop(self) -> None:
        """Cancel the tasks one after another, and wait until each has ended."""
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self._tasks = []


async def _repeat(name: str, step: Step) -> None:
    while True:
        try:
            await step()
        except Exception:  # noqa: BLE001 - top level of a task: logged, then repeated
            _log.exception("controller_step_failed", extra={"step": name})
            await asyncio.sleep(ERROR_BACKOFF_S)
