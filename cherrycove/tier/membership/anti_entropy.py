"""The full exchange between two processes: compare digests, then send only what differs."""

from __future__ import annotations

import random

from cherrycove.tier.membership.members import Member, MemberState, MemberStatus, SwimParameters
from cherrycove.tier.membership.membership_list import MembershipList
from cherrycove.tier.protocol.membership_pb2 import (
    CompareReply,
    CompareRequest,
    MemberRecord,
    MergeReply,
    MergeRequest,
)


class AntiEntropySchedule:
    """Exchanges are frequent while they bring news, and become rare while they bring none."""

    def __init__(self, parameters: SwimParameters, rng: random.Random, now: float) -> None:
        self._shortest_s = parameters.exchange_periods * parameters.period_s
        self._longest_s = parameters.quiet_exchange_periods * parameters.period_s
        self._interval_s = self._shortest_s
        self._rng = rng
        self.due_at = now + self._shortest_s

    def back_off(self, now: float) -> None:
        """An exchange starts; unless it brings news, the next one comes later."""
        self.due_at = now + self._interval_s * (0.75 + 0.5 * self._rng.random())
        self._interval_s = min(2.0 * self._interval_s, self._longest_s)

    def hasten(self, now: float) -> None:
        """Tables were found to differ; compare again soon."""
        self._interval_s = self._shortest_s
        self.due_at = min(self.due_at, now + self._interval_s * (0.75 + 0.5 * self._rng.random()))


class AntiEntropyExchange:
    """Both sides of the two calls, without the calling."""

    def __init__(self, members: MembershipList) -> None:
        self._members = members
        self._news = 0
        self._contested: list[MemberStatus] = []

    def compare_request(self) -> CompareRequest:
        """The first call of an exchange that starts here."""
        return CompareRequest(sender=self._local_record(), digests=self._members.table.digests())

    def handle_compare(self, request: CompareRequest, now: float) -> CompareReply:
        """Answer the first call."""
        self._merge_sender(request.sender, now)
        differing = self._members.table.differing_buckets(request.digests)
        known = self._members.table.in_buckets(differing)
        return CompareReply(
            sender=self._local_record(), differing=differing, updates=[status.to_update() for status in known]
        )

    def handle_compare_reply(self, reply: CompareReply, now: float) -> MergeRequest | None:
        """Take the answer; returns the second call if there is something to tell."""
        self._merge_sender(reply.sender, now)
        theirs = [MemberStatus.from_update(update) for update in reply.updates]
        told = {status.member.key: status.precedence for status in theirs}
        self._merge(theirs, now)
        better = [
            status.to_update()
            for status in self._members.table.in_buckets(reply.differing)
            if told.get(status.member.key) != status.precedence
        ]
        return MergeRequest(sender=self._local_record(), updates=better) if better else None

    def handle_merge(self, request: MergeRequest, now: float) -> MergeReply:
        """Answer the second call."""
        self._merge_sender(request.sender, now)
        self._merge([MemberStatus.from_update(update) for update in request.updates], now)
        return MergeReply()

    def take_result(self) -> tuple[int, list[MemberStatus]]:
        """News since the last call, and the statuses that the members concerned should hear."""
        outcome = self._news, self._contested
        self._news = 0
        self._contested = []
        return outcome

    def _merge(self, statuses: list[MemberStatus], now: float) -> None:
        outcome = self._members.merge_remote_table(statuses, now)
        self._news += outcome.news
        self._contested += outcome.contested

    def _merge_sender(self, record: MemberRecord, now: float) -> None:
        sender = MemberStatus(Member.from_record(record), MemberState.ALIVE)
        if self._members.merge(sender, now):
            self._news += 1

    def _local_record(self) -> MemberRecord:
        return self._members.local.member.to_record()
