"""Simulates processes by the production controllers, stores and proxies of ``programs``, without sockets."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

from result import Ok, Result

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from cherrycove.tier.controlplane.configuration_state import AcceptOutcome
from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.controller_contacts import PullerContacts
from cherrycove.tier.controlplane.state import Applied, ControlState
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.distribution.topics import CONFIGURATION, VersionVector
from cherrycove.tier.errors import Failure
from cherrycove.tier.program_names import CONTROLLER_PROGRAM, PROXY_PROGRAM, STORE_PROGRAM
from cherrycove.tier.programs.replica import replica_announcement
from cherrycove.tier.programs.store_membership import StoreMembership
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import Announcement, PullReply, PullRequest
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.simulation.control.batch_execution import SimulatedExecutor
from cherrycove.tier.simulation.control.deployment import CONTROL_PORT, PROXY_PORT
from cherrycove.tier.simulation.control.environment import Environment
from cherrycove.tier.simulation.control.history import change_in
from cherrycove.tier.simulation.control.loop import Incarnation
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.runtime import EmptyPlatform


class Process:
    """One incarnation of one program on one machine; it ends with the incarnation."""

    program = ""

    def __init__(self, environment: Environment, machine: Machine) -> None:
        self.environment = environment
        self.machine = machine
        machine.starts += 1
        self.incarnation = Incarnation(f"{self.program}@{machine.name}/{machine.host}#{machine.starts}")
        self.settings = machine.settings(environment.faults)
        self.is_leaving = False
        self.random = Random(environment.random.random())
        self.client = environment.runtime.client(machine, self.incarnation)
        self.endpoint = environment.runtime.serve(machine, self.incarnation, self.program)

    def begin(self) -> None:
        """Start the process as a task of its own."""
        self.environment.loop.spawn(self.incarnation, self.start(), name=self.incarnation.name)

    async def start(self) -> None:
        """Start the components of the program."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Shut down gracefully."""
        raise NotImplementedError


class ReplicaProcess(Process):
    """A process with a member of a replicated group: the common part of controllers and stores."""

    group: ReplicatedGroup
    is_fresh: bool  # whether the disk was empty

    def open_group(self, state: Any) -> None:
        """Create the member, with ``state`` as its state machine."""
        runtime = self.environment.runtime
        member_id, self.is_fresh = runtime.identity(self.machine, self.program)
        self.endpoint.identity = member_id
        settings = self.settings
        identity = MemberIdentity(
            member_id, settings.node_name, settings.internal_address(self.program), settings.zone
        )
        options = GroupOptions(
            name=self.program,
            identity=identity,
            directory=Path("simulated"),
            faults=self.environment.faults,
            state_machine=state,
            server=self.endpoint,
            client=self.client,
            random=self.random,
            runtime=runtime.replication_runtime(self.machine.disks[self.program]),
        )
        self.group = create_group(options)

    def announce(self) -> Announcement:
        """Return the announcement that the process sends with its pulls."""
        return replica_announcement(
            self.program,
            self.settings,
            self.group,
            disk_was_empty=self.is_fresh,
            incarnation=self.incarnation.name,
            leaving=self.is_leaving,
        )


class ObservedState(ControlState):
    """Records every accepted change in the world's history."""

    def __init__(self, process: Process) -> None:
        super().__init__()
        self._process = process

    def apply(self, index: int, command: bytes) -> AcceptOutcome | Applied:
        """Apply a committed command."""
        outcome = super().apply(index, command)
        change = change_in(command) if outcome is AcceptOutcome.ACCEPTED else None
        if change is not None:
            self._process.environment.history.accepted(self._process.incarnation.name, index, change)
        return outcome


class ControllerProcess(ReplicaProcess):
    """A controller, as ``programs.controller`` assembles it."""

    program = CONTROLLER_PROGRAM

    def __init__(self, environment: Environment, machine: Machine) -> None:
        super().__init__(environment, machine)
        self.state = ObservedState(self)
        self.open_group(self.state)
        self.views = ClusterView()
        self.puller = Puller(self.settings, self.client, self.views, self.announce)
        self.controller = Controller(
            self.settings,
            self.group,
            self.state,
            self.endpoint,
            self.client,
            self.views,
            EmptyPlatform(),
            PullerContacts(self.puller, self.announce),
        )

    async def start(self) -> None:
        """Start the components of the program in the production order."""
        self._check_pulls()
        await self.group.start(self._initial_members())
        await self.controller.start()
        self.environment.network.open(self.endpoint, f"{self.machine.host}:{CONTROL_PORT}")
        self.endpoint.process = self
        await self.puller.start()

    def _check_pulls(self) -> None:
        """Wrap the handler of pulls, and check each reply as it is sent."""
        pull = self.endpoint.handler(PULL)
        history = self.environment.history

        async def checked(request: PullRequest) -> Result[PullReply, Failure]:
            min_version = history.newest_version
            outcome = await pull(request)
            if isinstance(outcome, Ok):
                known = VersionVector(request.versions).get(CONFIGURATION).sequence
                newer = [update.configuration.version for update in outcome.ok_value.updates]
                history.read(self.incarnation.name, max([known, *newer]), None, min_version)
                isolated_s = self.machine.isolated_for_s(self.environment.now)
                history.check_authority(self.incarnation.name, "answered a pull", isolated_s)
            return outcome

        self.endpoint.register(PULL, checked)

    async def stop(self) -> None:
        """Shut down gracefully."""
        self.is_leaving = True
        self.puller.announce_now()
        await self.group.stop()
        await self.puller.stop()
        await self.controller.stop()

    def _initial_members(self) -> list[MemberIdentity]:
        if not self.settings.first_start:
            return []
        return [
            MemberIdentity(f"first-{ip}", "", self.settings.peer_address(ip, CONTROLLER_PROGRAM))
            for ip in sorted(set(self.settings.seed_ips()))
        ]


class StoreProcess(ReplicaProcess):
    """A store, as ``programs.store`` assembles it."""

    program = STORE_PROGRAM

    def __init__(self, environment: Environment, machine: Machine) -> None:
        super().__init__(environment, machine)
        self.state = JobsState()
        self.open_group(self.state)
        self.views = ClusterView()
        self.store = BatchStoreService(
            self.settings,
            self.group,
            self.state,
            self.endpoint,
            clock=environment.loop.time,
            wall_clock=environment.loop.time,
            cluster_view=self.views,
        )
        self.puller = Puller(self.settings, self.client, self.views, self.announce)
        self._membership = StoreMembership(self.settings, self.group, self.views, self.endpoint)

    async def start(self) -> None:
        """Start the components of the program in the production order."""
        await self.group.start()
        await self.store.start()
        await self.puller.start()

    async def stop(self) -> None:
        """Shut down gracefully."""
        self.is_leaving = True
        self.puller.announce_now()
        await self.group.stop()
        await self.puller.stop()
        await self.store.stop()


class ProxyProcess(Process):
    """The part of a proxy that pulls from the controllers and runs batch items."""

    program = PROXY_PROGRAM

    def __init__(self, environment: Environment, machine: Machine) -> None:
        super().__init__(environment, machine)
        self.views = ClusterView()
        self.puller = Puller(self.settings, self.client, self.views, self.announce)
        self.batch = BatchClient(self.client, self.views, self.settings)
        executor = SimulatedExecutor(environment, self.incarnation.name, self.random)
        self.worker = BatchWorker(
            self.settings,
            self.batch,
            executor,
            self.views,
            self.incarnation.name,
            clock=environment.loop.time,
        )
        self._newest_version = 0
        self.views.on_change(self._check_version)

    @property
    def version(self) -> int:
        """Return the version of the configuration in use; 0 without one."""
        return 0 if self.views.configuration is None else self.views.configuration.version

    async def start(self) -> None:
        """Start the components of the program in the production order."""
        await self.puller.start()
        if self.environment.topology.stores:
            await self.worker.start()
            self.endpoint.process = self
            self.environment.network.open(self.endpoint, f"{self.machine.host}:{PROXY_PORT}")

    async def stop(self) -> None:
        """Shut down gracefully."""
        self.is_leaving = True
        await self.worker.stop()
        await self.puller.stop()

    def announce(self) -> Announcement:
        """Return the announcement that the process sends with its pulls."""
        return Announcement(
            node_name=self.settings.node_name,
            program=PROXY_PROGRAM,
            ip=self.settings.ip_address,
            zone=self.settings.zone,
            incarnation=self.incarnation.name,
            configuration_version=self.version,
        )

    def _check_version(self) -> None:
        self.environment.history.require(
            self.version >= self._newest_version,
            f"{self.incarnation.name} went back from version {self._newest_version} to {self.version}",
        )
        self._newest_version = self.version


PROCESS_TYPES: dict[str, type[Process]] = {
    CONTROLLER_PROGRAM: ControllerProcess,
    STORE_PROGRAM: StoreProcess,
    PROXY_PROGRAM: ProxyProcess,
}
