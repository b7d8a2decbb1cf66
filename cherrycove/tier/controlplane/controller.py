"""The keeper: decides on the operator's orders, and tells the processes of each other and of brokers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

from result import Ok, Result

from cherrycove.tier.controlplane.broker_changes import broker_entry
from cherrycove.tier.controlplane.broker_discovery import BrokerReader
from cherrycove.tier.controlplane.broker_watcher import BrokerWatcher
from cherrycove.tier.controlplane.configuration_service import ConfigurationService
from cherrycove.tier.controlplane.controller_group import ControllerGroupMembership
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod, LeadershipPeriodAuthority
from cherrycove.tier.controlplane.operator_api import OperatorApi
from cherrycove.tier.controlplane.process_registry import RETENTION_S, ProcessRegistry
from cherrycove.tier.controlplane.retirement import RetirementService
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_group import StoreInventory, full_size
from cherrycove.tier.controlplane.store_group_reconciler import StoreGroupReconciler
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.errors import Failure
from cherrycove.tier.program_names import CONTROLLER_PROGRAM, STORE_PROGRAM
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerList, MemberList, PullRequest, Replica
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.replication.interface import Group, MemberIdentity
from cherrycove.tier.settings import Settings

TICK_S = 0.1  # leadership and the register are looked at so often
STORES_ANNOUNCED_AFTER_S = 1.5  # after a term began, every store had time to announce itself
MEMBERS_ANNOUNCED_AFTER_S = 1.0  # the same, before a list of members replaces that of an earlier primary
INHERIT_MAX_AGE_S = 5.0  # an earlier primary's list of members that is older is of no use
ERROR_PAUSE_S = 0.5

_log = logging.getLogger(__name__)


class Controller:
    """Assembles the control plane of one machine."""

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: ControlState,
        server: CallRegistry,
        client: Caller,
        views: ClusterView | None = None,
        reader: BrokerReader | None = None,
    ) -> None:
        """The caller starts and stops ``server`` and ``client``; ``state`` is the group's state machine.

        ``views`` is what a Puller of this process learns from the primary while this keeper does not lead; a
        term that begins takes the members alive from there. ``reader`` stands in for the platform's list."""
        self._settings = settings
        self._group = group
        self._state = state
        self._views = ClusterView() if views is None else views
        self._leadership = Leadership(group, self._views)
        self._period = LeadershipPeriod(group, self._on_started_leading, self._on_stopped_leading)
        self._leading_since = 0.0
        self._members_due_at = 0.0
        self._registry = ProcessRegistry()
        self._publisher = Publisher(LeadershipPeriodAuthority(self._period, self._leadership), self._on_pull)
        self._topics = ControlTopics(self._publisher, state)
        self._membership = ControllerGroupMembership(settings, group, state)
        self._stores = StoreGroupReconciler(settings, group, state, self._period, client, self._inventory)
        self._brokers = BrokerWatcher(settings, self._period, self._topics, reader)
        decisions = ConfigurationService(group, state, self._leadership)
        retirement = RetirementService(
            group,
            state,
            self._leadership,
            self._inventory,
            self._stores_had_time_to_announce,
            full_size(settings),
        )
        self.operator_api = OperatorApi(self._leadership, state, decisions, retirement)
        self._tasks: list[asyncio.Task[None]] = []
        self._publisher.serve_on(server)
        server.register(STATUS, self.status)
        state.on_change(self._on_state_change)
        group.on_change(self._on_group_change)

    async def start(self) -> None:
        await self._brokers.start()
        await self.operator_api.start(self._settings.listen_addresses.control_plane)
        steps = {"watch": self._watch, "stores": self._stores.step, "brokers": self._brokers.step}
        self._tasks = [asyncio.create_task(_repeat(name, step), name=name) for name, step in steps.items()]

    async def stop(self) -> None:
        self._publisher.close()
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self._tasks = []
        await self.operator_api.stop()
        await self._brokers.stop()

    async def status(self, request: StatusRequest) -> Result[StatusReply, Failure]:
        """What this keeper knows; only the confirmed primary's is complete."""
        primary = self._group.primary
        leads = self._period.is_leading()
        members = self._registry.members(_now()).members if leads else self._views.members
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

    def _stores_had_time_to_announce(self) -> bool:
        return self._period.is_leading() and _now() - self._leading_since >= STORES_ANNOUNCED_AFTER_S

    def _inventory(self) -> StoreInventory:
        recent = _now() - self._leading_since < RETENTION_S
        machines = self._state.machines
        return StoreInventory(
            alive=self._registry.alive(_now(), STORE_PROGRAM),
            recently_seen=self._registry.recently_seen(STORE_PROGRAM),
            initial=self._state.initial_stores,
            orders=self._state.retire_orders,
            machines=machines,
            controller_disks=self._controller_disks(),
            possibly_alive=frozenset(machines) if recent else frozenset(),
        )

    def _controller_disks(self) -> dict[str, str]:
        """The newest disk of the keeper on each machine, as announced to this primary."""
        keepers = (entry.announcement for entry in self._registry.recently_seen(CONTROLLER_PROGRAM))
        names = {keeper.node_name: keeper.member_id for keeper in keepers}
        return {**names, self._settings.node_name: self._group.identity.member_id}

    def _on_pull(self, request: PullRequest) -> None:
        self._period.update()
        self._registry.announce(request.announcement, _now())

    def _on_group_change(self) -> None:
        self._period.update()
        self._publisher.wake()

    def _on_state_change(self) -> None:
        self._membership.update_retiring()
        if self._period.epoch is not None:
            self._topics.publish_state()

    def _on_started_leading(self, epoch: int) -> None:
        now = _now()
        self._leading_since = now
        self._members_due_at = now
        self._membership.update_retiring()
        if epoch == self._topics.epoch:
            self._registry.resume(now)
            self._topics.publish_state()
            return
        self._registry = ProcessRegistry()
        self._stores.on_started_leading()
        inherited = BrokerList()
        if now - self._views.last_contact < INHERIT_MAX_AGE_S:
            self._registry.inherit(self._views.members, now)
            inherited = BrokerList(brokers=[broker_entry(one) for one in self._views.brokers])
        else:
            self._members_due_at = now + MEMBERS_ANNOUNCED_AFTER_S
        self._brokers.on_started_leading(inherited, now)
        self._topics.begin_epoch(epoch)

    def _on_stopped_leading(self) -> None:
        self._membership.withdraw_standbys()
        self._publisher.wake()

    async def _watch(self) -> None:
        self._period.update()
        if self._period.is_leading():
            now = _now()
            self._registry.forget_old(now)
            if now >= self._members_due_at:
                self._topics.publish_members(self._members(now), now)
            self._membership.update_standbys(self._registry.alive(now, CONTROLLER_PROGRAM))
        await asyncio.sleep(TICK_S)

    def _members(self, now: float) -> MemberList:
        """Processes alive, without stores whose disk is not recorded yet: the store group takes its standbys
        from this list, and a retire order must know every disk that could be taken in."""
        announced = self._registry.members(now).members
        return MemberList(
            members=[one for one in announced if one.program != STORE_PROGRAM or self._recorded(one)]
        )

    def _recorded(self, store: Announcement) -> bool:
        machine = self._state.machines.get(store.node_name)
        return machine is not None and machine.store_id == store.member_id


async def _repeat(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """Run ``step`` again and again; an unforeseen error in one pass does not end the others."""
    while True:
        try:
            await step()
        except Exception:
            _log.exception("controller_step_failed", extra={"step": name})
            await asyncio.sleep(ERROR_PAUSE_S)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _replica(member: MemberIdentity) -> Replica:
    return Replica(
        member_id=member.member_id, node_name=member.node_name, address=member.address, zone=member.zone
    )
