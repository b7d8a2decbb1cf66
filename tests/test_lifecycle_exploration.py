"""Explores all states that a process, its successor and a third process can reach in their lifecycle.

A state consists of each process's ``LifecycleState`` and the messages in flight between the processes. A
message may be delayed behind any other event, the message ``serving`` may arrive twice, and any process may
be killed or told to shut down at any point. Not covered: a process that does not answer for longer than its
time-outs, so that the other one continues without it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import astuple, replace
from typing import NamedTuple

import pytest

from cherrycove.broker.lifecycle.state_machine import LifecycleState

MAX_PROCESSES = 3


class Process(NamedTuple):
    """One process; ``predecessor`` and ``successor`` are numbers of processes, -1 for none.

    Its phases, in their order: "none" (not started), "requesting" (the handover), "granted", "serving" (until
    the predecessor has acknowledged), "in service" (a YES to ``status`` tells the operators that it serves).
    """

    alive: bool = False
    phase: str = "none"
    predecessor: int = -1
    successor: int = -1
    lifecycle: LifecycleState = LifecycleState(1024, 80.0)


class State(NamedTuple):
    processes: tuple[Process, ...]
    in_flight: tuple[
        tuple[int, int, str], ...
    ] = ()  # source, target, message; in order for each source and target
    listener: int = 0  # the process that the next one to start finds
    kills_left: int = 1  # how many kills, shutdowns and duplicated messages may still happen
    shutdowns_left: int = 2
    duplicates_left: int = 1
    violation: str = ""

    def key(self) -> tuple[object, ...]:
        return (tuple((p[:4], astuple(p.lifecycle)) for p in self.processes), self.in_flight, *self[2:])

    def with_process(self, number: int, **changes: object) -> State:
        changed = self.processes[number]._replace(**changes)  # type: ignore[arg-type]
        return self._replace(processes=(*self.processes[:number], changed, *self.processes[number + 1 :]))

    def send(self, *messages: tuple[int, int, str]) -> State:
        return self._replace(
            in_flight=(*self.in_flight, *(each for each in messages if self.processes[each[1]].alive))
        )


def apply_event(state: State, number: int, event: str, *arguments: object) -> tuple[State, bool]:
    """Return the state after an event of ``LifecycleState``, and the result of the event's method."""
    lifecycle = replace(state.processes[number].lifecycle)
    answer = getattr(lifecycle, event)(*arguments)
    return state.with_process(number, lifecycle=lifecycle), bool(answer)


def initial_state() -> State:
    state = State((Process(True, "in service"), *[Process()] * (MAX_PROCESSES - 1)))
    return apply_event(state, 0, "serving_started")[0]


def process_ended(state: State, number: int) -> State:
    """Return the state after a process was killed or ended.

    Messages in flight to it are lost; the others see its end after all messages that it has sent.
    """
    ended = state.processes[number]
    remaining = tuple(each for each in state.in_flight if each[1] != number)
    state = state._replace(in_flight=remaining).with_process(number, alive=False)
    for other in {ended.predecessor, ended.successor} - {-1}:
        if state.processes[other].alive:
            state = state.send((number, other, "gone"))
    return state


def transitions(state: State, locked: bool = True) -> Iterator[tuple[str, State]]:
    """Yield each possible next step and the state after it; ``locked``: processes start one at a time."""
    starting = any(
        each.alive and each.phase in ("requesting", "granted", "serving") for each in state.processes
    )
    for number, each in enumerate(state.processes):
        if starting and locked:
            break  # the next process waits for the start lock
        if each.phase == "none" and number and state.processes[number - 1].phase != "none":
            if not any(p.alive for p in state.processes):
                continue
            other = state.listener
            if state.processes[other].alive:
                requesting = state.with_process(number, alive=True, phase="requesting", predecessor=other)
                yield (
                    f"{number} requests the handover from {other}",
                    requesting.send((number, other, "hello")),
                )
            elif not any(message == "gone" for _, _, message in state.in_flight):
                yield (
                    f"{number} finds no process in service",
                    apply_event(
                        state.with_process(number, alive=True, phase="in service"), number, "serving_started"
                    )[0]._replace(listener=number),
                )
            break
    for number, each in enumerate(state.processes):
        if not each.alive:
            continue
        if each.phase == "granted":
            serving, _ = apply_event(state.with_process(number, phase="serving"), number, "serving_started")
            if each.lifecycle.has_predecessor:
                yield f"{number} serves", serving.send((number, each.predecessor, "serving"))
            else:  # its predecessor has ended meanwhile
                yield (
                    f"{number} serves alone",
                    serving.with_process(number, phase="in service")._replace(listener=number),
                )
        if state.kills_left:
            yield (
                f"{number} is killed",
                process_ended(state, number)._replace(kills_left=state.kills_left - 1),
            )
        if state.shutdowns_left and not each.lifecycle.is_shutting_down and each.phase == "in service":
            yield (
                f"{number} is told to shut down",
                apply_event(state, number, "shutdown_started")[0]._replace(
                    shutdowns_left=state.shutdowns_left - 1
                ),
            )
        if each.lifecycle.is_shutting_down:
            yield f"{number} ends", process_ended(state, number)
    seen: set[tuple[int, int]] = set()
    for position, (source, target, message) in enumerate(state.in_flight):
        if (source, target) in seen:
            continue
        seen.add((source, target))
        rest = state._replace(in_flight=state.in_flight[:position] + state.in_flight[position + 1 :])
        yield f"{target} receives {message} from {source}", deliver(rest, source, target, message)
        if message == "serving" and state.duplicates_left:
            yield (
                f"{target} receives {message} from {source}, which will arrive again",
                deliver(state._replace(duplicates_left=0), source, target, message),
            )


def deliver(state: State, source: int, target: int, message: str) -> State:
    each = state.processes[target]
    if message == "hello":
        if not each.lifecycle.can_grant_handover():
            return state.send((target, source, "busy"))
        return apply_event(state.with_process(target, successor=source), target, "successor_found")[0].send(
            (target, source, "grant")
        )
    if message == "busy":
        return state.with_process(target, phase="none", alive=False)  # it will request the handover again
    if message == "grant":
        return apply_event(state.with_process(target, phase="granted"), target, "predecessor_found")[0]
    if message == "serving":
        after, stops = apply_event(state, target, "successor_serving")
        if stops and (each.lifecycle.has_handed_over or each.lifecycle.is_shutting_down):
            after = after._replace(violation="handed over twice or while shutting down")
        return after.send((target, source, "ack"))
    if message == "ack":
        return state.with_process(target, phase="in service")._replace(listener=target)
    assert message == "gone"
    if each.predecessor == source:
        if each.phase == "requesting":  # the connection broke before the answer: there is no predecessor
            alone, _ = apply_event(
                state.with_process(target, phase="in service", predecessor=-1), target, "serving_started"
            )
            return alone._replace(listener=target)
        state, _ = apply_event(state, target, "predecessor_gone")
        state = state.with_process(target, predecessor=-1)
        return (
            state.with_process(target, phase="in service")._replace(listener=target)
            if each.phase == "serving"
            else state
        )
    if each.successor != source:
        return state  # its request was answered with busy, so there is no link to it
    state, _ = apply_event(state.with_process(target, successor=-1), target, "successor_gone")
    return state._replace(listener=target)  # it listens for the next process again


def violated_rule(state: State) -> str:
    """Return the first rule that the state violates, or an empty string."""
    if state.violation:
        return state.violation
    alive_processes = [each for each in state.processes if each.alive]
    serving_processes = [each for each in alive_processes if each.phase in ("serving", "in service")]
    if sum(each.lifecycle.budget().fraction for each in serving_processes) > 1.0:
        return "the budgets add up to more than one"
    if sum(each.lifecycle.is_snapshot_writer and each.phase == "in service" for each in alive_processes) > 1:
        return "two processes write the snapshot"
    for each in alive_processes:
        predecessor = state.processes[each.predecessor] if each.predecessor >= 0 else None
        if (
            each.phase == "in service"
            and predecessor
            and predecessor.alive
            and predecessor.lifecycle.is_accepting
            and not predecessor.lifecycle.is_shutting_down
        ):
            return "reported ready while the predecessor accepts"
    if (
        not state.in_flight
        and any(not each.lifecycle.is_shutting_down for each in serving_processes)
        and not any(each.lifecycle.is_accepting for each in serving_processes)
    ):
        return "no process accepts"
    if (
        not state.in_flight
        and sum(
            each.lifecycle.is_accepting and not each.lifecycle.is_shutting_down for each in serving_processes
        )
        > 1
    ):
        return "two processes accept"
    return ""


def explore(locked: bool = True) -> tuple[int, str, list[str]]:
    """Visit every reachable state, up to the first violated rule.

    Returns:
        The number of states, and the violated rule with the steps that lead to it, both empty if none.
    """
    start = initial_state()
    seen, unexplored = {start.key()}, [(start, ())]
    while unexplored:
        state, path = unexplored.pop()
        for step, after in transitions(state, locked):
            if after.key() in seen:
                continue
            seen.add(after.key())
            next_path = (*path, step)
            if rule := violated_rule(after):
                return len(seen), rule, list(next_path)
            unexplored.append((after, next_path))  # type: ignore[arg-type]
    return len(seen), "", []


def test_no_order_of_events_violates_a_rule() -> None:
    states, rule, path = explore()
    assert not rule, (rule, path)
    assert states > 1000


def test_without_the_start_lock_simultaneous_starts_exceed_the_budget() -> None:
    assert explore(locked=False)[1] == "the budgets add up to more than one"


def _hand_over_always(lifecycle: LifecycleState) -> bool:
    lifecycle.has_handed_over, lifecycle.is_accepting = True, False
    return True


def _do_not_accept_again(lifecycle: LifecycleState) -> bool:
    lifecycle.has_successor = False
    return False


def _record_nothing(lifecycle: LifecycleState) -> None:
    """Do not record the event, so that the process still counts as alone or as not accepting."""


@pytest.mark.parametrize(
    ("name", "replacement", "rule"),
    [
        ("successor_found", _record_nothing, "the budgets add up to more than one"),
        ("predecessor_found", _record_nothing, "the budgets add up to more than one"),
        ("can_grant_handover", lambda lifecycle: True, "the budgets add up to more than one"),
        ("successor_gone", _do_not_accept_again, "no process accepts"),
        ("successor_serving", lambda lifecycle: False, "two processes write the snapshot"),
        ("successor_serving", _hand_over_always, "handed over twice or while shutting down"),
        ("is_snapshot_writer", property(lambda lifecycle: True), "two processes write the snapshot"),
        ("serving_started", _record_nothing, "no process accepts"),
    ],
)
def test_a_faulty_state_machine_is_detected(
    name: str, replacement: Callable[..., object], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(LifecycleState, name, replacement)
    assert explore()[1] == rule


def test_two_processes_together_stay_within_the_budget_of_one() -> None:
    predecessor, successor = LifecycleState(1024, 80.0), LifecycleState(1024, 80.0)
    alone = predecessor.budget()
    predecessor.serving_started()
    predecessor.successor_found()
    successor.predecessor_found()
    successor.serving_started()
    assert predecessor.successor_serving()
    budgets = predecessor.budget(), successor.budget()
    assert sum(each.fraction for each in budgets) == alone.fraction and not any(
        each.exchanges_capacity for each in budgets
    )
    assert (
        sum(each.node_connections for each in budgets) <= alone.node_connections
        and sum(each.body_bytes for each in budgets) <= alone.body_bytes
    )
    for open_requests in (0, 40, 300):
        successor.predecessor_reported(open_requests)
        assert (
            successor.budget().open_requests <= alone.open_requests
            and successor.budget().open_requests >= alone.open_requests // 2
        )
    successor.predecessor_gone()
    assert successor.budget() == alone
