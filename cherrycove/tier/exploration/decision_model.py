"""Operators and keepers: every order of orders, commits, lost leases, time-outs and changes of primary.

The keepers' own classes run, on a loop of their own. Coroutines cannot be copied, so each state is reached by
playing its events again from the start.
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
from cherrycove.tier.exploration.decision_group import NOBODY, KeeperGroup, SharedLog
from cherrycove.tier.exploration.decision_orders import (
    REFUSALS,
    Order,
    check_acknowledged,
    check_newest,
    check_refused,
    check_together,
    check_untouched,
    taken,
    took_effect,
)
from cherrycove.tier.exploration.event_loop import ManualLoop
from cherrycove.tier.exploration.group_invariants import BrokenError, require
from cherrycove.tier.exploration.search import Step


@attrs.frozen(kw_only=True)
class DecisionBudget:
    """How much may happen."""

    sends: int = 2  # of each order
    take_overs: int = 0  # changes of primary
    pauses: int = 0  # of the lease
    time_outs: int = 0  # moments at which all that was begun before runs out of time
    crashes: int = 0  # processes that start again
    gone: int = 0  # operators that close their connection


@attrs.frozen
class Event:
    """One thing that happens; ``place`` is a keeper, ``number`` an order or a count of kept entries."""

    name: str
    place: int = 0
    number: int = 0


@attrs.define(eq=False)
class Attempt:
    """One sending of an order."""

    order: Order
    place: int
    task: asyncio.Task[Result[None, Failure]]
    judged: bool = False


# Answers after which an operator sends the same to another keeper; certainly nothing was done.
SENT_ON = frozenset({ErrorKind.NOT_PRIMARY, ErrorKind.UNAVAILABLE})
_parse = lru_cache(maxsize=None)(parse_configuration)


class Controller:
    """One keeper's process."""

    def __init__(self, log: SharedLog, place: int) -> None:
        self.group = KeeperGroup(log, place)
        leadership = Leadership(self.group, ClusterView())
        self.decisions = ConfigurationService(self.group, self.group.state, leadership)
        self.group.learn()


@attrs.frozen(eq=False)
class Situation:
    """A state: how it is reached, and what may happen next."""

    events: tuple[Event, ...]
    key: bytes
    next_events: tuple[Event, ...]


class DecisionModel:
    """``keepers`` decide on ``orders``."""

    def __init__(self, keepers: int, orders: tuple[Order, ...], budget: DecisionBudget) -> None:
        self._keepers = keepers
        self._orders = orders
        self._budget = budget

    def first(self) -> Situation:
        situation, broken = self._reach(())
        require(not broken, broken)
        return situation

    def key(self, state: Situation) -> bytes:
        return state.key

    def steps(self, state: Situation) -> Iterator[Step[Situation]]:
        for event in state.next_events:
            following, broken = self._reach((*state.events, event))
            yield Step(self._label(event), following, broken)

    def _label(self, event: Event) -> str:
        if event.name in ("send", "gone"):
            return f"{event.name} {self._orders[event.number].name} at keeper {event.place}"
        if event.name == "take over":
            return f"keeper {event.place} takes over with {event.number} open entries"
        return event.name if event.name == "time-out" else f"{event.name} at keeper {event.place}"

    def _reach(self, events: tuple[Event, ...]) -> tuple[Situation, str]:
        run = Run(self._keepers, self._orders, self._budget)
        try:
            with mock.patch.object(configuration_service, "parse_configuration", _parse):
                for event in events:
                    run.play(event)
            return Situation(events, run.key(), tuple(run.next_events())), ""
        except BrokenError as error:
            return Situation(events, b"", ()), str(error)
        finally:
            run.close()


class Run:
    """One list of events, played."""

    def __init__(self, keepers: int, orders: tuple[Order, ...], budget: DecisionBudget) -> None:
        self._loop = ManualLoop()
        self._orders = orders
        self._left = attrs.asdict(budget)
        self._sends = {order.name: budget.sends for order in orders}
        self._log = SharedLog()
        self._keepers = [Controller(self._log, place) for place in range(keepers)]
        self._attempts: list[Attempt] = []
        self._acknowledged: set[str] = set()
        self._refused: set[str] = set()  # orders that were not sent again since they were refused

    def close(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_idle()
        self._loop.close()

    # What may happen

    def next_events(self) -> Iterator[Event]:
        for number, order in enumerate(self._orders):
            if self._sends[order.name]:
                yield from (Event("send", place, number) for place in range(len(self._keepers)))
        if self._log.primary != NOBODY:
            yield from self._events_of_primary(self._log.primary)
        if self._left["take_overs"]:
            yield from self._take_overs()
        yield from self._events_of_keepers()

    def _events_of_primary(self, place: int) -> Iterator[Event]:
        if self._log.pending:
            yield Event("commit", place)
        if self._log.lease and self._left["pauses"]:
            yield Event("lease lost", place)
        if not self._log.lease:
            yield Event("lease renewed", place)

    def _take_overs(self) -> Iterator[Event]:
        for place in range(len(self._keepers)):
            for kept in range(len(self._log.pending) + 1):
                yield Event("take over", place, kept)

    def _events_of_keepers(self) -> Iterator[Event]:
        for place, keeper in enumerate(self._keepers):
            if keeper.group.applied < len(self._log.committed):
                yield Event("learn", place)
            if self._left["crashes"]:
                yield Event("crash", place)
        if self._left["time_outs"] and self._open():
            yield Event("time-out")
        if self._left["gone"]:
            for attempt in self._open():
                yield Event("gone", attempt.place, self._orders.index(attempt.order))

    def _open(self) -> list[Attempt]:
        return [attempt for attempt in self._attempts if not attempt.task.done()]

    # Playing

    def play(self, event: Event) -> None:
        if event.name == "send":
            self._send(self._orders[event.number], event.place)
        elif event.name == "commit":
            self._log.commit_first()
            self._keepers[self._log.primary].group.learn()
        elif event.name == "learn":
            self._keepers[event.place].group.learn()
        elif event.name == "take over":
            self._left["take_overs"] -= 1
            self._log.take_over(event.place, event.number)
            self._keepers[event.place].group.learn()
        else:
            self._play_fault(event)
        self._loop.run_until_idle()
        self._judge()

    def _play_fault(self, event: Event) -> None:
        if event.name == "lease lost":
            self._left["pauses"] -= 1
            self._log.lease = False
        elif event.name == "lease renewed":
            self._log.lease = True
        elif event.name == "time-out":
            self._left["time_outs"] -= 1
            self._loop.pass_time(DECISION_TIMEOUT_S)
        elif event.name == "gone":
            self._left["gone"] -= 1
            self._cancel(event.place, self._orders[event.number])
        elif event.name == "crash":
            self._left["crashes"] -= 1
            self._cancel(event.place)
            self._loop.run_until_idle()
            self._keepers[event.place] = Controller(self._log, event.place)
            if self._log.primary == event.place:
                self._log.primary = NOBODY  # it leads again only in a new epoch
                self._log.lease = False

    def _send(self, order: Order, place: int) -> None:
        self._sends[order.name] -= 1
        self._refused.discard(order.name)
        coroutine = self._keepers[place].decisions.put(order.body, order.base_version)
        self._attempts.append(Attempt(order, place, self._loop.create_task(coroutine)))

    def _cancel(self, place: int, order: Order | None = None) -> None:
        for attempt in self._open():
            if attempt.place == place and order in (None, attempt.order):
                attempt.task.cancel()

    # Judging

    def _judge(self) -> None:
        history = taken(self._log.committed)
        for attempt in self._attempts:
            if attempt.task.done() and not attempt.judged:
                attempt.judged = True
                self._judge_answer(attempt)
        for name in self._refused:
            order = next(order for order in self._orders if order.name == name)
            require(not took_effect(order, history), f"{name} took effect after it was refused")
        check_together(self._orders, self._acknowledged)
        for keeper in self._keepers:
            if keeper.group.is_confirmed_primary():
                newest = keeper.group.state.configuration
                check_newest(self._orders, self._acknowledged, newest.version, newest.document)

    def _judge_answer(self, attempt: Attempt) -> None:
        if attempt.task.cancelled():
            return
        answer = attempt.task.result()
        history = taken(self._log.committed)
        if isinstance(answer, Ok):
            check_acknowledged(attempt.order, history)
            self._acknowledged.add(attempt.order.name)
        elif isinstance(answer, Err) and answer.err_value.kind in REFUSALS:
            check_refused(attempt.order, history)
            if all(other.order != attempt.order for other in self._open()):
                self._refused.add(attempt.order.name)
        elif isinstance(answer, Err) and answer.err_value.kind in SENT_ON:
            self._sends[attempt.order.name] += 1
            if sum(other.order == attempt.order for other in self._attempts) == 1:
                check_untouched(attempt.order, (*self._log.committed, *self._log.pending))

    # Telling states apart

    def key(self) -> bytes:
        log = self._log
        content = (
            (log.epoch, log.primary, log.lease),
            [(entry.epoch, entry.command) for entry in (*log.committed, *log.pending)],
            [self._keeper_key(keeper) for keeper in self._keepers],
            [self._attempt_key(attempt) for attempt in self._open()],
            sorted(self._acknowledged),
            sorted(self._refused),
            sorted(self._left.items()),
            sorted(self._sends.items()),
        )
        return digest(content)

    def _keeper_key(self, keeper: Controller) -> Any:
        waiting = keeper.group.proposals._pending
        proposals = [(index, waiting[index].epoch, waiting[index].future.done()) for index in sorted(waiting)]
        return keeper.group.applied, proposals, _flags(keeper.decisions)

    def _attempt_key(self, attempt: Attempt) -> Any:
        return attempt.order.name, attempt.place, _awaiting(attempt.task.get_coro())


def _flags(value: Any) -> list[tuple[str, bool]]:
    """What the decisions remember between two orders."""
    found: list[tuple[str, bool]] = []
    for name, field in sorted(vars(value).items()):
        if isinstance(field, bool):
            found.append((name, field))
        elif type(field).__name__ == "BarrierProposer":
            found.extend(_flags(field))
    return found


def _awaiting(coroutine: Any) -> list[tuple[str, int]]:
    """Where a coroutine and those that it awaits stand."""
    found: list[tuple[str, int]] = []
    while getattr(coroutine, "cr_frame", None) is not None:
        found.append((coroutine.cr_code.co_name, coroutine.cr_frame.f_lineno))
        coroutine = coroutine.cr_await
    return found
