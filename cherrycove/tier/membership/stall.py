"""Detects stalls of the local process, as Lifeguard's local health awareness does."""

from __future__ import annotations

from cherrycove.tier.membership.parameters import SwimParameters


class StallDetector:
    """Infers from the lateness of the timers whether the local process stalled.

    Owned by the ``SwimMachine``. After a stall, acks and refutations may lie unread in the socket, so no
    deadline that passed meanwhile counts against another member.
    """

    def __init__(self, parameters: SwimParameters) -> None:
        self._period_s = parameters.period_s
        self._limit_s = parameters.stall_periods * parameters.period_s
        self._has_stalled = False  # whether the previous timer showed a stall

    def delay_s(self, now: float, due_at: float) -> float:
        """Return by how many seconds to postpone all timers; 0 if there was no stall.

        The first of the timers was due at ``due_at``.

        Directly after a stall only a timer that is late by more than a whole period counts as another stall:
        a process that is merely slow would otherwise postpone its timers for ever.
        """
        lateness_s = now - due_at
        limit_s = self._period_s if self._has_stalled else self._limit_s
        if lateness_s > limit_s:
            self._has_stalled = True
            return lateness_s + self._limit_s
        if lateness_s >= 0.0:
            self._has_stalled = False
        return 0.0
