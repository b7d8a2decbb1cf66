"""How a store follows the keepers: who begins its group, who may be taken in, who must leave."""

from __future__ import annotations

import asyncio

from cherrycove.tier.controlplane.store_members import StoreMembersService
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.programs.replica import identity_of, standby_of
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import Settings


class StoreMembership:
    """Passes on to the store group what the keepers tell, and tells the keepers the group's members."""

    def __init__(
        self, settings: Settings, group: ReplicatedGroup, views: ClusterView, server: CallRegistry
    ) -> None:
        self._settings = settings
        self._group = group
        self._views = views
        self._joining: asyncio.Task[None] | None = None
        StoreMembersService(group, views).serve_on(server)
        views.on_change(self._follow)

    def _follow(self) -> None:
        self._join()
        leaving = [identity_of(replica) for replica in self._views.store_group.retiring_disks]
        names = frozenset(self._views.store_group.retiring)
        self._group.retire(names | {disk.member_id for disk in leaving})
        self._group.offer_standbys(self._standbys(leaving))

    def _join(self) -> None:
        """Begin the group, once, if this store is one of the first members."""
        initial = [identity_of(replica) for replica in self._views.store_group.initial]
        named = {member.member_id for member in initial}
        if self._joining is None and self._group.identity.member_id in named:
            self._joining = asyncio.ensure_future(self._group.start(initial))

    def _standbys(self, leaving: list[MemberIdentity]) -> list[MemberIdentity]:
        """Stores that are present, and disks to be emptied, also of machines that are away: the group takes
        none of the latter in, and commits that it never will.
        """
        present = [standby_of(store, self._settings) for store in self._views.stores() if not store.leaving]
        known = {disk.member_id for disk in present}
        return [*present, *(disk for disk in leaving if disk.member_id not in known)]
