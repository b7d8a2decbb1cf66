"""A lock that is waited for until a deadline."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


@asynccontextmanager
async def exclusive_access(lock: asyncio.Lock, deadline: float) -> AsyncIterator[bool]:
    """Hold ``lock``; yields False where it was not free until ``deadline``, a time of the event loop."""
    try:
        async with asyncio.timeout_at(deadline):
            await lock.acquire()
    except TimeoutError:
        yield False
        return
    try:
        yield True
    finally:
        lock.release()
