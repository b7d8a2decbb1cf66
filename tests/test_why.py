"""The decision log: codec, ring buffer, limits of bytes, correlation of retries, queries and sketches."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
from dataclasses import replace
from typing import Any

import ddsketch
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import PLATFORM, corrupted, fuzz, run

from cherrycove.broker.core import Attempt, Ending, Request, RequestSummary, Verdict
from cherrycove.broker.decision_log import formatting, queries, retries
from cherrycove.broker.decision_log import log as log_module
from cherrycove.broker.decision_log.bloom_filter import RotatingBloomFilter
from cherrycove.broker.decision_log.codec import (
    AttemptRecord,
    DecodeError,
    RequestRecord,
    is_notable,
    pack,
    unpack,
)
from cherrycove.broker.decision_log.log import MIN_BYTES, MIN_BYTES_FOR_SKETCHES, DecisionLog, to_record
from cherrycove.broker.decision_log.ring_buffer import RingBuffer
from cherrycove.broker.decision_log.sketches import OPEN_MINUTE_BYTES, Sketches, SpaceSaving
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling.interface import Code, Reason

SETTINGS = PLATFORM.settings
HEX = "7f3a9c21e0b4d655"
SENT = Reason(Code.CREDIT, "s-1", "", 4.0, 1, 0, 2.5, 0.021, 0.0, 0.0, 0)
NAMES = st.one_of(
    st.integers(0, 2**64 - 1).map(lambda n: f"{n:016x}"),
    st.text(max_size=40),
    st.sampled_from(["", "A" * 16, "\x1b[31m", "<b>", "a\nYES", "\udc80"]),
)
HALVES = st.sampled_from([0.0, 0.5, -3.0, 4.0, 12.25])
MS = st.integers(0, 60_000).map(lambda n: n / 1000)


def reasons(codes: range, **fixed: Any) -> st.SearchStrategy[Reason]:
    return st.builds(
        Reason,
        st.sampled_from([c for c in Code if int(c) in codes]),
        st.sampled_from(["s-1", "s-2"]),
        threshold=HALVES,
        out=st.integers(0, 255),
        queued=st.integers(0, 255),
        credits=HALVES,
        wait=MS,
        **fixed,
    )


ATTEMPTS = st.builds(
    lambda why, at, took, ending: AttemptRecord(why.node, why, at, took, ending),
    reasons(range(1, 6), place=st.just(""), left=st.just(0.0), refill=st.just(0.0), epoch=st.just(0)),
    MS,
    MS,
    st.sampled_from([*Ending, None]),
)
RECORDS = st.builds(
    RequestRecord,
    NAMES,
    NAMES,
    st.integers(0, 10**7).map(lambda n: n / 1000),
    MS,
    st.sampled_from(["served", "refused", "failed", "gone"]),
    st.sampled_from([*LocalCode, *Code]),
    st.sampled_from(["http", "nbd"]),
    st.sampled_from([None, 0, 2]),
    st.sampled_from([None, 1]),
    HALVES,
    st.sampled_from([None, 0, 7]),
    st.booleans(),
    NAMES,
    st.integers(0, 255),
    st.lists(ATTEMPTS, max_size=3),
    st.none(),
    st.integers(0, 2**32 - 1),
)
NODES = {"s-1": 0, "s-2": 1}


def make_record(
    id: str = "a1", ended_at: float = 10.0, verdict: str = "refused", **more: Any
) -> RequestRecord:
    code = more.pop("code", LocalCode.SERVED if verdict == "served" else Code.NO_CREDIT)
    attempts = [AttemptRecord("s-1", SENT, 0.001, 0.02, Ending.SERVED)] if verdict == "served" else []
    if isinstance(code, Code):
        more.setdefault("reason", Reason(code))
    return RequestRecord(
        id,
        more.pop("volume", HEX),
        ended_at,
        0.02,
        verdict,
        code,
        cls=0,
        plan=0,
        units=2.0,
        shard=0,
        attempts=more.pop("attempts", attempts),
        **more,
    )


@fuzz
@given(
    RECORDS,
    reasons(
        range(16, 31),
        place=st.sampled_from(["", "lane", "queue"]),
        left=MS,
        refill=MS,
        epoch=st.integers(0, 2**32 - 1),
    ),
)
def test_decoding_restores_an_encoded_record(record: RequestRecord, why: Reason) -> None:
    if record.verdict == "served":
        record = replace(record, object_hash=0)
    elif isinstance(record.code, Code):
        record = replace(record, reason=why._replace(code=record.code, left=min(why.left, 32.0)))
    if not record.original_id:
        record = replace(record, candidates=0)
    back = unpack(b"xx" + pack(record, NODES), 2, record.ended_at + 5.0, list(NODES))
    assert back == record
    assert is_notable(back) == is_notable(record)


@pytest.mark.parametrize("ended_at", (0.001, 1.005, 8.041, 4108.565))
@pytest.mark.parametrize("verdict", ("served", "refused"))
def test_an_end_is_restored_to_the_millisecond_also_at_that_very_moment(
    ended_at: float, verdict: str
) -> None:
    record = pack(make_record(ended_at=ended_at, verdict=verdict), NODES)
    assert unpack(b"xx" + record, 2, ended_at, list(NODES)).ended_at == ended_at
    ring = RingBuffer(6000)
    ring.add(record, 1, 1, ended_at)
    assert [unpack(ring.data, at, ended_at, list(NODES)).ended_at for at in ring.since(ended_at)] == [
        ended_at
    ]


@fuzz
@given(corrupted(pack(make_record("an id that is no hex", original_id="b"), NODES)))
def test_malformed_records_are_rejected_or_decoded_within_their_bytes(data: bytes) -> None:
    try:
        back = unpack(data, 0, 100.0, list(NODES))
    except DecodeError as error:
        assert str(error)
    else:
        assert formatting.format_lines(back, SETTINGS, 100.0, 1e9) and len(back.attempts) <= 15


@fuzz
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3), st.integers(0, 120)), max_size=400))
def test_a_ring_buffer_holds_its_newest_records_and_finds_them_all(steps: list[tuple[int, int, int]]) -> None:
    """Compares it with a plain list: by id, by volume, by time, and the counters of dropped records."""
    ring, model, now = RingBuffer(6000), [], 0.0
    for ident, volume, length in steps:
        now += 0.25
        record = make_record(f"{ident}" + "x" * length, now, volume=f"v{volume}")
        assert ring.add(pack(record), ident, volume, now)
        model.append((ident, volume, record))
    held = model[len(model) - ring.count :]
    assert ring.dropped == len(model) - len(held) and ring.footprint() <= 6000
    assert ring.dropped_until == (model[ring.dropped - 1][2].ended_at if ring.dropped else 0.0)

    def read(places: Any) -> list[RequestRecord]:
        return [unpack(ring.data, at, now) for at in places]

    assert read(ring.since(0.0)) == [record for _, _, record in held]
    for ident in range(10):
        mine = [record for i, _, record in held if i == ident]
        found = [each for each in read(ring.by_id(ident)) if each.id.rstrip("x") == str(ident)]
        assert found == mine[::-1]
    for volume in range(4):
        mine = [record for _, v, record in held if v == volume]
        assert [each for each in read(ring.by_volume(volume)) if each.volume == f"v{volume}"] == mine[::-1]
    for when in (0.0, now / 2, now, now + 1):
        late = [each for each in read(ring.since(when)) if each.ended_at >= when]
        assert late == [record for _, _, record in held if record.ended_at >= when]


def test_records_are_found_at_positions_beyond_32_bits() -> None:
    ring = RingBuffer(8192)
    ring.head = ring.tail = (1 << 32) // ring.size * ring.size - 300
    for number in range(100):
        ring.add(pack(make_record(f"r{number}", number / 10)), number, 0, number / 10)
    assert ring.head > 1 << 32
    newest = [unpack(ring.data, at, 10.0).id for at in ring.by_volume(0)]
    # At most one link is lost, where the low 32 bits of a position are 0, which means no record.
    assert newest == [f"r{number}" for number in range(99, 99 - len(newest), -1)] and len(newest) >= 60
    assert [unpack(ring.data, at, 10.0).id for at in ring.by_id(99)][0] == "r99"


@pytest.mark.parametrize("max_bytes", [MIN_BYTES, 2 << 20])
def test_the_log_stays_within_its_limit_of_bytes(max_bytes: int) -> None:
    """Checks the log's own footprint at each step, and the memory that the interpreter allocated."""
    assert ddsketch and msgpack  # imported before, so that the log is not charged for the modules
    tracemalloc.start()
    try:
        decision_log = DecisionLog(SETTINGS, max_bytes, 0.0)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(12_000 if max_bytes == MIN_BYTES else 40_000):
            kind = ("served", "refused", "failed", "gone")[number % 4]
            served = kind == "served"
            attempts = (
                [AttemptRecord(f"s-{number}", SENT, 0.0, number % 50 / 1000, Ending.SERVED)] if served else []
            )
            for each in attempts:
                decision_log.nodes.assign(each.node, number / 10)  # each node name is new
            decision_log.add(
                make_record(
                    "i" * 100 + str(number), number / 10, kind, volume=f"{number:016x}", attempts=attempts
                )
            )
            assert number % 16 or decision_log.footprint() <= max_bytes
        assert tracemalloc.get_traced_memory()[0] <= max_bytes * 1.05
        assert before <= max_bytes * 1.05  # all but names and sketches is allocated at the start
    finally:
        tracemalloc.stop()
    assert (
        decision_log.notable.dropped and decision_log.routine.dropped and len(decision_log.nodes.names) <= 256
    )


def test_pending_requests_are_found_and_stay_within_their_limit_of_bytes() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(log_module.BATCH_SIZE - 1):
            why = SENT._replace(epoch=number + 1000)
            tries = [
                Attempt(
                    number,
                    turn,
                    "s-1",
                    "127.0.0.1:5000",
                    9.0,
                    1.0 + number,
                    why=why,
                    duration_s=0.125 + number,
                )
                for turn in range(3)
            ]
            decision_log.record(
                RequestSummary(
                    1.0 + number,
                    2.0 + number,
                    Verdict.FAILED,
                    request=request(f"id-{number}"),
                    attempts=tries,
                    why=Reason(Code.LAST_ATTEMPT, "s-1", epoch=number + 1000),
                )
            )
        assert len(decision_log._pending) == log_module.BATCH_SIZE - 1 and not decision_log.notable.count
        assert tracemalloc.get_traced_memory()[0] - before <= log_module.BATCH_SIZE * log_module.PENDING_BYTES
    finally:
        tracemalloc.stop()
    assert (
        len(decision_log.find("id-0", 50.0)) == 1
        and not decision_log._pending
        and decision_log.notable.count == log_module.BATCH_SIZE - 1
    )


def test_refusals_outlive_many_served_requests_and_answers_state_what_was_dropped() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    decision_log.add(make_record("refused", 1.0))
    decision_log.add(make_record("retried", 1.5, "served", is_retry=True))
    for number in range(2400):
        decision_log.add(make_record(f"{number:016x}", 2.0 + number / 1000, "served"))
    assert (
        decision_log.find("refused", 9.0)
        and decision_log.find("retried", 9.0)
        and not decision_log.find(f"{1:016x}", 9.0)
    )
    routine = decision_log.gaps()[1]
    assert routine.held + routine.dropped == 2400 and routine.complete_since is not None
    assert not decision_log.find(f"{routine.dropped - 1:016x}", 9.0) and decision_log.find(
        f"{routine.dropped:016x}", 9.0
    )
    assert routine.complete_since == pytest.approx(2.0 + (routine.dropped - 1) / 1000, abs=0.0015)
    answer = "\n".join(run(asked(decision_log, f"{1:016x}")))
    assert answer.startswith("NO this id arrived since")
    assert f"{routine.dropped} dropped of those served at the first attempt" in answer


def test_an_unknown_id_is_distinguished_from_one_whose_record_was_dropped() -> None:
    """The filter covers the stated number of ids, with the stated rate of false positives."""
    recent_ids = RotatingBloomFilter(8192, 0.0)
    for number in range(2 * recent_ids.max_ids):
        recent_ids.add(hash(f"r{number}"), number / 10)
    assert all(hash(f"r{number}") in recent_ids for number in range(2 * recent_ids.max_ids))
    assert recent_ids.since == 0.0 and recent_ids.footprint() <= 8192
    recent_ids.add(hash("one more"), 1e6)
    assert recent_ids.since > 0 and all(
        hash(f"r{number}") in recent_ids for number in range(recent_ids.max_ids, 2 * recent_ids.max_ids)
    )
    false_positives = sum(hash(f"s{number}") in recent_ids for number in range(4000))
    assert false_positives <= 4000 * 0.02 * 2  # two generations at 1%, and hashes differ by run
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 100.0)
    assert "since the decision log began" in run(asked(decision_log, "never"))[0]


def test_a_reassigned_node_number_gives_no_wrong_name_to_earlier_records() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    ended = RequestSummary(
        0.0, 1.0, Verdict.FAILED, why=Reason(Code.MAY_HAVE_RUN, "first"), request=request("a1")
    )
    decision_log.record(ended)
    assert decision_log.find("a1", 2.0)[0].reason == Reason(Code.MAY_HAVE_RUN, "first")
    for number in range(511):  # every number was reassigned, and the next is that of "first"
        decision_log.nodes.assign(f"s-{number}", 2.0 + number)
    again = decision_log.find("a1", 600.0)[0]
    assert again.reason is not None and again.reason.node == ""


def request(id: str = "a1", **more: Any) -> Request:
    return Request(0, 0, HEX, 2.0, 0, 1, 99.0, "0000000000000001", id=id, **more)


@pytest.mark.parametrize("verdict", ["refused", "failed", "gone"])
def test_a_marked_retry_is_correlated_with_its_original_request(verdict: str) -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    decision_log.add(replace(make_record("first", 10.0, verdict), object_hash=object_hash_of(request())))
    assert decision_log.match_retry(request("second", repeat=True), 10.3) == ("first", 1)
    decision_log.add(make_record("second", 10.5, "served", is_retry=True, original_id="first"))
    for asked_id in ("first", "second"):  # a query for either id shows both, the original first
        answer = run(asked(decision_log, asked_id))
        assert [line.split()[1] for line in answer if line.startswith("20")] == ["first", "second"]


def object_hash_of(subject: Request) -> int:
    return to_record(RequestSummary(0.0, 1.0, None, request=subject)).object_hash


def test_retries_of_two_clients_of_one_object_are_paired_in_order() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    object_hash = object_hash_of(request())
    for ident, ended in (("a", 10.0), ("b", 10.1)):
        decision_log.add(replace(make_record(ident, ended), object_hash=object_hash))
    # Their retries are paired one to one in order, and the number of candidates is recorded.
    assert decision_log.match_retry(request("a2", repeat=True), 10.4) == ("a", 2)
    assert decision_log.match_retry(request("b2", repeat=True), 10.5) == ("b", 1)
    # No request is claimed twice.
    assert decision_log.match_retry(request("c2", repeat=True), 10.6) == ("", 0)


@pytest.mark.parametrize(
    "other",
    [{"verdict": "served"}, {"volume": "0000000000000002"}, {"object_hash": 1}, {"cls": 1}, {"at": 500.0}],
)
def test_a_retry_is_not_correlated_with_another_request(other: dict[str, Any]) -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    record = replace(
        make_record("first", 10.0, other.get("verdict", "refused")), object_hash=object_hash_of(request())
    )
    at = other.pop("at", 10.3)
    decision_log.add(replace(record, **other))
    assert decision_log.match_retry(request("second", repeat=True), at) == ("", 0)


def test_a_limited_number_of_records_is_examined_for_a_retry() -> None:
    ring = RingBuffer(1 << 17)
    for number in range(retries.MAX_EXAMINED + 5):
        ring.add(pack(replace(make_record(f"r{number}", 10.0), object_hash=number)), number, hash(HEX), 10.0)
    assert retries.claim(ring, HEX, 0, 0, 10.1, 5.0) == ("", 0)  # the oldest is not examined
    assert retries.claim(ring, HEX, 0, 9, 10.1, 5.0) == ("r9", 1)


async def asked(
    decision_log: DecisionLog, *arguments: str, now: float = 400.0, still: list[RequestSummary] | None = None
) -> list[str]:
    return await queries.answer(
        queries.parse(list(arguments)), decision_log, lambda: now, lambda _: still or []
    )


@fuzz
@given(NAMES, NAMES)
def test_hostile_names_are_output_as_printable_text_and_valid_json(ident: str, volume: str) -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    decision_log.add(make_record(ident or "x", 10.0, volume=volume))
    for line in run(asked(decision_log, "--since", "1h", now=11.0)):
        assert line.isascii() and line.isprintable()
    rows = [
        json.loads(line)
        for line in run(asked(decision_log, "--json", "--since", "1h", now=11.0))
        if line.startswith("{")
    ]
    assert [row["id"] for row in rows] == [
        (ident or "x").encode("utf-8", "surrogateescape")[:255].decode("utf-8", "surrogateescape")
    ]


@pytest.mark.parametrize(
    "line",
    [
        "a b",
        "--since 5",
        "--since 5y",
        "--only lost",
        "--most 0",
        "--most x",
        "--nothing",
        "--volume",
        "a --summary",
        "a --only refused",
    ],
)
def test_invalid_queries_are_rejected(line: str) -> None:
    with pytest.raises(queries.QueryError) as raised:
        queries.parse(line.split())
    assert str(raised.value)


def test_queries_select_by_volume_time_and_verdict() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    for number, (volume, kind) in enumerate(
        [("1", "refused"), ("2", "refused"), ("1", "failed"), ("1", "served"), ("1", "refused")]
    ):
        decision_log.add(make_record(f"r{number}", 100.0 + number * 10, kind, volume=volume * 16))

    def ids(*arguments: str) -> list[str]:
        return [
            line.split()[1]
            for line in run(asked(decision_log, *arguments, now=150.0))
            if line.startswith("20")
        ]

    assert ids("--volume", "1" * 16) == ["r0", "r2", "r3", "r4"]
    assert ids("--volume", "1" * 16, "--only", "refused,failed", "--since", "35s") == ["r2", "r4"]
    assert ids("--only", "refused") == ["r0", "r1", "r4"]
    assert ids("--only", "refused", "--most", "1") == ["r4"]
    assert run(asked(decision_log, "--most", "2", now=150.0))[0] == "YES the last 2 of more requests"


def test_a_query_of_a_full_log_yields_to_the_event_loop_between_slices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decision_log = DecisionLog(SETTINGS, 2 << 20, 0.0)
    for number in range(40_000):
        decision_log.add(make_record(f"{number:016x}", number / 1000))
    clock = [0.0]

    def step() -> float:
        clock[0] += 0.0005
        return clock[0]

    monkeypatch.setattr(queries._TimeSlices.__init__, "__defaults__", (step,))

    async def scenario() -> int:
        turns = 0
        task = asyncio.create_task(asked(decision_log, "--since", "1h", now=40.0))
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        assert "stopped" in (await task)[0]
        return turns

    assert run(scenario()) >= queries.ANSWER_TIMEOUT_S / queries.SLICE_S / 4


def test_an_open_request_is_shown_in_its_current_state() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES, 0.0)
    answer = run(asked(decision_log, "a1", still=[RequestSummary(399.0, 400.0, None, request=request())]))
    assert answer[0] == "YES 1 requests" and "has been open for 1000 ms" in answer[1]


# Sketches.


@fuzz
@given(st.lists(st.integers(0, 30), max_size=300), st.integers(2, 12))
def test_the_most_frequent_keys_are_in_the_table_and_no_count_is_too_low(
    stream: list[int], size: int
) -> None:
    table = SpaceSaving(size)
    for each in stream:
        table.add((str(each), 0))
    rows = {key[0]: (count, error) for key, count, error in table.top(size)}
    for value in set(stream):
        true = stream.count(value)
        if true > len(stream) / size:
            assert str(value) in rows
        if str(value) in rows:
            count, error = rows[str(value)]
            assert true <= count <= true + error and error <= len(stream) / size


def test_sketches_advance_by_minute_within_their_bytes_and_estimate_latency() -> None:
    sketches = Sketches(OPEN_MINUTE_BYTES + 20_000)
    for second in range(4000):
        sketches.count_end(second, "refused" if second % 3 else "served", 16, f"{second % 7:016x}")
        sketches.count_answer(second, f"s-{second % 3}", 0, 0.010 + 0.001 * (second % 100))
        assert sketches.footprint() <= OPEN_MINUTE_BYTES + 20_000
    minutes = list(sketches.minutes(0.0))
    assert 5 < len(minutes) <= 60 and minutes[-1].number == 3999 // 60
    assert sum(minutes[-2].counts.values()) == 60
    held = sketches.latency(0.0)
    for place in range(3):
        seconds = range(minutes[0].number * 60, 4000)
        true = sorted(0.010 + 0.001 * (s % 100) for s in seconds if s % 3 == place)
        assert held[f"s-{place}", 0].get_quantile_value(0.5) == pytest.approx(true[len(true) // 2], rel=0.12)
    assert sketches.volumes(3900.0).total == sum(1 for s in range(3900, 4000) if s % 3)


def test_a_summary_has_the_counts() -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES_FOR_SKETCHES, 0.0)
    for number in range(90):
        decision_log.add(make_record(f"r{number}", 10.0 + number, "refused" if number % 3 else "served"))
    answer = run(asked(decision_log, "--summary", now=120.0))
    assert answer[0] == "YES" and {"reason refused no_credit: 60", f"volume {HEX} no_credit: 60"} <= set(
        answer
    )
    summary = json.loads(run(asked(decision_log, "--summary", "--json", now=120.0))[1])
    assert sum(row["refused"] for row in summary["minutes"]) == 60 and summary["nodes"][0]["count"] == 30
    assert run(asked(DecisionLog(SETTINGS, MIN_BYTES, 0.0), "--summary"))[0].startswith("NO ")


# Transfer from one process to its successor.


def test_a_successor_has_the_records_of_its_predecessor() -> None:
    first, second = (
        DecisionLog(SETTINGS, MIN_BYTES_FOR_SKETCHES, 0.0),
        DecisionLog(SETTINGS, MIN_BYTES_FOR_SKETCHES, 50.0),
    )
    for number in range(2000):
        kind = ("served", "refused")[number % 2]
        first.nodes.assign("s-1", 1.0)
        first.add(make_record(f"{number:016x}", 10.0 + number / 100, kind))
    second.nodes.assign("another", 49.0)
    second.add(make_record("own", 60.0))
    chunks = list(first.export_chunks(20.0, 60.0))
    assert len(chunks) > 2 and all(len(json.dumps(chunk)) < 1 << 17 for chunk in chunks)
    for chunk in chunks:
        second.import_chunk(json.loads(json.dumps(chunk)), 60.0)
    found = [number for number in range(2000) if second.find(f"{number:016x}", 60.0)]
    assert found and found == list(range(found[0], 2000))
    assert second.find(f"{1998:016x}", 60.0) == first.find(f"{1998:016x}", 60.0)
    assert second.find("own", 60.0) and second.footprint() <= MIN_BYTES_FOR_SKETCHES


CHUNK = json.dumps({"nodes": ["s-1"], "records": pack(make_record("x", 1.0), NODES).hex()}).encode()


@fuzz
@given(corrupted(CHUNK))
def test_malformed_chunks_are_rejected_with_a_message(data: bytes) -> None:
    decision_log = DecisionLog(SETTINGS, MIN_BYTES_FOR_SKETCHES, 0.0)
    try:
        chunk = json.loads(data)
        if isinstance(chunk, dict):
            decision_log.import_chunk(chunk, 10.0)
    except DecodeError as error:
        assert str(error)
    except (ValueError, RecursionError):
        pass  # not JSON
    assert decision_log.footprint() <= MIN_BYTES_FOR_SKETCHES
