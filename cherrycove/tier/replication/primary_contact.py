"""When a replica last heard from a primary, in this incarnation of its process or possibly before."""

from __future__ import annotations

from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.timing import NEVER

_INCARNATION_BITS = 62


class PrimaryContact:
    """Contact with primaries, and the incarnation of this process that remembers it.

    Owned by ``Elections``. Nothing of it is durable: a process that starts on a used disk may have renewed a
    lease until just before its start, and counts its start as such a renewal.
    """

    def __init__(self, core: ReplicaCore, now: float, *, is_disk_new: bool) -> None:
        """``is_disk_new``: there was no earlier incarnation."""
        self._core = core
        self._started_at = now
        self._heard_at = NEVER
        self._lease_renewed_at = NEVER if is_disk_new else now
        self._heard_epoch = core.epoch
        self.incarnation = core.random.getrandbits(_INCARNATION_BITS) + 1

    def record(self, now: float) -> None:
        """The primary of the newest epoch has sent something; the answer may renew its lease."""
        self._heard_at = self._lease_renewed_at = now
        self._heard_epoch = self._core.epoch

    def may_have_renewed_lease(self, now: float) -> bool:
        """Whether a primary may hold a lease that counts on this replica, by any of its incarnations."""
        return now - self._lease_renewed_at < self._core.timing.election_timeout_s

    def has_heard_primary(self, now: float) -> bool:
        """Whether this incarnation heard from a primary within the election time-out."""
        return now - self._heard_at < self._core.timing.election_timeout_s

    def has_minimum_uptime(self, now: float) -> bool:
        """Whether the process runs for so long that no campaign can count an answer of an earlier one."""
        return now - self._started_at >= self._core.timing.pre_vote_window_s

    def was_lease_released_for(self, epoch: int) -> bool:
        """Whether a transfer of leadership to ``epoch`` was begun by the primary that was heard from last."""
        return epoch == self._heard_epoch + 1
