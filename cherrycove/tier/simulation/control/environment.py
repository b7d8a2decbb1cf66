"""Provides the shared parts of one simulated world: time, network, random numbers and histories."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from cherrycove.tier.simulation.control.deployment import Topology
from cherrycove.tier.simulation.control.fault_budget import FaultBudget
from cherrycove.tier.simulation.control.history import History
from cherrycove.tier.simulation.control.job_history import JobHistory
from cherrycove.tier.simulation.control.loop import VirtualLoop
from cherrycove.tier.simulation.control.network import Network
from cherrycove.tier.simulation.control.runtime import SimulatedRuntime

RUN_STEP_S = 0.5  # a run checks for violations and errors at this interval, and stops at the first


class Environment:
    """Holds the shared parts of one world; all random numbers of the world derive from its seed."""

    def __init__(self, seed: int, topology: Topology) -> None:
        self.random = Random(seed)
        self.topology = topology
        self.loop = VirtualLoop(Random(self.random.random()))  # type: ignore[abstract]
        self.network = Network(self.loop, Random(self.random.random()))
        self.runtime = SimulatedRuntime(
            self.loop, self.network, Random(self.random.random()), topology.faults
        )
        self.history = History(self.loop.time)
        self.jobs = JobHistory(self.history)
        self.fault_budget = FaultBudget(topology.faults, self.loop.time)
        self._error: BaseException | None = None

    @property
    def now(self) -> float:
        """Return the virtual time in seconds since the start of the world."""
        return self.loop.time()

    @property
    def faults(self) -> int:
        """Return how many machines may be lost at once."""
        return self.topology.faults

    def after(self, delay_s: float, action: Callable[[], Any]) -> None:
        """Run ``action`` after ``delay_s`` seconds, outside all processes; ``run_until`` raises its error."""
        self.loop.call_in(None, delay_s, self._run_action, action)

    def _run_action(self, action: Callable[[], Any]) -> None:
        try:
            action()
        except BaseException as error:  # noqa: BLE001 - the loop would log it; run_until raises it instead
            self._error = self._error or error

    def run_until(self, end: float) -> None:
        """Run until virtual time ``end``.

        Raises ``InvariantBrokenError`` or the error of an action at most RUN_STEP_S after it occurred.
        """
        while self.now < end:
            self.loop.run_until(min(self.now + RUN_STEP_S, end))
            if self.history.broken is not None:
                raise self.history.broken
            if self._error is not None:
                raise self._error
