"""Memory for large replies to internal calls, reserved where a client of the process waits for them.

The reservation belongs to the request that is being answered, so it is passed by context, not by each call.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

ReserveMemory = Callable[[int], Awaitable[None]]

REPLY_COPIES = 4  # in memory: as received or stored, as a message, encoded again, and on its way out
SMALL_REPLY_BYTES = 32 * 1024  # up to this size a reply is not accounted

_received_reply: ContextVar[ReserveMemory | None] = ContextVar("received_reply", default=None)
_sent_reply: ContextVar[ReserveMemory | None] = ContextVar("sent_reply", default=None)


@contextmanager
def reserving_received_replies(reserve: ReserveMemory) -> Iterator[None]:
    """Within the block, large replies to this task's calls are read once ``reserve`` has returned."""
    token = _received_reply.set(reserve)
    try:
        yield
    finally:
        _received_reply.reset(token)


@contextmanager
def reserving_sent_replies(reserve: ReserveMemory) -> Iterator[None]:
    """Within the block, handlers build large replies once ``reserve`` has returned."""
    token = _sent_reply.set(reserve)
    try:
        yield
    finally:
        _sent_reply.reset(token)


async def reserve_received_reply(size: int) -> None:
    """Wait until the memory for receiving a reply of ``size`` bytes is reserved."""
    await _reserve(_received_reply.get(), size)


async def reserve_sent_reply(size: int) -> None:
    """Wait until the memory for building a reply of ``size`` bytes is reserved."""
    await _reserve(_sent_reply.get(), size)


async def _reserve(reserve: ReserveMemory | None, size: int) -> None:
    if reserve is not None and size > SMALL_REPLY_BYTES:
        await reserve(REPLY_COPIES * size)
