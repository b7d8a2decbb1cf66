"""The keeper: decides on the operator's orders, and tells the processes of each other and of brokers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

from result import Err, Ok, Result

from cherrycove.tier.controlplane.broker_changes import AbsenceCheck, broker_entry
from cherrycove.tier.controlplane.broker_list import BrokerListReader, ReadPacing
from cherrycove.tier.controlplane.configuration_decisions import ConfigurationDecisions
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.operator_api import OperatorApi
from cherrycove.tier.controlplane.register import Register
from cherrycove.tier.controlplane.retirement import Retirement
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_group import GroupForming, StoreFleet, full_size, order_updates
from cherrycove.tier.controlplane.term import Term
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.distribution.topics import STORE_GROUP, VersionVector
from cherrycove.tier.distribution.views import Views
from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol.control_pb2 import BrokerList, PullRequest, Replica
from cherrycove.tier.protocol.interface import Caller, CallRegistry
from cherrycove.tier.protocol.keeper_pb2 import Command, FormStoreGroup, StatusReply, StatusRequest
from cherrycove.tier.replication.interface import Group, MemberIdentity
from cherrycove.tier.settings import Settings

STATUS_CALL = "status"
TICK_S = 0.1  # leadership, the register and the store group are looked at so often
STORES_HEARD_S = 1.5  # after a term began, every store had time to announce itself
MEMBERS_HEARD_S = 1.0  # the same, before a list of members replaces that of an earlier primary
SEED_AGE_S = 5.0  # an earlier primary's list of members that is older is of no use
INHERIT_AFTER_S = 2.0  # a list of brokers that cannot be read for so long is taken from the earlier primary
COMMAND_TIMEOUT_S = 2.0
ERROR_PAUSE_S = 0.5

_log = logging.getLogger(__name__)


class Keeper:
    """Assembles the control plane of one machine."""

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: ControlState,
        server: CallRegistry,
        client: Caller,
        views: Views | None = None,
    ) -> None:
        """The caller starts and stops ``server`` and ``client``; ``state`` is the group's state machine.

        ``views`` is what a Puller of this process learns from the primary while this keeper does not lead; a
        term that begins takes the members alive from there."""
        self._settings = settings
        self._group = group
        self._state = state
        self._leadership = Leadership(group)
        self._term = Term(group, self._begin_term, self._end_term)
        self._term_began = 0.0
        self._members_due_at = 0.0
        self._register = Register()
        self._views = Views() if views is None else views
        self._publisher = Publisher(self._leadership, self._on_pull)
        self._topics = ControlTopics(self._publisher, state)
        self._forming = GroupForming(settings)
        self._reader = BrokerListReader(settings)
        self._pacing = ReadPacing(settings)
        self._inherited = BrokerList()
        self._absences = AbsenceCheck()
        decisions = ConfigurationDecisions(group, state, self._leadership)
        retirement = Retirement(
            group, state, self._leadership, self._fleet, self._stores_heard, full_size(settings)
        )
        self._operator_api = OperatorApi(self._leadership, state, decisions, retirement)
        self._tasks: list[asyncio.Task[None]] = []
        self._publisher.serve_on(server)
        server.register(STATUS_CALL, StatusRequest, self.status)
        state.on_change(self._on_state_change)
        group.on_change(self._on_group_change)

    async def start(self) -> None:
        await self._reader.start()
        await self._operator_api.start(self._settings.listen_addresses.control_plane)
        steps = (self._watch, self._maintain_store_group, self._read_brokers)
        self._tasks = [asyncio.create_task(_repeat(step), name=step.__name__) for step in steps]

    async def stop(self) -> None:
        self._publisher.close()
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self._tasks = []
        await self._operator_api.stop()
        await self._reader.stop()

    async def status(self, request: StatusRequest) -> Result[StatusReply, Failure]:
        """What this keeper knows; only the confirmed primary's is complete."""
        primary = self._group.primary
        leads = self._term.holds()
        members = self._register.members(_now()).members if leads else self._views.members
        return Ok(
            StatusReply(
                node_name=self._settings.node_name,
                epoch=self._group.epoch,
                confirmed=leads,
                primary="" if primary is None else primary.node_name,
                members=[_replica(member) for member in self._group.members],
                configuration_version=self._state.configuration.version,
                store_group=self._state.store_group(),
                retire_orders=self._state.retire_orders.values(),
                brokers=self._topics.brokers,
                announcements=members,
            )
        )

    def _stores_heard(self) -> bool:
        return self._term.holds() and _now() - self._term_began >= STORES_HEARD_S

    def _fleet(self) -> StoreFleet:
        return StoreFleet(
            alive=self._register.alive(_now(), "store"),
            remembered=self._register.remembered("store"),
            initial=self._state.initial_stores,
            orders=self._state.retire_orders,
            keeping=self._machines_of_members(),
        )

    def _machines_of_members(self) -> frozenset[str]:
        """Machines to be emptied whose keeper still counts in this group, also while a change is open."""
        machines = frozenset(self._state.retire_orders)
        members = self._group.members
        if self._group.listed() != {member.member_id for member in members}:
            return machines
        names = self._keeper_names()
        known = {names[member.member_id] for member in members if member.member_id in names}
        unknown = {_host(member.address) for member in members if member.member_id not in names}
        stores = (entry.announcement for entry in self._register.remembered("store"))
        return machines & (known | {store.node_name for store in stores if store.ip in unknown})

    def _keeper_names(self) -> dict[str, str]:
        """Node names of keepers by their member id; first members are not named in the group itself."""
        keepers = (entry.announcement for entry in self._register.remembered("keeper"))
        names = {keeper.member_id: keeper.node_name for keeper in keepers if keeper.member_id}
        return {**names, self._group.identity.member_id: self._settings.node_name}

    def _on_pull(self, request: PullRequest) -> None:
        self._term.update()
        revision = VersionVector(request.versions).get(STORE_GROUP).sequence
        self._register.announce(request.announcement, _now(), revision)

    def _on_group_change(self) -> None:
        self._term.update()
        self._publisher.wake()

    def _on_state_change(self) -> None:
        if self._term.epoch is not None:
            self._topics.publish_state()

    def _begin_term(self, epoch: int) -> None:
        now = _now()
        self._term_began = now
        self._members_due_at = now
        if epoch == self._topics.epoch:
            self._register.resume(now)
            self._topics.publish_state()
            return
        self._register = Register()
        self._forming = GroupForming(self._settings)
        self._absences = AbsenceCheck()
        if now - self._views.last_contact < SEED_AGE_S:
            self._register.seed(self._views.members, now)
            self._inherited = BrokerList(brokers=[broker_entry(one) for one in self._views.brokers])
        else:
            self._members_due_at = now + MEMBERS_HEARD_S
            self._inherited = BrokerList()
        self._topics.begin_term(epoch)

    def _end_term(self) -> None:
        self._publisher.wake()

    async def _watch(self) -> None:
        self._term.update()
        if self._term.holds():
            now = _now()
            self._register.forget_old(now)
            if now >= self._members_due_at:
                self._topics.publish_members(self._register.members(now), now)
            self._offer_standbys(now)
        await asyncio.sleep(TICK_S)

    def _offer_standbys(self, now: float) -> None:
        members = {member.member_id for member in self._group.members}
        standbys = [
            MemberIdentity(
                member_id=keeper.member_id,
                node_name=keeper.node_name,
                address=self._settings.peer_address(keeper.ip, "keeper"),
                zone=keeper.zone,
            )
            for keeper in (entry.announcement for entry in self._register.alive(now, "keeper"))
            if keeper.member_id and keeper.member_id not in members and not keeper.leaving
        ]
        self._group.offer_standbys(standbys)
        self._group.retire(self._retiring_keepers())

    def _retiring_keepers(self) -> frozenset[str]:
        """Machines to be emptied, by name and by the disks of their keepers; first members have no name."""
        machines = frozenset(self._state.retire_orders)
        return machines | {disk for disk, name in self._keeper_names().items() if name in machines}

    async def _maintain_store_group(self) -> None:
        if self._term.holds():
            for command in self._store_group_commands():
                await self._propose(command)
        await asyncio.sleep(TICK_S)

    def _store_group_commands(self) -> list[Command]:
        fleet = self._fleet()
        if not self._state.initial_stores:
            initial = self._forming.choose(fleet.alive, _now())
            return [Command(form_store_group=FormStoreGroup(initial=initial))] if initial else []
        return order_updates(fleet, full_size(self._settings))

    async def _propose(self, command: Command) -> None:
        outcome = await self._group.propose(command.SerializeToString(), COMMAND_TIMEOUT_S)
        details = {"command": command.WhichOneof("body")}
        if isinstance(outcome, Err):
            _log.warning("store_group_change_failed", extra={**details, "reason": outcome.err_value.detail})
        else:
            _log.info("store_group_changed", extra=details)

    async def _read_brokers(self) -> None:
        if not self._term.holds():
            await asyncio.sleep(TICK_S)
            return
        epoch = self._term.epoch
        outcome = await self._reader.read()
        if isinstance(outcome, Err):
            _log.info("broker_list_unread", extra={"reason": outcome.err_value.detail})
            self._inherit_brokers()
            await asyncio.sleep(self._pacing.failed(self._reader.calls))
            return
        if self._term.holds() and self._term.epoch == epoch:
            self._topics.publish_brokers(self._absences.fold(outcome.ok_value, self._reader.calls))
        await asyncio.sleep(self._pacing.succeeded(self._reader.calls))

    def _inherit_brokers(self) -> None:
        """While the platform does not answer, processes that start still learn what was known last."""
        waited = _now() - self._term_began
        unknown = self._topics.brokers is None and len(self._inherited.brokers) > 0
        if self._term.holds() and unknown and waited >= INHERIT_AFTER_S:
            self._topics.publish_brokers(self._inherited)


async def _repeat(step: Callable[[], Awaitable[None]]) -> None:
    """Run ``step`` again and again; an unforeseen error in one pass does not end the others."""
    while True:
        try:
            await step()
        except Exception:
            _log.exception("keeper_step_failed", extra={"step": getattr(step, "__name__", "")})
            await asyncio.sleep(ERROR_PAUSE_S)


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _now() -> float:
    return asyncio.get_running_loop().time()


def _replica(member: MemberIdentity) -> Replica:
    return Replica(
        member_id=member.member_id, node_name=member.node_name, address=member.address, zone=member.zone
    )
