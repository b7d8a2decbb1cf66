"""Counters of the core, the metrics reported to operators, and the interface for recording requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cherrycove.broker.core.endings import Ending
from cherrycove.broker.core.requests import Attempt, Request, Verdict
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling import interface as api


@dataclass(slots=True, eq=False)
class RequestSummary:
    """Summary of a request for a ``Recorder`` or a query. Times are on the event loop's clock."""

    arrived_at: float
    ended_at: float  # for a request in flight: the time of the summary
    verdict: Verdict | None  # None: the client disconnected, or the request is in flight
    local_code: LocalCode = LocalCode.NOTHING
    why: api.Reason | None = None
    request: Request | None = None  # None: rejected by a server; id, volume, front and cls identify it
    attempts: list[Attempt] = field(default_factory=list)
    original_id: str = ""  # id of the request that this one retries; "": none is known
    candidates: int = 0  # number of earlier requests that this one could retry
    id: str = ""
    volume: str = ""
    front: str = "http"  # server that received it: "http" or "nbd"
    cls: int | None = None


class Recorder(Protocol):
    """Receives a summary of every request, once, when the request has ended."""

    def match_retry(self, request: Request, now: float) -> tuple[str, int]:
        """Return the id of the request that this marked retry repeats and the number of candidates."""

    def record(self, summary: RequestSummary) -> None:
        """Record a request that has ended."""


@dataclass(frozen=True, slots=True)
class Metrics:
    """Metrics of the core, for operators."""

    answers: Mapping[str, Mapping[Verdict, int]]  # final answers by class name and verdict, since the start
    attempts: int  # that were written completely, since the start
    open_requests: int
    listed_nodes: int  # nodes in the node list
    unused_nodes: int  # listed nodes that currently get no requests


class Counters:
    """Counts since the start of the process. Owned by the core."""

    def __init__(self, settings: api.Settings) -> None:
        self.counts: Counter[str] = Counter()  # requests accepted ("taken"), and how they ended
        self.endings: Counter[Ending] = Counter()  # how attempts ended
        self.answers = {cls.name: dict.fromkeys(Verdict, 0) for cls in settings.classes}
        self.attempts_written = 0
        self._classes = settings.classes

    def count_answer(self, cls: int, verdict: Verdict) -> None:
        """Count a final answer to a request of the class with index ``cls``."""
        self.answers[self._classes[cls].name][verdict] += 1
