"""How a store's group follows the controllers: its first members, its standbys, and who must leave it."""

from __future__ import annotations

import asyncio

from cherrycove.tier.controlplane.store_members import StoreMembersService
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.calls import CallRegistry
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import Settings


class StoreMembership:
    """Passes what the controllers publish on to the store group, and reports the group's members to them.

    Owned by the store program. It keeps no membership of its own: the group commits its members, and the
    published topics are applied anew after each change of them.
    """

    def __init__(
        self, settings: Settings, group: ReplicatedGroup, cluster_view: ClusterView, server: CallRegistry
    ) -> None:
        """Follow the changes of ``cluster_view``, and register the call ``store-members`` at ``server``."""
        self._settings = settings
        self._group = group
        self._cluster_view = cluster_view
        self._joining: asyncio.Task[None] | None = None  # kept, since the event loop holds tasks weakly
        StoreMembersService(group, cluster_view).serve_on(server)
        cluster_view.on_change(self._follow)

    def _follow(self) -> None:
        self._join()
        retiring = [_replica_identity(replica) for replica in self._cluster_view.store_group.retiring_disks]
        names = frozenset(self._cluster_view.store_group.retiring)
        self._group.set_retiring(names | {disk.member_id for disk in retiring})
        self._group.offer_standbys(self._standbys(retiring))

    def _join(self) -> None:
        """Begin the group, once, if this store is one of its first members."""
        initial = [_replica_identity(replica) for replica in self._cluster_view.store_group.initial]
        initial_ids = {member.member_id for member in initial}
        if self._joining is None and self._group.identity.member_id in initial_ids:
            self._joining = asyncio.ensure_future(self._group.start(initial))

    def _standbys(self, retiring: list[MemberIdentity]) -> list[MemberIdentity]:
        """Return the stores alive, and the disks that must leave, also those of machines that are away.

        The group adds none of the latter; it is offered them so that it commits that it never will.
        """
        alive = [self._standby(store) for store in self._cluster_view.stores() if not store.leaving]
        known = {disk.member_id for disk in alive}
        return [*alive, *(disk for disk in retiring if disk.member_id not in known)]

    def _standby(self, store: Announcement) -> MemberIdentity:
        address = self._settings.peer_address(store.ip, store.program)
        return MemberIdentity(store.member_id, store.node_name, address, store.zone)


def _replica_identity(replica: Replica) -> MemberIdentity:
    return MemberIdentity(replica.member_id, replica.node_name, replica.address, replica.zone)
