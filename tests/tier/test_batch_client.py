"""How the primary of the stores is found, and what remains certain when it is not."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from batch_support import PATIENCE_S, Tier, job, settings
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
ONE, TWO, THREE = (f"10.0.0.{number}:{PORT}" for number in (1, 2, 3))


def stores(primary: int, epoch: int = 1) -> ClusterView:
    return ClusterView(
        members=tuple(
            Announcement(
                program="store", ip=f"10.0.0.{number}", group_primary=number == primary, group_epoch=epoch
            )
            for number in (1, 2, 3)
        )
    )


class ScriptedRpc(RpcClient):
    """Answers by address; tells which were asked."""

    def __init__(self, answers: dict[str, Result[Message, Failure]]) -> None:
        super().__init__()
        self.answers = answers
        self.asked: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        self.asked.append(call.address)
        return self.answers[call.address]


def fails(kind: ErrorKind, primary: str = "") -> Err[Failure]:
    return Err(Failure(kind, primary=primary))


def submit(rpc: ScriptedRpc, views: ClusterView, budget_s: float = 0.02) -> Result[pb.SubmitReply, Failure]:
    client = BatchClient(rpc, views, settings(PORT, "10.0.0.9"))
    return asyncio.run(client.submit(job("j1", "a"), budget_s))


def test_announced_primary_is_asked_first() -> None:
    rpc = ScriptedRpc({TWO: Ok(pb.SubmitReply())})
    assert isinstance(submit(rpc, stores(2)), Ok)
    assert rpc.asked == [TWO]


def test_hint_is_followed() -> None:
    rpc = ScriptedRpc({ONE: fails(ErrorKind.NOT_PRIMARY, THREE), THREE: Ok(pb.SubmitReply())})
    assert isinstance(submit(rpc, stores(1)), Ok)
    assert rpc.asked == [ONE, THREE]


def test_hint_to_a_store_that_did_not_answer_is_not_followed_first() -> None:
    rpc = ScriptedRpc(
        {
            ONE: fails(ErrorKind.UNCERTAIN),
            TWO: fails(ErrorKind.NOT_PRIMARY, ONE),
            THREE: Ok(pb.SubmitReply()),
        }
    )
    assert isinstance(submit(rpc, stores(1)), Ok)
    assert rpc.asked == [ONE, TWO, THREE]


def test_failure_is_certain_only_if_every_try_was() -> None:
    certain = {
        ONE: fails(ErrorKind.NOT_PRIMARY),
        TWO: fails(ErrorKind.UNREACHABLE),
        THREE: fails(ErrorKind.UNAVAILABLE),
    }
    assert submit(ScriptedRpc(certain), stores(1)).unwrap_err().kind is ErrorKind.UNAVAILABLE
    one_unknown = certain | {TWO: fails(ErrorKind.UNCERTAIN)}
    assert submit(ScriptedRpc(one_unknown), stores(1)).unwrap_err().kind is ErrorKind.UNCERTAIN


def test_want_of_room_is_certain_only_without_an_earlier_try_of_unknown_outcome() -> None:
    full = {ONE: fails(ErrorKind.OVERLOADED)}
    assert submit(ScriptedRpc(full), stores(1)).unwrap_err().kind is ErrorKind.OVERLOADED
    unknown = {ONE: fails(ErrorKind.UNCERTAIN), TWO: fails(ErrorKind.OVERLOADED)}
    failure = submit(ScriptedRpc(unknown | {THREE: fails(ErrorKind.NOT_PRIMARY)}), stores(1)).unwrap_err()
    assert failure.kind is ErrorKind.UNCERTAIN


def test_nothing_is_taken_while_no_store_is_known() -> None:
    assert submit(ScriptedRpc({}), ClusterView()).unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_silent_stores_come_last_for_a_while() -> None:
    finder = PrimaryFinder(stores(1), settings(PORT, "10.0.0.9"))
    finder.mark_primary(ONE)
    assert finder.candidates(0.0) == [ONE, TWO, THREE]
    finder.mark_unresponsive(ONE, 0.0)
    assert finder.candidates(0.1) == [TWO, THREE, ONE]
    assert finder.candidates(UNRESPONSIVE_PERIOD_S) == [ONE, TWO, THREE]
    finder.mark_unresponsive(ONE, 10.0)
    finder.mark_primary(THREE)
    assert finder.candidates(10.1) == [THREE, TWO, ONE]
    finder.mark_primary(ONE)
    assert finder.candidates(10.2) == [ONE, TWO, THREE]


def test_newest_epoch_is_believed() -> None:
    views = stores(1, epoch=4)
    views.members[2].group_primary = True
    views.members[2].group_epoch = 5
    assert PrimaryFinder(views, settings(PORT, "10.0.0.9")).candidates(0.0)[0] == THREE


def play(scene: Callable[[Tier], Awaitable[None]], stores: int) -> None:
    async def run() -> None:
        async with asyncio.timeout(PATIENCE_S), Tier(stores) as tier:
            await scene(tier)

    asyncio.run(run())


def test_next_primary_is_found_while_the_announcements_are_old() -> None:
    async def scene(tier: Tier) -> None:
        assert isinstance(await tier.client.submit(job("j1", "a"), 5.0), Ok)
        tier.lead(2)
        assert isinstance(await tier.client.submit(job("j2", "a"), 5.0), Ok)
        assert isinstance(await tier.client.read(pb.ReadRequest(job_id="j1"), 5.0), Ok)
        await tier.nodes[2].server.stop()
        tier.lead(1)
        assert isinstance(await tier.client.read(pb.ReadRequest(job_id="j2"), 5.0), Ok)

    play(scene, 3)


def test_call_waits_for_an_election_within_its_budget() -> None:
    async def scene(tier: Tier) -> None:
        tier.cluster.lead(None)
        asked = asyncio.Event()
        ask = tier.rpc.call

        async def observed(*arguments: Any) -> Any:
            answer = await ask(*arguments)
            asked.set()
            return answer

        tier.rpc.call = observed  # type: ignore[method-assign]
        call = asyncio.create_task(tier.client.submit(job("j1", "a"), 5.0))
        await asked.wait()
        tier.lead(1)
        assert isinstance(await call, Ok)

    play(scene, 2)
