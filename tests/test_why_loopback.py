"""The decision log's records compared with what nodes and clients observed, over HTTP and NBD."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from helpers import Rig
from support import ROOT, Node, World, Writer, answer, message, raw, run
from test_handover import Process, settings
from test_nbd import VOLUME, BlockNode, Client, setup

from cherrycove.broker import config
from cherrycove.broker.core import Ending, Maintenance, Member, NodeList
from cherrycove.broker.decision_log import log as log_module
from cherrycove.broker.decision_log import queries
from cherrycove.broker.decision_log.codec import RequestRecord
from cherrycove.broker.decision_log.log import DecisionLog
from cherrycove.broker.local_codes import LocalCode
from cherrycove.broker.nbd import Command, Errno
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.interface import Code, NodeState

ENDINGS_BY_STEP = {  # the endings that the broker may record for a step of a node
    "ok": {Ending.SERVED},
    "500": {Ending.NODE_ERROR},
    "503 X-Not-Run: 1": {Ending.TURNED_AWAY},
    "drop": {Ending.BROKEN},
    "cut": {Ending.CUT_SHORT},
    "hang": {Ending.TIMED_OUT, Ending.GIVEN_UP},
}
VERDICTS = {200: "served", 429: "refused", 503: "refused"}
BLOCK_SHARD = 3


class Watched(Node):
    """A node that logs which step it took for which request."""

    def __init__(self, node_log: list[tuple[str, str, str]], name: str, *script: str) -> None:
        super().__init__(*script)
        self.node_log, self.name = node_log, name

    async def _step(
        self, step: str, reader: asyncio.StreamReader, writer: Writer, headers: dict[str, str]
    ) -> bool:
        self.node_log.append((headers["x-request-id"], self.name, step))
        return await super()._step(step, reader, writer, headers)


async def browse(
    world: World, dice: random.Random, number: int, observed: dict[str, str], originals: dict[str, str]
) -> None:
    """Send one client's requests: all kinds, marked retries of refused ones, some aborted, some malformed."""
    for turn in range(14):
        ident = f"{number:08x}{turn:08x}"
        cls = dice.choice(["claim-read", "claim-write", "claim-export"])
        fields: dict[str, Any] = {
            "cls": cls,
            "method": "PUT" if cls == "claim-write" else "GET",
            "id": ident,
            "Tier": dice.choice(["basic", "priority"]),
            "ms": 6000,
            "Cookie": f"object={number:08x}{turn:08x}",
            "IO_Info": f"volume={dice.randrange(3):016x},units=2,shard={dice.randrange(3)},hosts=1",
        }
        kind = dice.random()
        if kind < 0.07:
            status, _, _ = await world.ask(**fields | {"Tier": "no such plan"})
            assert status == 400
            observed[ident] = "failed"
        elif kind < 0.17:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(**fields))
            await writer.drain()
            await asyncio.sleep(dice.choice([0.0, 0.005, 0.05]))
            writer.transport.abort()
            observed[ident] = "?"  # the answer may have been sent by then
        else:
            status, _, _ = await world.ask(**fields)
            observed[ident] = VERDICTS.get(status, "failed")
            if observed[ident] == "refused" and dice.random() < 0.7:
                again = f"{number + 256:08x}{turn:08x}"
                status, _, _ = await world.ask(**fields | {"id": again, "X_Retry": "1"})
                observed[again], originals[again] = VERDICTS.get(status, "failed"), ident


async def mount(port: int, dice: random.Random, observed: list[tuple[int, str]]) -> None:
    client = await Client.mounted(port)
    for turn in range(10):
        command = dice.choice([Command.READ, Command.WRITE])
        errno, _ = await client.do(
            command,
            512 * turn,
            512 if command == Command.READ else 0,
            b"x" * 512 if command == Command.WRITE else b"",
        )
        observed.append((len(client.requests), {0: "served", Errno.ENOMEM: "refused"}.get(errno, "failed")))
    client.writer.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_record_of_every_request_matches_what_nodes_and_clients_observed(seed: int) -> None:
    async def scenario() -> None:
        dice, node_log = random.Random(seed), []  # type: random.Random, list[tuple[str, str, str]]
        steps = list(ENDINGS_BY_STEP) + ["ok"] * 24
        nodes = [await Watched(node_log, f"d{i}", *dice.choices(steps, k=60)).start() for i in range(3)]
        fresh = await Watched(node_log, "fresh", *dice.choices(steps, k=60)).start()
        block = await BlockNode(*dice.choices(["ok"] * 9 + ["drop", "5"], k=60)).start()
        async with World(*nodes, platform=config.parse_platform_config(raw(3), {})) as world:
            decision_log = world.core.recorder = DecisionLog(world.core.settings, 2 << 20, 0.0)
            members = [Member(f"d{i}", f"127.0.0.1:{node.port}", i) for i, node in enumerate(nodes)]
            members.append(Member("d3", f"127.0.0.1:{block.port}", BLOCK_SHARD))
            world.core.update(NodeList(1, True, tuple(members)))
            front, port = await world.nbd(
                setup(
                    block,
                    nodes={"d3": f"127.0.0.1:{block.port}"},
                    exports={
                        "claims": {
                            "volume": VOLUME,
                            "shard": BLOCK_SHARD,
                            "plan": "priority",
                            "size": 1 << 20,
                        }
                    },
                )
            )
            observed: dict[str, str] = {}
            originals: dict[str, str] = {}
            mounted: list[tuple[int, str]] = []

            async def operator_actions() -> None:
                """Drain a node, replace it by another with its shard, and take a node out and back."""
                await nodes[0].until(8)
                world.core.update(
                    NodeList(2, False, (Member("d0", members[0].address, 0, state=NodeState.DRAINING),))
                )
                await asyncio.sleep(0.3)
                world.core.update(
                    NodeList(
                        3,
                        False,
                        (
                            Member("d0", "", 0, state=NodeState.GONE),
                            Member("fresh", f"127.0.0.1:{fresh.port}", 0),
                        ),
                    )
                )
                world.core.set_maintenance(Maintenance({"d1": 0.0}))
                await asyncio.sleep(0.2)
                world.core.set_maintenance(Maintenance())

            await asyncio.gather(
                operator_actions(),
                *(browse(world, random.Random(seed * 100 + n), n, observed, originals) for n in range(8)),
                *(mount(port, random.Random(seed * 100 + n), mounted) for n in range(2)),
            )
            await world.core.wait_idle()
            while world.core.open_requests or any(
                not decision_log.find(ident, 0.0) and verdict != "?" for ident, verdict in observed.items()
            ):
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            for ident, verdict in observed.items():
                compare(
                    ident,
                    verdict,
                    decision_log.find(ident, now),
                    [each for each in node_log if each[0] == ident],
                )
            for again, first in originals.items():
                found = decision_log.find(again, now)[0]
                assert found.is_retry and found.original_id == first  # objects are each client's own
            recorded = Counter(
                (int(each.id.rpartition(":")[2], 16), each.verdict)
                for each in decision_log.walk(0.0, now=now)
                if each is not None and each.front == "nbd"
            )
            assert recorded == Counter(mounted)
            assert {"refused", "failed", "served"} <= set(observed.values())
            await front.close()

    run(scenario())


def compare(
    ident: str, verdict: str, found: list[RequestRecord], node_log: list[tuple[str, str, str]]
) -> None:
    if verdict == "?" and not found:
        return  # the request did not arrive completely
    assert len(found) == 1, (ident, verdict)
    record = found[0]
    assert verdict in ("?", record.verdict), (ident, verdict, record)
    # A node may not have received an attempt that was cancelled; otherwise order and nodes agree.
    reached = [
        each
        for each in record.attempts
        if each.ending
        not in (
            Ending.NOT_STARTED,
            Ending.CONNECT_REFUSED,
            Ending.CONNECT_TIMEOUT,
            Ending.BROKEN_UNSENT,
            Ending.EXPIRED,
        )
    ]
    left = record.verdict == "gone"
    if not left or len(reached) == len(node_log):
        assert [each.node for each in reached] == [node for _, node, _ in node_log], (record, node_log)
    for each, (_, _, step) in zip(reached, node_log, strict=False):
        assert each.ending in ENDINGS_BY_STEP[step] | ({Ending.GIVEN_UP} if left else set()), (each, step)
    for each in record.attempts:
        assert each.reason.node == each.node and each.reason.code < Code.NO_CREDIT
    if record.code is Code.MAY_HAVE_RUN:
        assert record.cls == 1 and any(step not in ("503 X-Not-Run: 1",) for _, _, step in node_log)
    elif record.code is Code.LAST_ATTEMPT:
        assert len(record.attempts) == 3
    elif record.code is Code.DRAINED:
        assert record.shard in (0, 1)  # drained by the node list, or taken out by an operator
    elif record.verdict == "served":
        assert node_log[-1][2] == "ok" and record.code is LocalCode.SERVED
    elif record.code is LocalCode.MALFORMED:
        assert not record.attempts and not node_log
    elif record.verdict == "gone":
        assert record.code is LocalCode.CLIENT_GONE


def test_an_answer_in_place_of_the_scheduler_is_recorded_as_last_resort() -> None:
    async def scenario() -> None:
        async with World(await Node().start(), platform=config.parse_platform_config(raw(1), {})) as world:
            decision_log = world.core.recorder = DecisionLog(world.core.settings, log_module.MIN_BYTES, 0.0)
            world.core._driver.scheduler.handle = lambda now, events: []  # type: ignore[method-assign, assignment]
            assert (await world.ask(id="a1", ms=300))[0] == 503  # no attempt was sent
            found = decision_log.find("a1", asyncio.get_running_loop().time())[0]
            assert found.code is LocalCode.LAST_RESORT and found.verdict == "refused" and not found.attempts

    run(scenario())


def test_a_reused_id_has_two_records() -> None:
    async def scenario() -> None:
        async with World(await Node("ok", "500").start()) as world:
            decision_log = world.core.recorder = DecisionLog(world.core.settings, log_module.MIN_BYTES, 0.0)
            assert (await world.ask(id="a1"))[0] == 200
            assert (await world.ask(id="a1", cls="claim-write", method="PUT", body=b"x"))[0] == 500
            found = decision_log.find("a1", asyncio.get_running_loop().time())
            assert [(each.verdict, each.code) for each in found] == [
                ("failed", Code.MAY_HAVE_RUN),
                ("served", LocalCode.SERVED),
            ]

    run(scenario())


def test_a_step_of_the_wall_clock_hides_no_record(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with World(await Node().start()) as world:
            decision_log = world.core.recorder = DecisionLog(world.core.settings, log_module.MIN_BYTES, 0.0)
            loop = asyncio.get_running_loop()
            await world.ask(id="a1")
            monkeypatch.setattr(queries.time, "time", lambda: 1e6)  # back to 1970
            await world.ask(id="a2")
            answer = await queries.answer(
                queries.parse(["--since", "1m"]), decision_log, loop.time, world.core.find
            )
            ids = [line.split()[1] for line in answer if line.startswith("1970")]
            assert ids == ["a1", "a2"]

    run(scenario())


def test_sends_and_cancels_have_reasons() -> None:
    rig = Rig()
    rig.arrive()
    assert isinstance(rig.sends[-1].why, api.Reason)
    assert api.Cancel(1, 0, api.Reason(Code.NO_TIME)) == api.Cancel(1, 0)


def test_a_successor_answers_queries_about_its_predecessors_requests(tmp_path: Path) -> None:
    """Upgrades a real process; the second one is asked for decisions of the first, which has drained."""

    async def scenario() -> None:
        (tmp_path / "operator.toml").write_text("[why]\nenabled = true\n")
        whole = settings(await Node("ok", "500").start())
        place = ("127.0.0.1", int(str(whole["listen"]).rpartition(":")[2]))
        os.environ["CHERRYCOVE_OPERATOR"] = str(tmp_path / "operator.toml")
        try:
            async with Process(whole, tmp_path) as first:
                for number in range(2):
                    reader, writer = await asyncio.open_connection(*place)
                    writer.write(message(id=f"before-{number}", cls="claim-write", method="PUT", body=b"x"))
                    assert (await answer(reader))[0] == (200, 500)[number]
                    writer.close()
                assert (await first.call("why before-1")).startswith("YES 1 requests")
                async with Process(whole, tmp_path) as second:
                    await first.end()
                    await second.line("handover.other_ended")
                    lines = await second.call("why before-1 --json")
                    record = json.loads(lines.splitlines()[1])
                    assert (
                        record["code"] == "may_have_run" and record["attempts"][0]["ending"] == "node error"
                    )
                    assert "served" in await second.call("why before-0")
                    assert (await second.call("why never")).startswith("NO ")
                    assert "lost or malformed" not in await second.call("why --only failed")
                    second.process.send_signal(signal.SIGTERM)
                    assert await second.process.wait() == 0
        finally:
            del os.environ["CHERRYCOVE_OPERATOR"]

    run(scenario())


def test_a_disabled_log_imports_none_of_its_modules() -> None:
    """Start time and memory of a process whose log is disabled must not grow."""

    async def scenario() -> None:
        script = (
            "import sys, cherrycove.__main__; print(sorted(name for name in sys.modules if name in "
            "('ddsketch', 'msgpack', 'click', 'jinja2', 'matplotlib', 'numpy') "
            "or name.startswith('cherrycove.broker.decision_log.')"
            "   and name != 'cherrycove.broker.local_codes'))"
        )
        process = await asyncio.create_subprocess_exec(
            os.sys.executable, "-c", script, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )  # type: ignore[attr-defined]
        output, _ = await process.communicate()
        assert output.strip() == b"[]"

    run(scenario())
