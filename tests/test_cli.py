"""The command line against a broker in service: words, exit codes, JSON, reports, traces."""

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


class Desk:
    """A broker's operators' address with a record behind it; commands run on a thread, as a shell's would."""

    async def __aenter__(self) -> Desk:
        self.world = await World(await Node("ok", "500").start()).__aenter__()
        self.book = self.world.core.recorder = DecisionLog(PLATFORM.settings, MIN_BYTES_FOR_SKETCHES, 0.0)
        self.desk = admin.AdminServer(self._answer)
        self.place = f"127.0.0.1:{await self.desk.listen('127.0.0.1', 0)}"
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.desk.close()
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
        return "\n".join([*await queries.answer(query, self.book, now, self.world.core.find), "END"])

    async def command(self, *words: str) -> click.testing.Result:
        return await asyncio.to_thread(
            click.testing.CliRunner().invoke, main, [*words, "--admin", self.place]
        )


def test_staff_ask_a_broker_in_service() -> None:
    async def tale() -> None:
        async with Desk() as desk:
            await desk.world.ask(id="a1")
            await desk.world.ask(id="b2", cls="claim-write", method="PUT", body=b"x")
            found = await desk.command("why", "b2")
            assert found.exit_code == 0 and "may have run" in found.output and "node error" in found.output
            lost = await desk.command("why", "c3")
            assert lost.exit_code == 1 and lost.output.startswith("NO ")
            rows = await desk.command("why", "--only", "served", "--since", "1m", "--json")
            told = [json.loads(line) for line in rows.output.splitlines() if line.startswith("{")]
            assert [row["id"] for row in told] == ["a1"] and told[0]["attempts"][0]["ending"] == "served"
            assert json.loads((await desk.command("stats", "--json")).output)["passed"]["claim-read"] == 1
            assert "claim-write=1" in (await desk.command("stats")).output
            assert (await desk.command("why", "--summary")).output.startswith("YES")
            assert (await desk.command("maint", "on", "d0")).output == "NO maint-on d0\n"
            assert (await desk.command("status")).exit_code == 1
            for wrong in (["why", "--since", "x"], ["why", "report"], ["why", "a b"], ["nothing"]):
                assert (await desk.command(*wrong)).exit_code in (1, 2), wrong

    run(tale())


def test_nobody_there_and_a_wrong_address_have_codes_of_their_own(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RELAY_ADMIN", "RELAY_CONFIG"):
        monkeypatch.delenv(name, raising=False)
    runner = click.testing.CliRunner()
    assert runner.invoke(main, ["status", "--admin", "127.0.0.1:1"]).exit_code == 3
    for wrong in ([], ["--admin", "here"], ["--admin", "h:99999"]):
        assert runner.invoke(main, ["status", *wrong]).exit_code == 2
    monkeypatch.setenv("RELAY_CONFIG", EXAMPLE)  # the file names the operators' address
    assert runner.invoke(main, ["status"]).exit_code == 3


def test_check_config_says_what_is_on_or_names_file_key_and_reason(tmp_path: Path) -> None:
    runner, path = click.testing.CliRunner(), tmp_path / "operator.toml"
    path.write_text('[why]\nenabled = true\nbytes = 1048576\n[log]\nform = "json"\n')
    told = runner.invoke(main, ["check-config", "--platform", EXAMPLE, "--operator", str(path), "--json"])
    assert told.exit_code == 0 and json.loads(told.output)["on"] == ["why"]
    assert json.loads(told.output)["log"] == "json"
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
def test_shells_complete_the_sub_commands(shell: str) -> None:
    runner = click.testing.CliRunner()
    assert "_CHERRYCOVE_COMPLETE" in runner.invoke(main, ["completion", shell]).output


@fuzz
@given(st.lists(st.text(max_size=30), max_size=5))
def test_lines_that_are_no_figures_are_named(lines: list[str]) -> None:
    try:
        assert isinstance(figures(lines), dict)
    except (ValueError, AttributeError) as error:
        assert isinstance(error, ValueError), error


@pytest.mark.parametrize("said", [b"", b"YES"])
def test_an_answer_that_is_none_is_told_so(said: bytes) -> None:
    async def tale() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(said)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        place = server.sockets[0].getsockname()[:2]
        if said:
            assert await asyncio.to_thread(call, place, "status") == ["YES"]
        else:
            with pytest.raises(CallError):
                await asyncio.to_thread(call, place, "status")
        for line in ("a\nb", "\u00e9"):
            with pytest.raises(ValueError):
                call(place, line)

    run(tale())


def test_the_report_escapes_what_clients_named(tmp_path: Path) -> None:
    book = DecisionLog(PLATFORM.settings, MIN_BYTES_FOR_SKETCHES, 0.0)
    for number in range(40):
        book.add(
            make_record(
                "<script>alert(1)</script>" if number % 2 else f"r{number}",
                10.0 + number * 3,
                "refused" if number % 3 else "served",
                volume="$<b>$" if number % 5 else HEX,
            )
        )

    def asked(line: str) -> list[str]:
        query = queries.parse(line.split()[1:])
        return run(queries.answer(query, book, lambda: 140.0, lambda _: []))  # type: ignore[no-any-return]

    path = report.write(tmp_path / "out", asked, "1h")
    page = path.read_text()
    assert "&lt;script&gt;" in page and "<script>" not in page and "<b>" not in page
    for plot in ("refusals.svg", "latency.svg"):
        drawn = (path.parent / plot).read_text()
        assert "<svg" in drawn and "<script" not in drawn
    with pytest.raises(report.ReportError):
        report.write(tmp_path / "none", lambda line: ["NO there is no record"], "1h")


# Traces.


def test_a_trace_holds_the_tree_of_attempts_in_the_published_form(tmp_path: Path) -> None:
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
    told = {each["key"]: each["value"] for each in children[1]["attributes"]}
    assert told["cherrycove.ending"] == {"stringValue": "broken"}


def test_refusals_are_traced_up_to_the_rate_and_the_others_in_part() -> None:
    sampler = spans.Sampler(0.1, 3.0, 7)
    refused = [
        sampler.sample(make_record(f"r{n}", 10.0 + n / 100)) for n in range(200)
    ]  # 100 a second for 2 s
    assert 3 <= sum(refused) <= 3 + 3 * 2 + 1 and sampler.rate_limited == 200 - sum(refused)
    served = sum(sampler.sample(make_record(f"s{n}", 20.0, "served")) for n in range(2000))
    assert 150 <= served <= 250  # a fixed seed


def test_a_file_that_cannot_be_written_is_said_once_and_costs_traces_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    said: list[str] = []
    monkeypatch.setattr(events.Log, "warning", lambda self, event, **fields: said.append(event))
    tracer = spans.Tracer(PLATFORM.settings, tmp_path, spans.Sampler(1.0, 50.0, 1), "n0")  # a folder
    for number in range(2):
        tracer.trace(make_record(f"r{number}", 10.0))
        tracer._provider.force_flush()
    tracer.close()
    assert said == ["why.spans_not_written"] and tracer.exporter.dropped == 2
