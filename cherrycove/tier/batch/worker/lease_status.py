"""What the last answered lease request says."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.batch_pb2 import LeaseReply


@attrs.define
class LeaseStatus:
    """The state of all leases of this proxy, which are renewed together."""

    epoch: int = 0  # of the primary that answered
    waiting: int = 0  # items leased to nobody
    _lease_s: float = 0.0
    _renewed_at_s: float = float("-inf")  # monotonic; when the request was sent

    def renew(self, reply: LeaseReply, sent_at_s: float) -> None:
        """Take over ``reply`` to a request sent at ``sent_at_s``, before which no lease can have begun."""
        self.epoch = reply.epoch
        self.waiting = reply.waiting
        self._lease_s = reply.lease_ms / 1000.0
        self._renewed_at_s = sent_at_s

    def is_fresh(self, now: float, max_age_s: float) -> bool:
        """Whether the leases are valid and were renewed less than ``max_age_s`` ago."""
        return now - self._renewed_at_s < min(max_age_s, self._lease_s)
