"""Tests the replicated state of batch jobs by applying commands."""

from __future__ import annotations

from batch_support import item, job
from pytest import MonkeyPatch

from cherrycove.tier.batch.jobs import recent_bodies
from cherrycove.tier.batch.jobs.commands import (
    accept_command,
    end_command,
    failures_command,
    forget_command,
    item_result,
    results_command,
)
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.jobs.state import AcceptOutcome, EndOutcome, JobsState


def record(state: JobsState, job_id: str, item_id: str, text: bytes, completed: bool = True) -> None:
    state.apply(0, results_command([item_result(ItemKey(job_id, item_id), text, completed=completed)]))


def result_list(state: JobsState, job_id: str) -> list[tuple[str, bool, bytes]]:
    return [(result.item_id, result.completed, result.text) for result in state.jobs[job_id].results]


def test_job_submitted_twice_is_accepted_once() -> None:
    state = JobsState()
    assert state.apply(1, accept_command(job("j", "a", "b"), 5)) is AcceptOutcome.ACCEPTED
    record(state, "j", "a", b"text")
    assert state.apply(3, accept_command(job("j", "a", "b"), 9)) is AcceptOutcome.ALREADY_ACCEPTED
    assert result_list(state, "j") == [("a", True, b"text")]
    assert state.jobs["j"].received_unix_ms == 5


def test_first_result_of_an_item_keeps_its_position() -> None:
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b", "c"), 0))
    record(state, "j", "b", b"first")
    record(state, "j", "a", b"422", completed=False)
    record(state, "j", "b", b"second")
    record(state, "j", "a", b"late")
    record(state, "j", "unknown", b"x")
    record(state, "other", "a", b"x")
    assert result_list(state, "j") == [("b", True, b"first"), ("a", False, b"422")]
    assert state.jobs["j"].unfinished_item_ids() == ["c"]
    assert not state.jobs["j"].is_done
    record(state, "j", "c", b"")
    assert state.jobs["j"].is_done


def test_results_after_the_end_are_ignored() -> None:
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b"), 0))
    record(state, "j", "a", b"text")
    assert state.apply(2, end_command("j")) is EndOutcome.ENDED
    assert state.apply(3, end_command("j")) is EndOutcome.ENDED
    assert state.apply(4, end_command("other")) is EndOutcome.UNKNOWN
    record(state, "j", "b", b"late")
    assert result_list(state, "j") == [("a", True, b"text")]


def test_only_jobs_that_are_done_can_be_forgotten() -> None:
    state = JobsState()
    for job_id in ("open", "ended", "complete"):
        state.apply(1, accept_command(job(job_id, "a"), 0))
    state.apply(2, end_command("ended"))
    record(state, "complete", "a", b"text")
    state.apply(3, forget_command(["open", "ended", "complete", "unknown"]))
    assert list(state.jobs) == ["open"]


def test_stored_bytes_return_to_zero() -> None:
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b"), 0))
    record(state, "j", "a", b"text")
    assert state.stored_bytes > 0
    state.apply(2, end_command("j"))
    state.apply(3, forget_command(["j"]))
    assert state.stored_bytes == 0


def test_bodies_of_unfinished_items_are_kept_and_the_oldest_of_finished_items_dropped(
    monkeypatch: MonkeyPatch,
) -> None:
    monkeypatch.setattr(recent_bodies, "MAX_RECENT_COUNT", 2)
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b", "c", "d"), 0))
    for item_id in ("a", "b", "c"):
        record(state, "j", item_id, b"text")
    assert [state.body(ItemKey("j", name)) for name in "abcd"] == [None, b"prompt", b"prompt", b"prompt"]
    assert state.body(ItemKey("j", "unknown")) is None
    assert state.body(ItemKey("unknown", "a")) is None


def test_snapshot_restores_the_same_state(monkeypatch: MonkeyPatch) -> None:
    monkeypatch.setattr(recent_bodies, "MAX_RECENT_COUNT", 2)
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b", "c", "d"), 77))
    state.apply(2, accept_command(job("k", "a"), 78))
    for item_id in ("d", "a", "c"):
        record(state, "j", item_id, f"text of {item_id}".encode())
    state.apply(3, end_command("k"))
    copy = JobsState()
    copy.apply(1, accept_command(job("stale", "a"), 0))
    copy.restore(state.snapshot())
    assert copy.jobs == state.jobs
    assert copy.stored_bytes == state.stored_bytes
    assert copy.snapshot() == state.snapshot()
    for replica in (state, copy):
        record(replica, "j", "b", b"last")
    assert copy.jobs == state.jobs
    assert copy.body(ItemKey("j", "a")) is None


def test_failure_counts_never_decrease_and_survive_a_snapshot() -> None:
    state = JobsState()
    state.apply(1, accept_command(job("j", "a", "b"), 0))
    for count in (1, 2, 1):
        state.apply(2, failures_command(ItemKey("j", "a"), count))
    state.apply(3, failures_command(ItemKey("j", "unknown"), 1))
    state.apply(4, failures_command(ItemKey("unknown", "a"), 1))
    copy = JobsState()
    copy.restore(state.snapshot())
    assert [item.failed_attempts for item in copy.jobs["j"].items.values()] == [2, 0]
    assert copy.jobs == state.jobs


def test_replicas_that_apply_the_same_commands_have_equal_state() -> None:
    twice = [item_result(ItemKey("j", "b"), text, completed=True) for text in (b"1", b"2")]
    commands = [
        accept_command(job("j", "a", "b"), 1),
        results_command(twice),
        accept_command(job("j", "a", "b"), 2),
        end_command("j"),
        results_command([item_result(ItemKey("j", "a"), b"3", completed=True)]),
    ]
    replicas = [JobsState(), JobsState()]
    for index, command in enumerate(commands):
        for replica in replicas:
            replica.apply(index, command)
    assert replicas[0].snapshot() == replicas[1].snapshot()
    assert result_list(replicas[0], "j") == [("b", True, b"1")]


def test_stored_item_equals_the_submitted_item() -> None:
    state = JobsState()
    state.apply(1, accept_command(job("j", "a"), 0))
    copy = type(item("a")).FromString(state.jobs["j"].items["a"].encoded)
    assert copy == item("a")
