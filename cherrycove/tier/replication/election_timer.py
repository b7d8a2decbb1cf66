"""Election timer of one replica, randomized and staggered by member id."""

from __future__ import annotations

from cherrycove.tier.replication.core import ReplicaCore


class ElectionTimer:
    """Holds the time at which this replica starts a campaign unless a primary sends a message before.

    Owned by ``Elections`` and restarted by ``Candidate``. Times are monotonic seconds.
    """

    def __init__(self, core: ReplicaCore, now: float) -> None:
        self._core = core
        self._deadline = now + core.timing.pre_vote_window_s + self._jitter_s()

    def _jitter_s(self) -> float:
        """Return the part of a time-out that prevents members from campaigning at the same time."""
        timing = self._core.timing
        member_ids = sorted(member.member_id for member in self._core.membership.members)
        own_id = self._core.identity.member_id
        rank = member_ids.index(own_id) if own_id in member_ids else len(member_ids)
        return rank * timing.stagger_s + self._core.random.random() * timing.jitter_s

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self._deadline

    def restart(self, now: float, *, extra_s: float = 0.0) -> None:
        """Wait for a full election time-out plus ``extra_s`` from ``now`` on."""
        self._deadline = now + (self._core.timing.election_timeout_s + self._jitter_s())
        self._deadline += extra_s

    def restart_for_retry(self, now: float) -> None:
        """Wait for the retry interval between two campaigns."""
        self._deadline = now + self._core.timing.campaign_retry_s + self._jitter_s()

    def restart_for_bootstrap(self, now: float) -> None:
        """Wait only for the shorter time-out of a group that starts for the first time."""
        self._deadline = now + self._core.timing.bootstrap_timeout_s + self._jitter_s()
