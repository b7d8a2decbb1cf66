"""What happened to each process and each request in a run, and which rules that broke."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from typing import Any

import attrs

READ_SLACK_S = 0.2  # a request that ends so soon after its last byte may not have been read
TROUBLE_SPAN_S = 3.0  # a fault excuses what ends within this time after it
DEADLINE_MARGIN_S = 0.5
STALL_INTERVAL_S = 0.02


@attrs.frozen(kw_only=True)
class Request:
    """One request of a live client, over. Times are monotonic seconds."""

    request_id: str
    kind: str
    proxy: str
    sent_at: float
    ended_at: float
    status: int  # 0: no head came
    is_complete: bool
    detail: str = ""


@attrs.define
class Ledger:
    """Collects facts while a run goes on; ``violations`` are what must not be."""

    violations: list[str] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    _faults: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))  # by process name
    _stalls: list[tuple[float, float]] = attrs.field(factory=list)  # begin and end
    _watched_at: float = attrs.field(factory=time.monotonic)
    _began_at: float = attrs.field(factory=time.monotonic)

    def note_fault(self, process: str) -> None:
        """``process`` was killed, frozen or thawed just now."""
        self._faults[process].append(time.monotonic())

    def violate(self, detail: str) -> None:
        """Record a broken rule."""
        self.violations.append(f"{time.monotonic() - self._began_at:.2f} s: {detail}")

    def require(self, *, holds: bool, detail: str) -> None:
        """Record a broken rule unless it ``holds``."""
        if not holds:
            self.violate(detail)

    async def watch_stalls(self) -> None:
        """Note when this process itself stood still: what it measures then says nothing of the tier."""
        while True:
            self._watched_at = time.monotonic()
            await asyncio.sleep(STALL_INTERVAL_S)
            self._note_stall()

    def _note_stall(self) -> None:
        """Note the time since the watch last ran, if that is a stall."""
        now = time.monotonic()
        if now - self._watched_at > 2 * STALL_INTERVAL_S:
            self._stalls.append((self._watched_at, now))
            self.counts["own stalls, ms"] += int((now - self._watched_at) * 1000)
            self._watched_at = now

    def _stalled_s(self, request: Request) -> float:
        self._note_stall()  # one that is just over may not have been seen by the watch yet
        overlaps = (min(end, request.ended_at) - max(begin, request.sent_at) for begin, end in self._stalls)
        return sum(max(0.0, overlap) for overlap in overlaps)

    def request_over(self, request: Request, *, deadline_s: float, was_run: bool) -> None:
        """Judge a request that has ended.

        An answer that was cut off is excused by a fault of the proxy, by the deadline, and where the request
        was certainly not read: it never reached a broker and ended within ``READ_SLACK_S``.
        """
        took_s = request.ended_at - request.sent_at
        self.counts[f"{request.kind} {self._outcome(request)}"] += 1
        if request.is_complete:
            return
        is_late = took_s > deadline_s - DEADLINE_MARGIN_S
        is_unread = not was_run and took_s - self._stalled_s(request) <= READ_SLACK_S
        if is_late or is_unread or self._has_fault(request):
            self.counts[f"{request.kind} cut, excused"] += 1
            return
        self.violate(
            f"{request.kind} {request.request_id} at {request.proxy}: sent "
            f"{request.sent_at - self._began_at:.2f} s, cut after {took_s:.2f} s, "
            f"status {request.status}, run: {was_run}; {request.detail}"
        )

    def _has_fault(self, request: Request) -> bool:
        first = request.sent_at - TROUBLE_SPAN_S
        return any(first <= at <= request.ended_at for at in self._faults[request.proxy])

    @staticmethod
    def _outcome(request: Request) -> str:
        if not request.is_complete:
            return "cut"
        return "served" if request.status == 200 else f"answered {request.status}"

    def summary(self) -> dict[str, Any]:
        """Counts by name, for a report."""
        return dict(sorted(self.counts.items()))
