"""Anti-entropy: two processes compare digests of their tables, then send only the members that differ.

With gossip alone a member may miss an update for good, since each is sent a bounded number of times. The
exchange is the push-pull anti-entropy of Demers et al. ("Epidemic Algorithms for Replicated Database
Maintenance", 1987).
Every interval is multiplied by 0.75 to 1.25 at random, so that the members' exchanges do not coincide.
"""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import Member, MemberState, MemberStatus
from cherrycove.tier.membership.membership_list import MembershipList, MergeResult
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.membership_pb2 import (
    CompareReply,
    CompareRequest,
    MemberRecord,
    MergeReply,
    MergeRequest,
)

BACKOFF_FACTOR = 2.0
MIN_JITTER = 0.75
JITTER_RANGE = 0.5


class AntiEntropySchedule:
    """Schedules exchanges: soon while tables differ, with exponential backoff while they agree.

    Owned by the ``SwimMachine``.
    """

    def __init__(self, parameters: SwimParameters, rng: random.Random, now: float) -> None:
        self._min_interval_s = parameters.min_exchange_periods * parameters.period_s
        self._max_interval_s = parameters.max_exchange_periods * parameters.period_s
        self._interval_s = self._min_interval_s
        self._rng = rng
        self.due_at = now + self._min_interval_s

    def back_off(self, now: float) -> None:
        """Schedule the exchange after the one that starts now, and double the interval up to its maximum."""
        self.due_at = now + self._jittered_interval_s()
        self._interval_s = min(BACKOFF_FACTOR * self._interval_s, self._max_interval_s)

    def reset_backoff(self, now: float) -> None:
        """Schedule an exchange at the minimum interval, since two tables were found to differ."""
        self._interval_s = self._min_interval_s
        self.due_at = min(self.due_at, now + self._jittered_interval_s())

    def postpone(self, delay_s: float) -> None:
        """Postpone the timer after a stall of the local process."""
        self.due_at += delay_s

    def _jittered_interval_s(self) -> float:
        return self._interval_s * (MIN_JITTER + JITTER_RANGE * self._rng.random())


class AntiEntropyExchange:
    """Builds and handles the messages of both sides of an exchange; the runtime makes the calls.

    Owned by the ``SwimMachine``. The caller sends ``compare_request`` and passes the reply to
    ``handle_compare_reply``, which returns the second request, if any. An exchange that is aborted after any
    message leaves both tables valid. Every handler raises InvalidMessageError for a message that
    no correct process sends.
    """

    def __init__(self, members: MembershipList) -> None:
        self._members = members
        self._changed = 0
        self._contested: list[MemberStatus] = []

    def compare_request(self) -> CompareRequest:
        """Return the first request of an exchange that the local process starts."""
        return CompareRequest(sender=self._local_record(), digests=self._members.table.digests())

    def handle_compare(self, request: CompareRequest, now: float) -> CompareReply:
        """Answer the first request with the buckets that differ and the updates of their members."""
        self._merge_sender(request.sender, now)
        differing = self._members.table.differing_buckets(request.digests)
        known = self._members.table.in_buckets(differing)
        updates = [status.to_update() for status in known]
        return CompareReply(sender=self._local_record(), differing=differing, updates=updates)

    def handle_compare_reply(self, reply: CompareReply, now: float) -> MergeRequest | None:
        """Merge the reply; return the second request, None if the callee already has every update."""
        self._merge_sender(reply.sender, now)
        remote = [MemberStatus.from_update(update) for update in reply.updates]
        remote_precedence = {status.member.key: status.precedence for status in remote}
        self._merge_table(remote, now)
        updates = [
            status.to_update()
            for status in self._members.table.in_buckets(reply.differing)
            if remote_precedence.get(status.member.key) != status.precedence
        ]
        return MergeRequest(sender=self._local_record(), updates=updates) if updates else None

    def handle_merge(self, request: MergeRequest, now: float) -> MergeReply:
        """Merge and answer the second request."""
        self._merge_sender(request.sender, now)
        self._merge_table([MemberStatus.from_update(update) for update in request.updates], now)
        return MergeReply()

    def take_result(self) -> MergeResult:
        """Return the combined result of all exchanges since the last call, and clear it."""
        result = MergeResult(self._changed, tuple(self._contested))
        self._changed = 0
        self._contested = []
        return result

    def _merge_table(self, statuses: list[MemberStatus], now: float) -> None:
        result = self._members.merge_remote_table(statuses, now)
        self._changed += result.changed
        self._contested += result.contested

    def _merge_sender(self, record: MemberRecord, now: float) -> None:
        sender = MemberStatus(Member.from_record(record), MemberState.ALIVE)
        if self._members.merge(sender, now):
            self._changed += 1

    def _local_record(self) -> MemberRecord:
        return self._members.local.member.to_record()
