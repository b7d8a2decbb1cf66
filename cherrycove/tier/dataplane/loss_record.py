"""Counts of lost requests, those that one proxy did not answer in time, by route and cause."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import Counter
from collections.abc import Mapping

from cherrycove.tier.dataplane.loss_cause import LossCause

LOG_INTERVAL_S = 1.0  # between two log lines
LOSSES_PATH = "/api/losses"  # served at the readiness address

_log = logging.getLogger(__name__)

LossCounts = Mapping[str, Mapping[str, int]]  # by route, then by cause


class LossRecord:
    """Counts losses in memory since the start of the process; owned by the ``DataPlane``.

    While losses occur, it logs one event ``requests_lost`` per second with the counts since the previous one.
    """

    def __init__(self) -> None:
        self._totals: dict[str, Counter[str]] = {}
        self._unlogged: dict[str, Counter[str]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def count(self, route: str, cause: LossCause) -> None:
        """Count one lost request of ``route``. Must be called within the event loop."""
        for counts in (self._totals, self._unlogged):
            counts.setdefault(route, Counter())[cause.value] += 1
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self._flush)

    def totals(self) -> LossCounts:
        """All losses since the start of the process."""
        return self._totals

    def totals_document(self) -> bytes:
        """Encode ``totals`` as a JSON object: ``{"losses": {route: {cause: count}}}``."""
        return json.dumps({"losses": self._totals}).encode()

    def stop(self) -> None:
        """Log the counts that are not logged yet."""
        if self._timer is not None:
            self._timer.cancel()
            self._flush()

    def _flush(self) -> None:
        self._timer = None
        _log.info("requests_lost", extra={"losses": self._unlogged})
        self._unlogged = {}
