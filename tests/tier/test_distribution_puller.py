"""Tests pulls from scripted controllers that are partitioned, hang or were removed, in virtual time."""

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
MAX_FAST_CALLS = 200  # limit after which calls are delayed, so that the test of a busy loop ends
APPLY_S = 2.0  # time limit in which a connected proxy must receive an acknowledged configuration


def address(number: int) -> str:
    return f"10.0.0.{number}:7000"


def configuration(version: int, body: bytes | None = None) -> TopicUpdate:
    sent = ConfigurationDocument(version=version, document=document(version) if body is None else body)
    return TopicUpdate(
        version=TopicVersion(topic="configuration", epoch=0, sequence=version), configuration=sent
    )


def members(epoch: int, *numbers: int) -> TopicUpdate:
    announced = [
        Announcement(node_name=f"m{number}", program="keeper", ip=f"10.0.0.{number}") for number in numbers
    ]
    return TopicUpdate(
        version=TopicVersion(topic="members", epoch=epoch, sequence=1), members=MemberList(members=announced)
    )


class ScriptedControllers(Caller):
    """Implements controllers, identified by numbers, and the network; the test sets how each one responds."""

    def __init__(self) -> None:
        self.silent: set[int] = set()  # controllers whose calls hang until they time out
        self.refusing: set[int] = set()  # controllers that refuse connections
        self.primary = 1
        self.hints: dict[int, int] = {}
        self.updates: list[TopicUpdate] = []
        self.calls: list[tuple[float, int]] = []
        self.bodies_sent = 0

    async def send(self, call: OutgoingCall[Any, Any]) -> Any:
        number = int(call.address.partition(":")[0].rpartition(".")[2])
        self.calls.append((round(asyncio.get_running_loop().time(), 2), number))
        if len(self.calls) > MAX_FAST_CALLS:
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
        versions = {entry.topic: (entry.epoch, entry.sequence) for entry in request.versions}
        newer = [
            update
            for update in self.updates
            if (update.version.epoch, update.version.sequence) > versions.get(update.version.topic, (0, 0))
        ]
        wait_s = 0.0 if newer else request.wait_ms / 1000.0
        await asyncio.sleep(wait_s)
        if number in self.silent:  # The response is lost.
            await asyncio.sleep(timeout_s - wait_s)
            return Err(Failure(ErrorKind.UNCERTAIN, "no answer"))
        self.bodies_sent += len(newer)
        return Ok(PullReply(updates=newer))

    def called_since(self, start: float) -> list[int]:
        return [number for at, number in self.calls if at >= start]


class Proxy:
    """Runs a process that pulls, with the first three controllers as its seeds."""

    def __init__(self, controllers: ScriptedControllers, seeds: Sequence[int] = (1, 2, 3)) -> None:
        settings = Settings(
            node_name="f1",
            machine_class="frontend",
            ip_address="10.0.9.1",
            zone="north",
            region="land",
            internal_port_range=[7000, 7010],
            seed_nodes=[f"10.0.0.{seed}:8000" for seed in seeds],
        )
        self.cluster_view = ClusterView()
        self.puller = Puller(settings, controllers, self.cluster_view, lambda: Announcement(node_name="f1"))
        self._changed = asyncio.Event()
        self.cluster_view.on_change(self._on_change)

    def _on_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        return 0 if self.cluster_view.configuration is None else self.cluster_view.configuration.version

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await self._changed.wait()


def test_a_process_switches_from_a_partitioned_primary_in_time() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        controllers.updates = [configuration(3), members(1, 1, 2, 3)]
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await proxy.until(lambda: proxy.version == 3, 1.0)
        controllers.silent = {1}
        controllers.hints = {2: 1, 3: 1}  # Both still consider it the primary.
        await asyncio.sleep(1.0)
        controllers.hints = {2: 3}
        controllers.primary = 3
        controllers.updates = [configuration(5), members(2, 1, 2, 3)]
        await proxy.until(lambda: proxy.version == 5, APPLY_S)
        assert proxy.cluster_view.primary_address == address(3)
        await proxy.puller.stop()

    run(exchange())


def test_hanging_controllers_cost_less_than_a_full_pull_timeout_each() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        controllers.updates = [configuration(3), members(1, 1, 2, 3, 4, 5)]
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await asyncio.sleep(0.1)
        controllers.silent = {1, 2, 3}
        controllers.hints = {4: 5}
        controllers.primary = 5
        controllers.updates = [configuration(5), members(2, 4, 5)]
        began = asyncio.get_running_loop().time()
        await proxy.until(lambda: proxy.version == 5, 10.0)
        hanging = [number for number in controllers.called_since(began) if number in controllers.silent]
        assert hanging == [2, 3]
        assert asyncio.get_running_loop().time() - began < PULL_TIMEOUT_S + 3 * CALL_MARGIN_S
        await proxy.puller.stop()

    run(exchange())


def test_former_controllers_are_asked_when_no_other_answers() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        controllers.updates = [members(1, 1, 7)]
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await proxy.until(lambda: len(proxy.cluster_view.members) == 2, 1.0)
        controllers.updates = [members(2, 1)]
        await proxy.until(lambda: len(proxy.cluster_view.members) == 1, 2.0)
        controllers.refusing = {1, 2, 3}
        controllers.primary = 7
        controllers.updates = [configuration(9)]
        await proxy.until(lambda: proxy.version == 9, 5.0)
        await proxy.puller.stop()

    run(exchange())


def test_a_process_whose_seeds_are_unreachable_asks_discovered_controllers() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        controllers.updates = [members(1, 1, 2, 3, 4)]
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await proxy.until(lambda: len(proxy.cluster_view.members) == 4, 1.0)
        controllers.silent = {1, 2, 3}
        controllers.primary = 4
        controllers.updates = [configuration(9)]
        await proxy.until(lambda: proxy.version == 9, 5.0)
        await proxy.puller.stop()

    run(exchange())


def test_an_unparsable_configuration_is_received_again_at_a_limited_rate() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        controllers.updates = [configuration(3), configuration(5, b"{")]
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await proxy.until(lambda: proxy.version == 3, 1.0)
        await asyncio.sleep(3.0)
        assert 5 <= controllers.bodies_sent <= 15
        controllers.updates = [configuration(3), configuration(5)]
        await proxy.until(lambda: proxy.version == 5, 1.0)
        await proxy.puller.stop()

    run(exchange())


def test_a_puller_can_be_stopped_just_after_its_announcement_changed() -> None:
    async def exchange() -> None:
        controllers = ScriptedControllers()
        proxy = Proxy(controllers)
        await proxy.puller.start()
        await asyncio.sleep(1.0)
        proxy.puller.announce_now()
        stopping = asyncio.create_task(proxy.puller.stop())
        await asyncio.wait({stopping}, timeout=1.0)
        assert stopping.done()

    run(exchange())


class SilentGroup:
    """Implements a group of one for the publisher's leadership; it reports no changes."""

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


def test_a_pull_that_waits_across_a_lost_and_regained_lease_gets_later_commits() -> None:
    async def exchange() -> None:
        group, state = SilentGroup(), ControlState()
        period = LeadershipPeriod(group, lambda epoch: topics.begin_epoch(epoch), lambda: None)
        publisher = Publisher(
            LeadershipPeriodAuthority(period, Leadership(group, ClusterView())),
            lambda request: period.update(),
        )
        topics = ControlTopics(publisher, state)
        accept(state, 3, 0)
        versions = [TopicVersion(topic="configuration", epoch=0, sequence=3)]
        call = asyncio.create_task(publisher.pull(PullRequest(versions=versions, wait_ms=700)))
        await asyncio.sleep(0.1)
        # Committed under another primary; this replica noticed neither the loss nor the return of its lease.
        accept(state, 5, 3)
        group.epoch = 3
        reply = (await call).unwrap()
        assert [update.configuration.version for update in reply.updates] == [5]

    run(exchange())
