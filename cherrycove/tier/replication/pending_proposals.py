"""Proposals of this replica that wait for their entry to be committed."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure

Outcome = Result[object, Failure]


def _uncertain(detail: str) -> Outcome:
    return Err(Failure(ErrorKind.UNCERTAIN, detail))


@attrs.frozen
class _Waiting:
    epoch: int
    future: asyncio.Future[Outcome]


class PendingProposals:
    """Futures by log index."""

    def __init__(self) -> None:
        self._waiting: dict[int, _Waiting] = {}

    def add(self, index: int, epoch: int) -> asyncio.Future[Outcome]:
        """Wait for the entry that was appended at ``index`` in ``epoch``."""
        previous = self._waiting.pop(index, None)
        if previous is not None and not previous.future.done():
            previous.future.set_result(_uncertain("its place in the log was taken by another entry"))
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiting[index] = _Waiting(epoch, future)
        return future

    async def outcome(self, future: asyncio.Future[Outcome], timeout_s: float) -> Outcome:
        """The outcome, or UNCERTAIN after ``timeout_s``."""
        done, _ = await asyncio.wait([future], timeout=timeout_s)
        if done:
            return future.result()
        return _uncertain("not committed in time")

    def committed(self, index: int, epoch: int, outcome: object) -> None:
        """The entry at ``index`` is that of ``epoch``; applying it gave ``outcome``."""
        waiting = self._waiting.pop(index, None)
        if waiting is None or waiting.future.done():
            return
        if waiting.epoch == epoch:
            waiting.future.set_result(Ok(outcome))
        else:
            waiting.future.set_result(_uncertain("another entry was committed in its place"))

    def failed(self, index: int) -> None:
        """The entry at ``index`` was committed, but applying it raised."""
        waiting = self._waiting.pop(index, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(_uncertain("committed, but it could not be applied"))

    async def settled(self, timeout_s: float) -> None:
        """Wait until nothing waits any more, but not longer than ``timeout_s``."""
        futures = [waiting.future for waiting in self._waiting.values()]
        if futures:
            await asyncio.wait(futures, timeout=timeout_s)

    def give_up(self) -> None:
        """This replica ends: nothing more will be known."""
        for waiting in self._waiting.values():
            if not waiting.future.done():
                waiting.future.set_result(_uncertain("the replica stopped"))
        self._waiting.clear()
