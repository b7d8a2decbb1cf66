"""Operators and controllers: every sequence of orders, commits, lost leases, time-outs and new primaries.

The controllers' own classes run, on a loop of their own. Coroutines cannot be copied, so each state is
reached by replaying its events from the start.
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
from cherrycove.tier.exploration.decision_orders import (
    FINAL_REJECTIONS,
    Order,
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
    """How often each event may happen. The command line takes the fields by name."""

    sends: int = 2  # of each order, attempts to send it
    take_overs: int = 0  # changes of primary
    pauses: int = 0  # of the lease
    time_outs: int = 0  # moments at which all open attempts time out
    crashes: int = 0  # processes that start again
    gone: int = 0  # operators that close their connection


@attrs.frozen
class Event:
    """One event. ``controller`` is its index; ``number`` that of an order, or a count of retained entries."""

    name: str
    controller: int = 0
    number: int = 0


@attrs.define(eq=False)
class Attempt:
    """One attempt to send an order to the controller with the index ``controller``."""

    order: Order
    controller: int
    task: asyncio.Task[Result[None, Failure]]
    is_checked: bool = False


# Failures after which an operator retries at another controller; the order certainly had no effect.
RETRIED = frozenset({ErrorKind.NOT_PRIMARY, ErrorKind.UNAVAILABLE})
_parse = lru_cache(maxsize=None)(parse_configuration)


class Controller:
    """The process of one controller, from its start on."""

    def __init__(self, log: SharedLog, controller: int) -> None:
        self.group = ControllerGroup(log, controller)
        leadership = Leadership(self.group, ClusterView())
        self.decisions = ConfigurationService(self.group, self.group.state, leadership)
        self.group.apply_committed()


@attrs.frozen(eq=False)
class DecisionState:
    """A state: the events that lead to it, its key, and the events that may follow."""

    events: tuple[Event, ...]
    key: bytes
    next_events: tuple[Event, ...]


class DecisionModel:
    """The model of ``controllers`` processes that decide on ``orders`` within ``budget``."""

    def __init__(self, controllers: int, orders: tuple[Order, ...], budget: DecisionBudget) -> None:
        self._controllers = controllers
        self._orders = orders
        self._budget = budget

    def first(self) -> DecisionState:
        """Return the state in which nothing has happened."""
        situation, broken = self._reach(())
        require(not broken, broken)
        return situation

    def key(self, state: DecisionState) -> bytes:
        """Return the digest of ``state``."""
        return state.key

    def steps(self, state: DecisionState) -> Iterator[Step[DecisionState]]:
        """Return a step for each event that may follow."""
        for event in state.next_events:
            following, broken = self._reach((*state.events, event))
            yield Step(self._label(event), following, broken)

    def _label(self, event: Event) -> str:
        if event.name in ("send", "gone"):
            return f"{event.name} {self._orders[event.number].name} at controller {event.controller}"
        if event.name == "take over":
            return f"controller {event.controller} takes over with {event.number} open entries"
        return event.name if event.name == "time-out" else f"{event.name} at controller {event.controller}"

    def _reach(self, events: tuple[Event, ...]) -> tuple[DecisionState, str]:
        run = Run(self._controllers, self._orders, self._budget)
        try:
            with mock.patch.object(configuration_service, "parse_configuration", _parse):
                for event in events:
                    run.play(event)
            return DecisionState(events, run.key(), tuple(run.next_events())), ""
        except InvariantBrokenError as error:
            return DecisionState(events, b"", ()), str(error)
        finally:
            run.close()


class Run:
    """One sequence of events, replayed. ``close`` ends it."""

    def __init__(self, controllers: int, orders: tuple[Order, ...], budget: DecisionBudget) -> None:
        self._loop = ManualLoop()
        self._orders = orders
        self._budget_left = attrs.asdict(budget)
        self._sends = {order.name: budget.sends for order in orders}
        self._log = SharedLog()
        self._controllers = [Controller(self._log, controller) for controller in range(controllers)]
        self._attempts: list[Attempt] = []
        self._acknowledged: set[str] = set()
        self._rejected: set[str] = set()  # orders that were rejected, and not sent again since

    def close(self) -> None:
        """Cancel what is open, and close the loop."""
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_idle()
        self._loop.close()

    # What may happen

    def next_events(self) -> Iterator[Event]:
        """Return the events that may follow."""
        for number, order in enumerate(self._orders):
            if self._sends[order.name]:
                yield from (Event("send", controller, number) for controller in range(len(self._controllers)))
        if self._log.primary != NO_PRIMARY:
            yield from self._events_of_primary(self._log.primary)
        if self._budget_left["take_overs"]:
            yield from self._primary_changes()
        yield from self._events_of_controllers()

    def _events_of_primary(self, controller: int) -> Iterator[Event]:
        if self._log.pending:
            yield Event("commit", controller)
        if self._log.lease and self._budget_left["pauses"]:
            yield Event("lease lost", controller)
        if not self._log.lease:
            yield Event("lease renewed", controller)

    def _primary_changes(self) -> Iterator[Event]:
        for controller in range(len(self._controllers)):
            for kept in range(len(self._log.pending) + 1):
                yield Event("take over", controller, kept)

    def _events_of_controllers(self) -> Iterator[Event]:
        for index, controller in enumerate(self._controllers):
            if controller.group.applied < len(self._log.committed):
                yield Event("learn", index)
            if self._budget_left["crashes"]:
                yield Event("crash", index)
        if self._budget_left["time_outs"] and self._open_attempts():
            yield Event("time-out")
        if self._budget_left["gone"]:
            for attempt in self._open_attempts():
                yield Event("gone", attempt.controller, self._orders.index(attempt.order))

    def _open_attempts(self) -> list[Attempt]:
        return [attempt for attempt in self._attempts if not attempt.task.done()]

    # Playing

    def play(self, event: Event) -> None:
        """Play one event; raises ``InvariantBrokenError`` if an invariant does not hold then."""
        if event.name == "send":
            self._send(self._orders[event.number], event.controller)
        elif event.name == "commit":
            self._log.commit_first()
            self._controllers[self._log.primary].group.apply_committed()
        elif event.name == "learn":
            self._controllers[event.controller].group.apply_committed()
        elif event.name == "take over":
            self._budget_left["take_overs"] -= 1
            self._log.take_over(event.controller, event.number)
            self._controllers[event.controller].group.apply_committed()
        else:
            self._play_fault(event)
        self._loop.run_until_idle()
        self._check()

    def _play_fault(self, event: Event) -> None:
        if event.name == "lease lost":
            self._budget_left["pauses"] -= 1
            self._log.lease = False
        elif event.name == "lease renewed":
            self._log.lease = True
        elif event.name == "time-out":
            self._budget_left["time_outs"] -= 1
            self._loop.pass_time(DECISION_TIMEOUT_S)
        elif event.name == "gone":
            self._budget_left["gone"] -= 1
            self._cancel(event.controller, self._orders[event.number])
        elif event.name == "crash":
            self._budget_left["crashes"] -= 1
            self._cancel(event.controller)
            self._loop.run_until_idle()
            self._controllers[event.controller] = Controller(self._log, event.controller)
            if self._log.primary == event.controller:
                self._log.primary = NO_PRIMARY  # it leads again only in a new epoch
                self._log.lease = False

    def _send(self, order: Order, controller: int) -> None:
        self._sends[order.name] -= 1
        self._rejected.discard(order.name)
        coroutine = self._controllers[controller].decisions.put(order.body, order.base_version)
        self._attempts.append(Attempt(order, controller, self._loop.create_task(coroutine)))

    def _cancel(self, controller: int, order: Order | None = None) -> None:
        for attempt in self._open_attempts():
            if attempt.controller == controller and order in (None, attempt.order):
                attempt.task.cancel()

    # Invariants

    def _check(self) -> None:
        history = effective_changes(self._log.committed)
        for attempt in self._attempts:
            if attempt.task.done() and not attempt.is_checked:
                attempt.is_checked = True
                self._check_answer(attempt)
        for name in self._rejected:
            order = next(order for order in self._orders if order.name == name)
            require(not took_effect(order, history), f"{name} took effect after it was rejected")
        check_compatible(self._orders, self._acknowledged)
        for controller in self._controllers:
            if controller.group.is_confirmed_primary():
                newest = controller.group.state.configuration
                check_newest(self._orders, self._acknowledged, newest.version, newest.document)

    def _check_answer(self, attempt: Attempt) -> None:
        if attempt.task.cancelled():
            return
        answer = attempt.task.result()
        history = effective_changes(self._log.committed)
        if isinstance(answer, Ok):
            check_acknowledged(attempt.order, history)
            self._acknowledged.add(attempt.order.name)
        elif isinstance(answer, Err) and answer.err_value.kind in FINAL_REJECTIONS:
            check_rejected(attempt.order, history)
            if all(other.order != attempt.order for other in self._open_attempts()):
                self._rejected.add(attempt.order.name)
        elif isinstance(answer, Err) and answer.err_value.kind in RETRIED:
            self._sends[attempt.order.name] += 1
            if sum(other.order == attempt.order for other in self._attempts) == 1:
                check_not_in_log(attempt.order, (*self._log.committed, *self._log.pending))

    # Key

    def key(self) -> bytes:
        """Return a digest that is equal for states that behave alike."""
        log = self._log
        content = (
            (log.epoch, log.primary, log.lease),
            [(entry.epoch, entry.command) for entry in (*log.committed, *log.pending)],
            [self._controller_key(controller) for controller in self._controllers],
            [self._attempt_key(attempt) for attempt in self._open_attempts()],
            sorted(self._acknowledged),
            sorted(self._rejected),
            sorted(self._budget_left.items()),
            sorted(self._sends.items()),
        )
        return digest(content)

    def _controller_key(self, controller: Controller) -> Any:
        pending = controller.group.proposals._pending  # noqa: SLF001 - a part of the state
        proposals = [(index, pending[index].epoch, pending[index].future.done()) for index in sorted(pending)]
        return controller.group.applied, proposals, _flags(controller.decisions)

    def _attempt_key(self, attempt: Attempt) -> Any:
        return attempt.order.name, attempt.controller, _awaiting(attempt.task.get_coro())


def _flags(value: Any) -> list[tuple[str, bool]]:
    """Return the flags that a service keeps between two orders."""
    found: list[tuple[str, bool]] = []
    for name, field in sorted(vars(value).items()):
        if isinstance(field, bool):
            found.append((name, field))
        elif type(field).__name__ == "BarrierProposer":
            found.extend(_flags(field))
    return found


def _awaiting(coroutine: Any) -> list[tuple[str, int]]:
    """Return the functions and lines at which a coroutine and those that it awaits are suspended."""
    found: list[tuple[str, int]] = []
    while getattr(coroutine, "cr_frame", None) is not None:
        found.append((coroutine.cr_code.co_name, coroutine.cr_frame.f_lineno))
        coroutine = coroutine.cr_await
    return found
