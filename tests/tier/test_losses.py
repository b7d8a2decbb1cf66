"""Losses: the cause that a request counts for, what the record logs, and the command that adds it up."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator

import pytest
from cli_support import DONE, INVALID, EventLoopThread, StubResponse, StubServer, run
from dataplane_world import World

from cherrycove.tier.dataplane.admission import (
    AdmissionRequest,
    AttemptOutcome,
    PendingCause,
    RejectionReason,
)
from cherrycove.tier.dataplane.loss_cause import LossCause, RequestTimeline
from cherrycove.tier.dataplane.loss_record import LossRecord
from examples.toy_broker import ToyBroker


def request(
    pending_cause: PendingCause | None = None, uncached: int = 0, uncached_shared: int = 0
) -> AdmissionRequest:
    return AdmissionRequest(
        route="r", service="s", arrived_at=0.0, target_latency_s=0.3, deadline=4.0, client_timeout_s=4.0,
        pending_cause=pending_cause, uncached_tokens=uncached, uncached_shared_tokens=uncached_shared,
    )  # fmt: skip


def started(
    wait_s: float = 0.0, cause: PendingCause | None = None, prefill_s: float = 0.0, uncached_shared: int = 0
) -> RequestTimeline:
    """A live request due at 0.3 whose first attempt began after ``wait_s``."""
    timeline = RequestTimeline(due_at=0.3, pause_target_s=0.3)
    timeline.waits(0.0)
    timeline.attempt_started(wait_s, request(cause, 1000, uncached_shared), prefill_s)
    return timeline


def test_an_answer_in_time_is_no_loss() -> None:
    timeline = started(0.2, PendingCause.NO_SLOT)
    timeline.event_received(0.29)
    timeline.event_received(0.5)
    assert timeline.loss(0.6, is_complete=True) is None


def test_a_late_first_event_counts_for_what_took_most_of_the_time() -> None:
    waited = started(0.25, PendingCause.NO_CONNECTION)
    waited.event_received(0.4)
    assert waited.loss(1.0, is_complete=True) is LossCause.WAITED_CONNECTION
    queued = started(0.05, PendingCause.NO_SLOT, prefill_s=0.1)
    queued.event_received(0.4)
    assert queued.loss(1.0, is_complete=True) is LossCause.BROKER_QUEUE
    prefill = started(prefill_s=0.3)
    prefill.event_received(0.4)
    assert prefill.loss(1.0, is_complete=True) is LossCause.BROKER_PREFILL
    cold = started(prefill_s=0.3, uncached_shared=900)
    cold.event_received(0.4)
    assert cold.loss(1.0, is_complete=True) is LossCause.BROKER_COLD_PREFIX


def test_a_failed_attempt_counts_where_it_cost_most() -> None:
    timeline = started()
    timeline.attempt_ended(0.5, AttemptOutcome.STALLED)
    timeline.waits(0.5)
    timeline.attempt_started(0.5, request(), 0.0)
    timeline.event_received(0.55)
    assert timeline.loss(1.0, is_complete=True) is LossCause.ATTEMPT_STALLED


def test_a_pause_counts_for_the_attempt_that_failed_before_it_or_else_for_the_broker() -> None:
    at_one_broker = started()
    at_one_broker.event_received(0.1)
    at_one_broker.event_received(0.5)
    assert at_one_broker.loss(0.5, is_complete=True) is LossCause.BROKER_PAUSE
    resumed = started()
    resumed.event_received(0.1)
    resumed.attempt_ended(0.2, AttemptOutcome.INCOMPLETE)
    resumed.waits(0.2)
    resumed.attempt_started(0.2, request(), 0.0)
    resumed.event_received(0.5)
    assert resumed.loss(0.5, is_complete=True) is LossCause.ATTEMPT_INCOMPLETE


def test_what_ended_a_request_without_an_answer_is_its_cause() -> None:
    rejected = RequestTimeline(due_at=0.3)
    rejected.waits(0.0)
    rejected.rejected(RejectionReason.FORECAST)
    assert rejected.loss(0.1, is_complete=False) is LossCause.REJECTED_FORECAST
    left = started()
    left.client_left()
    assert left.loss(0.2, is_complete=False) is LossCause.CLIENT_LEFT
    failed = started()
    failed.broker_failed()
    assert failed.loss(0.2, is_complete=False) is LossCause.BROKER_FAILURE
    cut = started()
    cut.attempt_ended(3.9, AttemptOutcome.CANCELLED)
    assert cut.loss(3.9, is_complete=False) is LossCause.BROKER_QUEUE


def test_an_item_that_came_with_too_little_time_left_was_leased_late() -> None:
    item = RequestTimeline(due_at=0.5, is_batch=True)
    item.waits(0.0)
    item.attempt_started(0.0, request(), 0.0)
    item.event_received(0.1)
    assert item.loss(0.4, is_complete=True) is None
    assert item.loss(1.5, is_complete=True) is LossCause.LEASED_LATE
    waited = RequestTimeline(due_at=0.5, is_batch=True)
    waited.waits(0.0)
    waited.attempt_started(2.0, request(PendingCause.NO_SLOT), 0.0)
    assert waited.loss(2.2, is_complete=True) is LossCause.WAITED_SLOT


def test_the_record_logs_what_came_since_its_last_line(caplog: pytest.LogCaptureFixture) -> None:
    async def story() -> None:
        record = LossRecord()
        record.count("r", LossCause.BROKER_QUEUE)
        record.count("r", LossCause.BROKER_QUEUE)
        record.stop()
        record.count("r", LossCause.WAITED_SLOT)
        record.stop()
        record.stop()
        assert record.totals() == {"r": {"broker_queue": 2, "waited_slot": 1}}

    with caplog.at_level(logging.INFO, logger="cherrycove.tier"):
        asyncio.run(story())
    lines = [line for line in caplog.records if line.getMessage() == "requests_lost"]
    assert [line.losses for line in lines] == [  # type: ignore[attr-defined]
        {"r": {"broker_queue": 2}},
        {"r": {"waited_slot": 1}},
    ]


def test_a_proxy_counts_an_exchange_that_no_broker_answered() -> None:
    async def story() -> None:
        async with World([]) as world:
            assert (await world.ask("/once/x")).status == 503
            assert await world.losses() == {"losses": {"once": {"rejected_no_broker": 1}}}

    asyncio.run(story())


def test_a_proxy_counts_nothing_for_an_answer_in_time() -> None:
    async def story() -> None:
        async with World([ToyBroker()]) as world:
            assert (await world.ask("/once/x")).status == 200
            assert await world.losses() == {"losses": {}}

    asyncio.run(story())


@pytest.fixture
def loop() -> Iterator[EventLoopThread]:
    loop = EventLoopThread()
    yield loop
    loop.close()


@pytest.fixture
def proxy(loop: EventLoopThread) -> Iterator[Callable[[bytes], str]]:
    """Start a stub proxy that serves the given document of losses, and return its address."""
    started: list[StubServer] = []

    def start(document: bytes) -> str:
        started.append(StubServer(StubResponse(200, document)))
        loop.run(started[-1].start())
        return started[-1].address

    yield start
    for server in started:
        loop.run(server.stop())


def test_the_command_adds_up_all_proxies(proxy: Callable[[bytes], str]) -> None:
    first = proxy(b'{"losses": {"a": {"broker_queue": 2, "waited_slot": 5}}}')
    second = proxy(b'{"losses": {"a": {"broker_queue": 4}, "b": {"client_left": 1}}}')
    outcome = run("losses", f"{first} {second}")
    assert outcome.exit_code == DONE
    assert outcome.output == "a: broker_queue 6\na: waited_slot 5\nb: client_left 1\n"
    document = run("losses", f"{first} {second} --json").document
    assert document["routes"][1] == {"route": "b", "causes": {"client_left": 1}}


def test_the_command_names_a_proxy_whose_answer_is_none(proxy: Callable[[bytes], str]) -> None:
    address = proxy(b'{"losses": {"a": {"broker_queue": "2"}}}')
    outcome = run("losses", address)
    assert outcome.exit_code == INVALID
    assert outcome.errors == f"{address}: losses: is not an object of counts by route and cause\n"
