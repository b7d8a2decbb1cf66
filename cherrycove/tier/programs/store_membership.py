"""Applies the decisions of the controllers to the store group: initial, standby and retiring members."""

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
    """Applies the topics published by the controllers to the store group, and reports its members to them.

    Owned by the store program. It has no membership state of its own: the group commits its members, and all
    published topics are applied again whenever one of them changes.
    """

    def __init__(
        self, settings: Settings, group: ReplicatedGroup, cluster_view: ClusterView, server: CallRegistry
    ) -> None:
        """Subscribe to changes of ``cluster_view`` and register the call ``store-members`` at ``server``."""
        self._settings = settings
        self._group = group
        self._cluster_view = cluster_view
        # Referenced here, since the event loop keeps only weak references to tasks.
        self._start_task: asyncio.Task[None] | None = None
        StoreMembersService(group, cluster_view).serve_on(server)
        cluster_view.on_change(self._apply_cluster_view)

    def _apply_cluster_view(self) -> None:
        self._start_if_initial_member()
        retiring = [_replica_identity(replica) for replica in self._cluster_view.store_group.retiring_disks]
        names = frozenset(self._cluster_view.store_group.retiring)
        self._group.set_retiring(names | {disk.member_id for disk in retiring})
        self._group.offer_standbys(self._standbys(retiring))

    def _start_if_initial_member(self) -> None:
        """Start the group, once, if this store is one of its initial members."""
        initial = [_replica_identity(replica) for replica in self._cluster_view.store_group.initial]
        initial_ids = {member.member_id for member in initial}
        if self._start_task is None and self._group.identity.member_id in initial_ids:
            self._start_task = asyncio.ensure_future(self._group.start(initial))

    def _standbys(self, retiring: list[MemberIdentity]) -> list[MemberIdentity]:
        """Return the live stores, and the retiring disks, including those of machines that are not live.

        The group does not add retiring disks; it receives them in order to commit that they are excluded.
        """
        alive = [self._standby(store) for store in self._cluster_view.stores() if not store.leaving]
        known = {disk.member_id for disk in alive}
        return [*alive, *(disk for disk in retiring if disk.member_id not in known)]

    def _standby(self, store: Announcement) -> MemberIdentity:
        address = self._settings.peer_address(store.ip, store.program)
        return MemberIdentity(store.member_id, store.node_name, address, store.zone)


def _replica_identity(replica: Replica) -> MemberIdentity:
    return MemberIdentity(replica.member_id, replica.node_name, replica.address, replica.zone)
