"""Counts of broker responses that are not simply the response to the request that was sent, by broker."""

from __future__ import annotations

import logging
from enum import Enum

from cherrycove.tier.dataplane.periodic_counts import Counts, PeriodicCounts

_log = logging.getLogger(__name__)


class ResponseAnomaly(Enum):
    """What is unexpected about a response, or about bytes that a broker sent."""

    OTHER_REQUEST = "other_request"  # it carries the id of another request
    WITHOUT_ID = "without_id"
    AMBIGUOUS = "ambiguous"  # its connection has carried its id before, so it may answer an earlier attempt
    UNREQUESTED = "unrequested"  # it came while no request was in flight on its connection


class AnomalyRecord(PeriodicCounts):
    """Counts anomalies by broker address; owned by the ``UpstreamClient``. Logs ``responses_unexpected``."""

    def count(self, address: str, anomaly: ResponseAnomaly) -> None:
        """Count one response from the broker at ``address``. Must be called within the event loop."""
        self._add(address, anomaly.value)

    def _log_counts(self, counts: Counts) -> None:
        _log.info("responses_unexpected", extra={"responses": counts})
