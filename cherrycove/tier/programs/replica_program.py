"""What the controller and the store have in common: a daemon that serves one replica of a group."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.programs.replica import DISK_FRACTION, open_group, replica_announcement
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import MemberIdentity, StateMachine
from cherrycove.tier.settings import Settings


class Service(Protocol):
    """What the program offers on top of its group."""

    async def start(self) -> None:
        """Begin to serve; the group is started."""

    async def stop(self) -> None:
        """End in order; the group is stopped."""


class ReplicaProgram(ABC):
    """Assembles, starts and stops one daemon; implements ``process.Program``.

    Owns the internal calls, the group, the puller and the service. Order of the start: calls can be made, the
    group takes part, the service is ready, calls are accepted, the process announces itself. Order of the
    stop: the process announces that it leaves, the group hands its leadership over, the rest ends. What is on
    disk (identity, log, snapshots) survives a crash; everything else is learned anew.
    """

    def __init__(
        self, program: str, settings: Settings, state: StateMachine, disk_fraction: float = DISK_FRACTION
    ) -> None:
        """``program`` is a name of ``program_names``; ``state`` is the state machine of its group.

        The group may use ``disk_fraction`` of the disk. Opens the disk and raises ``OSError`` where it cannot
        be used.
        """
        self._program = program
        self._settings = settings
        self._server = RpcServer()
        self._client = RpcClient()
        self._incarnation = new_incarnation()
        self._leaving = False
        opened = open_group(program, settings, state, self._server, self._client, disk_fraction)
        self._group = opened.group
        self._disk_was_empty = opened.disk_was_empty
        # Asked for at each call: a damaged disk gets another identity when the group starts.
        self._server.set_member_id_source(lambda: self._group.identity.member_id)
        self._cluster_view = ClusterView()
        self._puller = Puller(settings, self._client, self._cluster_view, self._announce)
        self._service = self._assemble_service()

    @abstractmethod
    def _assemble_service(self) -> Service:
        """Build the program's service; called once, when group, cluster view and puller exist."""

    def _initial_members(self) -> Sequence[MemberIdentity]:
        """Return the members that begin the group at the first start of the deployment, if they are known."""
        return ()

    async def start(self) -> None:
        """Start in order. Raises ``OSError`` where an address cannot be bound or the disk cannot be used."""
        await self._client.start()
        await self._group.start(self._initial_members())
        await self._service.start()
        await self._server.start(self._settings.internal_address(self._program))
        await self._puller.start()

    async def stop(self) -> None:
        """Stop in order: other processes learn of it before the group ends."""
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
