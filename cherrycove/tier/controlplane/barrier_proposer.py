"""Proposes commands to a replicated group and resolves uncertain outcomes with a barrier entry."""

from __future__ import annotations

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.keeper_pb2 import Barrier, Command
from cherrycove.tier.replication.interface import Group


class BarrierProposer:
    """Proposes commands one at a time and tracks whether the outcome of the last one is unknown.

    Each service has its own instance and serializes its calls. ``resolve`` commits a barrier, an entry that
    follows the uncertain one in the same log. Once the barrier is committed, the uncertain command has either
    taken effect or never will. The tracking is in memory only and lost in a crash. A new primary does not
    need it, because it applies everything committed before it decides.
    """

    def __init__(self, group: Group) -> None:
        """Propose to ``group``, the group of the controllers."""
        self._group = group
        self._outcome_unknown = False

    async def resolve(self, timeout_s: float) -> Result[None, Failure]:
        """Wait until this controller knows the outcome of every earlier proposal.

        Returns UNAVAILABLE if the barrier was not committed within ``timeout_s``; the outcome stays unknown.
        """
        if not self._outcome_unknown:
            return Ok(None)
        outcome = await self._group.propose(Command(barrier=Barrier()).SerializeToString(), timeout_s)
        if isinstance(outcome, Err):
            return Err(Failure(ErrorKind.UNAVAILABLE, "an earlier order is not settled yet"))
        self._outcome_unknown = False
        return Ok(None)

    async def propose(self, command: Command, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it; results and errors are those of ``Group.propose``."""
        self._outcome_unknown = True  # Set before the wait, since a cancelled call has an unknown outcome.
        outcome = await self._group.propose(command.SerializeToString(), timeout_s)
        self._outcome_unknown = isinstance(outcome, Err) and not outcome.err_value.had_no_effect
        return outcome
