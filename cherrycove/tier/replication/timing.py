"""Durations of the replication protocol, in seconds."""

from __future__ import annotations

import attrs

#: Timestamp of events that have not happened; earlier than all others.
NEVER = float("-inf")
MICROSECONDS = 1_000_000
#: Unreachable time-out as a fraction of the catch-up time; election, log transfer and commit need the rest.
UNREACHABLE_FRACTION = 0.25
MAX_UNREACHABLE_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class Timing:
    """Defines the durations in seconds; each is measured by the monotonic clock of a single replica.

    A lease must expire before any backup that renewed it may vote again: lease_s < election_timeout_s.
    """

    heartbeat_s: float = 0.15
    lease_s: float = 0.7
    # A backup that received a message from its primary within this time grants no vote.
    election_timeout_s: float = 0.9
    # Added once for each lower member id, so that one backup campaigns before the others.
    stagger_s: float = 0.1
    # Upper bound of the random part of every election time-out.
    jitter_s: float = 0.06
    # Replaces election_timeout_s when the whole group starts for the first time.
    bootstrap_timeout_s: float = 0.1
    # Minimum uptime of a process before it may answer that it follows no primary. A pre-vote campaign counts
    # such answers for no longer than this, so that no replica can have answered it in two incarnations.
    pre_vote_window_s: float = 0.15
    # A candidate that was not elected campaigns again after this time plus stagger and jitter.
    campaign_retry_s: float = 0.2
    # Added to the election time-out of a replica that learns that it was removed.
    removed_backoff_s: float = 5.0
    # A primary that cannot renew its lease for this time steps down (Raft's CheckQuorum).
    check_quorum_timeout_s: float = 1.5
    # A primary whose disk write takes longer than this, while others commit, transfers its leadership.
    disk_stall_timeout_s: float = 1.0
    # A member that sends nothing for this time may be replaced; see ``for_catch_up``.
    unreachable_timeout_s: float = 1.2
    # An unanswered snapshot chunk is sent again after this time.
    chunk_resend_s: float = 0.4
    # For this time, a standby that did not answer is chosen only after all others.
    standby_backoff_s: float = 5.0

    @classmethod
    def for_catch_up(cls, catch_up_s: float) -> Timing:
        """Return durations that replace a lost member within ``catch_up_s`` of its successor's start.

        This also holds if the lost member was the primary: the unreachable time-out then starts only after an
        election.
        """
        wanted = min(catch_up_s * UNREACHABLE_FRACTION, MAX_UNREACHABLE_TIMEOUT_S)
        return cls(unreachable_timeout_s=max(wanted, cls().election_timeout_s))


def microseconds(seconds: float) -> int:
    """Convert a time of the monotonic clock to the integer microseconds that messages carry."""
    return int(seconds * MICROSECONDS)
