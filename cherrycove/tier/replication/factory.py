"""Builds a replicated group from its components."""

from __future__ import annotations

from cherrycove.tier.replication.applier import Applier
from cherrycove.tier.replication.change_notifier import ChangeNotifier
from cherrycove.tier.replication.driver import GroupComponents
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.messenger import PeerMessenger
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.replication.pending_proposals import PendingProposals
from cherrycove.tier.replication.snapshot_policy import SnapshotPolicy


def create_group(options: GroupOptions) -> ReplicatedGroup:
    """Return a group that is not started; its call is registered with the server of ``options``."""
    proposals = PendingProposals()
    snapshot_policy = SnapshotPolicy(options.snapshot_log_bytes)
    components = GroupComponents(
        group_name=options.name,
        runtime=options.runtime,
        messenger=PeerMessenger(options.name, options.server, options.client),
        proposals=proposals,
        applier=Applier(options.name, options.state_machine, proposals, snapshot_policy),
        notifier=ChangeNotifier(options.name),
    )
    return ReplicatedGroup(options, components)
