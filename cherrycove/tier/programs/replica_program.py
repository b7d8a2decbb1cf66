"""Common base of the controller and the store: a daemon that serves one replica of a group."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.listener.client_server import ListenerBudget
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.programs.replica import DISK_FRACTION, open_group, replica_announcement
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import MemberIdentity, StateMachine
from cherrycove.tier.settings import Settings

CLIENT_MEMORY_FRACTION = 0.25  # of the memory limit, for what callers make the process hold
RESERVED_DESCRIPTORS = 128  # of the file descriptor limit, for files and calls to other processes
MAX_LISTENERS = 2  # for internal calls and for operators


class Service(Protocol):
    """The service that the program offers on top of its group."""

    async def start(self) -> None:
        """Start serving; called after the group is started."""

    async def stop(self) -> None:
        """Stop serving; called after the group is stopped."""


class ReplicaProgram(ABC):
    """Assembles, starts and stops one daemon; implements ``process.Program``.

    Owns the client and server of internal calls, the group, the puller and the service. At the start, the
    client comes first, then the group and the service, then the server accepts calls, and finally the process
    announces itself. At the stop, the process first announces that it is leaving, then the group hands over
    its leadership, then the other components stop. The state on disk (identity, log, snapshots) survives a
    crash; all other state is learned again.
    """

    def __init__(
        self, program: str, settings: Settings, state: StateMachine, disk_fraction: float = DISK_FRACTION
    ) -> None:
        """``program`` is a name of ``program_names``; ``state`` is the state machine of its group.

        The group may use ``disk_fraction`` of the disk. Opens the data directory; raises ``OSError`` if it
        cannot be used.
        """
        self._program = program
        self._settings = settings
        self._listener_budget = ListenerBudget.of(
            settings.limits,
            memory_fraction=CLIENT_MEMORY_FRACTION,
            reserved_descriptors=RESERVED_DESCRIPTORS,
            listeners=MAX_LISTENERS,
        )
        self._server = RpcServer(self._listener_budget)
        self._client = RpcClient()
        self._incarnation = new_incarnation()
        self._leaving = False
        opened = open_group(program, settings, state, self._server, self._client, disk_fraction)
        self._group = opened.group
        self._disk_was_empty = opened.disk_was_empty
        # Evaluated for each call: a damaged disk gets a new identity when the group starts.
        self._server.set_member_id_source(lambda: self._group.identity.member_id)
        self._cluster_view = ClusterView()
        self._puller = Puller(settings, self._client, self._cluster_view, self._announce)
        self._service = self._assemble_service()

    @abstractmethod
    def _assemble_service(self) -> Service:
        """Create the program's service; called once, after group, cluster view and puller are created."""

    def _initial_members(self) -> Sequence[MemberIdentity]:
        """Return the initial members of the group at the first start of the deployment, if known."""
        return ()

    async def start(self) -> None:
        """Start all components. Raises ``OSError`` if an address or the data directory cannot be used."""
        await self._client.start()
        await self._group.start(self._initial_members())
        await self._service.start()
        await self._server.start(self._settings.internal_address(self._program))
        await self._puller.start()

    async def stop(self) -> None:
        """Stop all components; other processes are notified before the group stops."""
        self._leaving = True
        self._puller.announce_now()
        await self._group.stop()
        await self._puller.stop()
        await self._service.stop()
        await self._server.stop()
        await self._client.stop()

    def reload(self, settings: Settings) -> None:
        """Use the seed nodes of ``settings`` from now on; nothing else changes in a running daemon."""
        self._puller.reload(settings)

    def _announce(self) -> Announcement:
        return replica_announcement(
            self._program,
            self._settings,
            self._group,
            disk_was_empty=self._disk_was_empty,
            incarnation=self._incarnation,
            leaving=self._leaving,
        )
