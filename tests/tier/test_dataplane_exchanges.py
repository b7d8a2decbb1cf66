"""Complete exchanges through the data plane on loopback: what is forwarded, and how each one ends."""

from __future__ import annotations

import asyncio

from dataplane_harness import TIMEOUT_S, DataPlaneHarness, configuration_bytes, route

from examples.toy_broker import SIGNATURE, Received, ToyBroker, Wire, stream


def events(first: int, last: int) -> bytes:
    return b"".join(f"id: {number}\ndata: word {number}\n\n".encode() for number in range(first, last + 1))


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            reply = await harness.request(
                "/once/a%2Fb//..;x?q=%20+&a=%41", b"\0body\xff",
                headers={"Model": "m", "Connection": "close, X-Hop", "X-Hop": "1", "X-End": "2"},
            )  # fmt: skip
            assert (reply.status, reply.body, reply.complete) == (200, b"\0body\xff", True)
            assert reply.headers["response-signature"] == SIGNATURE
            assert reply.headers["request-id"] == "r1"
            (received,) = harness.brokers[0].received
            assert (received.method, received.body) == ("POST", b"\0body\xff")
            assert received.target == "/once/a%2Fb//..;x?q=%20+&a=%41"
            assert received.headers["expected-instance"] == "i-1"
            assert received.headers["host"] == "nony24.example"
            assert received.headers["model"] == "m" and received.headers["x-end"] == "2"
            assert "x-hop" not in received.headers
            assert 2000 < int(received.headers["deadline-ms"]) <= 3000

    asyncio.run(scenario())


def test_chunked_request_body_is_forwarded_with_content_length() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            client = await harness.client()
            client.writer.write(
                b"POST /once/c HTTP/1.1\r\nHost: nony24.example\r\nRequest-Id: r1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            reply = await client.reply()
            assert reply.body == b"abcde"
            assert harness.brokers[0].received[0].headers["content-length"] == "5"

    asyncio.run(scenario())


def test_client_and_broker_connections_are_reused() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            client = await harness.client()
            for number in range(5):
                body = f"{number}".encode()
                assert (
                    await client.request("/once/x", body, headers={"Request-Id": f"r{number}"})
                ).body == body
            assert harness.brokers[0].connections == 1

    asyncio.run(scenario())


def test_request_targets_are_not_normalised() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            targets = ["/once/x?", "/once/x?a=1#b", "/once/../once/x", "/once//x/./y", "/once/%7Ex?%zz"]
            for target in targets:
                assert (await harness.request(target)).status == 200
            assert [received.target for received in harness.brokers[0].received] == targets

    asyncio.run(scenario())


def test_unknown_routes_and_hosts_get_404() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            assert (await harness.request("/nowhere/x")).status == 404
            assert (await harness.request("/once/x", headers={"Host": "other.example"})).status == 404
            assert not harness.brokers[0].received

    asyncio.run(scenario())


def test_without_a_configuration_a_request_gets_503_with_retry_after() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()], document=None) as harness:
            reply = await harness.request("/once/x")
            assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
            assert await harness.readiness() == 503
            harness.update_cluster_view(configuration_bytes())
            assert await harness.readiness() == 200
            assert (await harness.request("/once/x")).status == 200

    asyncio.run(scenario())


def test_oversized_headers_and_bodies_are_rejected() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker()]) as harness:
            assert (await harness.request("/once/x", b"x" * 100_001)).status == 413
            assert (await harness.request("/once/x", headers={"X-Long": "x" * 5000})).status == 431
            assert (await harness.request("/once/x", b"x" * 100_000)).status == 200

    asyncio.run(scenario())


def test_headers_within_the_size_limit_may_have_many_fields() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness(
            [ToyBroker()], document=configuration_bytes(maxHeaderBytes=16384)
        ) as harness:
            fields = {f"X-{number}": "v" for number in range(1000)}
            assert (await harness.request("/once/x", headers=fields)).status == 200
            (received,) = harness.brokers[0].received
            assert all(received.headers[name.lower()] == "v" for name in fields)

    asyncio.run(scenario())


def test_stream_is_forwarded_event_by_event_to_its_end() -> None:
    async def scenario() -> None:
        seen = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await seen.wait()
            await wire.event(2, "word 2")
            await wire.end_stream()

        for prefix in ("/stream/x", "/resume/x"):
            seen.clear()
            async with DataPlaneHarness([ToyBroker(script=script)]) as harness, asyncio.timeout(TIMEOUT_S):
                client = await harness.client()
                await client.send(prefix)
                status, headers = await client.head()
                assert (status, headers["content-type"]) == (200, "text/event-stream")
                assert headers["response-signature"] == SIGNATURE
                assert await client.chunk() == events(1, 1)
                seen.set()
                assert await client.chunk() == events(2, 2)
                assert await client.chunk() == b""

    asyncio.run(scenario())


def test_http_1_0_client_gets_a_stream_delimited_by_connection_close() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(script=stream(2))]) as harness, asyncio.timeout(TIMEOUT_S):
            client = await harness.client()
            client.writer.write(
                b"POST /stream/x HTTP/1.0\r\nHost: nony24.example\r\nRequest-Id: r1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            status, headers = await client.head()
            assert status == 200 and "transfer-encoding" not in headers
            assert await client.reader.read() == events(1, 2)

    asyncio.run(scenario())


def test_without_a_free_slot_a_request_gets_503_with_retry_after() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(slots=0)]) as harness:
            reply = await harness.request("/once/x", headers={"Deadline-Ms": "600"})
            assert reply.status == 503 and 0 < float(reply.headers["retry-after"]) <= 0.2
            assert reply.headers["request-id"] == "r1"
            assert not harness.brokers[0].received and harness.brokers[0].rejected > 0

    asyncio.run(scenario())


def test_interrupted_stream_is_not_terminated() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness(
            [ToyBroker(script=stream(3, breaks_after=2)), ToyBroker("i-2")]
        ) as harness:
            harness.update_cluster_view(listed=harness.brokers[:1])
            reply = await harness.request("/stream/x")
            assert (reply.status, reply.body, reply.complete) == (200, events(1, 2), False)

    asyncio.run(scenario())


def test_resumable_stream_continues_at_another_broker() -> None:
    async def scenario() -> None:
        brokers = [ToyBroker("i-1"), ToyBroker("i-2")]
        brokers[0].scripts = brokers[1].scripts = [stream(5, breaks_after=3), stream(5)]
        async with DataPlaneHarness(brokers) as harness:
            reply = await harness.request("/resume/x")
            assert (reply.status, reply.body, reply.complete) == (200, events(1, 5), True)
            received = [request for broker in brokers for request in broker.received]
            assert sorted(request.headers.get("last-event-id", "") for request in received) == ["", "3"]
            assert {request.headers["request-id"] for request in received} == {"r1"}
            assert {request.headers["expected-instance"] for request in received} == {"i-1", "i-2"}

    asyncio.run(scenario())


def test_resumed_stream_skips_known_events_and_rejects_gaps() -> None:
    async def restart(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        for number in (1, 2, 3, 4):
            await wire.event(number, f"word {number}")
        await wire.end_stream()

    async def skip_event(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        await wire.event(4, "word 4")
        await wire.end_stream()

    async def scenario() -> None:
        async def skip_event_after_new_one(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            text = events(3, 3) + events(5, 5)
            await wire.write(b"%x\r\n%s\r\n" % (len(text), text))
            await wire.end_stream()

        second_responses = ((restart, 4, True), (skip_event, 2, False), (skip_event_after_new_one, 3, False))
        for second, last, complete in second_responses:
            brokers = [ToyBroker("i-1", scripts=[stream(4, breaks_after=2)], script=second)]
            brokers.append(ToyBroker("i-2", scripts=[stream(4, breaks_after=2)], script=second))
            async with DataPlaneHarness(brokers) as harness:
                shared = brokers[0].scripts
                brokers[1].scripts = shared
                reply = await harness.request("/resume/x")
                assert (reply.body, reply.complete) == (events(1, last), complete)

    asyncio.run(scenario())


def test_last_event_id_of_the_client_is_forwarded() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(script=stream(5))]) as harness:
            reply = await harness.request("/resume/x", headers={"Last-Event-Id": "3"})
            assert (reply.body, reply.complete) == (events(4, 5), True)

    asyncio.run(scenario())


async def reset_connection(wire: Wire, request: Received) -> None:
    wire.reset()


async def close_within_body(wire: Wire, request: Received) -> None:
    await wire.head(request, Response_Signature=SIGNATURE, Content_Length="10")
    await wire.write(b"half")
    wire.close()


async def send_garbage(wire: Wire, request: Received) -> None:
    await wire.write(b"\x00\x01 this is no answer\r\n\r\n")
    wire.close()


async def send_wrong_id(wire: Wire, request: Received) -> None:
    await wire.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno"
    )
    wire.close()


async def omit_id(wire: Wire, request: Received) -> None:
    await wire.write(b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno")


async def omit_signature(wire: Wire, request: Received) -> None:
    await wire.head(request, Content_Length="2")
    await wire.write(b"no")


async def reject_without_proof(wire: Wire, request: Received) -> None:
    await wire.head(request, "503 Service Unavailable", Content_Length="0", Response_Signature=SIGNATURE)


UNUSABLE_RESPONSES = (
    reset_connection,
    close_within_body,
    send_garbage,
    send_wrong_id,
    omit_id,
    omit_signature,
    reject_without_proof,
)


def test_possibly_executed_request_is_not_retried_and_gets_502() -> None:
    async def scenario() -> None:
        for script in UNUSABLE_RESPONSES:
            brokers = [ToyBroker("i-1", script=script), ToyBroker("i-2", script=script)]
            async with DataPlaneHarness(brokers) as harness:
                for target in ("/once/x", "/stream/x"):
                    for broker in brokers:
                        broker.received.clear()
                    reply = await harness.request(target)
                    assert reply.status == 502, script
                    assert "response-signature" not in reply.headers
                    assert sum(len(broker.received) for broker in brokers) == 1, script

    asyncio.run(scenario())


def test_idempotent_request_is_retried_at_another_broker() -> None:
    async def scenario() -> None:
        for script in UNUSABLE_RESPONSES:
            brokers = [ToyBroker("i-1"), ToyBroker("i-2")]
            brokers[0].scripts = brokers[1].scripts = [script]
            async with DataPlaneHarness(brokers) as harness:
                reply = await harness.request("/again/x", b"data")
                assert (reply.status, reply.body) == (200, b"data"), script
                assert sorted(len(broker.received) for broker in brokers) == [1, 1]

    asyncio.run(scenario())


def test_executions_are_limited_by_max_attempts_of_the_route() -> None:
    async def scenario() -> None:
        brokers = [ToyBroker(f"i-{number}", script=reset_connection) for number in range(4)]
        async with DataPlaneHarness(brokers) as harness:
            assert (await harness.request("/again/x")).status == 502
            assert sum(len(broker.received) for broker in brokers) == 2

    asyncio.run(scenario())


def test_rejections_by_brokers_do_not_count_as_executions() -> None:
    async def scenario() -> None:
        full = ToyBroker("i-1", slots=0)
        other = ToyBroker("i-2")
        async with DataPlaneHarness([full, other]) as harness:
            for _ in range(6):
                assert (await harness.request("/once/x", b"data")).body == b"data"
            other.instance_id = "i-3"  # another broker took over the address
            full.slots = 8
            for _ in range(6):
                assert (await harness.request("/once/x", b"data")).body == b"data"
            assert other.rejected >= 1

    asyncio.run(scenario())


def test_unreachable_broker_is_skipped() -> None:
    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker("i-1"), ToyBroker("i-2")]) as harness:
            await harness.brokers[0].stop()
            for _ in range(6):
                assert (await harness.request("/once/x", b"data")).body == b"data"

    asyncio.run(scenario())


def test_error_responses_are_forwarded_with_their_signature() -> None:
    async def fail(wire: Wire, request: Received) -> None:
        await wire.answer(request, b"why", "500 Internal Server Error")

    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(script=fail)]) as harness:
            reply = await harness.request("/once/x")
            assert (reply.status, reply.body) == (500, b"why")
            assert reply.headers["response-signature"] == SIGNATURE

    asyncio.run(scenario())


def test_client_disconnect_closes_the_broker_connection() -> None:
    async def scenario() -> None:
        started = asyncio.Event()
        ended = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            started.set()
            await wire.reader.read()  # until the proxy closes the connection
            ended.set()

        async with DataPlaneHarness([ToyBroker(script=script)]) as harness, asyncio.timeout(TIMEOUT_S):
            client = await harness.client()
            await client.send("/stream/x")
            await started.wait()
            client.close()
            await ended.wait()

    asyncio.run(scenario())


def test_route_timeout_ends_a_silent_exchange_with_504_or_an_aborted_stream() -> None:
    async def send_nothing(wire: Wire, request: Received) -> None:
        await wire.reader.read()

    async def send_partial_stream(wire: Wire, request: Received) -> None:
        await wire.stream_head(request)
        await wire.event(1, "word 1")
        await wire.reader.read()

    async def scenario() -> None:
        routes = [route("stream", "/stream/", "streaming", timeoutMs=150)]
        async with DataPlaneHarness(
            [ToyBroker(script=send_nothing)], document=configuration_bytes(routes)
        ) as harness:
            assert (await harness.request("/stream/x")).status == 504
            harness.brokers[0].script = send_partial_stream
            reply = await harness.request("/stream/x")
            assert (reply.status, reply.body, reply.complete) == (200, events(1, 1), False)

    asyncio.run(scenario())


def test_duplicate_responses_reach_no_request() -> None:
    async def respond_twice(wire: Wire, request: Received) -> None:
        await wire.answer(request, request.body)
        await wire.answer(request, request.body)

    async def scenario() -> None:
        async with DataPlaneHarness([ToyBroker(script=respond_twice)]) as harness:
            client = await harness.client()
            for number in range(10):
                body = f"{number}".encode()
                assert (
                    await client.request("/once/x", body, headers={"Request-Id": f"r{number}"})
                ).body == body

    asyncio.run(scenario())


def test_draining_proxy_is_unready_and_closes_connections_after_responses() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def script(wire: Wire, request: Received) -> None:
            await release.wait()
            await wire.answer(request, b"done")

        async with DataPlaneHarness([ToyBroker(script=script)]) as harness, asyncio.timeout(TIMEOUT_S):
            client = await harness.client()
            await client.send("/once/x")
            await harness.brokers[0].wait_received()
            draining = asyncio.create_task(harness.data_plane.drain(8.0))
            assert await harness.readiness() == 503
            release.set()
            reply = await client.reply()
            assert (reply.status, reply.body, reply.headers["connection"]) == (200, b"done", "close")
            later = await harness.request("/once/y")
            assert (later.status, later.headers["connection"]) == (200, "close")
            draining.cancel()

    asyncio.run(scenario())


def test_only_a_resumable_stream_leaves_a_stalled_broker() -> None:
    async def scenario() -> None:
        async def send_partial_stream(wire: Wire, request: Received) -> None:
            await wire.stream_head(request)
            await wire.event(1, "word 1")
            await wire.event(2, "word 2")
            await wire.reader.read()

        for target, complete in (("/resume/x", True), ("/stream/x", False)):
            brokers = [ToyBroker("i-1", script=stream(4)), ToyBroker("i-2", script=stream(4))]
            brokers[0].scripts = brokers[1].scripts = [send_partial_stream]
            async with DataPlaneHarness(brokers) as harness:
                reply = await harness.request(target)
                assert (reply.body, reply.complete) == (events(1, 4 if complete else 2), complete)
                assert sum(len(broker.received) for broker in brokers) == (2 if complete else 1)

    asyncio.run(scenario())


def test_incomplete_headers_close_the_connection_after_the_header_timeout() -> None:
    async def scenario() -> None:
        document = configuration_bytes(headerTimeoutMs=100)
        async with DataPlaneHarness([ToyBroker()], document=document) as harness, asyncio.timeout(TIMEOUT_S):
            client = await harness.client()
            client.writer.write(b"POST /once/x HTTP/1.1\r\nHost: nony")
            assert await client.reader.read() == b""
            client = await harness.client()
            assert (await client.request("/once/x", b"1")).status == 200
            assert (await client.request("/once/x", b"2")).status == 200

    asyncio.run(scenario())


def test_connection_is_not_reused_after_close_or_zero_keep_alive() -> None:
    async def close_after_response(wire: Wire, request: Received) -> None:
        await wire.answer(request, b"", Connection="close")

    async def announce_zero_keep_alive(wire: Wire, request: Received) -> None:
        await wire.answer(request, b"", Keep_Alive="timeout=0")

    async def scenario() -> None:
        for script in (close_after_response, announce_zero_keep_alive):
            async with DataPlaneHarness([ToyBroker(script=script)]) as harness:
                for _ in range(3):
                    assert (await harness.request("/once/x")).status == 200
                assert harness.brokers[0].connections == 3

    asyncio.run(scenario())


def test_idle_connection_closed_by_the_broker_fails_no_request() -> None:
    async def scenario() -> None:
        async def close_when_idle(wire: Wire, request: Received) -> None:
            await wire.answer(request, request.body)
            wire.close()

        async with DataPlaneHarness([ToyBroker(script=close_when_idle)]) as harness:
            client = await harness.client()
            for number in range(5):
                assert (await client.request("/once/x", b"%d" % number)).body == b"%d" % number

    asyncio.run(scenario())
