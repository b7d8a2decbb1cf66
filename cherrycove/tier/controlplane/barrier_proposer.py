"""What became of proposals whose outcome stayed open."""

from __future__ import annotations

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.keeper_pb2 import Barrier, Command
from cherrycove.tier.replication.interface import Group


class BarrierProposer:
    """Proposes commands one at a time, and knows whether the outcome of the last one is open.

    Before anything else is decided, a barrier is committed: an entry in the same log behind the open one, so
    that by then the open one took effect or never will."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._open = False

    async def resolve(self, timeout_s: float) -> Result[None, Failure]:
        """Ok once the outcome of every earlier proposal is known here."""
        if not self._open:
            return Ok(None)
        outcome = await self._group.propose(Command(barrier=Barrier()).SerializeToString(), timeout_s)
        if isinstance(outcome, Err):
            return Err(Failure(ErrorKind.UNAVAILABLE, "an earlier order is not settled yet"))
        self._open = False
        return Ok(None)

    async def propose(self, command: Command, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it."""
        self._open = True  # stays so when this call is cancelled
        outcome = await self._group.propose(command.SerializeToString(), timeout_s)
        self._open = isinstance(outcome, Err) and not outcome.err_value.is_certain
        return outcome
