"""Roles of a replica and the transitions between them."""

from __future__ import annotations

from cherrycove.tier.replication.backup import Backup
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.elections import Elections
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.primary import Primary
from cherrycove.tier.replication.snapshot_sender import SnapshotSource


class ReplicaRoles:
    """Holds the objects that implement the roles of a replica.

    Backup, candidate and voter live as long as the process; each election won creates a new ``Primary``.

    Owned by ``ReplicaMachine``, which calls ``update`` after every event. The core stores the current role;
    the state table is in ``docs/design/replication.md``.
    """

    def __init__(
        self,
        core: ReplicaCore,
        requests: MembershipRequests,
        source: SnapshotSource,
        now: float,
        *,
        is_disk_new: bool,
    ) -> None:
        """Create the roles.

        ``is_disk_new`` states that nothing was recovered, so this replica has never been part of a group.
        """
        self.elections = Elections(core, now, is_disk_new=is_disk_new)
        self.backup = Backup(core)
        self._core = core
        self._requests = requests
        self._source = source
        self._primary: Primary | None = None

    @property
    def primary(self) -> Primary | None:
        """Return the object for the current period as primary; None in any other role."""
        return self._primary if self._core.role is Role.PRIMARY else None

    def is_confirmed_primary(self, now: float) -> bool:
        """Return whether this replica is primary under a valid lease and has committed in its epoch."""
        primary = self.primary
        return primary is not None and primary.is_confirmed_primary(now)

    def update(self, now: float) -> None:
        """Start a period as primary after an election is won, and end it when the role is lost."""
        core = self._core
        if self.elections.take_election_win():
            core.become(Role.PRIMARY, core.identity)
            self._primary = Primary(core, self._requests, self._source, now)
            self._primary.commit_synced_entries(now)
        if self._primary is not None and core.role is not Role.PRIMARY:
            self._primary = None
            if core.role is Role.BACKUP:
                self.elections.postpone(now)
