"""The record of decisions: what is kept, for how long, what is found again, and what is told of what is
gone."""

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

import cherrycove.broker.decision_log.book as books
from cherrycove.broker.core import Attempt, Ending, Request, RequestSummary, Verdict
from cherrycove.broker.decision_log import ask, retries, words
from cherrycove.broker.decision_log.book import LEAST, SKETCHED, DecisionLog, story_of
from cherrycove.broker.decision_log.pack import AttemptRecord, PackError, RequestRecord, matters, pack, unpack
from cherrycove.broker.decision_log.ring import Ring
from cherrycove.broker.decision_log.seen import Seen
from cherrycove.broker.decision_log.sketches import OPEN, Sketches, SpaceSaving
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


TRIES = st.builds(
    lambda why, at, took, ending: AttemptRecord(why.node, why, at, took, ending),
    reasons(range(1, 6), place=st.just(""), left=st.just(0.0), refill=st.just(0.0), epoch=st.just(0)),
    MS,
    MS,
    st.sampled_from([*Ending, None]),
)
STORIES = st.builds(
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
    st.lists(TRIES, max_size=3),
    st.none(),
    st.integers(0, 2**32 - 1),
)
NODES = {"s-1": 0, "s-2": 1}


def story(id: str = "a1", ended: float = 10.0, verdict: str = "refused", **more: Any) -> RequestRecord:
    code = more.pop("code", LocalCode.SERVED if verdict == "served" else Code.NO_CREDIT)
    tries = [AttemptRecord("s-1", SENT, 0.001, 0.02, Ending.SERVED)] if verdict == "served" else []
    if isinstance(code, Code):
        more.setdefault("why", Reason(code))
    return RequestRecord(
        id,
        more.pop("volume", HEX),
        ended,
        0.02,
        verdict,
        code,
        cls=0,
        plan=0,
        units=2.0,
        shard=0,
        tries=more.pop("tries", tries),
        **more,
    )


@fuzz
@given(
    STORIES,
    reasons(
        range(16, 31),
        place=st.sampled_from(["", "lane", "queue"]),
        left=MS,
        refill=MS,
        epoch=st.integers(0, 2**32 - 1),
    ),
)
def test_a_story_is_read_as_it_was_written(told: RequestRecord, why: Reason) -> None:
    if told.verdict == "served":
        told = replace(told, object=0)
    elif isinstance(told.code, Code):
        told = replace(told, why=why._replace(code=told.code, left=min(why.left, 32.0)))
    if not told.first:
        told = replace(told, rivals=0)
    back = unpack(b"xx" + pack(told, NODES), 2, told.ended + 5.0, list(NODES))
    assert back == told
    assert matters(back) == matters(told)


@fuzz
@given(corrupted(pack(story("an id that is no hex", first="b"), NODES)))
def test_spoiled_records_are_refused_or_read_within_their_bytes(garbage: bytes) -> None:
    try:
        back = unpack(garbage, 0, 100.0, list(NODES))
    except PackError as error:
        assert str(error)
    else:
        assert words.lines(back, SETTINGS, 100.0, 1e9) and len(back.tries) <= 15


@fuzz
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3), st.integers(0, 120)), max_size=400))
def test_a_ring_holds_its_newest_records_and_finds_them_all(steps: list[tuple[int, int, int]]) -> None:
    """Against a plain list: by id, by volume, by time, and the accounts of what is gone."""
    ring, model, now = Ring(6000), [], 0.0
    for ident, volume, length in steps:
        now += 0.25
        told = story(f"{ident}" + "x" * length, now, volume=f"v{volume}")
        assert ring.add(pack(told), ident, volume, now)
        model.append((ident, volume, told))
    held = model[len(model) - ring.count :]
    assert ring.lost == len(model) - len(held) and ring.footprint() <= 6000
    assert ring.lost_until == (model[ring.lost - 1][2].ended if ring.lost else 0.0)

    def read(places: Any) -> list[RequestRecord]:
        return [unpack(ring.data, at, now) for at in places]

    assert read(ring.since(0.0)) == [told for _, _, told in held]
    for ident in range(10):
        mine = [told for i, _, told in held if i == ident]
        found = [each for each in read(ring.by_id(ident)) if each.id.rstrip("x") == str(ident)]
        assert found == mine[::-1]
    for volume in range(4):
        mine = [told for _, v, told in held if v == volume]
        assert [each for each in read(ring.by_volume(volume)) if each.volume == f"v{volume}"] == mine[::-1]
    for when in (0.0, now / 2, now, now + 1):
        late = [each for each in read(ring.since(when)) if each.ended >= when]
        assert late == [told for _, _, told in held if told.ended >= when]


def test_positions_past_32_bits_still_find_what_is_there() -> None:
    ring = Ring(8192)
    ring.head = ring.tail = (1 << 32) // ring.size * ring.size - 300
    for number in range(100):
        ring.add(pack(story(f"r{number}", number / 10)), number, 0, number / 10)
    assert ring.head > 1 << 32
    newest = [unpack(ring.data, at, 10.0).id for at in ring.by_volume(0)]
    # One link at most is lost, where a position's low bits would be those of no record.
    assert newest == [f"r{number}" for number in range(99, 99 - len(newest), -1)] and len(newest) >= 60
    assert [unpack(ring.data, at, 10.0).id for at in ring.by_id(99)][0] == "r99"


@pytest.mark.parametrize("bound", [LEAST, 2 << 20])
def test_the_record_never_holds_more_than_its_bound(bound: int) -> None:
    """By its own exact account at each step, and by what the interpreter has really taken."""
    assert ddsketch and msgpack  # what is imported is not the record's
    tracemalloc.start()
    try:
        book = DecisionLog(SETTINGS, bound, 0.0)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(12_000 if bound == LEAST else 40_000):
            kind = ("served", "refused", "failed", "gone")[number % 4]
            served = kind == "served"
            tries = (
                [AttemptRecord(f"s-{number}", SENT, 0.0, number % 50 / 1000, Ending.SERVED)] if served else []
            )
            for each in tries:
                book.nodes.number(each.node, number / 10)  # node names that are always new
            book.add(story("i" * 100 + str(number), number / 10, kind, volume=f"{number:016x}", tries=tries))
            assert number % 16 or book.footprint() <= bound
        assert tracemalloc.get_traced_memory()[0] <= bound * 1.05
        assert before <= bound * 1.05  # all of it is taken at the start, but for names and summaries
    finally:
        tracemalloc.stop()
    assert book.kept.lost and book.plain.lost and len(book.nodes.names) <= 256


def test_what_waits_to_be_taken_in_is_found_and_within_the_bound() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(books.BATCH - 1):
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
            book.record(
                RequestSummary(
                    1.0 + number,
                    2.0 + number,
                    Verdict.FAILED,
                    request=request(f"id-{number}"),
                    attempts=tries,
                    why=Reason(Code.LAST_ATTEMPT, "s-1", epoch=number + 1000),
                )
            )
        assert len(book._pending) == books.BATCH - 1 and not book.kept.count
        assert tracemalloc.get_traced_memory()[0] - before <= books.BATCH * books.WAITING
    finally:
        tracemalloc.stop()
    assert len(book.find("id-0", 50.0)) == 1 and not book._pending and book.kept.count == books.BATCH - 1


def test_refusals_outlive_a_surge_of_served_requests_and_the_loss_is_told() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    book.add(story("refused", 1.0))
    book.add(story("retried", 1.5, "served", repeat=True))
    for number in range(2400):
        book.add(story(f"{number:016x}", 2.0 + number / 1000, "served"))
    assert book.find("refused", 9.0) and book.find("retried", 9.0) and not book.find(f"{1:016x}", 9.0)
    plain = book.gaps()[1]
    assert plain.held + plain.lost == 2400 and plain.whole_since is not None
    assert not book.find(f"{plain.lost - 1:016x}", 9.0) and book.find(f"{plain.lost:016x}", 9.0)
    assert plain.whole_since == pytest.approx(2.0 + (plain.lost - 1) / 1000, abs=0.0015)
    said = "\n".join(run(asked(book, f"{1:016x}")))
    assert said.startswith("NO this id was here since")
    assert f"{plain.lost} given up of those served at once" in said


def test_an_id_that_never_came_is_told_from_one_that_was_given_up() -> None:
    """For as many ids as the filter says, and with as few strangers taken for known."""
    seen = Seen(8192, 0.0)
    for number in range(2 * seen.most):
        seen.add(hash(f"r{number}"), number / 10)
    assert all(hash(f"r{number}") in seen for number in range(2 * seen.most))
    assert seen.since == 0.0 and seen.footprint() <= 8192
    seen.add(hash("one more"), 1e6)
    assert seen.since > 0 and all(hash(f"r{number}") in seen for number in range(seen.most, 2 * seen.most))
    strangers = sum(hash(f"s{number}") in seen for number in range(4000))
    assert strangers <= 4000 * 0.02 * 2  # two generations at one in a hundred, and hashes differ by run
    book = DecisionLog(SETTINGS, LEAST, 100.0)
    assert "since the record began" in run(asked(book, "never"))[0]


def test_a_number_given_to_another_node_puts_no_wrong_name_on_old_records() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    ended = RequestSummary(
        0.0, 1.0, Verdict.FAILED, why=Reason(Code.MAY_HAVE_RUN, "first"), request=request("a1")
    )
    book.record(ended)
    assert book.find("a1", 2.0)[0].why == Reason(Code.MAY_HAVE_RUN, "first")
    for number in range(511):  # each number has had another name once, and the next is the first again
        book.nodes.number(f"s-{number}", 2.0 + number)
    again = book.find("a1", 600.0)[0]
    assert again.why is not None and again.why.node == ""


def request(id: str = "a1", **more: Any) -> Request:
    return Request(0, 0, HEX, 2.0, 0, 1, 99.0, "0000000000000001", id=id, **more)


@pytest.mark.parametrize("verdict", ["refused", "failed", "gone"])
def test_a_marked_retry_is_joined_to_its_first_try(verdict: str) -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    book.add(replace(story("first", 10.0, verdict), object=retry_of(request())))
    assert book.match_retry(request("second", repeat=True), 10.3) == ("first", 1)
    book.add(story("second", 10.5, "served", repeat=True, first="first"))
    for asked_id in ("first", "second"):  # either id tells the whole story, under the first try
        said = run(asked(book, asked_id))
        assert [line.split()[1] for line in said if line.startswith("20")] == ["first", "second"]


def retry_of(what: Request) -> int:
    return story_of(RequestSummary(0.0, 1.0, None, request=what)).object


def test_two_clients_on_one_object_are_not_joined_falsely() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    thing = retry_of(request())
    for ident, ended in (("a", 10.0), ("b", 10.1)):
        book.add(replace(story(ident, ended), object=thing))
    # Their retries pair off one to one in their order, and the answer says that there were two.
    assert book.match_retry(request("a2", repeat=True), 10.4) == ("a", 2)
    assert book.match_retry(request("b2", repeat=True), 10.5) == ("b", 1)
    assert book.match_retry(request("c2", repeat=True), 10.6) == ("", 0)  # no try is repeated twice


@pytest.mark.parametrize(
    "other", [{"verdict": "served"}, {"volume": "0000000000000002"}, {"object": 1}, {"cls": 1}, {"at": 500.0}]
)
def test_what_is_not_its_first_try_is_not_joined(other: dict[str, Any]) -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    told = replace(story("first", 10.0, other.get("verdict", "refused")), object=retry_of(request()))
    at = other.pop("at", 10.3)
    book.add(replace(told, **other))
    assert book.match_retry(request("second", repeat=True), at) == ("", 0)


def test_only_so_many_records_are_looked_at_for_a_retry() -> None:
    ring = Ring(1 << 17)
    for number in range(retries.MOST_STEPS + 5):
        ring.add(pack(replace(story(f"r{number}", 10.0), object=number)), number, hash(HEX), 10.0)
    assert retries.claim(ring, HEX, 0, 0, 10.1, 5.0) == ("", 0)  # the oldest is out of reach
    assert retries.claim(ring, HEX, 0, 9, 10.1, 5.0) == ("r9", 1)


async def asked(
    book: DecisionLog, *arguments: str, now: float = 400.0, still: list[RequestSummary] | None = None
) -> list[str]:
    return await ask.answer(ask.parse(list(arguments)), book, lambda: now, lambda _: still or [])


@fuzz
@given(NAMES, NAMES)
def test_hostile_names_leave_as_printable_text_and_whole_json(ident: str, volume: str) -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    book.add(story(ident or "x", 10.0, volume=volume))
    for line in run(asked(book, "--since", "1h", now=11.0)):
        assert line.isascii() and line.isprintable()
    rows = [
        json.loads(line)
        for line in run(asked(book, "--json", "--since", "1h", now=11.0))
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
def test_what_is_no_question_is_told_so(line: str) -> None:
    with pytest.raises(ask.AskError) as said:
        ask.parse(line.split())
    assert str(said.value)


def test_questions_choose_by_volume_time_and_verdict() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    for number, (volume, kind) in enumerate(
        [("1", "refused"), ("2", "refused"), ("1", "failed"), ("1", "served"), ("1", "refused")]
    ):
        book.add(story(f"r{number}", 100.0 + number * 10, kind, volume=volume * 16))

    def ids(*arguments: str) -> list[str]:
        return [line.split()[1] for line in run(asked(book, *arguments, now=150.0)) if line.startswith("20")]

    assert ids("--volume", "1" * 16) == ["r0", "r2", "r3", "r4"]
    assert ids("--volume", "1" * 16, "--only", "refused,failed", "--since", "35s") == ["r2", "r4"]
    assert ids("--only", "refused") == ["r0", "r1", "r4"]
    assert ids("--only", "refused", "--most", "1") == ["r4"]
    assert run(asked(book, "--most", "2", now=150.0))[0] == "YES the last 2 of more requests"


def test_a_question_over_a_full_record_gives_the_loop_back_between_slices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    book = DecisionLog(SETTINGS, 2 << 20, 0.0)
    for number in range(40_000):
        book.add(story(f"{number:016x}", number / 1000))
    clock = [0.0]

    def step() -> float:
        clock[0] += 0.0005
        return clock[0]

    monkeypatch.setattr(ask._Pace.__init__, "__defaults__", (step,))

    async def story_() -> int:
        turns = 0
        task = asyncio.create_task(asked(book, "--since", "1h", now=40.0))
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        assert "stopped" in (await task)[0]
        return turns

    assert run(story_()) >= ask.ANSWER_TIME / ask.SLICE / 4


def test_an_open_request_is_told_as_it_stands() -> None:
    book = DecisionLog(SETTINGS, LEAST, 0.0)
    said = run(asked(book, "a1", still=[RequestSummary(399.0, 400.0, None, request=request())]))
    assert said[0] == "YES 1 requests" and "is open since 1000 ms" in said[1]


# What no longer fits.


@fuzz
@given(st.lists(st.integers(0, 30), max_size=300), st.integers(2, 12))
def test_the_heaviest_are_in_the_table_and_no_count_is_too_low(stream: list[int], size: int) -> None:
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


def test_summaries_roll_by_the_minute_within_their_bytes_and_tell_the_latency() -> None:
    sketches = Sketches(OPEN + 20_000)
    for second in range(4000):
        sketches.ended(second, "refused" if second % 3 else "served", 16, f"{second % 7:016x}")
        sketches.answered(second, f"s-{second % 3}", 0, 0.010 + 0.001 * (second % 100))
        assert sketches.footprint() <= OPEN + 20_000
    minutes = list(sketches.minutes(0.0))
    assert 5 < len(minutes) <= 60 and minutes[-1].number == 3999 // 60
    assert sum(minutes[-2].counts.values()) == 60
    held = sketches.latency(0.0)
    for place in range(3):
        seconds = range(minutes[0].number * 60, 4000)
        true = sorted(0.010 + 0.001 * (s % 100) for s in seconds if s % 3 == place)
        assert held[f"s-{place}", 0].get_quantile_value(0.5) == pytest.approx(true[len(true) // 2], rel=0.12)
    assert sketches.volumes(3900.0).total == sum(1 for s in range(3900, 4000) if s % 3)


def test_a_summary_says_what_was_counted() -> None:
    book = DecisionLog(SETTINGS, SKETCHED, 0.0)
    for number in range(90):
        book.add(story(f"r{number}", 10.0 + number, "refused" if number % 3 else "served"))
    said = run(asked(book, "--summary", now=120.0))
    assert said[0] == "YES" and {"reason refused no_credit: 60", f"volume {HEX} no_credit: 60"} <= set(said)
    whole = json.loads(run(asked(book, "--summary", "--json", now=120.0))[1])
    assert sum(row["refused"] for row in whole["minutes"]) == 60 and whole["nodes"][0]["count"] == 30
    assert run(asked(DecisionLog(SETTINGS, LEAST, 0.0), "--summary"))[0].startswith("NO ")


# From one process to the next.


def test_a_successor_answers_for_what_its_predecessor_decided() -> None:
    first, second = DecisionLog(SETTINGS, SKETCHED, 0.0), DecisionLog(SETTINGS, SKETCHED, 50.0)
    for number in range(2000):
        kind = ("served", "refused")[number % 2]
        first.nodes.number("s-1", 1.0)
        first.add(story(f"{number:016x}", 10.0 + number / 100, kind))
    second.nodes.number("another", 49.0)
    second.add(story("own", 60.0))
    pieces = list(first.pieces(20.0, 60.0))
    assert len(pieces) > 2 and all(len(json.dumps(piece)) < 1 << 17 for piece in pieces)
    for piece in pieces:
        second.take_over(json.loads(json.dumps(piece)), 60.0)
    told = [number for number in range(2000) if second.find(f"{number:016x}", 60.0)]
    assert told and told == list(range(told[0], 2000))
    assert second.find(f"{1998:016x}", 60.0) == first.find(f"{1998:016x}", 60.0)
    assert second.find("own", 60.0) and second.footprint() <= SKETCHED


PIECE = json.dumps({"nodes": ["s-1"], "records": pack(story("x", 1.0), NODES).hex()}).encode()


@fuzz
@given(corrupted(PIECE))
def test_spoiled_pieces_are_refused_in_words(garbage: bytes) -> None:
    book = DecisionLog(SETTINGS, SKETCHED, 0.0)
    try:
        piece = json.loads(garbage)
        if isinstance(piece, dict):
            book.take_over(piece, 10.0)
    except PackError as error:
        assert str(error)
    except (ValueError, RecursionError):
        pass  # no JSON
    assert book.footprint() <= SKETCHED
