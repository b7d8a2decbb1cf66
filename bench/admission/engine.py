"""Model of a broker: slots, a FIFO queue, sequential prefill, shared decoding steps and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum

import attrs

from bench.admission.clock import Clock
from bench.admission.site import EngineModel
from cherrycove.tier.dataplane.headers import InstanceLoad
from cherrycove.tier.dataplane.prompt import Prompt

TOKENS_PER_MILLION = 1e6


class RunEnd(Enum):
    """How the execution of a request at a broker ended."""

    COMPLETE = "complete"
    REJECTED = "rejected"  # not executed, as the queue was full
    ABORTED = "aborted"  # the broker failed during execution


class EngineFault(Enum):
    """The present fault of a broker."""

    NONE = "none"
    REFUSING = "refusing"  # refuses connections and has aborted running requests
    UNRESPONSIVE = "unresponsive"  # does not respond, not even to connection attempts
    HANGING = "hanging"  # accepts requests and sends nothing
    FAILING = "failing"  # aborts requests at once


@attrs.define(eq=False)
class Run:
    """One execution of a request at a broker; its callbacks receive the events and the end."""

    prompt: Prompt
    events: int  # still to be sent
    on_event: Callable[[InstanceLoad], None]
    on_end: Callable[[RunEnd], None]
    is_over: bool = False


class EngineBroker:
    """Model of one broker.

    Prefill of uncached prompt tokens runs for one request at a time and delays the events of all running
    requests by its duration, which approximates chunked prefill between decoding steps.
    """

    def __init__(self, clock: Clock, model: EngineModel, slowdown: float) -> None:
        """Initialise an idle broker; ``slowdown`` multiplies all its processing times."""
        self.fault = EngineFault.NONE
        self.affected_share = 1.0  # share of the requests that a fault affects
        self.uncached_shared_tokens = 0  # tokens of shared segments that were not in the cache
        self.max_waiting = 0
        self._clock = clock
        self._model = model
        self._slowdown = slowdown
        self._running: dict[Run, None] = {}  # in start order; the order of a set would differ between runs
        self._waiting: deque[Run] = deque()
        self._prefill_total_s = 0.0  # total prefill time so far
        self._prefill_until = 0.0
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def load(self) -> InstanceLoad:
        """Return the numbers of running and waiting requests and of slots."""
        return InstanceLoad(len(self._running), len(self._waiting), self._model.slots)

    def submit(self, run: Run) -> None:
        """Start a request, or queue it if all slots are taken; reject it if the queue is full."""
        if len(self._running) < self._model.slots:
            self._start(run)
        elif len(self._waiting) < self._model.queue:
            self._waiting.append(run)
            self.max_waiting = max(self.max_waiting, len(self._waiting))
        else:
            run.on_end(RunEnd.REJECTED)

    def drop(self, run: Run) -> None:
        """Stop a request whose caller closed the connection."""
        run.is_over = True
        if run in self._running:
            self._running.pop(run, None)
            self._start_next()
        elif run in self._waiting:
            self._waiting.remove(run)

    def abort_all(self) -> None:
        """Crash: abort running and waiting requests, notify their callers and clear the cache."""
        runs = [*self._running, *self._waiting]
        self.discard_all()
        for run in runs:
            run.is_over = True
            run.on_end(RunEnd.ABORTED)

    def discard_all(self) -> None:
        """Crash like ``abort_all``, but without notifying the callers."""
        for run in (*self._running, *self._waiting):
            run.is_over = True
        self._running.clear()
        self._waiting.clear()
        self._cached.clear()
        self._cached_tokens = 0

    def _start(self, run: Run) -> None:
        self._running[run] = None
        tokens = self._uncached_tokens(run.prompt)
        prefill_s = self._prefill_s(tokens, run.prompt.input_tokens)
        self._prefill_until = max(self._prefill_until, self._clock.now) + prefill_s
        self._prefill_total_s += prefill_s
        first_at = self._prefill_until + self._step_s()
        self._clock.at(first_at, self._event, run, self._prefill_total_s)

    def _event(self, run: Run, prefill_seen_s: float) -> None:
        if run.is_over:
            return
        if self._prefill_total_s > prefill_seen_s:
            self._clock.after(self._prefill_total_s - prefill_seen_s, self._event, run, self._prefill_total_s)
            return
        run.events -= 1
        if run.events > 0:
            run.on_event(self.load())
            if not run.is_over:
                self._clock.after(
                    self._model.stride * self._step_s(), self._event, run, self._prefill_total_s
                )
            return
        run.on_event(self.load())
        run.is_over = True
        self._running.pop(run, None)
        run.on_end(RunEnd.COMPLETE)
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self._model.slots:
            self._start(self._waiting.popleft())

    def _step_s(self) -> float:
        return (self._model.step_s + self._model.step_s_per_request * len(self._running)) * self._slowdown

    def _prefill_s(self, tokens: int, input_tokens: int) -> float:
        pairs = tokens * (input_tokens - tokens / 2) / TOKENS_PER_MILLION
        seconds = tokens / self._model.prefill_tokens_per_s + pairs * self._model.pairs_s_per_million
        return seconds * self._slowdown

    def _uncached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens to prefill; caches the prompt and evicts least recently used segments."""
        cached = 0
        for segment in prompt.segments:
            if segment.id not in self._cached:
                break
            cached += segment.tokens
        shared = sum(segment.tokens for segment in prompt.shared_segments)
        self.uncached_shared_tokens += max(shared - cached, 0)
        for segment in prompt.segments:
            self._cached_tokens += segment.tokens - self._cached.pop(segment.id, 0)
            self._cached[segment.id] = segment.tokens
        while self._cached_tokens > self._model.kv_cache_tokens and self._cached:
            self._cached_tokens -= self._cached.popitem(last=False)[1]
        return max(prompt.input_tokens - cached, 0)
