"""Finding brokers that have gone silent while requests are out there. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from cherrycove.tier.dataplane.admission.health import silence_limit
from cherrycove.tier.dataplane.admission.interface import Ticket
from cherrycove.tier.dataplane.admission.roster import Roster


def stood_still(roster: Roster, now: float) -> None:
    """This process itself did nothing for a while: silence until now proves nothing."""
    for state in roster.states.values():
        state.health.heard_at = now


def gone_silent(roster: Roster, now: float) -> Iterator[Ticket]:
    """Tickets at brokers that say nothing for longer than usual; those brokers rest from now on."""
    for state in roster.states.values():
        if not state.out:
            continue
        since = max(state.health.heard_at, min(state.out.values()))
        limit = silence_limit(roster.pace(state.broker.service).slow_s(), len(state.out))
        if now - since > limit:
            state.health.failed(now)
            state.health.heard_at = now  # so long again until the next failure
            yield from state.out
