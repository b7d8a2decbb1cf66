"""Log lines about a process's contact with the primary controller; times are arguments."""

from __future__ import annotations

import logging

MISSING_AFTER_S = 3.0  # without an answer of a primary for so long, a line is logged
MISSING_AGAIN_S = 10.0  # between two such lines
VERSION_INTERVAL_S = 1.0  # between two lines about a configuration in force

_log = logging.getLogger(__name__)


class ContactLog:
    """Logs that no primary answers, with whom was asked, and when one does again.

    Owned by the ``Puller``. Counts from its creation, so a process that never finds a primary is seen too.
    """

    def __init__(self, now: float) -> None:
        self._contact_at = now  # of the last answer of a primary, or the start
        self._reported_at = 0.0  # of the last line, where ``_is_reported``
        self._is_reported = False
        self._outcomes: dict[str, str] = {}  # by address: how the last pull there ended

    def record_answer(self, address: str, now: float) -> None:
        """Note that ``address`` answered as the primary."""
        if self._is_reported:
            missing_s = round(now - self._contact_at, 1)
            _log.info("primary_found", extra={"address": address, "missing_s": missing_s})
        self._contact_at = now
        self._is_reported = False
        self._outcomes.clear()

    def record_failure(self, address: str, outcome: str, now: float) -> None:
        """Note that the pull from ``address`` ended with ``outcome``; log it where that goes on."""
        self._outcomes[address] = outcome
        missing_s = now - self._contact_at
        if missing_s < MISSING_AFTER_S:
            return
        if self._is_reported and now - self._reported_at < MISSING_AGAIN_S:
            return
        self._is_reported = True
        self._reported_at = now
        _log.warning(
            "primary_not_found", extra={"missing_s": round(missing_s, 1), "asked": dict(self._outcomes)}
        )


class VersionLog:
    """Logs which configuration is in force, at most one line in ``VERSION_INTERVAL_S``.

    Owned by the ``Puller``. The newest version is always logged, if late: ``flush`` is called with each
    answer of a primary, and these come at least with every long poll.
    """

    def __init__(self) -> None:
        self._logged_at = float("-inf")
        self._pending_version: int | None = None

    def record(self, version: int, now: float) -> None:
        """Note that the process works by ``version`` from now on."""
        self._pending_version = version
        self.flush(now)

    def flush(self, now: float) -> None:
        """Log the newest version if it was not logged yet and the interval is over."""
        if self._pending_version is None or now - self._logged_at < VERSION_INTERVAL_S:
            return
        _log.info("configuration_in_force", extra={"version": self._pending_version})
        self._pending_version = None
        self._logged_at = now
