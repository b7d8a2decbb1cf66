"""Replication progress of one replica, as its primary knows it (Raft, section 5.3)."""

from __future__ import annotations

from collections import deque

import attrs

from cherrycove.tier.protocol.replication_pb2 import AppendReply
from cherrycove.tier.replication.timing import MICROSECONDS, NEVER, microseconds

#: Maximum number of unanswered messages with entries.
MAX_IN_FLIGHT = 8
#: A replica that has sent nothing for longer than this receives heartbeats only.
RESPONSE_TIMEOUT_S = 0.6


@attrs.define(eq=False, kw_only=True)
class ReplicationProgress:
    """Tracks the replication progress of one replica; times are monotonic seconds of the primary.

    Owned by ``PeerReplicator``, so it ends with the period as primary. States: probing (the index up to which
    the logs match is unknown; one message at a time) and replicating (up to MAX_IN_FLIGHT messages); a
    rejected append returns to probing.
    """

    next_index: int
    """Index of the next entry to send."""
    heard_at: float
    """Time of the last message from the replica; initially the time at which the primary started to send."""
    match_index: int = 0
    """Index up to which the replica's log is synced and equals the primary's."""
    acknowledged_at: float = NEVER
    """Send time of the newest message that the replica answered; it determines the lease."""
    _is_probing: bool = True
    _in_flight: deque[int] = attrs.field(factory=deque)  # last index of each unanswered message with entries
    _probed_us: int = -1  # rejections of messages sent before this are outdated

    def is_responsive(self, now: float) -> bool:
        """Return whether the replica sent a message recently enough to receive more than heartbeats."""
        return now - self.heard_at < RESPONSE_TIMEOUT_S

    def has_answered_lately(self, now: float) -> bool:
        """Return whether the replica has answered this primary, and recently."""
        return self.acknowledged_at > NEVER and self.is_responsive(now)

    @property
    def is_window_open(self) -> bool:
        """Return whether another message with entries may be sent before the next answer."""
        return len(self._in_flight) < (1 if self._is_probing else MAX_IN_FLIGHT)

    def record_sent(self, entries: int, last_index: int) -> None:
        """Record that a message with ``entries`` entries up to ``last_index`` was sent."""
        self.next_index += entries
        self._in_flight.append(last_index)

    def record_answer(self, sent_us: int, now: float) -> None:
        """Record an answer to a message that was sent at ``sent_us`` (microseconds)."""
        self.heard_at = now
        self.acknowledged_at = max(self.acknowledged_at, sent_us / MICROSECONDS)

    def record_append_reply(self, reply: AppendReply, now: float) -> None:
        """Record that the replica accepted or rejected an append."""
        if reply.accepted:
            self._accept(reply.match_index)
        elif reply.sent_us >= self._probed_us:
            self._probed_us = microseconds(now)
            self._in_flight.clear()
            self._is_probing = True
            self.next_index = max(self.match_index, min(self.next_index - 1, reply.last_index)) + 1

    def _accept(self, match_index: int) -> None:
        self._is_probing = False
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self._in_flight and self._in_flight[0] <= self.match_index:
            self._in_flight.popleft()

    def record_snapshot_received(self, index: int) -> None:
        """Record that the replica has received the complete snapshot at ``index``."""
        self._in_flight.clear()
        self.next_index = max(self.match_index, index) + 1
