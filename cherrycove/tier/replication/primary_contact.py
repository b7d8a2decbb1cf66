"""Time of the last contact with a primary, in this incarnation of the process or possibly an earlier one."""

from __future__ import annotations

from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.timing import NEVER

_INCARNATION_BITS = 62


class PrimaryContact:
    """Tracks contact with primaries in one incarnation of the process.

    Owned by ``Elections``. It is not durable: a process that starts on a used disk may have renewed a lease
    until just before its start, so the start itself counts as a renewal.
    """

    def __init__(self, core: ReplicaCore, now: float, *, is_disk_new: bool) -> None:
        """Create the tracker; ``is_disk_new`` states that there was no earlier incarnation."""
        self._core = core
        self._started_at = now
        self._heard_at = NEVER
        self._lease_renewed_at = NEVER if is_disk_new else now
        self._heard_epoch = core.epoch
        self.incarnation = core.random.getrandbits(_INCARNATION_BITS) + 1

    def record(self, now: float) -> None:
        """Record a message of the primary of the newest epoch; the answer may renew its lease."""
        self._heard_at = self._lease_renewed_at = now
        self._heard_epoch = self._core.epoch

    def may_have_renewed_lease(self, now: float) -> bool:
        """Return whether any incarnation of this replica may have renewed a lease that is still valid."""
        return now - self._lease_renewed_at < self._core.timing.election_timeout_s

    def has_heard_primary(self, now: float) -> bool:
        """Return whether this incarnation received a message of a primary within the election time-out."""
        return now - self._heard_at < self._core.timing.election_timeout_s

    def has_minimum_uptime(self, now: float) -> bool:
        """Return whether the process has run so long that no campaign counts answers of an earlier one."""
        return now - self._started_at >= self._core.timing.pre_vote_window_s

    def was_lease_released_for(self, epoch: int) -> bool:
        """Return whether the last known primary can have transferred its leadership to ``epoch``."""
        return epoch == self._heard_epoch + 1
