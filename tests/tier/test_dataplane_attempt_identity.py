"""Which attempt a response belongs to: late second copies of responses, and errors while one is received.

A scripted broker sends a second copy of its first response to a request once a later attempt of it
has arrived, before it answers that attempt. Where both attempts use one connection, the copy stands where the
response to the later attempt is due.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import threading
from collections.abc import Callable
from contextlib import suppress

import attrs
import pytest
from dataplane_harness import HOST, TIMEOUT_S, DataPlaneHarness, listed_broker

from cherrycove.tier.batch.execution import ItemOutcome, ItemState
from cherrycove.tier.dataplane import broker_connection
from cherrycove.tier.protocol.batch_pb2 import Item, LeasedItem
from examples.toy_broker import SIGNATURE, Received, ToyBroker, Wire, stream

REJECTIONS = ("408 Late", "421 Misdirected Request", "429 Many", "503 Full")
EVENTS = 3


def response_bytes(status: str, request_id: str, *fields: str, body: bytes = b"") -> bytes:
    head = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*head, "", ""]).encode() + body


def rejection_bytes(status: str, request_id: str) -> bytes:
    return response_bytes(status, request_id, "Not-Executed: 1")


def chunked_response_bytes(request_id: str, chunks: int) -> bytes:
    """A complete streamed response whose body has several chunks, as it arrives in one read."""
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {SIGNATURE}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    events = (f"id: {number}\ndata: late {number}\n\n".encode() for number in range(1, chunks + 1))
    return head.encode() + b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"


@attrs.define(eq=False, slots=False)
class CopyingBroker(ToyBroker):
    """Gives ``first`` as the response to the first attempt of each request, and once more after a later one.

    The copy goes to the connection of the first attempt, before the response to the later attempt.
    """

    first: bytes = b""
    executed: list[str] = attrs.field(factory=list)  # ids of the attempts that were answered by ``script``
    _first_wires: dict[str, Wire] = attrs.field(factory=dict)

    async def _handle(self, wire: Wire, request: Received) -> None:
        request_id = request.headers["request-id"]
        first_wire = self._first_wires.get(request_id)
        if first_wire is None:
            self._first_wires[request_id] = wire
            return await wire.write(self.first)
        self.executed.append(request_id)
        if not first_wire.writer.is_closing():
            first_wire.writer.write(self.first)
        await super()._handle(wire, request)


@pytest.mark.parametrize("status", REJECTIONS)
@pytest.mark.parametrize("target", ("/once/x", "/stream/x"))
def test_late_copy_of_a_rejection_does_not_make_a_later_attempt_run_twice(status: str, target: str) -> None:
    async def scenario() -> None:
        script = stream(EVENTS) if target.startswith("/stream") else ToyBroker().script
        broker = CopyingBroker(first=rejection_bytes(status, "r1"), script=script)
        async with DataPlaneHarness([broker]) as harness, asyncio.timeout(TIMEOUT_S):
            reply = await harness.request(target, headers={"Expect-Version": "1"})
            assert broker.executed == ["r1"]
            assert (reply.status, reply.complete) == (200, True)

    asyncio.run(scenario())


def test_late_copy_of_a_rejection_does_not_promise_that_a_request_did_not_run() -> None:
    """The client would get a 503, which says that its request has not run, while it runs."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def answer_late(wire: Wire, request: Received) -> None:
            harness.update_cluster_view(listed=[])
            await release.wait()
            await wire.answer(request, b"ran")

        broker = CopyingBroker(first=rejection_bytes("503 Full", "r1"), script=answer_late)
        async with DataPlaneHarness([broker]) as harness, asyncio.timeout(TIMEOUT_S):
            client = await harness.client()
            await client.send("/once/x", headers={"Deadline-Ms": "1000"})
            reply = await client.reply()
            release.set()
            assert broker.executed == ["r1"]
            assert reply.status == 504

    asyncio.run(scenario())


def test_connection_carries_a_request_id_once_and_other_requests_meanwhile() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness, asyncio.timeout(TIMEOUT_S):
            broker = harness.brokers[0]
            for request_id, connections in (("r1", 1), ("r2", 1), ("r1", 2), ("r3", 2), ("r3", 2), ("r2", 2)):
                assert (await harness.request("/once/x", headers={"Request-Id": request_id})).status == 200
                assert broker.connections == connections

    asyncio.run(scenario())


def test_connection_is_closed_when_it_has_carried_its_maximum_of_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(broker_connection, "MAX_REQUESTS_PER_CONNECTION", 3)

    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness, asyncio.timeout(TIMEOUT_S):
            for number in range(7):
                reply = await harness.request("/once/x", headers={"Request-Id": f"r{number}"})
                assert reply.status == 200
            assert harness.brokers[0].connections == 3

    asyncio.run(scenario())


# A proxy whose event loop is late


class BlockingBroker:
    """A broker in a thread of its own, which writes while the event loop of the proxy stands still.

    It rejects the first attempt. Once a later one has arrived, it stops the loop, writes the copy of the
    rejection on the first connection and the response to the later attempt, and lets the loop go on.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.executed: list[str] = []
        self._loop = loop
        self._first: socket.socket | None = None
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._accepting = threading.Thread(target=self._accept, daemon=True)
        self._accepting.start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._accepting.join(TIMEOUT_S)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as reader:
            while self._read_request(reader.readline):
                if self._first is None:
                    self._first = connection
                    connection.sendall(rejection_bytes("503 Full", "r1"))
                    continue
                self.executed.append("r1")
                self._while_loop_stands_still(lambda: self._answer(connection))

    def _answer(self, connection: socket.socket) -> None:
        assert self._first is not None
        with suppress(OSError):  # the proxy may have closed the first connection
            self._first.sendall(rejection_bytes("503 Full", "r1"))
        connection.sendall(response_bytes("200 OK", "r1", f"Response-Signature: {SIGNATURE}", body=b"ran"))

    def _while_loop_stands_still(self, act: Callable[[], None]) -> None:
        stopped, go_on = threading.Event(), threading.Event()

        def stand_still() -> None:
            stopped.set()
            go_on.wait(TIMEOUT_S)

        self._loop.call_soon_threadsafe(stand_still)
        assert stopped.wait(TIMEOUT_S)
        try:
            act()
        finally:
            go_on.set()

    @staticmethod
    def _read_request(read_line: Callable[[], bytes]) -> bool:
        """Read one request without a body; False at the end of the connection."""
        line = read_line()
        while line not in (b"\r\n", b""):
            line = read_line()
        return bool(line)


def test_late_event_loop_does_not_take_a_copy_of_a_rejection_for_the_answer_to_a_later_attempt() -> None:
    async def scenario() -> None:
        peer = BlockingBroker(asyncio.get_running_loop())
        listed = ToyBroker()
        try:
            async with DataPlaneHarness([listed]) as harness, asyncio.timeout(TIMEOUT_S):
                listed.address = peer.address
                harness.update_cluster_view()
                reply = await harness.request("/once/x")
                assert peer.executed == ["r1"]
                assert (reply.status, reply.body) == (200, b"ran")
        finally:
            peer.close()

    asyncio.run(scenario())


# Batch items


def run_item(broker: ToyBroker, max_attempts: int) -> ItemOutcome:
    async def ignore_failures(failed_attempts: int) -> None:
        pass

    async def scenario() -> ItemOutcome:
        async with DataPlaneHarness([broker]) as harness, asyncio.timeout(TIMEOUT_S):
            if isinstance(broker, LateStreamBroker):
                broker.is_read = has_read_late_response(harness)
            item = Item(item_id="item", path="/lots/3/9", headers={"Model": "m"}, body=b"body", tokens=9)
            leased = LeasedItem(
                job_id="j", item=item, route="lots", host=HOST, due_in_ms=8000, max_attempts=max_attempts
            )
            return await harness.data_plane.executor.run_item(leased, lambda: True, ignore_failures)

    return asyncio.run(scenario())


def test_late_copy_of_a_500_is_no_second_failure_of_a_batch_item() -> None:
    broker = CopyingBroker(first=response_bytes("500 Failed", "item"), script=stream(EVENTS))
    outcome = run_item(broker, max_attempts=2)
    assert (outcome.state, outcome.failed_attempts) == (ItemState.COMPLETED, 1)
    assert broker.executed == ["item"]


def test_late_copy_of_a_rejection_does_not_make_a_batch_item_run_twice() -> None:
    broker = CopyingBroker(first=rejection_bytes("503 Full", "item"), script=stream(EVENTS))
    assert run_item(broker, max_attempts=2).state is ItemState.COMPLETED
    assert broker.executed == ["item"]


# Errors while a response is received


@attrs.define(eq=False, slots=False)
class LateStreamBroker(ToyBroker):
    """Sends a late response to another request in one piece, and the expected one once that has been read."""

    chunks: int = 1
    is_read: Callable[[], bool] = attrs.field(default=lambda: True)

    async def _handle(self, wire: Wire, request: Received) -> None:
        wire.writer.write(chunked_response_bytes("other", self.chunks))
        while not self.is_read():
            await asyncio.sleep(0)
        await super()._handle(wire, request)


def has_read_late_response(harness: DataPlaneHarness) -> Callable[[], bool]:
    return lambda: bool(harness.data_plane._upstream.anomalies.totals())


def assert_no_errors(caplog: pytest.LogCaptureFixture) -> None:
    assert [line.getMessage() for line in caplog.records if line.levelno >= logging.ERROR] == []


@pytest.mark.parametrize("chunks", (1, 2, 40, 800, 3000))
def test_late_streamed_response_of_several_chunks_does_not_fail_the_request_in_flight(
    chunks: int, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        broker = LateStreamBroker(chunks=chunks, script=stream(EVENTS))
        async with DataPlaneHarness([broker]) as harness, asyncio.timeout(TIMEOUT_S):
            broker.is_read = has_read_late_response(harness)
            reply = await harness.request("/stream/x")
            assert (reply.status, reply.complete) == (200, True)
            assert reply.body.count(b"word") == EVENTS and b"late" not in reply.body
            assert len(broker.received) == 1

    asyncio.run(scenario())
    assert_no_errors(caplog)


def test_late_streamed_response_of_several_chunks_does_not_fail_a_batch_item(
    caplog: pytest.LogCaptureFixture,
) -> None:
    broker = LateStreamBroker(chunks=40, script=stream(EVENTS))
    outcome = run_item(broker, max_attempts=2)
    assert outcome == ItemOutcome(ItemState.COMPLETED, text=b"word 1\nword 2\nword 3")
    assert len(broker.received) == 1
    assert_no_errors(caplog)


@pytest.mark.parametrize(("target", "executions"), (("/once/x", 1), ("/again/x", 2)))
def test_unforeseen_error_on_a_broker_connection_leaves_the_request_possibly_executed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, target: str, executions: int
) -> None:
    def fail(headers: object) -> None:
        raise LookupError("a fault of our own")

    monkeypatch.setattr(broker_connection, "parse_keep_alive_s", fail)

    async def scenario() -> None:
        async with (
            DataPlaneHarness([ToyBroker("i-1"), ToyBroker("i-2")]) as harness,
            asyncio.timeout(TIMEOUT_S),
        ):
            reply = await harness.request(target)
            assert reply.status == 502 and reply.headers["request-id"] == "r1"
            assert sum(len(broker.received) for broker in harness.brokers) == executions

    asyncio.run(scenario())
    lines = [line for line in caplog.records if line.getMessage() == "broker_connection_failed"]
    assert [line.request_id for line in lines] == ["r1"] * executions  # type: ignore[attr-defined]
    assert {line.levelno for line in caplog.records if line.name == "asyncio"} <= {logging.DEBUG}


def test_unforeseen_error_after_a_request_was_sent_does_not_end_in_a_promise_or_a_bare_500(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness, asyncio.timeout(TIMEOUT_S):

            async def fail(*arguments: object) -> None:
                raise LookupError("a fault of our own")

            monkeypatch.setattr(harness.data_plane._upstream, "send", fail)
            reply = await harness.request("/once/x")
            assert reply.status == 502 and reply.headers["request-id"] == "r1"
            assert listed_broker(harness.brokers[0]) in harness.cluster_view.brokers

    asyncio.run(scenario())
    assert [line.request_id for line in caplog.records if line.getMessage() == "request_failed"] == ["r1"]  # type: ignore[attr-defined]
