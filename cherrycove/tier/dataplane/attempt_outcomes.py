"""What admission learns from a request that its broker certainly did not run."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission import AttemptOutcome
from cherrycove.tier.dataplane.upstream import NotExecutedReason

_OUTCOMES = {
    NotExecutedReason.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    NotExecutedReason.REJECTED: AttemptOutcome.REJECTED,
    NotExecutedReason.OTHER_INSTANCE: AttemptOutcome.MISDIRECTED,
}


def not_executed_outcome(reason: NotExecutedReason, *, expects_version: bool) -> AttemptOutcome:
    """The outcome of the attempt; ``expects_version``: the request has ``Expect-Version``.

    To such a request 421 also means that the broker is the right one, but its weights have another version.
    """
    if reason is NotExecutedReason.OTHER_INSTANCE and expects_version:
        return AttemptOutcome.VERSION_MISMATCH
    return _OUTCOMES[reason]
