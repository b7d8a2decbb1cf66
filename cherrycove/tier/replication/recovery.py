"""Recovers the state of a replica from its disk."""

from __future__ import annotations

import logging

import attrs

from cherrycove.tier.replication.disk_interface import Storage
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.replica_storage import RecoveredState

_log = logging.getLogger(__name__)


@attrs.frozen(eq=False)
class RecoveredReplica:
    """An open storage and the state recovered from it."""

    storage: Storage
    state: RecoveredState


class ReplicaRecovery:
    """Opens the disk of a replica and holds the identity that belongs to it."""

    def __init__(self, options: GroupOptions) -> None:
        self._group_name = options.name
        self._directory = options.directory
        self._disk_limit_bytes = options.disk_limit_bytes
        self._runtime = options.runtime
        self._identity = options.identity

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of the disk; it changes in a recovery that finds the disk damaged."""
        return self._identity

    def recover(self) -> RecoveredReplica:
        """Read the disk, blocking the caller; raises ``OSError`` if it cannot be read.

        A damaged disk may have lost a vote or an acknowledged entry, and must not participate under its old
        identity: it is emptied and gets a new member id, so that the replica joins as a new member.
        """
        storage = self._open_storage()
        try:
            return RecoveredReplica(storage, storage.recover())
        except DamagedStorageError as error:
            storage.close()
            details = {"group": self._group_name, "member": self._identity.member_id, "reason": str(error)}
            _log.error("disk_damaged", extra=details)
        member_id = self._runtime.renew_identity(self._directory)
        self._identity = attrs.evolve(self._identity, member_id=member_id)
        storage = self._open_storage()
        return RecoveredReplica(storage, storage.recover())

    def _open_storage(self) -> Storage:
        return self._runtime.open_storage(self._directory, self._disk_limit_bytes)
