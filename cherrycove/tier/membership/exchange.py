"""The full exchange between two processes: compare digests, then send only what differs."""

from __future__ import annotations

import random

from cherrycove.tier.membership.beliefs import Beliefs
from cherrycove.tier.membership.model import Member, MemberState, MemberStatus, Parameters
from cherrycove.tier.protocol.membership_pb2 import (
    CompareReply,
    CompareRequest,
    MemberRecord,
    MergeReply,
    MergeRequest,
)


class ExchangeSchedule:
    """Exchanges are frequent while they bring news, and become rare while they bring none."""

    def __init__(self, parameters: Parameters, rng: random.Random, now: float) -> None:
        self._shortest_s = parameters.exchange_periods * parameters.period_s
        self._longest_s = parameters.quiet_exchange_periods * parameters.period_s
        self._interval_s = self._shortest_s
        self._rng = rng
        self.due_at = now + self._shortest_s

    def relax(self, now: float) -> None:
        """An exchange starts; unless it brings news, the next one comes later."""
        self.due_at = now + self._interval_s * (0.75 + 0.5 * self._rng.random())
        self._interval_s = min(2.0 * self._interval_s, self._longest_s)

    def hasten(self, now: float) -> None:
        """Tables were found to differ; compare again soon."""
        self._interval_s = self._shortest_s
        self.due_at = min(self.due_at, now + self._interval_s * (0.75 + 0.5 * self._rng.random()))


class TableExchange:
    """Both sides of the two calls, without the calling."""

    def __init__(self, beliefs: Beliefs) -> None:
        self._beliefs = beliefs
        self._news = 0
        self._doubtful: list[MemberStatus] = []

    def request(self) -> CompareRequest:
        """The first call of an exchange that starts here."""
        return CompareRequest(sender=self._own_record(), digests=self._beliefs.table.digests())

    def compare(self, request: CompareRequest, now: float) -> CompareReply:
        """Answer the first call."""
        self._hear_sender(request.sender, now)
        differing = self._beliefs.table.differing(request.digests)
        known = self._beliefs.table.in_buckets(differing)
        return CompareReply(
            sender=self._own_record(), differing=differing, updates=[status.update() for status in known]
        )

    def merge_reply(self, reply: CompareReply, now: float) -> MergeRequest | None:
        """Take the answer; returns the second call if there is something to tell."""
        self._hear_sender(reply.sender, now)
        theirs = [MemberStatus.from_update(update) for update in reply.updates]
        told = {status.member.key: status.precedence for status in theirs}
        self._merge(theirs, now)
        better = [
            status.update()
            for status in self._beliefs.table.in_buckets(reply.differing)
            if told.get(status.member.key) != status.precedence
        ]
        return MergeRequest(sender=self._own_record(), updates=better) if better else None

    def merge(self, request: MergeRequest, now: float) -> MergeReply:
        """Answer the second call."""
        self._hear_sender(request.sender, now)
        self._merge([MemberStatus.from_update(update) for update in request.updates], now)
        return MergeReply()

    def take_outcome(self) -> tuple[int, list[MemberStatus]]:
        """News since the last call, and the statuses that the members concerned should hear."""
        outcome = self._news, self._doubtful
        self._news = 0
        self._doubtful = []
        return outcome

    def _merge(self, statuses: list[MemberStatus], now: float) -> None:
        outcome = self._beliefs.hear_exchange(statuses, now)
        self._news += outcome.news
        self._doubtful += outcome.doubtful

    def _hear_sender(self, record: MemberRecord, now: float) -> None:
        sender = MemberStatus(Member.from_record(record), MemberState.ALIVE)
        if self._beliefs.hear(sender, now):
            self._news += 1

    def _own_record(self) -> MemberRecord:
        return self._beliefs.own.member.record()
