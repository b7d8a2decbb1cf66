"""Counts of lost requests, those that one proxy did not answer in time, by route and cause."""

from __future__ import annotations

import json
import logging

from cherrycove.tier.dataplane.loss_cause import LossCause
from cherrycove.tier.dataplane.periodic_counts import Counts, PeriodicCounts

LOSSES_PATH = "/api/losses"  # served at the readiness address

_log = logging.getLogger(__name__)


class LossRecord(PeriodicCounts):
    """Counts losses by route and cause; owned by the ``DataPlane``. Logs the event ``requests_lost``."""

    def count(self, route: str, cause: LossCause) -> None:
        """Count one lost request of ``route``. Must be called within the event loop."""
        self._add(route, cause.value)

    def totals_document(self) -> bytes:
        """Encode ``totals`` as a JSON object: ``{"losses": {route: {cause: count}}}``."""
        return json.dumps({"losses": self._totals}).encode()

    def _log_counts(self, counts: Counts) -> None:
        _log.info("requests_lost", extra={"losses": counts})
