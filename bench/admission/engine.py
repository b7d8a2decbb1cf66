"""A model broker: slots, a first-in queue, prefill in turn, steps that requests share, a prefix cache."""

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
    """How a run at a broker ended."""

    COMPLETE = "complete"
    REJECTED = "rejected"  # it did not run: the queue was full
    BROKEN = "broken"  # the broker broke off


class Fault(Enum):
    """What is wrong with a broker."""

    NONE = "none"
    GONE = "gone"  # refuses connections, and has broken off what ran
    DARK = "dark"  # silent
    MUTE = "mute"  # accepts requests, and sends nothing
    FAILING = "failing"  # breaks requests off at once


@attrs.define(eq=False)
class Run:
    """One request at the broker; events go to its callbacks."""

    prompt: Prompt
    events: int  # that are left
    on_event: Callable[[InstanceLoad], None]
    on_end: Callable[[RunEnd], None]
    is_over: bool = False


class EngineBroker:
    """One model broker.

    A prompt's uncached tokens are processed in turn with others, and for that time the events of all running
    requests are delayed: an approximation of chunks between steps.
    """

    def __init__(self, clock: Clock, model: EngineModel, speed: float) -> None:
        """``speed``: how many times as long as usual it takes."""
        self.fault = Fault.NONE
        self.fault_share = 1.0  # of the requests that a fault strikes
        self.cold_tokens = 0  # of shared segments that were processed here
        self.most_waiting = 0
        self._clock = clock
        self._model = model
        self._speed = speed
        self._running: dict[Run, None] = {}  # in the order of their start: a set's would differ by run
        self._waiting: deque[Run] = deque()
        self._stalled_s = 0.0  # the sum of all prefill so far
        self._prefill_until = 0.0
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def load(self) -> InstanceLoad:
        """Running, waiting and slots."""
        return InstanceLoad(len(self._running), len(self._waiting), self._model.slots)

    def submit(self, run: Run) -> None:
        """A request arrives."""
        if len(self._running) < self._model.slots:
            self._start(run)
        elif len(self._waiting) < self._model.queue:
            self._waiting.append(run)
            self.most_waiting = max(self.most_waiting, len(self._waiting))
        else:
            run.on_end(RunEnd.REJECTED)

    def drop(self, run: Run) -> None:
        """The caller closed the connection."""
        run.is_over = True
        if run in self._running:
            self._running.pop(run, None)
            self._start_next()
        elif run in self._waiting:
            self._waiting.remove(run)

    def break_all(self) -> None:
        """It crashes: what runs or waits is broken off, and the cache is lost."""
        runs = [*self._running, *self._waiting]
        self.forget_all()
        for run in runs:
            run.is_over = True
            run.on_end(RunEnd.BROKEN)

    def forget_all(self) -> None:
        """The same, and nobody is told."""
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
        self._stalled_s += prefill_s
        first_at = self._prefill_until + self._step_s()
        self._clock.at(first_at, self._event, run, self._stalled_s)

    def _event(self, run: Run, stalled_s: float) -> None:
        if run.is_over:
            return
        if self._stalled_s > stalled_s:
            self._clock.after(self._stalled_s - stalled_s, self._event, run, self._stalled_s)
            return
        run.events -= 1
        if run.events > 0:
            run.on_event(self.load())
            if not run.is_over:
                self._clock.after(self._model.stride * self._step_s(), self._event, run, self._stalled_s)
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
        return (self._model.step_s + self._model.step_s_per_request * len(self._running)) * self._speed

    def _prefill_s(self, tokens: int, input_tokens: int) -> float:
        pairs = tokens * (input_tokens - tokens / 2) / TOKENS_PER_MILLION
        seconds = tokens / self._model.prefill_tokens_per_s + pairs * self._model.pairs_s_per_million
        return seconds * self._speed

    def _uncached_tokens(self, prompt: Prompt) -> int:
        """Tokens to be processed; afterwards the prompt is cached, and what was unused longest gives way."""
        cached = 0
        for segment in prompt.segments:
            if segment.id not in self._cached:
                break
            cached += segment.tokens
        shared = sum(segment.tokens for segment in prompt.shared_segments)
        self.cold_tokens += max(shared - cached, 0)
        for segment in prompt.segments:
            self._cached_tokens += segment.tokens - self._cached.pop(segment.id, 0)
            self._cached[segment.id] = segment.tokens
        while self._cached_tokens > self._model.memory_tokens and self._cached:
            self._cached_tokens -= self._cached.popitem(last=False)[1]
        return max(prompt.input_tokens - cached, 0)
