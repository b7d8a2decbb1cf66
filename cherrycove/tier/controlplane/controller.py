"""Assembles, starts and stops the control plane of one machine."""

from __future__ import annotations

import asyncio

from cherrycove.tier.controlplane.broker_discovery import BrokerReader
from cherrycove.tier.controlplane.broker_watcher import BrokerWatcher
from cherrycove.tier.controlplane.configuration_service import ConfigurationService
from cherrycove.tier.controlplane.controller_contacts import ControllerContacts
from cherrycove.tier.controlplane.controller_group import ControllerGroupMembership
from cherrycove.tier.controlplane.leader_coordinator import LeaderCoordinator
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod, LeadershipPeriodAuthority
from cherrycove.tier.controlplane.operator_api import OperatorApi
from cherrycove.tier.controlplane.periodic_tasks import PeriodicTasks
from cherrycove.tier.controlplane.primary_introduction import PrimaryIntroduction, introduction_in
from cherrycove.tier.controlplane.process_directory import ProcessDirectory
from cherrycove.tier.controlplane.retirement import RetirementService
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.status_service import StatusService
from cherrycove.tier.controlplane.store_group_reconciler import StoreGroupReconciler
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.listener.client_server import ListenerBudget
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.control_pb2 import PullRequest
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.replication.quorums import target_group_size
from cherrycove.tier.settings import Settings


class Controller:
    """Builds the parts of the control plane, connects them, and owns their tasks.

    Each ``keeper`` process has one, which ``programs.controller`` starts and stops. The ``LeaderCoordinator``
    decides what the parts do while this controller leads. Only the replicated state survives a crash.
    """

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: ControlState,
        server: CallRegistry,
        client: Caller,
        cluster_view: ClusterView | None = None,
        reader: BrokerReader | None = None,
        contacts: ControllerContacts | None = None,
        listener_budget: ListenerBudget | None = None,
    ) -> None:
        """Connect the parts and register the calls ``pull`` and ``status`` with ``server``.

        The caller starts and stops ``group``, ``server`` and ``client``. ``state`` is the group's state
        machine. ``cluster_view`` is what a ``Puller`` of this process receives from the primary while this
        controller does not lead. ``reader`` replaces the client that reads the platform's broker list.
        ``contacts`` provides the other controllers that this process knows; without it this controller
        introduces itself to no other controller. ``listener_budget`` is what operators may take of the
        process's memory and descriptors.
        """
        self._settings = settings
        self._group = group
        self._state = state
        self._cluster_view = ClusterView() if cluster_view is None else cluster_view
        self._contacts = contacts or ControllerContacts()
        self._listener_budget = listener_budget
        self._leadership = Leadership(group, self._cluster_view)
        self._period = self._assemble_period()
        self._publisher = self._assemble_publisher()
        self._topics = ControlTopics(self._publisher, state)
        self.directory = ProcessDirectory(settings, group, state)
        self._coordinator = self._assemble_coordinator(client, reader)
        self.operator_api = self._assemble_operator_api()
        self._tasks = PeriodicTasks()
        self._register(server)

    async def start(self) -> None:
        """Open the operator's HTTP interface and start the background tasks.

        Raises ``OSError`` if the interface's address cannot be bound.
        """
        self._report_group_members()
        await self._coordinator.brokers.start()
        await self.operator_api.start(self._settings.listen_addresses.control_plane)
        self._tasks.start(
            {
                "watch": self._coordinator.step,
                "stores": self._coordinator.stores.step,
                "brokers": self._coordinator.brokers.step,
                "introductions": self._coordinator.introduction.step,
            }
        )

    async def stop(self) -> None:
        """Stop all parts, after answering waiting pulls so that their callers ask another controller."""
        self._publisher.close()
        await self._tasks.stop()
        await self.operator_api.stop()
        await self._coordinator.brokers.stop()

    # The coordinator takes the period and the publisher as arguments, so it is created after them; their
    # callbacks look it up when they are called.

    def _assemble_period(self) -> LeadershipPeriod:
        return LeadershipPeriod(
            self._group,
            lambda epoch: self._coordinator.on_started_leading(epoch),
            lambda: self._coordinator.on_stopped_leading(),
        )

    def _assemble_publisher(self) -> Publisher:
        return Publisher(
            LeadershipPeriodAuthority(self._period, self._leadership),
            lambda request: self._coordinator.on_pull(request),
            self._record_introduction,
        )

    def _record_introduction(self, request: PullRequest) -> None:
        """Record the primary named by a rejected pull, which may be the only information about it."""
        introduction = introduction_in(request, self._settings, asyncio.get_running_loop().time())
        if introduction is not None:
            self._leadership.record_introduction(introduction)
            self._contacts.suggest_primary(introduction.address)

    def _report_group_members(self) -> None:
        """Report the group's members and primary to the puller, since all seeds may be outside the group."""
        self._contacts.add_known_controllers([member.address for member in self._group.members])
        if self._group.primary is not None and self._group.primary.address:
            self._contacts.suggest_primary(self._group.primary.address)

    def _assemble_coordinator(self, client: Caller, reader: BrokerReader | None) -> LeaderCoordinator:
        settings, group, state = self._settings, self._group, self._state
        return LeaderCoordinator(
            period=self._period,
            directory=self.directory,
            topics=self._topics,
            publisher=self._publisher,
            membership=ControllerGroupMembership(settings, group, state),
            stores=StoreGroupReconciler(
                settings, group, state, self._period, client, self.directory.store_inventory
            ),
            brokers=BrokerWatcher(settings, self._period, self._topics, reader),
            introduction=PrimaryIntroduction(
                settings, state, self._period, self.directory, client, self._contacts
            ),
            cluster_view=self._cluster_view,
        )

    def _assemble_operator_api(self) -> OperatorApi:
        configuration = ConfigurationService(self._group, self._state, self._leadership)
        retirement = RetirementService(
            self._group,
            self._state,
            self._leadership,
            self.directory.store_inventory,
            self._coordinator.stores_had_time_to_announce,
            target_group_size(self._settings.fault_tolerance.machine_failures),
        )
        return OperatorApi(self._leadership, configuration, retirement, self._listener_budget)

    def _register(self, server: CallRegistry) -> None:
        """Register the calls with ``server``, and the callbacks with the replicated state and the group."""
        self._publisher.serve_on(server)
        status = StatusService(
            node_name=self._settings.node_name,
            group=self._group,
            state=self._state,
            period=self._period,
            directory=self.directory,
            topics=self._topics,
            cluster_view=self._cluster_view,
        )
        server.register(STATUS, status.status)
        self._state.on_change(self._coordinator.on_state_change)
        self._group.on_change(self._coordinator.on_group_change)
        self._group.on_change(self._report_group_members)
