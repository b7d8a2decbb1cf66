"""Tests how the client finds the primary store, and which failures are certain if it does not."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from batch_support import TEST_TIMEOUT_S, Tier, job, settings
from google.protobuf.message import Message
from result import Err, Ok, Result

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.client.primary_finder import UNRESPONSIVE_PERIOD_S, PrimaryFinder
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import OutgoingCall
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient

PORT = 7000
STORE_1, STORE_2, STORE_3 = (f"10.0.0.{number}:{PORT}" for number in (1, 2, 3))


def announced_stores(primary: int, epoch: int = 1) -> ClusterView:
    return ClusterView(
        members=tuple(
            Announcement(
                program="store", ip=f"10.0.0.{number}", group_primary=number == primary, group_epoch=epoch
            )
            for number in (1, 2, 3)
        )
    )


class ScriptedRpc(RpcClient):
    """Answers by address and records which addresses were called."""

    def __init__(self, answers: dict[str, Result[Message, Failure]]) -> None:
        super().__init__()
        self.answers = answers
        self.called: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        self.called.append(call.address)
        return self.answers[call.address]


def failure_result(kind: ErrorKind, primary: str = "") -> Err[Failure]:
    return Err(Failure(kind, primary=primary))


def submit(
    rpc: ScriptedRpc, cluster_view: ClusterView, budget_s: float = 0.02
) -> Result[pb.SubmitReply, Failure]:
    client = BatchClient(rpc, cluster_view, settings(PORT, "10.0.0.9"))
    return asyncio.run(client.submit(job("j1", "a"), budget_s))


def test_announced_primary_is_called_first() -> None:
    rpc = ScriptedRpc({STORE_2: Ok(pb.SubmitReply())})
    assert isinstance(submit(rpc, announced_stores(2)), Ok)
    assert rpc.called == [STORE_2]


def test_hint_is_followed() -> None:
    rpc = ScriptedRpc(
        {STORE_1: failure_result(ErrorKind.NOT_PRIMARY, STORE_3), STORE_3: Ok(pb.SubmitReply())}
    )
    assert isinstance(submit(rpc, announced_stores(1)), Ok)
    assert rpc.called == [STORE_1, STORE_3]


def test_hint_to_a_store_that_did_not_answer_is_not_followed_first() -> None:
    rpc = ScriptedRpc(
        {
            STORE_1: failure_result(ErrorKind.UNCERTAIN),
            STORE_2: failure_result(ErrorKind.NOT_PRIMARY, STORE_1),
            STORE_3: Ok(pb.SubmitReply()),
        }
    )
    assert isinstance(submit(rpc, announced_stores(1)), Ok)
    assert rpc.called == [STORE_1, STORE_2, STORE_3]


def test_failure_is_certain_only_if_every_attempt_was() -> None:
    certain = {
        STORE_1: failure_result(ErrorKind.NOT_PRIMARY),
        STORE_2: failure_result(ErrorKind.UNREACHABLE),
        STORE_3: failure_result(ErrorKind.UNAVAILABLE),
    }
    assert submit(ScriptedRpc(certain), announced_stores(1)).unwrap_err().kind is ErrorKind.UNAVAILABLE
    one_unknown = certain | {STORE_2: failure_result(ErrorKind.UNCERTAIN)}
    assert submit(ScriptedRpc(one_unknown), announced_stores(1)).unwrap_err().kind is ErrorKind.UNCERTAIN


def test_overload_is_certain_only_without_an_earlier_attempt_of_unknown_outcome() -> None:
    full = {STORE_1: failure_result(ErrorKind.OVERLOADED)}
    assert submit(ScriptedRpc(full), announced_stores(1)).unwrap_err().kind is ErrorKind.OVERLOADED
    unknown = {STORE_1: failure_result(ErrorKind.UNCERTAIN), STORE_2: failure_result(ErrorKind.OVERLOADED)}
    failure = submit(
        ScriptedRpc(unknown | {STORE_3: failure_result(ErrorKind.NOT_PRIMARY)}), announced_stores(1)
    ).unwrap_err()
    assert failure.kind is ErrorKind.UNCERTAIN


def test_submit_is_unavailable_while_no_store_is_known() -> None:
    assert submit(ScriptedRpc({}), ClusterView()).unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_unresponsive_stores_are_tried_last_for_a_period() -> None:
    finder = PrimaryFinder(announced_stores(1), settings(PORT, "10.0.0.9"))
    finder.mark_primary(STORE_1)
    assert finder.candidates(0.0) == [STORE_1, STORE_2, STORE_3]
    finder.mark_unresponsive(STORE_1, 0.0)
    assert finder.candidates(0.1) == [STORE_2, STORE_3, STORE_1]
    assert finder.candidates(UNRESPONSIVE_PERIOD_S) == [STORE_1, STORE_2, STORE_3]
    finder.mark_unresponsive(STORE_1, 10.0)
    finder.mark_primary(STORE_3)
    assert finder.candidates(10.1) == [STORE_3, STORE_2, STORE_1]
    finder.mark_primary(STORE_1)
    assert finder.candidates(10.2) == [STORE_1, STORE_2, STORE_3]


def test_newest_epoch_determines_the_primary() -> None:
    cluster_view = announced_stores(1, epoch=4)
    cluster_view.members[2].group_primary = True
    cluster_view.members[2].group_epoch = 5
    assert PrimaryFinder(cluster_view, settings(PORT, "10.0.0.9")).candidates(0.0)[0] == STORE_3


def run_scenario(scenario: Callable[[Tier], Awaitable[None]], stores: int) -> None:
    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S), Tier(stores) as tier:
            await scenario(tier)

    asyncio.run(run())


def test_new_primary_is_found_despite_stale_announcements() -> None:
    async def scenario(tier: Tier) -> None:
        assert isinstance(await tier.client.submit(job("j1", "a"), 5.0), Ok)
        tier.set_primary(2)
        assert isinstance(await tier.client.submit(job("j2", "a"), 5.0), Ok)
        assert isinstance(await tier.client.read(pb.ReadRequest(job_id="j1"), 5.0), Ok)
        await tier.nodes[2].server.stop()
        tier.set_primary(1)
        assert isinstance(await tier.client.read(pb.ReadRequest(job_id="j2"), 5.0), Ok)

    run_scenario(scenario, 3)


def test_call_waits_for_an_election_within_its_budget() -> None:
    async def scenario(tier: Tier) -> None:
        tier.cluster.set_primary(None)
        called = asyncio.Event()
        original_call = tier.rpc.call

        async def observed(*arguments: Any) -> Any:
            answer = await original_call(*arguments)
            called.set()
            return answer

        tier.rpc.call = observed  # type: ignore[method-assign]
        call = asyncio.create_task(tier.client.submit(job("j1", "a"), 5.0))
        await called.wait()
        tier.set_primary(1)
        assert isinstance(await call, Ok)

    run_scenario(scenario, 2)
