"""Wakes readers that wait for the next result of a job."""

from __future__ import annotations

import asyncio


class ResultWaiters:
    """One event for each job that somebody waits for."""

    def __init__(self) -> None:
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Return at the next signal of ``job_id``, or after ``timeout_s`` seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(job_id, set())
        waiters.add(future)
        try:
            await asyncio.wait((future,), timeout=timeout_s)
        finally:
            waiters.discard(future)
            if not waiters and self._waiters.get(job_id) is waiters:
                del self._waiters[job_id]

    def signal(self, job_id: str) -> None:
        """Wake the readers of one job."""
        for future in self._waiters.get(job_id, ()):
            if not future.done():
                future.set_result(None)

    def signal_all(self) -> None:
        """Wake all readers."""
        for job_id in list(self._waiters):
            self.signal(job_id)
