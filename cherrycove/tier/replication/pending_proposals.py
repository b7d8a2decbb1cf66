"""Proposals of this replica whose log entries are not committed yet."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure

Outcome = Result[object, Failure]


def _uncertain(detail: str) -> Outcome:
    return Err(Failure(ErrorKind.UNCERTAIN, detail))


@attrs.frozen
class _PendingProposal:
    epoch: int
    future: asyncio.Future[Outcome]


class PendingProposals:
    """Tracks the outcomes of proposals as futures by log index.

    An index alone does not identify a proposal: after a change of primary another entry may be committed
    there. Each proposal therefore stores the epoch in which it was appended.
    """

    def __init__(self) -> None:
        self._pending: dict[int, _PendingProposal] = {}

    def add(self, index: int, epoch: int) -> asyncio.Future[Outcome]:
        """Return a future for the outcome of the entry that was appended at ``index`` in ``epoch``.

        A proposal that was pending at ``index`` resolves as UNCERTAIN, since its entry was replaced.
        """
        previous = self._pending.pop(index, None)
        if previous is not None and not previous.future.done():
            previous.future.set_result(_uncertain("its place in the log was taken by another entry"))
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._pending[index] = _PendingProposal(epoch, future)
        return future

    async def wait(self, future: asyncio.Future[Outcome], timeout_s: float) -> Outcome:
        """Return the outcome of one proposal, or UNCERTAIN after ``timeout_s`` seconds."""
        done, _ = await asyncio.wait([future], timeout=timeout_s)
        if done:
            return future.result()
        return _uncertain("not committed in time")

    def resolve(self, index: int, epoch: int, outcome: object) -> None:
        """Resolve the proposal at ``index`` after the entry of ``epoch`` was applied with ``outcome``.

        A proposal of another epoch at this index resolves as UNCERTAIN.
        """
        proposal = self._pending.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.epoch == epoch:
            proposal.future.set_result(Ok(outcome))
        else:
            proposal.future.set_result(_uncertain("another entry was committed in its place"))

    def fail(self, index: int) -> None:
        """Resolve the proposal at ``index`` as UNCERTAIN: its entry is committed, but ``apply`` raised."""
        proposal = self._pending.pop(index, None)
        if proposal is not None and not proposal.future.done():
            proposal.future.set_result(_uncertain("committed, but it could not be applied"))

    async def wait_for_all(self, timeout_s: float) -> None:
        """Wait until all currently pending proposals are resolved, for at most ``timeout_s`` seconds."""
        futures = [proposal.future for proposal in self._pending.values()]
        if futures:
            await asyncio.wait(futures, timeout=timeout_s)

    def abandon_all(self) -> None:
        """Resolve all proposals as UNCERTAIN, because the replica stops before their outcome is known."""
        for proposal in self._pending.values():
            if not proposal.future.done():
                proposal.future.set_result(_uncertain("the replica stopped"))
        self._pending.clear()
