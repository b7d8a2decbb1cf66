"""Acquires a lock with a deadline."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


@asynccontextmanager
async def exclusive_access(lock: asyncio.Lock, deadline: float) -> AsyncIterator[bool]:
    """Hold ``lock``; yields False if it was not acquired by ``deadline`` (time of the event loop, in s)."""
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
