"""The store: keeps batch jobs, their items and results; replicated on storage machines."""

from __future__ import annotations

import asyncio

from cherrycove.tier.batch.jobs import JobsState
from cherrycove.tier.batch.store import BatchStore
from cherrycove.tier.controlplane.store_members import StoreMembersService
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.distribution.views import Views
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.programs.replica import describe, identity_of, open_group, standby_of
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.settings import Settings

PROGRAM = "store"


class StoreProgram:
    """Assembles the batch plane of one machine."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._server = RpcServer()
        self._client = RpcClient()
        self._state = JobsState()
        self._incarnation = new_incarnation()
        self._leaving = False
        self._joined = False
        self._joining: asyncio.Task[None] | None = None
        self._group, self._fresh = open_group(PROGRAM, settings, self._state, self._server, self._client)
        self._server.identify(self._group.identity.member_id)
        self._store = BatchStore(settings, self._group, self._state, self._server)
        self._views = Views()
        self._puller = Puller(settings, self._client, self._views, self._announce)
        self._views.on_change(self._follow_keepers)
        StoreMembersService(self._group, self._views).serve_on(self._server)

    async def start(self) -> None:
        await self._client.start()
        await self._group.start()
        await self._store.start()
        await self._server.start(self._settings.internal_address(PROGRAM))
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

    def _follow_keepers(self) -> None:
        """The keepers name the first members, the stores to be emptied, and who else is there."""
        initial = [identity_of(replica) for replica in self._views.store_group.initial]
        named = {member.member_id for member in initial}
        if not self._joined and self._group.identity.member_id in named:
            self._joined = True
            self._joining = asyncio.ensure_future(self._group.start(initial))
        leaving = [identity_of(replica) for replica in self._views.store_group.retiring_disks]
        self._group.retire(
            frozenset(self._views.store_group.retiring) | {disk.member_id for disk in leaving}
        )
        present = [standby_of(store, self._settings) for store in self._views.stores() if not store.leaving]
        # Disks to be emptied are offered too, also of machines that are away: the group takes none of them
        # in, and commits that it never will.
        known = {disk.member_id for disk in present}
        self._group.offer_standbys([*present, *(disk for disk in leaving if disk.member_id not in known)])

    def _announce(self) -> Announcement:
        return describe(
            PROGRAM, self._settings, self._group, self._fresh, self._incarnation, self._leaving
        )


def assemble(settings: Settings) -> StoreProgram:
    return StoreProgram(settings)
