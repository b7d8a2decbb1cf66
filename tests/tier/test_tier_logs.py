"""The exact format of a daemon's log lines."""

from __future__ import annotations

import io
import json
import logging
from collections.abc import Iterator

import pytest

from cherrycove.tier.logs import TIER_LOGGER, configure

CREATED_S = 1796187600.25  # 2026-12-02 05:00:00.250 UTC


@pytest.fixture
def stream(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.StringIO]:
    root, tier = logging.getLogger(), logging.getLogger(TIER_LOGGER)
    handlers, levels = root.handlers[:], (root.level, tier.level)
    root.handlers[:] = []  # the handlers of the test runner must not be closed
    for switch in ("logThreads", "logProcesses", "logMultiprocessing"):
        monkeypatch.setattr(logging, switch, getattr(logging, switch))
    monkeypatch.setattr("time.time", lambda: CREATED_S)
    output = io.StringIO()
    configure("keeper", "core-1", output)
    yield output
    root.handlers[:] = handlers
    root.setLevel(levels[0])
    tier.setLevel(levels[1])


def test_an_event_with_details(stream: io.StringIO) -> None:
    logging.getLogger("cherrycove.tier.membership.service").info(
        "member_dead", extra={"member": "core-2", "count": 3}
    )
    assert stream.getvalue() == (
        '{"time": "2026-12-02T05:00:00.250Z", "level": "info", "event": "member_dead", '
        '"program": "keeper", "node": "core-1", "member": "core-2", "count": 3}\n'
    )


def test_details_of_other_types_and_with_reserved_names(stream: io.StringIO) -> None:
    logging.getLogger(TIER_LOGGER).warning(
        "odd", extra={"event": "x", "node": "core-9", "cause": ValueError("no"), "places": (1, 2)}
    )
    assert stream.getvalue() == (
        '{"time": "2026-12-02T05:00:00.250Z", "level": "warning", "event": "odd", "program": "keeper", '
        '"node": "core-1", "detail_event": "x", "detail_node": "core-9", "cause": "no", "places": [1, 2]}\n'
    )


def test_an_exception_stays_on_one_line(stream: io.StringIO) -> None:
    try:
        raise RuntimeError("first\nsecond")
    except RuntimeError:
        logging.getLogger(TIER_LOGGER).exception("step_failed")
    (line,) = stream.getvalue().splitlines()
    document = json.loads(line)
    assert document["event"] == "step_failed"
    assert document["level"] == "error"
    assert document["exc_info"].endswith("RuntimeError: first\nsecond")


def test_records_below_the_log_levels_are_dropped(stream: io.StringIO) -> None:
    logging.getLogger(TIER_LOGGER).debug("too_small")
    logging.getLogger("aiohttp.server").info("another_library")
    assert stream.getvalue() == ""
    logging.getLogger("aiohttp.server").warning("trouble")
    assert json.loads(stream.getvalue())["event"] == "trouble"
