"""Tests what a process logs about its contact with the primary and about its active configuration."""

from __future__ import annotations

import logging

import pytest

from cherrycove.tier.distribution.contact_log import (
    MISSING_AFTER_S,
    MISSING_LOG_INTERVAL_S,
    VERSION_LOG_INTERVAL_S,
    ContactLog,
    VersionLog,
)


def events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records]


@pytest.fixture(autouse=True)
def logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


def test_a_missing_primary_is_logged_with_all_controllers_asked(
    caplog: pytest.LogCaptureFixture,
) -> None:
    log = ContactLog(10.0)
    log.record_failure("a:1", "not_primary", 10.0 + MISSING_AFTER_S / 2)
    assert not caplog.records
    log.record_failure("b:1", "unreachable", 10.0 + MISSING_AFTER_S)
    log.record_failure("a:1", "not_primary", 10.1 + MISSING_AFTER_S)
    assert events(caplog) == ["primary_not_found"]
    assert vars(caplog.records[0])["asked"] == {"a:1": "not_primary", "b:1": "unreachable"}
    log.record_failure("a:1", "not_primary", 10.0 + MISSING_AFTER_S + MISSING_LOG_INTERVAL_S)
    log.record_answer("b:1", 40.0)
    log.record_answer("b:1", 41.0)
    assert events(caplog) == ["primary_not_found"] * 2 + ["primary_found"]
    assert vars(caplog.records[2])["missing_s"] == 30.0


def test_a_short_absence_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    log = ContactLog(0.0)
    for second in range(0, 100, 2):
        log.record_failure("a:1", "uncertain", second)
        log.record_answer("a:1", second + 1.0)
    assert not caplog.records


def test_version_logs_are_rate_limited_and_include_the_newest_version(
    caplog: pytest.LogCaptureFixture,
) -> None:
    log = VersionLog()
    for version in range(1, 11):
        log.record(version, version * VERSION_LOG_INTERVAL_S / 100)
    log.flush(VERSION_LOG_INTERVAL_S / 2)
    assert [vars(record)["version"] for record in caplog.records] == [1]
    log.flush(2 * VERSION_LOG_INTERVAL_S)
    log.flush(4 * VERSION_LOG_INTERVAL_S)
    assert [vars(record)["version"] for record in caplog.records] == [1, 10]
