"""Breadth-first search over the states of a model; each distinct state is expanded once."""

from __future__ import annotations

import gc
import time
from array import array
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

State = TypeVar("State")
GC_THRESHOLDS = (100_000, 50, 1_000)  # rare collections: states are long-lived and hold no reference cycles
NO_PARENT = -1  # parent of the initial state


@attrs.frozen
class Step(Generic[State]):
    """Represents one step: its name in traces, the next state, and the violated invariant ("" if none)."""

    label: str
    state: State
    broken_invariant: str = ""


class Model(Protocol[State]):
    """Interface of a state space; the steps must depend on the state alone."""

    def key(self, state: State) -> bytes:
        """Return a digest that is equal for states that behave alike."""

    def steps(self, state: State) -> Iterable[Step[State]]:
        """Return the steps that are possible in ``state`` within the bounds of the model."""


@attrs.frozen(kw_only=True)
class Limits:
    """Limits at which a search stops even if unexplored states remain."""

    depth: int = 1_000_000
    states: int = 5_000_000
    seconds: float = float("inf")


@attrs.frozen
class Violation:
    """Describes a violated invariant, with a shortest trace of steps that leads to it."""

    detail: str
    trace: tuple[str, ...]


@attrs.frozen
class Report:
    """Holds the result of a search; ``depth`` and ``exhausted`` tell how much of the space it covered."""

    states: int
    transitions: int
    depth: int  # every state fewer than this many steps from the initial state was expanded
    exhausted: bool  # no unexplored state is left
    seconds: float
    violation: Violation | None = None


class Search(Generic[State]):
    """Runs one search; of expanded states it keeps only the digest, the parent and the label of the step."""

    def __init__(self, model: Model[State], limits: Limits | None = None) -> None:
        self._model = model
        self._limits = limits or Limits()
        self._seen: set[bytes] = set()
        self._parents = array("q")
        self._labels: list[str] = []
        self._transitions = 0
        self._started = time.monotonic()

    def run(self, start: State) -> Report:
        """Explore from ``start`` until an invariant is violated, a limit is reached or no state is left."""
        thresholds = gc.get_threshold()
        gc.set_threshold(*GC_THRESHOLDS)
        try:
            return self._run(start)
        finally:
            gc.set_threshold(*thresholds)

    def _run(self, start: State) -> Report:
        self._seen.add(self._model.key(start))
        self._add_state(NO_PARENT, "start")
        frontier = [(0, start)]
        depth = 0
        while frontier and depth < self._limits.depth:
            next_frontier: list[tuple[int, State]] = []
            for number, state in frontier:
                violation = self._expand(number, state, next_frontier)
                if violation is not None or self._has_reached_limit():
                    return self._report(depth, violation, exhausted=False)
            frontier = next_frontier
            depth += 1
        return self._report(depth, None, exhausted=not frontier)

    def _expand(self, number: int, state: State, next_frontier: list[tuple[int, State]]) -> Violation | None:
        for step in self._model.steps(state):
            self._transitions += 1
            if step.broken_invariant:
                return Violation(step.broken_invariant, (*self._trace(number), step.label))
            key = self._model.key(step.state)
            if key not in self._seen:
                self._seen.add(key)
                next_frontier.append((self._add_state(number, step.label), step.state))
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
