"""The keeper: configuration, register of processes and brokers, operator's API; replicated."""

from __future__ import annotations

from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.program_names import CONTROLLER_PROGRAM
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.programs.replica import describe, open_group
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import Settings


class ControllerProgram:
    """Assembles the control plane of one machine."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._server = RpcServer()
        self._client = RpcClient()
        self._state = ControlState()
        self._incarnation = new_incarnation()
        self._leaving = False
        self._group, self._fresh = open_group(
            CONTROLLER_PROGRAM, settings, self._state, self._server, self._client
        )
        self._server.identify(lambda: self._group.identity.member_id)
        self._views = ClusterView()
        self._keeper = Controller(settings, self._group, self._state, self._server, self._client, self._views)
        self._puller = Puller(settings, self._client, self._views, self._announce)

    async def start(self) -> None:
        await self._client.start()
        await self._group.start(self._initial_members())
        await self._keeper.start()
        await self._server.start(self._settings.internal_address(CONTROLLER_PROGRAM))
        await self._puller.start()

    async def stop(self) -> None:
        self._leaving = True
        self._puller.announce_now()
        await self._group.stop()
        await self._puller.stop()
        await self._keeper.stop()
        await self._server.stop()
        await self._client.stop()

    def reload(self, settings: Settings) -> None:
        self._puller.reload(settings)

    def _initial_members(self) -> list[MemberIdentity]:
        """The seeds' first disks: the group that a first start begins with."""
        if not self._settings.first_start:
            return []
        return [
            MemberIdentity(f"first-{ip}", "", self._settings.peer_address(ip, CONTROLLER_PROGRAM))
            for ip in sorted(set(self._settings.seed_ips()))
        ]

    def _announce(self) -> Announcement:
        return describe(
            CONTROLLER_PROGRAM, self._settings, self._group, self._fresh, self._incarnation, self._leaving
        )


def assemble(settings: Settings) -> ControllerProgram:
    return ControllerProgram(settings)
