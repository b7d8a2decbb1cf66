"""Durations of the replication protocol, in seconds."""

from __future__ import annotations

import attrs

UNREACHABLE_SHARE = 0.25  # of the time to catch up; an election, a transfer and a commit need the rest
LONGEST_UNREACHABLE_S = 2.0


@attrs.frozen(kw_only=True)
class Timing:
    """The lease must end before any backup that renewed it may vote again: lease_s < election_timeout_s."""

    heartbeat_s: float = 0.15
    lease_s: float = 0.7
    election_timeout_s: float = 0.9  # a backup that heard its primary within this time grants no vote
    stagger_s: float = 0.1  # added per rank of the member id, so that one backup stands first
    jitter_s: float = 0.06  # random, added to every election time-out
    first_election_s: float = 0.1  # time-out in place of election_timeout_s when the whole group is new
    settled_s: float = 0.15  # age of a process from which it may say that it follows nobody; answers to one
    # question count together for no longer, so that nobody can have answered in two lives
    retry_s: float = 0.2  # a candidate that was not elected stands again after this time and more
    removed_pause_s: float = 5.0  # a replica told that it was removed stands again only after this time more
    step_down_s: float = 1.5  # a primary that could not renew its lease for so long stops leading
    disk_stall_s: float = 1.0  # a primary whose own sync takes longer, while others sync, hands over
    unreachable_s: float = 1.2  # a member that is silent for so long may be replaced; see ``for_catch_up``
    resend_s: float = 0.4  # an unanswered snapshot chunk is sent again after this time
    set_aside_s: float = 5.0  # a standby that did not answer is tried after all others for so long

    @classmethod
    def for_catch_up(cls, catch_up_s: float) -> Timing:
        """Durations with which the place of a lost machine is filled within ``catch_up_s`` of its successor's
        start, also when the lost one led: then the time of silence begins only after an election."""
        wanted = min(catch_up_s * UNREACHABLE_SHARE, LONGEST_UNREACHABLE_S)
        return cls(unreachable_s=max(wanted, cls().election_timeout_s))
