"""Durations of the replication protocol, in seconds."""

from __future__ import annotations

import attrs

#: A time before all others, for events that have not happened.
NEVER = float("-inf")
MICROSECONDS = 1_000_000
#: Part of the time to catch up; an election, the transfer of the log and a commit need the rest.
UNREACHABLE_FRACTION = 0.25
MAX_UNREACHABLE_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class Timing:
    """Durations in seconds; all times are read from one replica's monotonic clock.

    A lease must end before any backup that renewed it may vote again: lease_s < election_timeout_s.
    """

    heartbeat_s: float = 0.15
    lease_s: float = 0.7
    # A backup that heard from its primary within this time grants no vote.
    election_timeout_s: float = 0.9
    # Added for each rank of the member id, so that one backup campaigns first.
    stagger_s: float = 0.1
    # Upper bound of the random part of every election time-out.
    jitter_s: float = 0.06
    # In place of election_timeout_s when the whole group is new.
    bootstrap_timeout_s: float = 0.1
    # Uptime from which a process may answer that it follows nobody. Answers to one pre-vote count together
    # for no longer, so that no replica can have answered in two incarnations.
    pre_vote_window_s: float = 0.15
    # A candidate that was not elected campaigns again after this time and its jitter.
    campaign_retry_s: float = 0.2
    # A replica that learns of its removal campaigns again only after this time more.
    removed_backoff_s: float = 5.0
    # A primary that could not renew its lease for so long steps down (Raft's CheckQuorum).
    check_quorum_timeout_s: float = 1.5
    # A primary whose own sync takes longer, while others sync, transfers its leadership.
    disk_stall_timeout_s: float = 1.0
    # A member that was not heard from for so long may be replaced; see ``for_catch_up``.
    unreachable_timeout_s: float = 1.2
    # An unanswered snapshot chunk is sent again after this time.
    chunk_resend_s: float = 0.4
    # A standby that did not answer is chosen after all others for so long.
    standby_backoff_s: float = 5.0

    @classmethod
    def for_catch_up(cls, catch_up_s: float) -> Timing:
        """Durations with which a lost member is replaced within ``catch_up_s`` of its successor's start.

        That holds when the lost member led as well: the time-out then begins only after an election.
        """
        wanted = min(catch_up_s * UNREACHABLE_FRACTION, MAX_UNREACHABLE_TIMEOUT_S)
        return cls(unreachable_timeout_s=max(wanted, cls().election_timeout_s))


def microseconds(seconds: float) -> int:
    """Convert a time of the monotonic clock to the integer microseconds that messages carry."""
    return int(seconds * MICROSECONDS)
