"""The roles of a replica, and the changes between them."""

from __future__ import annotations

from cherrycove.tier.replication.backup import Backup
from cherrycove.tier.replication.core import ReplicaCore, Role
from cherrycove.tier.replication.elections import Elections
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.primary import Primary
from cherrycove.tier.replication.snapshot_sender import SnapshotSource


class ReplicaRoles:
    """Backup, candidate and voter for the lifetime of the process; a ``Primary`` for each election won.

    Owned by ``ReplicaMachine``, which calls ``update`` after every event. The role itself is in the core; the
    state table is in ``docs/design/replication.md``.
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
        """``is_disk_new``: nothing was recovered, so this replica has taken part in no group before."""
        self.elections = Elections(core, now, is_disk_new=is_disk_new)
        self.backup = Backup(core)
        self._core = core
        self._requests = requests
        self._source = source
        self._primary: Primary | None = None

    @property
    def primary(self) -> Primary | None:
        """The present period as primary; None in any other role."""
        return self._primary if self._core.role is Role.PRIMARY else None

    def is_confirmed_primary(self, now: float) -> bool:
        """Whether this replica leads under a valid lease and has committed an entry of its epoch."""
        primary = self.primary
        return primary is not None and primary.is_confirmed_primary(now)

    def update(self, now: float) -> None:
        """Begin a period as primary after an election won, and end it when the role is lost."""
        core = self._core
        if self.elections.take_victory():
            core.become(Role.PRIMARY, core.identity)
            self._primary = Primary(core, self._requests, self._source, now)
            self._primary.advance(now)
        if self._primary is not None and core.role is not Role.PRIMARY:
            self._primary = None
            if core.role is Role.BACKUP:
                self.elections.postpone(now)
