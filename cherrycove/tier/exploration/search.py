"""Breadth-first search over the states of a model, with a set of the states seen."""

from __future__ import annotations

import gc
import time
from array import array
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

State = TypeVar("State")
GARBAGE_THRESHOLDS = (100_000, 50, 1_000)  # states live long and hold no cycles: few collections
START = -1  # parent of the first state


@attrs.frozen
class Step(Generic[State]):
    """One step: its name in traces, the state that it leads to, and the invariant that it breaks, if any."""

    label: str
    state: State
    broken: str = ""


class Model(Protocol[State]):
    """A state space: the steps that may follow, as a function of the state alone."""

    def key(self, state: State) -> bytes:
        """Return a digest that is equal for states that behave alike."""

    def steps(self, state: State) -> Iterable[Step[State]]:
        """Return the steps that are possible in ``state`` within the bounds of the model."""


@attrs.frozen(kw_only=True)
class Limits:
    """When a search ends although states are left."""

    depth: int = 1_000_000
    states: int = 5_000_000
    seconds: float = float("inf")


@attrs.frozen
class Violation:
    """A broken invariant, and the shortest list of steps to it."""

    detail: str
    trace: tuple[str, ...]


@attrs.frozen
class Report:
    """What a search came to; ``depth`` and ``exhausted`` say how much of the state space it covered."""

    states: int
    transitions: int
    depth: int  # every state up to this many steps from the start was expanded
    exhausted: bool  # no state was left
    seconds: float
    violation: Violation | None = None


class Search(Generic[State]):
    """One search. Only digests and parents are kept of the states that were expanded."""

    def __init__(self, model: Model[State], limits: Limits | None = None) -> None:
        self._model = model
        self._limits = limits or Limits()
        self._seen: set[bytes] = set()
        self._parents = array("q")
        self._labels: list[str] = []
        self._transitions = 0
        self._started = time.monotonic()

    def run(self, start: State) -> Report:
        """Expand ``start`` and its successors until a violation, a limit, or none is left."""
        thresholds = gc.get_threshold()
        gc.set_threshold(*GARBAGE_THRESHOLDS)
        try:
            return self._run(start)
        finally:
            gc.set_threshold(*thresholds)

    def _run(self, start: State) -> Report:
        self._seen.add(self._model.key(start))
        self._add_state(START, "start")
        frontier = [(0, start)]
        depth = 0
        while frontier and depth < self._limits.depth:
            following: list[tuple[int, State]] = []
            for number, state in frontier:
                violation = self._expand(number, state, following)
                if violation is not None or self._has_reached_limit():
                    return self._report(depth, violation, exhausted=False)
            frontier = following
            depth += 1
        return self._report(depth, None, exhausted=not frontier)

    def _expand(self, number: int, state: State, following: list[tuple[int, State]]) -> Violation | None:
        for step in self._model.steps(state):
            self._transitions += 1
            if step.broken:
                return Violation(step.broken, (*self._trace(number), step.label))
            key = self._model.key(step.state)
            if key not in self._seen:
                self._seen.add(key)
                following.append((self._add_state(number, step.label), step.state))
        return None

    def _add_state(self, parent: int, label: str) -> int:
        self._parents.append(parent)
        self._labels.append(label)
        return len(self._labels) - 1

    def _trace(self, number: int) -> tuple[str, ...]:
        labels: list[str] = []
        while number > 0:
            labels.append(self._labels[number])
            number = self._parents[number]
        return tuple(reversed(labels))

    def _has_reached_limit(self) -> bool:
        if len(self._seen) >= self._limits.states:
            return True
        return time.monotonic() - self._started > self._limits.seconds

    def _report(self, depth: int, violation: Violation | None, *, exhausted: bool) -> Report:
        seconds = time.monotonic() - self._started
        return Report(len(self._seen), self._transitions, depth, exhausted, seconds, violation)
