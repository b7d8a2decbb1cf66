"""Proposals whose outcome can be determined later, where it was uncertain at first."""

from __future__ import annotations

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.keeper_pb2 import Barrier, Command
from cherrycove.tier.replication.interface import Group


class BarrierProposer:
    """Proposes commands one at a time, and records whether the outcome of the last one is open.

    Each service has its own, and serializes its calls. ``resolve`` commits a barrier: an entry behind the
    open one in the same log. Once it is committed, the open one took effect or never will. The record is lost
    in a crash; another primary needs none, since it has applied everything committed before it decides.
    """

    def __init__(self, group: Group) -> None:
        """``group`` is the controllers' own."""
        self._group = group
        self._open = False

    async def resolve(self, timeout_s: float) -> Result[None, Failure]:
        """Wait until the outcome of every earlier proposal is known here.

        UNAVAILABLE: the barrier was not committed within ``timeout_s``; the outcome stays open.
        """
        if not self._open:
            return Ok(None)
        outcome = await self._group.propose(Command(barrier=Barrier()).SerializeToString(), timeout_s)
        if isinstance(outcome, Err):
            return Err(Failure(ErrorKind.UNAVAILABLE, "an earlier order is not settled yet"))
        self._open = False
        return Ok(None)

    async def propose(self, command: Command, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it; results and errors are those of ``Group.propose``."""
        self._open = True  # before the wait: if this call is cancelled, the outcome is open
        outcome = await self._group.propose(command.SerializeToString(), timeout_s)
        self._open = isinstance(outcome, Err) and not outcome.err_value.had_no_effect
        return outcome
