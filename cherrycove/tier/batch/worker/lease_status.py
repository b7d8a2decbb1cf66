"""Holds what the last answered lease request reported."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.batch_pb2 import LeaseReply


@attrs.define
class LeaseStatus:
    """Holds the state of all leases of this proxy, which are renewed together."""

    epoch: int = 0  # epoch of the primary that answered
    waiting: int = 0  # items that are not leased
    _lease_s: float = 0.0
    _renewed_at_s: float = float("-inf")  # monotonic time at which the request was sent

    def renew(self, reply: LeaseReply, sent_at_s: float) -> None:
        """Apply ``reply`` to a request that was sent at ``sent_at_s``.

        Leases are counted from ``sent_at_s``, since none can have begun earlier.
        """
        self.epoch = reply.epoch
        self.waiting = reply.waiting
        self._lease_s = reply.lease_ms / 1000.0
        self._renewed_at_s = sent_at_s

    def is_fresh(self, now: float, max_age_s: float) -> bool:
        """Return whether the leases are valid and were renewed less than ``max_age_s`` ago."""
        return now - self._renewed_at_s < min(max_age_s, self._lease_s)
