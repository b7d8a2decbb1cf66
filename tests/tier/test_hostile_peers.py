"""Many concurrent callers of peers that duplicate, swap, truncate and corrupt replies at random.

Whatever the peers do, a reply that a caller gets is complete and belongs to its call, no non-idempotent call
runs twice, and no call that is reported as not executed has run.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import pytest
from dataplane_harness import DataPlaneHarness
from wire_support import ReceivedRequest, ScriptedServer, ServerConnection, reset

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.batch_methods import BODY
from cherrycove.tier.protocol.batch_pb2 import BodyReply, BodyRequest
from cherrycove.tier.protocol.rpc import RpcClient
from examples.toy_broker import SIGNATURE, Received, ToyBroker, Wire

TIMEOUT_S = 60.0  # for a whole test; exceeded only if it fails
CALLERS = 8
CALLS_EACH = 30
EVENTS = 6
SEEDS = (1, 2, 3)
REJECTED_SHARE = 0.25
REPLY_WITHOUT_ID = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nstray"


# Internal calls


def reply_bytes(arrival: ReceivedRequest) -> bytes:
    """Return the complete correct reply to a call."""
    body = BodyReply(body=BodyRequest.FromString(arrival.body).job_id.encode()).SerializeToString()
    head = f"HTTP/1.1 200 OK\r\nX-Call: {arrival.headers['x-call']}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@attrs.define(eq=False)
class HostileServer:
    """Answers internal calls correctly or with a fault, chosen by ``rng``."""

    rng: random.Random
    runs: Counter[str] = attrs.field(factory=Counter)
    previous_replies: list[bytes] = attrs.field(factory=list)

    async def script(self, connection: ServerConnection, arrival: ReceivedRequest) -> None:
        job = BodyRequest.FromString(arrival.body).job_id
        correct = reply_bytes(arrival)
        wrong = self.rng.choice(self.previous_replies) if self.previous_replies else b""
        choice = self.rng.randrange(10)
        if choice == 0:
            return await connection.respond(
                b"full", "503 Full", X_Call=arrival.headers["x-call"], X_Error_Kind="overloaded"
            )
        self.runs[job] += 1
        self.previous_replies.append(correct)
        if choice == 1:
            await connection.write(wrong)
        elif choice == 2:
            await connection.write(wrong + correct)
        elif choice == 3:
            await connection.write(correct + wrong)
        elif choice == 4:
            await connection.write(correct + b"\x00 these bytes are no reply\r\n\r\n")
        elif choice == 5:
            await connection.write(correct[: self.rng.randrange(len(correct))])
            connection.reset()
        elif choice == 6:
            await connection.write(correct[: self.rng.randrange(len(correct))])
            await connection.close()
        else:
            await connection.write(correct)
        if choice == 1 and not wrong:
            await connection.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_every_internal_call_gets_its_own_reply_or_none_and_runs_at_most_once(seed: int) -> None:
    hostile = HostileServer(random.Random(seed))
    kinds: Counter[str] = Counter()

    async def scenario() -> None:
        client = RpcClient()
        await client.start()
        async with ScriptedServer(hostile.script) as server:

            async def call(job: str) -> None:
                outcome = await client.call(server.address, BODY, BodyRequest(job_id=job), TIMEOUT_S)
                if outcome.is_ok():
                    kinds["own"] += 1
                    assert outcome.unwrap().body == job.encode()
                    return
                failure = outcome.unwrap_err()
                kinds[failure.kind.value] += 1
                if failure.had_no_effect:
                    assert hostile.runs[job] == 0

            await run_many(call)
        await client.stop()

    asyncio.run(scenario())
    assert max(hostile.runs.values()) == 1
    assert kinds["own"] > CALLERS * CALLS_EACH // 5  # four in ten on average
    assert kinds[ErrorKind.UNCERTAIN.value] and kinds[ErrorKind.OVERLOADED.value]


async def run_many(call: Callable[[str], Awaitable[None]]) -> None:
    """Run ``call`` with many different names, from several concurrent callers."""

    async def caller(number: int) -> None:
        for count in range(CALLS_EACH):
            await call(f"c{number}-{count}")

    async with asyncio.timeout(TIMEOUT_S):
        await asyncio.gather(*(caller(number) for number in range(CALLERS)))


# Requests to brokers


def response_bytes(request: Received) -> bytes:
    """Return the complete correct response, whose body is the request's id."""
    identity = request.headers["request-id"]
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nResponse-Signature: {SIGNATURE}\r\n"
    return f"{head}Content-Length: {len(identity)}\r\n\r\n{identity}".encode()


def event(request: Received, number: int) -> bytes:
    version = "versions: 2\n" if number == 3 else ""
    return f"{version}id: {number}\ndata: {request.headers['request-id']} {number}\n\n".encode()


@attrs.define(eq=False)
class HostileBroker:
    """Answers requests correctly or with a fault, chosen by ``rng``, which all brokers share.

    Bodies are framed in three ways: by Content-Length, by chunks or by the end of the connection.
    """

    rng: random.Random
    previous_replies: list[bytes] = attrs.field(factory=list)
    executed: Counter[str] = attrs.field(factory=Counter)  # how often each request was executed
    _late_copies: dict[Wire, bytes] = attrs.field(
        factory=dict
    )  # of a rejection, to be sent on its connection

    async def script(self, wire: Wire, request: Received) -> None:
        identity = request.headers["request-id"]
        if self.rng.random() < REJECTED_SHARE:
            rejection = (
                f"HTTP/1.1 503 Full\r\nRequest-Id: {identity}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            self._late_copies[wire] = rejection.encode()
            return await wire.write(rejection.encode())
        self.executed[identity] += 1
        wire.writer.write(self._late_copies.pop(wire, b""))
        await self._respond(wire, request)

    async def _respond(self, wire: Wire, request: Received) -> None:
        if "/resume/" in request.target or "/stream/" in request.target:
            return await self._stream(wire, request)
        correct = response_bytes(request)
        wrong = self.rng.choice(self.previous_replies) if self.previous_replies else b""
        self.previous_replies.append(correct)
        choice = self.rng.randrange(11)
        if choice == 0:
            await wire.write(correct + wrong)
        elif choice == 1:
            await wire.write(wrong + correct)
        elif choice == 2:
            await wire.write(b"\x00 these bytes are no answer\r\n\r\n")
            wire.close()
        elif choice == 3:
            await wire.write(correct[: self.rng.randrange(len(correct))])
            wire.reset()
        elif choice == 4:
            identity = request.headers["request-id"]
            await wire.head(request, Response_Signature=SIGNATURE)  # the end of the connection ends the body
            await wire.write(identity.encode())
            wire.close()
        elif choice == 5:
            await wire.head(request, Response_Signature=SIGNATURE)
            await wire.write(request.headers["request-id"].encode()[:-1])
            reset(wire.writer)
        elif choice == 6:
            await wire.write(REPLY_WITHOUT_ID + correct)
        else:
            await wire.write(correct)

    async def _stream(self, wire: Wire, request: Received) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        if self.rng.random() < 0.3:
            first = 1  # regardless of the requested position
        text = b"".join(event(request, number) for number in range(first, EVENTS + 1))
        cut = self.rng.randrange(len(text)) if text and self.rng.random() < 0.3 else None
        await wire.stream_head(request)
        part = text[:cut]
        if part:
            await wire.write(b"%x\r\n%s\r\n" % (len(part), part))
        if cut is None:
            return await wire.end_stream()
        wire.close() if self.rng.random() < 0.5 else reset(wire.writer)


@pytest.mark.parametrize("broker_count", (1, 3))
@pytest.mark.parametrize("seed", SEEDS)
def test_every_client_gets_its_own_complete_response_or_none_and_nothing_runs_twice(
    seed: int, broker_count: int
) -> None:
    hostile = HostileBroker(random.Random(seed))
    brokers = [ToyBroker(f"i-{number}", script=hostile.script) for number in range(broker_count)]
    statuses: Counter[tuple[str, int, bool]] = Counter()

    async def scenario(world: DataPlaneHarness) -> None:
        async def send_request(identity: str) -> None:
            kind = ("once", "again", "stream", "resume")[sum(identity.encode()) % 4]
            reply = await world.request(f"/{kind}/x", headers={"Request-Id": identity})
            statuses[kind, reply.status, reply.complete] += 1
            if reply.status == 200:
                assert_own_response(kind, identity, reply.body, reply.complete)
            if reply.status == 503:
                assert hostile.executed[identity] == 0

        await run_many(send_request)

    def assert_own_response(kind: str, identity: str, body: bytes, complete: bool) -> None:
        if kind in ("once", "again"):
            assert body == identity.encode() and complete
            return
        own_request = Received(method="", target="", headers={"request-id": identity}, body=b"")
        complete_body = b"".join(event(own_request, number) for number in range(1, EVENTS + 1))
        assert body == complete_body if complete else complete_body.startswith(body)

    async def run() -> None:
        async with DataPlaneHarness(brokers) as world:
            await scenario(world)

    asyncio.run(run())
    received = [request for broker in brokers for request in broker.received]
    targets = {request.headers["request-id"]: request.target for request in received}
    for identity, count in hostile.executed.items():
        assert count <= (1 if targets[identity] in ("/once/x", "/stream/x") else 2), identity
    assert len(received) > sum(hostile.executed.values())  # some attempts were rejected
    assert statuses["again", 200, True]
    if broker_count > 1:  # a single broker is avoided for most of the time
        assert statuses["resume", 200, True]
        assert statuses["once", 502, True] and statuses["stream", 200, False]
