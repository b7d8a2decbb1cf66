"""The simulator codec and host: round trips, malformed input, faults and restarts. Settings are made up."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrycove.scheduling import interface as api
from cherrycove.scheduling import simulator_codec as wire
from cherrycove.scheduling import simulator_host as simulator_host

SECOND = 10**9
INFO: dict[str, Any] = {
    "balancers": 2,
    "tickNs": 2_000_000,
    "discovery": "on_request",
    "novelty": {"x": 1},
    "classes": [
        {
            "name": "read",
            "aimNs": SECOND // 2,
            "deadlineNs": 3 * SECOND,
            "idempotency": "pure",
            "gain": 1.0,
            "lateValue": 0.1,
            "group": "all",
            "windowNs": 0,
        },
        {
            "name": "new",
            "aimNs": SECOND,
            "deadlineNs": 4 * SECOND,
            "idempotency": "side_effect",
            "gain": 2.0,
            "serialByKey": True,
            "later": "key",
        },
    ],
    "policies": [
        {
            "name": "p",
            "nominal": 4.0,
            "floorRate": 2.0,
            "parts": 1.0,
            "valueFactor": 1.0,
            "ceilingRate": 10.0,
            "burst": 20.0,
            "capSlack": 2.0,
        }
    ],
    "familyInfo": {
        "coldBears": 30.0,
        "maxUnits": 6,
        "usualUnits": 2.0,
        "withinShare": 0.3,
        "beyondShare": 0.1,
        "writes": [False, True],
        "meterNs": SECOND,
    },
    "guarantees": {
        "graceToAnswerNs": 8_000_000,
        "fallNs": 2 * SECOND,
        "startCapacity": 0.2,
        "warmAfterNs": 10 * SECOND,
        "drainGraceNs": SECOND,
        "askWithinNs": 10 * SECOND,
        "spareAttempts": 3.0,
        "extraRatio": 0.1,
        "lookBackNs": 5 * SECOND,
        "orderSettleNs": SECOND,
    },
    "limits": {
        "maxAttempts": 3,
        "maxRetryAfterNs": SECOND,
        "retryAfter": True,
        "cancel": True,
        "probing": True,
    },
    "feedback": {"how": "none", "names": []},
}
START = [
    f"ENLIST schedulerId=1 entropy=5 info={json.dumps(INFO)}",
    "SHEET table=0 entries=1",
    "SERVER weight=1 kind=0 site=0 pod=0 server=server_a condition=up",
    "MEMBERS schedulerId=1 rev=1 form=restored table=0",
]
ARRIVAL = (
    "ARRIVAL schedulerId=1 handle=7 class=0 contract=0 blockKey=00ab budgetNs=3000000000 disk=d quotaUnits=2 "
    "slotNo=0 hosts=1"
)


def run(*batches: list[str]) -> tuple[list[list[str]], str]:
    text = "".join(
        "\n".join([f"SYNC simTimeNs={(n + 1) * SECOND}", *lines, "END", ""])
        for n, lines in enumerate(batches)
    )
    sink, errors = io.StringIO(), io.StringIO()
    simulator_host.run(io.StringIO(text), sink, errors)
    replies = sink.getvalue().split("READY\n")
    assert replies.pop() == ""
    return [reply.splitlines() for reply in replies], errors.getvalue()


def test_settings_are_read_in_seconds_and_unknown_keys_skipped() -> None:
    got = wire.parse_settings(json.dumps(INFO))
    assert got.classes[0].aim == pytest.approx(0.5) and got.classes[1].effect is api.Effect.UNSAFE
    assert got.classes[1].ordered and not got.classes[0].ordered
    assert (
        got.extra_spare == 3.0
        and got.extra_window == pytest.approx(5)
        and got.order_settle == pytest.approx(1)
    )
    assert got.list_on_request and got.plans[0].burst == 20.0


def test_a_missing_retry_budget_stays_missing() -> None:
    rules = {
        k: v for k, v in INFO["guarantees"].items() if k not in ("spareAttempts", "extraRatio", "lookBackNs")
    }
    assert wire.parse_settings(json.dumps(INFO | {"guarantees": rules})).extra_spare is None


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{}",
        "{",
        '{"classes": 3}',
        json.dumps(INFO | {"classes": [{}]}),
        json.dumps(INFO | {"balancers": "two"}),
        json.dumps(INFO | {"limits": 1}),
        json.dumps(INFO | {"discovery": 1, "balancers": 0}),
    ],
)
def test_unusable_settings_are_a_value_error(text: str) -> None:
    with pytest.raises(ValueError):
        wire.parse_settings(text)


def test_event_lines_are_parsed_into_events() -> None:
    event = wire.parse_event("ARRIVAL", wire.parse_fields(ARRIVAL + " later=1"), {})
    assert event == api.RequestArrival(7, 0, 0, "d", 2.0, 0, 1, pytest.approx(3.0), "00ab")
    fresh = wire.parse_event(
        "ARRIVAL", wire.parse_fields(ARRIVAL.replace("slotNo=0", "slotNo=-1") + " resent=1"), {}
    )
    assert isinstance(fresh, api.RequestArrival) and fresh.shard is None and fresh.repeat
    reply = wire.parse_event(
        "REPLY",
        wire.parse_fields(
            "REPLY schedulerId=1 handle=7 trial=0 seenUse=86 code=S server=a "
            "elsewhere=3 complete=1 latencyNs=18500000 healthInfo=pending:4,x:"
        ),
        {},
    )
    assert reply == api.AttemptEnd(
        7, 0, "a", api.Outcome.SERVED, True, pytest.approx(0.0185), pytest.approx(0.85), 3.0, {"pending": 4.0}
    )


ids = st.integers(0, 2**52 - 1)
times = st.integers(0, 10**13)


@settings(derandomize=True, max_examples=100)
@given(ids, ids, times)
def test_actions_carry_ids_and_times_exactly(who: int, request: int, when: int) -> None:
    send = wire.parse_fields(
        wire.format_action(who, api.Send(request, "server_x", when * 1e-9 if when else None))
    )
    assert send["schedulerId"] == str(who) and send["handle"] == str(request) and send["server"] == "server_x"
    assert int(send.get("capNs", "0")) == when
    assert wire.parse_fields(wire.format_action(who, api.SetTimer(request, when * 1e-9)))[
        "sleepForNs"
    ] == str(when)
    for act, word in (
        (api.Refuse(request), "REJECT"),
        (api.Fail(request), "END_FAILED"),
        (api.Cancel(request, 1), "REVOKE"),
    ):
        line = wire.format_action(who, act)
        assert line.startswith(word + " ") and wire.parse_fields(line)["handle"] == str(request)


def test_report_and_fault_texts_stay_on_one_line() -> None:
    assert (
        wire.format_action(1, api.Report("a\nREADY\r\nb")) == "JOURNAL_LINE schedulerId=1 noteText=a READY b"
    )
    assert "\n" not in wire.format_fault(1, "x\nEND")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.text(max_size=60).filter(lambda t: t.strip() != "END"), max_size=4),
    st.sampled_from(["ARRIVAL ", "REPLY ", "MEMBERS ", "TIMER ", "SHEET ", "ECHO ", "FIRST ", ""]),
)
def test_hostile_lines_never_stop_the_host(texts: list[str], word: str) -> None:
    lines = [word + " ".join(text.split()) for text in texts]
    replies, _ = run(START, [line for line in lines if line != "END"], [ARRIVAL])
    assert any(line.startswith("CALL_OUT schedulerId=1 handle=7 ") for line in replies[-1])


def test_a_malformed_line_is_reported_and_the_others_are_processed() -> None:
    replies, errors = run(START, ["REPLY schedulerId=1 handle=x trial=0 code=S server=a", ARRIVAL])
    assert "handle is not a whole number: 'x'" in errors and "REPLY schedulerId=1" in errors
    assert replies[1][0].startswith("CALL_OUT")


def test_unknown_events_are_skipped_silently() -> None:
    replies, errors = run(START, ["NOVELTY schedulerId=1 a=b"])
    assert replies[1] == [] and errors == ""


def test_an_exception_in_a_scheduler_is_reported_as_a_fault_line(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, now: float, events: list[api.Event]) -> list[api.Action]:
        raise RuntimeError("no such thing")

    monkeypatch.setattr("cherrycove.scheduling.scheduler.Scheduler.handle", broken)
    replies, _ = run(START)
    assert replies[0] == ["BAIL_OUT schedulerId=1 noteText=RuntimeError: no such thing"]


def test_a_scheduler_that_cannot_start_is_reported_and_others_are_unaffected() -> None:
    bad = "ENLIST schedulerId=2 entropy=5 info=" + json.dumps(INFO | {"balancers": 0})
    replies, errors = run([*START, bad], [ARRIVAL])
    assert any(
        line.startswith("BAIL_OUT schedulerId=2 noteText=cannot start: schedulers") for line in replies[0]
    )
    assert replies[1][0].startswith("CALL_OUT schedulerId=1") and "schedulers" in errors


def test_a_stopped_scheduler_ignores_events_and_a_new_one_starts_without_state() -> None:
    replies, _ = run(
        START,
        [ARRIVAL, "DOWN schedulerId=1"],
        ["TIMER schedulerId=1 nonce=0"],
        START,
        [ARRIVAL.replace("handle=7", "handle=8")],
    )
    assert replies[1] == [] and replies[2] == []
    assert replies[4][0].startswith("CALL_OUT schedulerId=1 handle=8")


def test_a_node_list_number_refers_to_the_latest_list_before_the_event() -> None:
    other = [line.replace("server_a", "server_b") for line in START[1:3]]
    replies, _ = run(
        [*START[:4], *other], [*START[1:3], START[3].replace("restored", "replace"), *other, ARRIVAL]
    )
    assert replies[1][0].endswith("server=server_a")


def test_the_end_of_input_is_a_clean_exit() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "cherrycove.scheduling.simulator_host"],
        input="SYNC simTimeNs=5\nEND\n",
        text=True,
        capture_output=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, "READY\n", "")
