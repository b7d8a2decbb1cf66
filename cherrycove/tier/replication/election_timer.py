"""The election time-out of one replica: randomized, and staggered by member id."""

from __future__ import annotations

from cherrycove.tier.replication.core import ReplicaCore


class ElectionTimer:
    """The time at which this replica begins a campaign unless it hears a primary before.

    Owned by ``Elections`` and restarted by ``Candidate``. Times are in seconds of the monotonic clock.
    """

    def __init__(self, core: ReplicaCore, now: float) -> None:
        self._core = core
        self._deadline = now + core.timing.pre_vote_window_s + self._jitter_s()

    def _jitter_s(self) -> float:
        """Return the part of a time-out that keeps members from campaigning at the same moment."""
        timing = self._core.timing
        member_ids = sorted(member.member_id for member in self._core.membership.members)
        own_id = self._core.identity.member_id
        rank = member_ids.index(own_id) if own_id in member_ids else len(member_ids)
        return rank * timing.stagger_s + self._core.random.random() * timing.jitter_s

    def is_expired(self, now: float) -> bool:
        """Whether the deadline has passed."""
        return now >= self._deadline

    def restart(self, now: float, *, extra_s: float = 0.0) -> None:
        """Wait for a complete election time-out from ``now`` on, and ``extra_s`` more."""
        self._deadline = now + (self._core.timing.election_timeout_s + self._jitter_s())
        self._deadline += extra_s

    def restart_for_retry(self, now: float) -> None:
        """Wait for the pause between two campaigns."""
        self._deadline = now + self._core.timing.campaign_retry_s + self._jitter_s()

    def expire_early(self, now: float) -> None:
        """Wait only as long as a group needs that starts for the first time."""
        self._deadline = now + self._core.timing.bootstrap_timeout_s + self._jitter_s()
