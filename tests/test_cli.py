"""The command line against a running broker: output, exit codes, JSON, reports, traces."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import click.testing
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import PLATFORM, ROOT, Node, World, fuzz, run
from test_why import HEX, make_record

from cherrycove.broker import admin
from cherrycove.broker import event_log as events
from cherrycove.broker.cli.call import CallError, call
from cherrycove.broker.cli.commands import figures, main
from cherrycove.broker.core import Ending
from cherrycove.broker.decision_log import queries, report, spans
from cherrycove.broker.decision_log.codec import AttemptRecord
from cherrycove.broker.decision_log.log import MIN_BYTES_FOR_SKETCHES, DecisionLog
from cherrycove.scheduling.interface import Code, Reason

EXAMPLE = str(ROOT / "examples/config.json")


class OperatorsAddress:
    """A broker's operators' address with a decision log; commands run on another thread, as from a shell."""

    async def __aenter__(self) -> OperatorsAddress:
        self.world = await World(await Node("ok", "500").start()).__aenter__()
        self.decision_log = self.world.core.recorder = DecisionLog(
            PLATFORM.settings, MIN_BYTES_FOR_SKETCHES, 0.0
        )
        self.server = admin.AdminServer(self._answer)
        self.address = f"127.0.0.1:{await self.server.listen('127.0.0.1', 0)}"
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.close()
        await self.world.__aexit__()

    async def _answer(self, asked: admin.Call) -> str:
        if asked.command == "stats":
            return admin.report(self.world.core.metrics())
        if asked.command != "why":
            return f"NO {asked.command} {asked.node}"
        try:
            query = queries.parse(list(asked.arguments))
        except queries.QueryError as error:
            return f"NO {error}\nEND"
        now = asyncio.get_running_loop().time
        return "\n".join([*await queries.answer(query, self.decision_log, now, self.world.core.find), "END"])

    async def command(self, *words: str) -> click.testing.Result:
        return await asyncio.to_thread(
            click.testing.CliRunner().invoke, main, [*words, "--admin", self.address]
        )


def test_operators_query_a_running_broker() -> None:
    async def scenario() -> None:
        async with OperatorsAddress() as broker:
            await broker.world.ask(id="a1")
            await broker.world.ask(id="b2", cls="claim-write", method="PUT", body=b"x")
            known = await broker.command("why", "b2")
            assert known.exit_code == 0 and "may have run" in known.output and "node error" in known.output
            unknown = await broker.command("why", "c3")
            assert unknown.exit_code == 1 and unknown.output.startswith("NO ")
            rows = await broker.command("why", "--only", "served", "--since", "1m", "--json")
            found = [json.loads(line) for line in rows.output.splitlines() if line.startswith("{")]
            assert [row["id"] for row in found] == ["a1"] and found[0]["attempts"][0]["ending"] == "served"
            assert json.loads((await broker.command("stats", "--json")).output)["passed"]["claim-read"] == 1
            assert "claim-write=1" in (await broker.command("stats")).output
            assert (await broker.command("why", "--summary")).output.startswith("YES")
            assert (await broker.command("maint", "on", "d0")).output == "NO maint-on d0\n"
            assert (await broker.command("status")).exit_code == 1
            for wrong in (["why", "--since", "x"], ["why", "report"], ["why", "a b"], ["nothing"]):
                assert (await broker.command(*wrong)).exit_code in (1, 2), wrong

    run(scenario())


def test_no_answer_and_an_invalid_address_have_different_exit_codes(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RELAY_ADMIN", "RELAY_CONFIG"):
        monkeypatch.delenv(name, raising=False)
    runner = click.testing.CliRunner()
    assert runner.invoke(main, ["status", "--admin", "127.0.0.1:1"]).exit_code == 3
    for wrong in ([], ["--admin", "here"], ["--admin", "h:99999"]):
        assert runner.invoke(main, ["status", *wrong]).exit_code == 2
    monkeypatch.setenv("RELAY_CONFIG", EXAMPLE)  # the file names the operators' address
    assert runner.invoke(main, ["status"]).exit_code == 3


def test_check_config_prints_what_is_enabled_or_the_invalid_file_and_key(tmp_path: Path) -> None:
    runner, path = click.testing.CliRunner(), tmp_path / "operator.toml"
    path.write_text('[why]\nenabled = true\nbytes = 1048576\n[log]\nform = "json"\n')
    valid = runner.invoke(main, ["check-config", "--platform", EXAMPLE, "--operator", str(path), "--json"])
    assert valid.exit_code == 0 and json.loads(valid.output)["on"] == ["why"]
    assert json.loads(valid.output)["log"] == "json"
    for text, key in (
        ("[why]\nenabled = true\nbytes = 5\n", "why.bytes"),
        ("[log]\nform = 'x'\n", "log.form"),
        ("[why]\nenabled = true\nsampled = 2.0\n", "why.sampled"),
        ("[log]\nfrom = 'x'\n", "log.from"),
        ("[", "TOML"),
    ):
        path.write_text(text)
        wrong = runner.invoke(main, ["check-config", "--platform", EXAMPLE, "--operator", str(path)])
        assert wrong.exit_code == 2 and str(path) in wrong.output, text
        assert key in wrong.output or key == "TOML"


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_prints_a_script_for_each_shell(shell: str) -> None:
    runner = click.testing.CliRunner()
    assert "_CHERRYCOVE_COMPLETE" in runner.invoke(main, ["completion", shell]).output


@fuzz
@given(st.lists(st.text(max_size=30), max_size=5))
def test_lines_that_are_no_figures_are_named(lines: list[str]) -> None:
    try:
        assert isinstance(figures(lines), dict)
    except (ValueError, AttributeError) as error:
        assert isinstance(error, ValueError), error


@pytest.mark.parametrize("response", [b"", b"YES"])
def test_call_returns_an_unterminated_response_but_raises_on_an_empty_one(response: bytes) -> None:
    async def scenario() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        if response:
            assert await asyncio.to_thread(call, address, "status") == ["YES"]
        else:
            with pytest.raises(CallError):
                await asyncio.to_thread(call, address, "status")
        for line in ("a\nb", "\u00e9"):
            with pytest.raises(ValueError):
                call(address, line)

    run(scenario())


def test_report_escapes_names_that_clients_choose(tmp_path: Path) -> None:
    decision_log = DecisionLog(PLATFORM.settings, MIN_BYTES_FOR_SKETCHES, 0.0)
    for number in range(40):
        decision_log.add(
            make_record(
                "<script>alert(1)</script>" if number % 2 else f"r{number}",
                10.0 + number * 3,
                "refused" if number % 3 else "served",
                volume="$<b>$" if number % 5 else HEX,
            )
        )

    def query(line: str) -> list[str]:
        query = queries.parse(line.split()[1:])
        return run(queries.answer(query, decision_log, lambda: 140.0, lambda _: []))  # type: ignore[no-any-return]

    path = report.write(tmp_path / "out", query, "1h")
    page = path.read_text()
    assert "&lt;script&gt;" in page and "<script>" not in page and "<b>" not in page
    for plot in ("refusals.svg", "latency.svg"):
        svg = (path.parent / plot).read_text()
        assert "<svg" in svg and "<script" not in svg
    with pytest.raises(report.ReportError):
        report.write(tmp_path / "none", lambda line: ["NO there is no record"], "1h")


# Traces.


def test_trace_holds_the_tree_of_attempts_in_the_published_format(tmp_path: Path) -> None:
    path = tmp_path / "traces.jsonl"
    tracer = spans.Tracer(PLATFORM.settings, path, spans.Sampler(0.0, 5.0, 1), "n0")
    failed = make_record(
        "a1",
        50.0,
        "failed",
        code=Code.MAY_HAVE_RUN,
        attempts=[
            AttemptRecord("d0", Reason(Code.CREDIT, "d0"), 0.001, 0.004, Ending.TURNED_AWAY),
            AttemptRecord("d0", Reason(Code.AGAIN, "d0"), 0.006, 0.01, Ending.BROKEN),
        ],
    )
    tracer.trace(failed)
    tracer.trace(make_record("b2", 50.0, "served"))
    tracer.close()
    lines = map(json.loads, path.read_text().splitlines())
    found = [
        span
        for line in lines
        for resource in line["resourceSpans"]
        for scope in resource["scopeSpans"]
        for span in scope["spans"]
    ]
    assert len(found) == 3
    root = next(span for span in found if not span.get("parentSpanId"))
    children = sorted((span for span in found if span is not root), key=lambda s: s["startTimeUnixNano"])
    assert all(
        child["parentSpanId"] == root["spanId"]
        and child["traceId"] == root["traceId"]
        and len(child["traceId"]) == 32
        for child in children
    )
    assert int(root["startTimeUnixNano"]) <= int(children[0]["startTimeUnixNano"])
    assert int(children[1]["endTimeUnixNano"]) <= int(root["endTimeUnixNano"])
    attributes = {each["key"]: each["value"] for each in children[1]["attributes"]}
    assert attributes["cherrycove.ending"] == {"stringValue": "broken"}


def test_refusals_are_traced_up_to_the_rate_and_served_requests_by_sampling() -> None:
    sampler = spans.Sampler(0.1, 3.0, 7)
    # 100 per second for 2 s.
    refused = [sampler.sample(make_record(f"r{n}", 10.0 + n / 100)) for n in range(200)]
    assert 3 <= sum(refused) <= 3 + 3 * 2 + 1 and sampler.rate_limited == 200 - sum(refused)
    served = sum(sampler.sample(make_record(f"s{n}", 20.0, "served")) for n in range(2000))
    assert 150 <= served <= 250  # a fixed seed


def test_failing_trace_file_is_logged_once_and_loses_only_traces(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(events.Log, "warning", lambda self, event, **fields: logged.append(event))
    tracer = spans.Tracer(PLATFORM.settings, tmp_path, spans.Sampler(1.0, 50.0, 1), "n0")  # a directory
    for number in range(2):
        tracer.trace(make_record(f"r{number}", 10.0))
        tracer._provider.force_flush()
    tracer.close()
    assert logged == ["why.spans_not_written"] and tracer.exporter.dropped == 2
