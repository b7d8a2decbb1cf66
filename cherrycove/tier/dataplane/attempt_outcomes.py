"""Maps the reasons for which a broker did not execute a request to the outcomes reported to admission."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission import AttemptOutcome
from cherrycove.tier.dataplane.upstream import NotExecutedReason

_OUTCOMES = {
    NotExecutedReason.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    NotExecutedReason.REJECTED: AttemptOutcome.REJECTED,
    NotExecutedReason.OTHER_INSTANCE: AttemptOutcome.MISDIRECTED,
}


def not_executed_outcome(reason: NotExecutedReason, *, expects_version: bool) -> AttemptOutcome:
    """The outcome of the attempt; ``expects_version`` says whether the request has ``Expect-Version``.

    For such a request, status 421 may also mean that the broker is the expected instance but has loaded
    another version of the weights.
    """
    if reason is NotExecutedReason.OTHER_INSTANCE and expects_version:
        return AttemptOutcome.VERSION_MISMATCH
    return _OUTCOMES[reason]
