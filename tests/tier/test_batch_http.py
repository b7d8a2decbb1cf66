"""Tests the batch interface over loopback, with transcripts of calls from a client to a proxy and a store."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable

import attrs
import pytest
from batch_support import ROUTE, TEST_TIMEOUT_S, Frontend, Tier, configuration, job

from cherrycove.tier.batch.frontend.result_page import MAX_PAGE_BYTES, render_page
from cherrycove.tier.batch.jobs.commands import accept_command, item_result, results_command
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb

BODY = bytes(range(256))


def submission(*item_ids: str) -> dict[str, object]:
    requests = [
        {
            "instanceId": item_id,
            "path": f"/jobs/{item_id}",
            "headers": {"Model": "m"},
            "body": base64.b64encode(BODY).decode(),
            "tokens": 10,
        }
        for item_id in item_ids
    ]
    return {"requests": requests}


def run_scenario(scenario: Callable[[Tier, Frontend], Awaitable[None]], **options: object) -> None:
    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with Tier(**options) as tier, Frontend(tier) as frontend:  # type: ignore[arg-type]
                await scenario(tier, frontend)

    asyncio.run(run())


def record(tier: Tier, job_id: str, item_id: str, text: bytes, completed: bool = True) -> None:
    command = results_command([item_result(ItemKey(job_id, item_id), text, completed=completed)])
    tier.cluster.commit(tier.nodes[0].group, command)


def test_job_lifecycle() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        transcript = [
            await frontend.exchange("POST", "/jobs/1", submission("a", "b", "c"), Request_Id="j1"),
            await frontend.exchange("POST", "/jobs/1", submission("a", "b", "c"), Request_Id="j1"),
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=0"),
        ]
        record(tier, "j1", "b", "one\ntwo ü".encode())
        record(tier, "j1", "a", b"unprocessable", completed=False)
        transcript += [
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=0"),
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=1", Wait_Ms="1000"),
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=2"),
            await frontend.exchange("DELETE", "/api/lots/j1"),
            await frontend.exchange("DELETE", "/api/lots/j1"),
            await frontend.exchange("GET", "/api/lots/j1", Wait_Ms="1000"),
            await frontend.exchange("GET", "/api/lots/other?pageCursor=0"),
            await frontend.exchange("DELETE", "/api/lots/other"),
        ]
        one = '{"instanceId":"b","state":"completed","message":"one\\ntwo ü"}'
        two = '{"instanceId":"a","state":"dead_lettered","message":"unprocessable"}'
        assert transcript == [
            "POST /jobs/1 -> 202 {}",
            "POST /jobs/1 -> 202 {}",
            'GET /api/lots/j1?pageCursor=0 -> 200 {"total":3,"nextPageToken":0,"results":[]}',
            f'GET /api/lots/j1?pageCursor=0 -> 200 {{"total":3,"nextPageToken":2,"results":[{one},{two}]}}',
            f'GET /api/lots/j1?pageCursor=1 -> 200 {{"total":3,"nextPageToken":2,"results":[{two}]}}',
            'GET /api/lots/j1?pageCursor=2 -> 200 {"total":3,"nextPageToken":2,"results":[]}',
            "DELETE /api/lots/j1 -> 200 {}",
            "DELETE /api/lots/j1 -> 200 {}",
            f'GET /api/lots/j1 -> 200 {{"total":3,"nextPageToken":2,"results":[{one},{two}]}}',
            "GET /api/lots/other?pageCursor=0 -> 404",
            "DELETE /api/lots/other -> 404",
        ]

    run_scenario(scenario)


def test_a_job_keeps_the_configuration_version_at_its_submission() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        tier.cluster_view.configuration = attrs.evolve(configuration(ROUTE), version=7)
        call = await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1")
        assert call == "POST /jobs/1 -> 202 {}"
        assert tier.nodes[0].state.jobs["j1"].submission.configuration_version == 7

    run_scenario(scenario)


def test_bodies_are_returned_unchanged() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        await frontend.exchange("POST", "/jobs/1", submission("a", "b"), Request_Id="j1")
        record(tier, "j1", "b", b"text")
        status, body, _ = await frontend.call("GET", "/api/items/j1?instanceId=a")
        assert (status, body) == (200, BODY)
        status, _, _ = await frontend.call("GET", "/api/items/j1?instanceId=c")
        assert status == 404
        await frontend.exchange("DELETE", "/api/lots/j1")
        status, body, _ = await frontend.call("GET", "/api/items/j1?instanceId=a")
        assert (status, body) == (200, BODY)

    run_scenario(scenario)


def test_all_proxies_return_the_same_results_from_any_position() -> None:
    async def scenario(tier: Tier, first: Frontend) -> None:
        async with Frontend(tier) as second:
            job_call = ("POST", "/jobs/1", submission("a", "b", "c", "d"))
            assert (await first.exchange(*job_call, Request_Id="j1")).endswith("-> 202 {}")
            for item_id in ("c", "a", "b"):
                record(tier, "j1", item_id, f"text of {item_id}".encode())
            reads = [f"/api/lots/j1?pageCursor={position}" for position in (3, 0, 2, 1, 0, 9)]
            reads += ["/api/items/j1?instanceId=d"]
            before = [(await first.call("GET", read))[:2] for read in reads]
            assert before[-1] == (200, BODY)
            pages = [json.loads(body)["results"] for _, body in before[:-1]]
            all_results = pages[1]
            assert pages == [all_results[3:], all_results, all_results[2:], all_results[1:], all_results, []]
            tier.set_primary(1, publish=True)
            assert [(await second.call("GET", read))[:2] for read in reads] == before
            assert (await second.exchange(*job_call, Request_Id="j1")).endswith("-> 202 {}")
            for frontend in (second, first, second):
                assert await frontend.exchange("DELETE", "/api/lots/j1") == "DELETE /api/lots/j1 -> 200 {}"
            assert (await first.exchange(*job_call, Request_Id="j1")).endswith("-> 202 {}")
            assert [(await first.call("GET", read))[:2] for read in reads] == before

    run_scenario(scenario, stores=2)


def test_held_read_answers_as_soon_as_a_result_exists() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1")
        waiters = tier.nodes[0].store._handlers._waiters
        waiting = asyncio.Event()
        original = waiters.wait

        async def observed_wait(job_id: str, timeout_s: float) -> None:
            waiting.set()
            await original(job_id, timeout_s)

        waiters.wait = observed_wait  # type: ignore[method-assign]
        read = asyncio.create_task(frontend.exchange("GET", "/api/lots/j1", Wait_Ms="1000"))
        await waiting.wait()
        record(tier, "j1", "a", b"text")
        assert '"message":"text"' in await read

    run_scenario(scenario)


def test_held_read_is_not_answered_by_a_store_that_is_no_longer_primary() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1")
        waiters = tier.nodes[0].store._handlers._waiters
        original = waiters.wait

        async def wait_and_lose_primary(job_id: str, timeout_s: float) -> None:
            waiting = asyncio.create_task(original(job_id, timeout_s))
            await asyncio.wait((waiting,), timeout=0)
            tier.cluster.set_primary(None)
            await waiting

        waiters.wait = wait_and_lose_primary  # type: ignore[method-assign]
        assert await frontend.exchange("GET", "/api/lots/j1", Wait_Ms="400") == (
            "GET /api/lots/j1 -> 503 Retry-After 0.2"
        )

    run_scenario(scenario)


def test_unknown_job_is_not_a_404_without_a_primary() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        tier.cluster.set_primary(None)
        assert [
            await frontend.exchange("GET", "/api/lots/j1"),
            await frontend.exchange("GET", "/api/items/j1?instanceId=a"),
            await frontend.exchange("DELETE", "/api/lots/j1", Deadline_Ms="300"),
            await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1", Deadline_Ms="300"),
        ] == [
            "GET /api/lots/j1 -> 503 Retry-After 0.2",
            "GET /api/items/j1?instanceId=a -> 503 Retry-After 0.2",
            "DELETE /api/lots/j1 -> 503 Retry-After 0.2",
            "POST /jobs/1 -> 503 Retry-After 0.2",
        ]
        assert tier.nodes[0].state.jobs == {}

    run_scenario(scenario)


def test_submit_of_unknown_outcome_is_answered_by_504() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        group = tier.nodes[0].group
        group.refusal = Failure(ErrorKind.UNCERTAIN, "no reply from the backups")
        short_deadline = {"Request_Id": "j1", "Deadline_Ms": "300"}
        answer = await frontend.exchange("POST", "/jobs/1", submission("a"), **short_deadline)
        assert answer == "POST /jobs/1 -> 504"
        group.refusal = None
        assert await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1") == (
            "POST /jobs/1 -> 202 {}"
        )

    run_scenario(scenario)


def test_submit_and_end_are_retried_after_a_lost_reply() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        group = tier.nodes[0].group
        group.lost_replies = 1
        assert await frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1") == (
            "POST /jobs/1 -> 202 {}"
        )
        group.lost_replies = 1
        assert await frontend.exchange("DELETE", "/api/lots/j1") == "DELETE /api/lots/j1 -> 200 {}"
        assert len(group.proposals) == 2

    run_scenario(scenario)


def test_end_of_unknown_outcome_is_answered_by_504() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        tier.cluster.commit(tier.nodes[0].group, accept_command(job("j1", "a"), 0))
        tier.nodes[0].group.refusal = Failure(ErrorKind.UNCERTAIN)
        assert await frontend.exchange("DELETE", "/api/lots/j1", Deadline_Ms="300") == (
            "DELETE /api/lots/j1 -> 504"
        )

    run_scenario(scenario)


def test_concurrent_submits_of_one_job_are_accepted_once() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        group = tier.nodes[0].group
        group.gate = asyncio.Event()
        calls = [
            asyncio.create_task(frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1"))
            for _ in range(2)
        ]
        await group.arrived.get()
        group.gate.set()
        assert await asyncio.gather(*calls) == ["POST /jobs/1 -> 202 {}"] * 2
        assert tier.nodes[0].state.jobs["j1"].total == 1

    run_scenario(scenario)


def test_pending_submit_is_not_proposed_again() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        group = tier.nodes[0].group
        group.gate = asyncio.Event()
        submit = asyncio.create_task(frontend.exchange("POST", "/jobs/1", submission("a"), Request_Id="j1"))
        submissions, retried = tier.nodes[0].store._handlers._submissions, asyncio.Event()
        propose = submissions.propose

        async def observed(key: str, command: Callable[[], bytes]) -> object:
            if group.proposals:
                retried.set()
            return await propose(key, command)

        submissions.propose = observed  # type: ignore[method-assign, assignment]
        await retried.wait()  # the proxy retries because its first attempt timed out
        group.gate.set()
        assert await submit == "POST /jobs/1 -> 202 {}"
        assert len(group.proposals) == 1

    run_scenario(scenario)


def test_jobs_over_capacity_are_refused_and_known_ones_acknowledged() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        known = submission("a")
        await frontend.exchange("POST", "/jobs/1", known, Request_Id="j1")
        large = submission("a")
        large["requests"][0]["body"] = base64.b64encode(bytes(400_000)).decode()  # type: ignore[index]
        assert [
            await frontend.exchange("POST", "/jobs/1", large, Request_Id="j2"),
            await frontend.exchange("POST", "/jobs/1", known, Request_Id="j1"),
        ] == ["POST /jobs/1 -> 503 Retry-After 120.0", "POST /jobs/1 -> 202 {}"]

    run_scenario(scenario, memory_mb=1.0)


def test_invalid_requests() -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        assert [
            await frontend.exchange("POST", "/jobs/1", b"{", Request_Id="j1"),
            await frontend.exchange("POST", "/jobs/1", submission("a", "a"), Request_Id="j1"),
            await frontend.exchange("POST", "/jobs/1", submission("a")),
            await frontend.exchange("GET", "/jobs/1"),
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=-1"),
            await frontend.exchange("GET", "/api/lots/j1?pageCursor=x"),
            await frontend.exchange("GET", "/api/lots/"),
            await frontend.exchange("POST", "/none/1", submission("a"), Request_Id="j1"),
        ] == [
            "POST /jobs/1 -> 400",
            "POST /jobs/1 -> 400",
            "POST /jobs/1 -> 400",
            "GET /jobs/1 -> 400",
            "GET /api/lots/j1?pageCursor=-1 -> 400",
            "GET /api/lots/j1?pageCursor=x -> 400",
            "GET /api/lots/ -> 400",
            "POST /none/1 -> 404",
        ]

    run_scenario(scenario)


@pytest.mark.parametrize("text", ["x", "\n", "ü", '"'])
def test_pages_stay_below_a_megabyte_and_lose_nothing(text: str) -> None:
    async def scenario(tier: Tier, frontend: Frontend) -> None:
        sizes = (400_000, 300_000, 2_000_000, 10, 500_000)
        ids = [str(number) for number in range(len(sizes))]
        tier.cluster.commit(tier.nodes[0].group, accept_command(job("j1", *ids), 0))
        for item_id, size in zip(ids, sizes, strict=True):
            record(tier, "j1", item_id, (text * size).encode())
        seen: list[tuple[str, int]] = []
        while len(seen) < len(ids):
            _, body, _ = await frontend.call("GET", f"/api/lots/j1?pageCursor={len(seen)}")
            page = json.loads(body)
            assert len(body) <= MAX_PAGE_BYTES or len(page["results"]) == 1
            assert page["nextPageToken"] == len(seen) + len(page["results"])
            seen += [(result["instanceId"], len(result["message"])) for result in page["results"]]
            assert page["results"]
        assert seen == list(zip(ids, sizes, strict=True))

    run_scenario(scenario)


def test_page_is_valid_json_for_any_text() -> None:
    texts = ['"\\\x00\x1f\u2028', "a\nb", "😀", ""]
    reply = pb.ReadReply(total=9)
    for number, text in enumerate(texts):
        reply.results.add(item_id=str(number), completed=True, text=text.encode())
    page = json.loads(render_page(reply, 3))
    assert page["nextPageToken"] == 7
    assert [result["message"] for result in page["results"]] == texts
