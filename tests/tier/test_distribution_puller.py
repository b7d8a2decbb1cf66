"""Pulling from keepers that are cut off, hang or are gone; in virtual time, with scripted keepers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from control_support import document
from result import Err, Ok, Result
from virtual_time import run

from cherrycove.tier.controlplane.configuration_state import content_digest
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod, LeadershipPeriodAuthority
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.distribution.puller import CALL_MARGIN_S, LONG_POLL_MS, Puller
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, OutgoingCall
from cherrycove.tier.protocol.control_pb2 import (
    Announcement,
    ConfigurationDocument,
    MemberList,
    PullReply,
    PullRequest,
    TopicUpdate,
    TopicVersion,
)
from cherrycove.tier.protocol.keeper_pb2 import AcceptConfiguration, Command
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.settings import Settings

PULL_TIMEOUT_S = LONG_POLL_MS / 1000.0 + CALL_MARGIN_S
MOST_CALLS = 200  # a caller that spins is slowed down behind these, so that its test ends
APPLY_S = 2.0  # a proxy in touch has an acknowledged configuration after so long


def address(number: int) -> str:
    return f"10.0.0.{number}:7000"


def configuration(version: int, body: bytes | None = None) -> TopicUpdate:
    sent = ConfigurationDocument(version=version, document=document(version) if body is None else body)
    return TopicUpdate(
        version=TopicVersion(topic="configuration", epoch=0, sequence=version), configuration=sent
    )


def members(epoch: int, *keepers: int) -> TopicUpdate:
    announced = [Announcement(node_name=f"m{one}", program="keeper", ip=f"10.0.0.{one}") for one in keepers]
    return TopicUpdate(
        version=TopicVersion(topic="members", epoch=epoch, sequence=1), members=MemberList(members=announced)
    )


class Keepers(Caller):
    """Keepers by number; what each does with a pull is the test's to say. Counts as the network as well."""

    def __init__(self) -> None:
        self.silent: set[int] = set()  # a call hangs until its caller gives up
        self.refusing: set[int] = set()  # no connection comes up
        self.primary = 1
        self.hints: dict[int, int] = {}
        self.updates: list[TopicUpdate] = []
        self.calls: list[tuple[float, int]] = []
        self.bodies_sent = 0

    async def send(self, call: OutgoingCall[Any, Any]) -> Any:
        number = int(call.address.partition(":")[0].rpartition(".")[2])
        self.calls.append((round(asyncio.get_running_loop().time(), 2), number))
        if len(self.calls) > MOST_CALLS:
            await asyncio.sleep(call.timeout_s)
        if number in self.refusing:
            return Err(Failure(ErrorKind.UNREACHABLE, "refused"))
        if number in self.silent:
            await asyncio.sleep(call.timeout_s)
            return Err(Failure(ErrorKind.UNCERTAIN, "no answer"))
        if number != self.primary:
            hint = self.hints.get(number)
            return Err(Failure(ErrorKind.NOT_PRIMARY, "backup", address(hint) if hint else ""))
        return await self._answer(call.request, number, call.timeout_s)

    async def _answer(
        self, request: PullRequest, number: int, timeout_s: float
    ) -> Result[PullReply, Failure]:
        held = {entry.topic: (entry.epoch, entry.sequence) for entry in request.versions}
        newer = [
            update
            for update in self.updates
            if (update.version.epoch, update.version.sequence) > held.get(update.version.topic, (0, 0))
        ]
        wait_s = 0.0 if newer else request.wait_ms / 1000.0
        await asyncio.sleep(wait_s)
        if number in self.silent:  # the answer is lost on its way
            await asyncio.sleep(timeout_s - wait_s)
            return Err(Failure(ErrorKind.UNCERTAIN, "no answer"))
        self.bodies_sent += len(newer)
        return Ok(PullReply(updates=newer))

    def called_since(self, moment: float) -> list[int]:
        return [number for at, number in self.calls if at >= moment]


class Proxy:
    """A process that pulls, with the first three keepers as its seeds."""

    def __init__(self, keepers: Keepers, seeds: Sequence[int] = (1, 2, 3)) -> None:
        settings = Settings(
            node_name="f1",
            machine_class="frontend",
            ip_address="10.0.9.1",
            zone="north",
            region="land",
            internal_port_range=[7000, 7010],
            seed_nodes=[f"10.0.0.{seed}:8000" for seed in seeds],
        )
        self.views = ClusterView()
        self.puller = Puller(settings, keepers, self.views, lambda: Announcement(node_name="f1"))
        self._changed = asyncio.Event()
        self.views.on_change(self._note)

    def _note(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        return 0 if self.views.configuration is None else self.views.configuration.version

    async def until(self, holds: Callable[[], bool], timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not holds():
                await self._changed.wait()


def test_a_primary_that_was_cut_off_is_left_in_time() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        keepers.updates = [configuration(3), members(1, 1, 2, 3)]
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await proxy.until(lambda: proxy.version == 3, 1.0)
        keepers.silent = {1}
        keepers.hints = {2: 1, 3: 1}  # both still take it for the primary
        await asyncio.sleep(1.0)
        keepers.hints = {2: 3}
        keepers.primary = 3
        keepers.updates = [configuration(5), members(2, 1, 2, 3)]
        await proxy.until(lambda: proxy.version == 5, APPLY_S)
        assert proxy.views.primary_address == address(3)
        await proxy.puller.stop()

    run(exchange())


def test_two_keepers_that_hang_cost_no_whole_pull_each() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        keepers.updates = [configuration(3), members(1, 1, 2, 3, 4, 5)]
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await asyncio.sleep(0.1)
        keepers.silent = {1, 2, 3}
        keepers.hints = {4: 5}
        keepers.primary = 5
        keepers.updates = [configuration(5), members(2, 4, 5)]
        began = asyncio.get_running_loop().time()
        await proxy.until(lambda: proxy.version == 5, 10.0)
        hanging = [number for number in keepers.called_since(began) if number in keepers.silent]
        assert hanging == [2, 3]
        assert asyncio.get_running_loop().time() - began < PULL_TIMEOUT_S + 3 * CALL_MARGIN_S
        await proxy.puller.stop()

    run(exchange())


def test_keepers_that_are_listed_no_longer_are_tried_when_nobody_else_answers() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        keepers.updates = [members(1, 1, 7)]
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await proxy.until(lambda: len(proxy.views.members) == 2, 1.0)
        keepers.updates = [members(2, 1)]
        await proxy.until(lambda: len(proxy.views.members) == 1, 2.0)
        keepers.refusing = {1, 2, 3}
        keepers.primary = 7
        keepers.updates = [configuration(9)]
        await proxy.until(lambda: proxy.version == 9, 5.0)
        await proxy.puller.stop()

    run(exchange())


def test_a_process_whose_seeds_are_cut_off_follows_those_that_it_learned() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        keepers.updates = [members(1, 1, 2, 3, 4)]
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await proxy.until(lambda: len(proxy.views.members) == 4, 1.0)
        keepers.silent = {1, 2, 3}
        keepers.primary = 4
        keepers.updates = [configuration(9)]
        await proxy.until(lambda: proxy.version == 9, 5.0)
        await proxy.puller.stop()

    run(exchange())


def test_a_configuration_that_cannot_be_read_comes_again_without_haste() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        keepers.updates = [configuration(3), configuration(5, b"{")]
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await proxy.until(lambda: proxy.version == 3, 1.0)
        await asyncio.sleep(3.0)
        assert 5 <= keepers.bodies_sent <= 15
        keepers.updates = [configuration(3), configuration(5)]
        await proxy.until(lambda: proxy.version == 5, 1.0)
        await proxy.puller.stop()

    run(exchange())


def test_a_puller_ends_also_when_its_announcement_has_just_changed() -> None:
    async def exchange() -> None:
        keepers = Keepers()
        proxy = Proxy(keepers)
        await proxy.puller.start()
        await asyncio.sleep(1.0)
        proxy.puller.announce_now()
        stopping = asyncio.create_task(proxy.puller.stop())
        await asyncio.wait({stopping}, timeout=1.0)
        assert stopping.done()

    run(exchange())


class Replica:
    """A group of one as the publisher's leadership needs it; reports no change."""

    identity = MemberIdentity("a", "m1", address(1))
    members = (identity,)
    primary: MemberIdentity | None = None

    def __init__(self) -> None:
        self.epoch = 1
        self.leads = True

    def is_confirmed_primary(self) -> bool:
        return self.leads

    def voting_member_ids(self) -> frozenset[str]:
        return frozenset({"a"})

    def committed_members(self) -> CommittedMembers | None:
        return None

    def on_change(self, callback: Callable[[], None]) -> None: ...

    def set_retiring(self, names: frozenset[str]) -> None: ...

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None: ...

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        raise NotImplementedError


def accept(state: ControlState, version: int, base: int) -> None:
    body = document(version)
    command = AcceptConfiguration(
        version=version, base_version=base, document=body, digest=content_digest(body) or b""
    )
    state.apply(0, Command(accept_configuration=command).SerializeToString())


def test_a_pull_held_over_a_lost_and_regained_lease_gets_what_was_committed_meanwhile() -> None:
    async def exchange() -> None:
        group, state = Replica(), ControlState()
        term = LeadershipPeriod(group, lambda epoch: topics.begin_epoch(epoch), lambda: None)
        publisher = Publisher(
            LeadershipPeriodAuthority(term, Leadership(group, ClusterView())), lambda request: term.update()
        )
        topics = ControlTopics(publisher, state)
        accept(state, 3, 0)
        held = [TopicVersion(topic="configuration", epoch=0, sequence=3)]
        call = asyncio.create_task(publisher.pull(PullRequest(versions=held, wait_ms=700)))
        await asyncio.sleep(0.1)
        accept(state, 5, 3)  # under another primary; this replica noticed neither its end nor its return
        group.epoch = 3
        reply = (await call).unwrap()
        assert [update.configuration.version for update in reply.updates] == [5]

    run(exchange())
