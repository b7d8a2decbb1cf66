"""Records faults and requests of a run and checks them against the rules."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from typing import Any

import attrs

READ_SLACK_S = 0.2  # a request that ends this soon after it was sent may not have been read
FAULT_EXCUSE_S = 3.0  # a fault of a proxy excuses incomplete responses for requests sent this long after it
DEADLINE_MARGIN_S = 0.5
STALL_INTERVAL_S = 0.02


@attrs.frozen(kw_only=True)
class Request:
    """A finished request of a live client. Times are monotonic seconds."""

    request_id: str
    kind: str
    proxy: str
    sent_at: float
    ended_at: float
    status: int  # 0 if no response head arrived
    is_complete: bool
    detail: str = ""


@attrs.define
class Ledger:
    """Collects counts, faults and violations during a run."""

    violations: list[str] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    _faults: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))  # by process name
    _stalls: list[tuple[float, float]] = attrs.field(factory=list)  # start and end times
    _last_watch_at: float = attrs.field(factory=time.monotonic)
    _began_at: float = attrs.field(factory=time.monotonic)

    def record_fault(self, process: str) -> None:
        """Record that ``process`` was killed, stopped or restarted just now."""
        self._faults[process].append(time.monotonic())

    def record_violation(self, detail: str) -> None:
        """Record a violation with the time since the start of the run."""
        self.violations.append(f"{time.monotonic() - self._began_at:.2f} s: {detail}")

    def require(self, *, holds: bool, detail: str) -> None:
        """Record a violation unless ``holds``."""
        if not holds:
            self.record_violation(detail)

    async def watch_stalls(self) -> None:
        """Record stalls of this process; durations measured during a stall say nothing about the tier."""
        while True:
            self._last_watch_at = time.monotonic()
            await asyncio.sleep(STALL_INTERVAL_S)
            self._record_stall()

    def _record_stall(self) -> None:
        """Record the time since the last check as a stall if it is too long."""
        now = time.monotonic()
        if now - self._last_watch_at > 2 * STALL_INTERVAL_S:
            self._stalls.append((self._last_watch_at, now))
            self.counts["own stalls, ms"] += int((now - self._last_watch_at) * 1000)
            self._last_watch_at = now

    def _stalled_during_s(self, request: Request) -> float:
        self._record_stall()  # a stall that has just ended may not have been recorded yet
        overlaps = (min(end, request.ended_at) - max(begin, request.sent_at) for begin, end in self._stalls)
        return sum(max(0.0, overlap) for overlap in overlaps)

    def record_request(self, request: Request, *, deadline_s: float, was_run: bool) -> None:
        """Count a request that has ended and check that an incomplete response is excused.

        An incomplete response is excused by a fault of the proxy, by the deadline, or if the request may not
        have been read: it never reached a broker and ended within ``READ_SLACK_S``.
        """
        took_s = request.ended_at - request.sent_at
        self.counts[f"{request.kind} {self._result_name(request)}"] += 1
        if request.is_complete:
            return
        is_late = took_s > deadline_s - DEADLINE_MARGIN_S
        is_maybe_unread = not was_run and took_s - self._stalled_during_s(request) <= READ_SLACK_S
        if is_late or is_maybe_unread or self._has_fault(request):
            self.counts[f"{request.kind} cut, excused"] += 1
            return
        self.record_violation(
            f"{request.kind} {request.request_id} at {request.proxy}: sent "
            f"{request.sent_at - self._began_at:.2f} s, cut after {took_s:.2f} s, "
            f"status {request.status}, run: {was_run}; {request.detail}"
        )

    def _has_fault(self, request: Request) -> bool:
        first = request.sent_at - FAULT_EXCUSE_S
        return any(first <= at <= request.ended_at for at in self._faults[request.proxy])

    @staticmethod
    def _result_name(request: Request) -> str:
        if not request.is_complete:
            return "cut"
        return "served" if request.status == 200 else f"answered {request.status}"

    def summary(self) -> dict[str, Any]:
        """Return the counts by name, for the report."""
        return dict(sorted(self.counts.items()))
