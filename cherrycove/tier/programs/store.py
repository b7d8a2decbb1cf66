"""The store: keeps batch jobs, their items and results; replicated on storage machines."""

from __future__ import annotations

from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.programs.replica import describe, open_group
from cherrycove.tier.programs.store_membership import StoreMembership
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.settings import Settings


class StoreProgram:
    """Assembles the batch plane of one machine."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._server = RpcServer()
        self._client = RpcClient()
        self._state = JobsState()
        self._incarnation = new_incarnation()
        self._leaving = False
        self._group, self._fresh = open_group(
            STORE_PROGRAM, settings, self._state, self._server, self._client
        )
        self._server.identify(lambda: self._group.identity.member_id)
        self._views = ClusterView()
        self._store = BatchStoreService(settings, self._group, self._state, self._server, views=self._views)
        self._puller = Puller(settings, self._client, self._views, self._announce)
        self._membership = StoreMembership(settings, self._group, self._views, self._server)

    async def start(self) -> None:
        await self._client.start()
        await self._group.start()
        await self._store.start()
        await self._server.start(self._settings.internal_address(STORE_PROGRAM))
        await self._puller.start()

    async def stop(self) -> None:
        self._leaving = True
        self._puller.announce_now()
        await self._group.stop()
        await self._puller.stop()
        await self._store.stop()
        await self._server.stop()
        await self._client.stop()

    def reload(self, settings: Settings) -> None:
        self._puller.reload(settings)

    def _announce(self) -> Announcement:
        return describe(
            STORE_PROGRAM, self._settings, self._group, self._fresh, self._incarnation, self._leaving
        )


def assemble(settings: Settings) -> StoreProgram:
    return StoreProgram(settings)
