"""Counters of a broker, and what is passed on for operators: figures, and a record of each request."""

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
    """A request that has ended, or is in flight, as a recorder gets it. Times are on the loop's clock."""

    arrived_at: float
    ended_at: float
    verdict: Verdict | None  # None: its client disconnected, or it is in flight
    local_code: LocalCode = LocalCode.NOTHING
    why: api.Reason | None = None
    request: Request | None = None  # None: a server answered it by itself; the fields below identify it
    attempts: list[Attempt] = field(default_factory=list)
    original_id: str = ""  # the id of the request that the client retries
    candidates: int = 0
    id: str = ""
    volume: str = ""
    front: str = "http"
    cls: int | None = None


class Recorder(Protocol):
    """Gets every request once, when it has ended."""

    def match_retry(self, request: Request, now: float) -> tuple[str, int]:
        """Return the id of the request that this marked retry repeats, and how many candidates there were."""

    def record(self, ended: RequestSummary) -> None:
        """Record a request that has ended."""


@dataclass(frozen=True, slots=True)
class Metrics:
    """Metrics of a broker for its operators."""

    answers: Mapping[str, Mapping[Verdict, int]]  # by class, since the start
    attempts: int  # attempts written completely
    open_requests: int  # requests
    listed_nodes: int  # nodes in the list
    unused_nodes: int  # of these, nodes that get no requests now


class Counters:
    """What the core counts from the start of the process on. The core owns it."""

    def __init__(self, settings: api.Settings) -> None:
        self.counts: Counter[str] = Counter()  # requests taken, and how they ended
        self.endings: Counter[Ending] = Counter()  # of attempts
        self.answers = {cls.name: dict.fromkeys(Verdict, 0) for cls in settings.classes}
        self.attempts_written = 0
        self._classes = settings.classes

    def count_answer(self, cls: int, verdict: Verdict) -> None:
        """Count a final answer to a request of the class with this index."""
        self.answers[self._classes[cls].name][verdict] += 1
