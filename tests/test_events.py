"""The log: one line per event in both formats, and the operators' page that lists all events."""

from __future__ import annotations

import asyncio
import io
import json
import logging
import re
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import ROOT, Node, World, fuzz, run

from cherrycove.broker import event_log as events
from cherrycove.broker.core import Reply

CALL = re.compile(r'\blog\.(?:info|warning|error|exception|critical)\(\s*"([^"]+)"')


def test_the_operators_page_lists_exactly_the_logged_events() -> None:
    sources = [path.read_text() for path in (ROOT / "cherrycove").rglob("*.py")]
    written = {event for text in sources for event in CALL.findall(text)}
    calls = [
        call
        for text in sources
        for call in re.findall(r"\blog\.(?:info|warning|error|exception|critical)\(", text)
    ]
    assert sum(len(CALL.findall(text)) for text in sources) == len(calls)  # each has a literal event name
    page = (ROOT / "docs/on-call.md").read_text().partition("## Answers")[0]
    rows = re.findall(r"^\| (`.*?) \|", page, re.M)
    listed = {event for row in rows for event in re.findall(r"`([^`]+)`", row)}
    assert listed == written


@pytest.fixture
def lines() -> Iterator[io.StringIO]:
    """A stream to log to; the root logger is restored afterwards."""
    root, out = logging.getLogger(), io.StringIO()
    before = root.handlers[:], root.level
    yield out
    root.handlers[:], root.level = before[0], before[1]


@fuzz
@given(st.dictionaries(st.sampled_from(["why", "node", "n"]), st.one_of(st.text(), st.integers(), st.none())))
def test_an_event_is_a_single_line_whatever_its_fields_contain(fields: dict[str, object]) -> None:
    record = logging.LogRecord("cherrycove", logging.INFO, "", 0, "a.b", None, None)
    record.fields = fields
    line = events.HumanFormatter().format(record)
    assert line.isascii() and line.isprintable() and line.startswith("INFO cherrycove: a.b")
    assert all(f" {name}=" in line for name in fields)
    read = json.loads(events._json_formatter().format(record))
    assert read["event"] == "a.b" and {name: read[name] for name in fields} == fields


@pytest.mark.parametrize("form", events.FORMS)
def test_lines_of_a_request_carry_its_id_and_attempt(
    form: str, lines: io.StringIO, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two concurrent requests: fields bound for one must not appear in the other's lines."""
    events.start(form, stream=lines)

    async def scenario() -> None:
        async with World(await Node("ok", "ok").start()) as world:
            exchange = world.pool.exchange

            async def exchange_and_log(call: object, address: str, headers: dict[str, str]) -> Reply:
                events.Log("cherrycove.test").info("test.event", sent=headers["X-Request-Id"])
                return await exchange(call, address, headers)  # type: ignore[arg-type]

            monkeypatch.setattr(world.pool, "exchange", exchange_and_log)
            await asyncio.gather(world.ask(id="a1"), world.ask(id="b2"))
            events.Log("cherrycove.test").info("test.outside")

    run(scenario())
    logged = [line for line in lines.getvalue().splitlines() if "test." in line]
    assert len(logged) == 3
    for line in logged[:2]:
        if form == "json":
            read = json.loads(line)
            assert read["request"] == read["sent"] and read["attempt"] == 1 and read["node"] == "d0"
        else:
            sent = line.rpartition("=")[2]
            assert f" request={sent} attempt=1 node=d0 " in line
    assert "request" not in logged[2]
