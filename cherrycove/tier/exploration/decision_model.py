"""Model of operators and controllers that decide on configurations.

It covers every sequence of requests, commits, lost leases, time-outs and changes of primary. The production
classes of the controllers run on a simulated event loop. Coroutines cannot be copied, so each state is
reached by replaying its events from the initial state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from functools import lru_cache
from typing import Any
from unittest import mock

import attrs
from result import Err, Ok, Result

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.controlplane import configuration_service
from cherrycove.tier.controlplane.configuration_service import DECISION_TIMEOUT_S, ConfigurationService
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.exploration.copying import digest
from cherrycove.tier.exploration.decision_group import NO_PRIMARY, ControllerGroup, SharedLog
from cherrycove.tier.exploration.decision_requests import (
    FINAL_REJECTIONS,
    ConfigurationRequest,
    check_acknowledged,
    check_compatible,
    check_newest,
    check_not_in_log,
    check_rejected,
    effective_changes,
    took_effect,
)
from cherrycove.tier.exploration.event_loop import ManualLoop
from cherrycove.tier.exploration.group_invariants import InvariantBrokenError, require
from cherrycove.tier.exploration.search import Step


@attrs.frozen(kw_only=True)
class DecisionBudget:
    """Bounds how often each event may happen. The command line sets the fields by their names."""

    sends: int = 2  # attempts to send each request
    take_overs: int = 0  # changes of primary
    pauses: int = 0  # periods in which the lease of the primary is not valid
    time_outs: int = 0  # moments at which all unfinished attempts time out
    crashes: int = 0  # restarts of controller processes
    gone: int = 0  # operators that close their connection


@attrs.frozen
class Event:
    """Represents one event.

    ``controller`` is the index of the controller concerned. ``number`` is the index of a request or, for a
    change of primary, the number of pending entries that are kept.
    """

    name: str
    controller: int = 0
    number: int = 0


@attrs.define(eq=False)
class Attempt:
    """Represents one attempt to send a request to the controller with the index ``controller``."""

    request: ConfigurationRequest
    controller: int
    task: asyncio.Task[Result[None, Failure]]
    is_checked: bool = False


# Failures after which an operator retries at another controller: this attempt certainly had no effect.
RETRYABLE_FAILURES = frozenset({ErrorKind.NOT_PRIMARY, ErrorKind.UNAVAILABLE})
_parse = lru_cache(maxsize=None)(parse_configuration)


class Controller:
    """Represents one run of a controller process; a restart creates a new instance."""

    def __init__(self, log: SharedLog, controller: int) -> None:
        self.group = ControllerGroup(log, controller)
        leadership = Leadership(self.group, ClusterView())
        self.decisions = ConfigurationService(self.group, self.group.state, leadership)
        self.group.apply_committed()


@attrs.frozen(eq=False)
class DecisionState:
    """Represents a state by the events that lead to it, with its key and the events that may follow."""

    events: tuple[Event, ...]
    key: bytes
    next_events: tuple[Event, ...]


class DecisionModel:
    """Models ``controllers`` processes that decide on ``requests`` within the bounds of ``budget``."""

    def __init__(
        self, controllers: int, requests: tuple[ConfigurationRequest, ...], budget: DecisionBudget
    ) -> None:
        self._controllers = controllers
        self._requests = requests
        self._budget = budget

    def initial_state(self) -> DecisionState:
        """Return the state before any event."""
        state, broken_invariant = self._replay(())
        require(not broken_invariant, broken_invariant)
        return state

    def key(self, state: DecisionState) -> bytes:
        """Return the digest that identifies ``state``."""
        return state.key

    def steps(self, state: DecisionState) -> Iterator[Step[DecisionState]]:
        """Yield a step for each event that may follow ``state``."""
        for event in state.next_events:
            next_state, broken_invariant = self._replay((*state.events, event))
            yield Step(self._label(event), next_state, broken_invariant)

    def _label(self, event: Event) -> str:
        if event.name in ("send", "disconnect"):
            return f"{event.name} {self._requests[event.number].name} at controller {event.controller}"
        if event.name == "change primary":
            return f"controller {event.controller} becomes primary and keeps {event.number} pending entries"
        return event.name if event.name == "time-out" else f"{event.name} at controller {event.controller}"

    def _replay(self, events: tuple[Event, ...]) -> tuple[DecisionState, str]:
        replay = Replay(self._controllers, self._requests, self._budget)
        try:
            with mock.patch.object(configuration_service, "parse_configuration", _parse):
                for event in events:
                    replay.apply(event)
            return DecisionState(events, replay.key(), tuple(replay.next_events())), ""
        except InvariantBrokenError as error:
            return DecisionState(events, b"", ()), str(error)
        finally:
            replay.close()


class Replay:
    """Replays one sequence of events; ``close`` must be called at the end."""

    def __init__(
        self, controllers: int, requests: tuple[ConfigurationRequest, ...], budget: DecisionBudget
    ) -> None:
        self._loop = ManualLoop()
        self._requests = requests
        self._budget_left = attrs.asdict(budget)
        self._sends_left = {request.name: budget.sends for request in requests}
        self._log = SharedLog()
        self._controllers = [Controller(self._log, controller) for controller in range(controllers)]
        self._attempts: list[Attempt] = []
        self._acknowledged: set[str] = set()
        self._rejected: set[str] = set()  # requests that were rejected and not sent again since

    def close(self) -> None:
        """Cancel all unfinished tasks and close the loop."""
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_idle()
        self._loop.close()

    # Possible events

    def next_events(self) -> Iterator[Event]:
        """Yield the events that are possible now within the budget."""
        for number, request in enumerate(self._requests):
            if self._sends_left[request.name]:
                yield from (Event("send", controller, number) for controller in range(len(self._controllers)))
        if self._log.primary != NO_PRIMARY:
            yield from self._events_of_primary(self._log.primary)
        if self._budget_left["take_overs"]:
            yield from self._primary_changes()
        yield from self._events_of_controllers()

    def _events_of_primary(self, controller: int) -> Iterator[Event]:
        if self._log.pending:
            yield Event("commit", controller)
        if self._log.is_lease_valid and self._budget_left["pauses"]:
            yield Event("lease lost", controller)
        if not self._log.is_lease_valid:
            yield Event("lease renewed", controller)

    def _primary_changes(self) -> Iterator[Event]:
        for controller in range(len(self._controllers)):
            for kept in range(len(self._log.pending) + 1):
                yield Event("change primary", controller, kept)

    def _events_of_controllers(self) -> Iterator[Event]:
        for index, controller in enumerate(self._controllers):
            if controller.group.applied < len(self._log.committed):
                yield Event("apply commits", index)
            if self._budget_left["crashes"]:
                yield Event("crash", index)
        if self._budget_left["time_outs"] and self._unfinished_attempts():
            yield Event("time-out")
        if self._budget_left["gone"]:
            for attempt in self._unfinished_attempts():
                yield Event("disconnect", attempt.controller, self._requests.index(attempt.request))

    def _unfinished_attempts(self) -> list[Attempt]:
        return [attempt for attempt in self._attempts if not attempt.task.done()]

    # Application of events

    def apply(self, event: Event) -> None:
        """Apply one event; raises ``InvariantBrokenError`` if an invariant does not hold afterwards."""
        if event.name == "send":
            self._send(self._requests[event.number], event.controller)
        elif event.name == "commit":
            self._log.commit_first()
            self._controllers[self._log.primary].group.apply_committed()
        elif event.name == "apply commits":
            self._controllers[event.controller].group.apply_committed()
        elif event.name == "change primary":
            self._budget_left["take_overs"] -= 1
            self._log.take_over(event.controller, event.number)
            self._controllers[event.controller].group.apply_committed()
        else:
            self._apply_fault(event)
        self._loop.run_until_idle()
        self._check()

    def _apply_fault(self, event: Event) -> None:
        if event.name == "lease lost":
            self._budget_left["pauses"] -= 1
            self._log.is_lease_valid = False
        elif event.name == "lease renewed":
            self._log.is_lease_valid = True
        elif event.name == "time-out":
            self._budget_left["time_outs"] -= 1
            self._loop.pass_time(DECISION_TIMEOUT_S)
        elif event.name == "disconnect":
            self._budget_left["gone"] -= 1
            self._cancel(event.controller, self._requests[event.number])
        elif event.name == "crash":
            self._budget_left["crashes"] -= 1
            self._cancel(event.controller)
            self._loop.run_until_idle()
            self._controllers[event.controller] = Controller(self._log, event.controller)
            if self._log.primary == event.controller:
                self._log.primary = NO_PRIMARY  # it can lead again only in a new epoch
                self._log.is_lease_valid = False

    def _send(self, request: ConfigurationRequest, controller: int) -> None:
        self._sends_left[request.name] -= 1
        self._rejected.discard(request.name)
        coroutine = self._controllers[controller].decisions.put(request.body, request.base_version)
        self._attempts.append(Attempt(request, controller, self._loop.create_task(coroutine)))

    def _cancel(self, controller: int, request: ConfigurationRequest | None = None) -> None:
        for attempt in self._unfinished_attempts():
            if attempt.controller == controller and request in (None, attempt.request):
                attempt.task.cancel()

    # Invariants

    def _check(self) -> None:
        history = effective_changes(self._log.committed)
        for attempt in self._attempts:
            if attempt.task.done() and not attempt.is_checked:
                attempt.is_checked = True
                self._check_result(attempt)
        for name in self._rejected:
            request = next(request for request in self._requests if request.name == name)
            require(not took_effect(request, history), f"{name} took effect after it was rejected")
        check_compatible(self._requests, self._acknowledged)
        for controller in self._controllers:
            if controller.group.is_confirmed_primary():
                newest = controller.group.state.configuration
                check_newest(self._requests, self._acknowledged, newest.version, newest.document)

    def _check_result(self, attempt: Attempt) -> None:
        if attempt.task.cancelled():
            return
        result = attempt.task.result()
        history = effective_changes(self._log.committed)
        if isinstance(result, Ok):
            check_acknowledged(attempt.request, history)
            self._acknowledged.add(attempt.request.name)
        elif isinstance(result, Err) and result.err_value.kind in FINAL_REJECTIONS:
            check_rejected(attempt.request, history)
            if all(other.request != attempt.request for other in self._unfinished_attempts()):
                self._rejected.add(attempt.request.name)
        elif isinstance(result, Err) and result.err_value.kind in RETRYABLE_FAILURES:
            self._sends_left[attempt.request.name] += 1
            if sum(other.request == attempt.request for other in self._attempts) == 1:
                check_not_in_log(attempt.request, (*self._log.committed, *self._log.pending))

    # State key

    def key(self) -> bytes:
        """Return a digest that is equal for states that behave alike."""
        log = self._log
        content = (
            (log.epoch, log.primary, log.is_lease_valid),
            [(entry.epoch, entry.command) for entry in (*log.committed, *log.pending)],
            [self._controller_key(controller) for controller in self._controllers],
            [self._attempt_key(attempt) for attempt in self._unfinished_attempts()],
            sorted(self._acknowledged),
            sorted(self._rejected),
            sorted(self._budget_left.items()),
            sorted(self._sends_left.items()),
        )
        return digest(content)

    def _controller_key(self, controller: Controller) -> Any:
        pending = controller.group.proposals._pending  # noqa: SLF001 - part of the state
        proposals = [(index, pending[index].epoch, pending[index].future.done()) for index in sorted(pending)]
        return controller.group.applied, proposals, _boolean_attributes(controller.decisions)

    def _attempt_key(self, attempt: Attempt) -> Any:
        return attempt.request.name, attempt.controller, _suspension_points(attempt.task.get_coro())


def _boolean_attributes(value: Any) -> list[tuple[str, bool]]:
    """Return the boolean attributes of a service and of its barrier proposer.

    They are the state that the service keeps between two requests.
    """
    found: list[tuple[str, bool]] = []
    for name, attribute in sorted(vars(value).items()):
        if isinstance(attribute, bool):
            found.append((name, attribute))
        elif type(attribute).__name__ == "BarrierProposer":
            found.extend(_boolean_attributes(attribute))
    return found


def _suspension_points(coroutine: Any) -> list[tuple[str, int]]:
    """Return the function and line at which a coroutine and each one that it awaits are suspended."""
    found: list[tuple[str, int]] = []
    while getattr(coroutine, "cr_frame", None) is not None:
        found.append((coroutine.cr_code.co_name, coroutine.cr_frame.f_lineno))
        coroutine = coroutine.cr_await
    return found
