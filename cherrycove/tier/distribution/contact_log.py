"""Logs a process's contact with the primary controller; the caller passes the current time."""

from __future__ import annotations

import logging

MISSING_AFTER_S = 3.0  # time without a reply from a primary after which its absence is logged
MISSING_LOG_INTERVAL_S = 10.0  # interval of further log lines while it is absent
VERSION_LOG_INTERVAL_S = 1.0  # minimum time between two log lines about the active configuration

_log = logging.getLogger(__name__)


class ContactLog:
    """Logs when no primary answers, with the controllers asked, and when a primary answers again.

    Owned by the ``Puller``. The time without contact starts at its creation, so that a process that never
    finds a primary logs this as well.
    """

    def __init__(self, now: float) -> None:
        self._contact_at = now  # time of the last reply from a primary, initially of the creation
        self._reported_at = 0.0  # time of the last log line; valid if ``_is_reported``
        self._is_reported = False
        self._outcomes: dict[str, str] = {}  # outcome of the last pull, by address

    def record_answer(self, address: str, now: float) -> None:
        """Record that ``address`` answered as the primary."""
        if self._is_reported:
            missing_s = round(now - self._contact_at, 1)
            _log.info("primary_found", extra={"address": address, "missing_s": missing_s})
        self._contact_at = now
        self._is_reported = False
        self._outcomes.clear()

    def record_failure(self, address: str, outcome: str, now: float) -> None:
        """Record that the pull from ``address`` ended with ``outcome``.

        Logs a warning if no primary has answered for ``MISSING_AFTER_S``, and repeats it at intervals.
        """
        self._outcomes[address] = outcome
        missing_s = now - self._contact_at
        if missing_s < MISSING_AFTER_S:
            return
        if self._is_reported and now - self._reported_at < MISSING_LOG_INTERVAL_S:
            return
        self._is_reported = True
        self._reported_at = now
        _log.warning(
            "primary_not_found", extra={"missing_s": round(missing_s, 1), "asked": dict(self._outcomes)}
        )


class VersionLog:
    """Logs the version of the active configuration, at most once per ``VERSION_LOG_INTERVAL_S``.

    Owned by the ``Puller``. The newest version is always logged, possibly with a delay: ``flush`` is called
    with each reply from a primary, and every long poll brings at least one.
    """

    def __init__(self) -> None:
        self._logged_at = float("-inf")
        self._pending_version: int | None = None

    def record(self, version: int, now: float) -> None:
        """Record that the process now uses the configuration ``version``."""
        self._pending_version = version
        self.flush(now)

    def flush(self, now: float) -> None:
        """Log the newest version if it was not logged yet and the interval has passed."""
        if self._pending_version is None or now - self._logged_at < VERSION_LOG_INTERVAL_S:
            return
        _log.info("configuration_in_force", extra={"version": self._pending_version})
        self._pending_version = None
        self._logged_at = now
