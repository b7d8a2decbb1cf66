"""What the record tells against what an independent observer saw at nodes and clients, both fronts mixed."""

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

import cherrycove.broker.decision_log.book as books
from cherrycove.broker import config
from cherrycove.broker.core import Ending, Maintenance, Member, NodeList
from cherrycove.broker.decision_log import ask
from cherrycove.broker.decision_log.book import DecisionLog
from cherrycove.broker.decision_log.pack import RequestRecord
from cherrycove.broker.local_codes import LocalCode
from cherrycove.broker.nbd import Command, Errno
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.interface import Code, NodeState

MEANS = {  # what a node's step may look like from the broker
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
    """A node that writes down what it did to whom."""

    def __init__(self, log: list[tuple[str, str, str]], name: str, *script: str) -> None:
        super().__init__(*script)
        self.log, self.name = log, name

    async def _step(
        self, step: str, reader: asyncio.StreamReader, writer: Writer, headers: dict[str, str]
    ) -> bool:
        self.log.append((headers["x-request-id"], self.name, step))
        return await super()._step(step, reader, writer, headers)


async def browse(
    world: World, dice: random.Random, number: int, seen: dict[str, str], firsts: dict[str, str]
) -> None:
    """One client: requests of all kinds, marked retries of what was refused, some hung up, some malformed."""
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
            seen[ident] = "failed"
        elif kind < 0.17:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(message(**fields))
            await writer.drain()
            await asyncio.sleep(dice.choice([0.0, 0.005, 0.05]))
            writer.transport.abort()
            seen[ident] = "?"  # it may have had its answer by then
        else:
            status, _, _ = await world.ask(**fields)
            seen[ident] = VERDICTS.get(status, "failed")
            if seen[ident] == "refused" and dice.random() < 0.7:
                again = f"{number + 256:08x}{turn:08x}"
                status, _, _ = await world.ask(**fields | {"id": again, "X_Retry": "1"})
                seen[again], firsts[again] = VERDICTS.get(status, "failed"), ident


async def mount(port: int, dice: random.Random, seen: list[tuple[int, str]]) -> None:
    client = await Client.mounted(port)
    for turn in range(10):
        command = dice.choice([Command.READ, Command.WRITE])
        errno, _ = await client.do(
            command,
            512 * turn,
            512 if command == Command.READ else 0,
            b"x" * 512 if command == Command.WRITE else b"",
        )
        seen.append((len(client.requests), {0: "served", Errno.ENOMEM: "refused"}.get(errno, "failed")))
    client.writer.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_ending_has_an_explanation_that_matches_what_was_seen(seed: int) -> None:
    async def story() -> None:
        dice, log = random.Random(seed), []  # type: random.Random, list[tuple[str, str, str]]
        steps = list(MEANS) + ["ok"] * 24
        nodes = [await Watched(log, f"d{i}", *dice.choices(steps, k=60)).start() for i in range(3)]
        fresh = await Watched(log, "fresh", *dice.choices(steps, k=60)).start()
        block = await BlockNode(*dice.choices(["ok"] * 9 + ["drop", "5"], k=60)).start()
        async with World(*nodes, platform=config.parse_platform_config(raw(3), {})) as world:
            book = world.core.recorder = DecisionLog(world.core.settings, 2 << 20, 0.0)
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
            seen: dict[str, str] = {}
            firsts: dict[str, str] = {}
            mounted: list[tuple[int, str]] = []

            async def staff() -> None:
                """A drain, then another node under its shard; a ban, undone."""
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
                staff(),
                *(browse(world, random.Random(seed * 100 + n), n, seen, firsts) for n in range(8)),
                *(mount(port, random.Random(seed * 100 + n), mounted) for n in range(2)),
            )
            await world.core.wait_idle()
            while world.core.open_requests or any(
                not book.find(ident, 0.0) and verdict != "?" for ident, verdict in seen.items()
            ):
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            for ident, verdict in seen.items():
                compare(ident, verdict, book.find(ident, now), [each for each in log if each[0] == ident])
            for again, first in firsts.items():
                found = book.find(again, now)[0]
                assert found.repeat and found.first == first  # objects are each client's own
            told = Counter(
                (int(each.id.rpartition(":")[2], 16), each.verdict)
                for each in book.walk(0.0, now=now)
                if each is not None and each.front == "nbd"
            )
            assert told == Counter(mounted)
            assert {"refused", "failed", "served"} <= set(seen.values())
            await front.close()

    run(story())


def compare(ident: str, verdict: str, found: list[RequestRecord], log: list[tuple[str, str, str]]) -> None:
    if verdict == "?" and not found:
        return  # it never came whole
    assert len(found) == 1, (ident, verdict)
    told = found[0]
    assert verdict in ("?", told.verdict), (ident, verdict, told)
    # A node may have seen nothing of an attempt that was given up on its way; else order and place agree.
    reached = [
        each
        for each in told.tries
        if each.ending
        not in (
            Ending.NOT_STARTED,
            Ending.CONNECT_REFUSED,
            Ending.CONNECT_TIMEOUT,
            Ending.BROKEN_UNSENT,
            Ending.EXPIRED,
        )
    ]
    left = told.verdict == "gone"
    if not left or len(reached) == len(log):
        assert [each.node for each in reached] == [node for _, node, _ in log], (told, log)
    for each, (_, _, step) in zip(reached, log, strict=False):
        assert each.ending in MEANS[step] | ({Ending.GIVEN_UP} if left else set()), (each, step)
    for each in told.tries:
        assert each.why.node == each.node and each.why.code < Code.NO_CREDIT
    if told.code is Code.MAY_HAVE_RUN:
        assert told.cls == 1 and any(step not in ("503 X-Not-Run: 1",) for _, _, step in log)
    elif told.code is Code.LAST_ATTEMPT:
        assert len(told.tries) == 3
    elif told.code is Code.DRAINED:
        assert told.shard in (0, 1)  # by the list, or by staff
    elif told.verdict == "served":
        assert log[-1][2] == "ok" and told.code is LocalCode.SERVED
    elif told.code is LocalCode.MALFORMED:
        assert not told.tries and not log
    elif told.verdict == "gone":
        assert told.code is LocalCode.CLIENT_GONE


def test_a_decision_by_the_last_resort_is_told_as_that() -> None:
    async def story() -> None:
        async with World(await Node().start(), platform=config.parse_platform_config(raw(1), {})) as world:
            book = world.core.recorder = DecisionLog(world.core.settings, books.LEAST, 0.0)
            world.core._driver.scheduler.handle = lambda now, events: []  # type: ignore[method-assign, assignment]
            assert (await world.ask(id="a1", ms=300))[0] == 503  # nothing of it was sent
            found = book.find("a1", asyncio.get_running_loop().time())[0]
            assert found.code is LocalCode.LAST_RESORT and found.verdict == "refused" and not found.tries

    run(story())


def test_an_id_that_is_used_again_is_told_of_twice() -> None:
    async def story() -> None:
        async with World(await Node("ok", "500").start()) as world:
            book = world.core.recorder = DecisionLog(world.core.settings, books.LEAST, 0.0)
            assert (await world.ask(id="a1"))[0] == 200
            assert (await world.ask(id="a1", cls="claim-write", method="PUT", body=b"x"))[0] == 500
            found = book.find("a1", asyncio.get_running_loop().time())
            assert [(each.verdict, each.code) for each in found] == [
                ("failed", Code.MAY_HAVE_RUN),
                ("served", LocalCode.SERVED),
            ]

    run(story())


def test_a_step_of_the_wall_clock_moves_no_record(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        async with World(await Node().start()) as world:
            book = world.core.recorder = DecisionLog(world.core.settings, books.LEAST, 0.0)
            loop = asyncio.get_running_loop()
            await world.ask(id="a1")
            monkeypatch.setattr(ask.time, "time", lambda: 1e6)  # back to 1970
            await world.ask(id="a2")
            said = await ask.answer(ask.parse(["--since", "1m"]), book, loop.time, world.core.find)
            ids = [line.split()[1] for line in said if line.startswith("1970")]
            assert ids == ["a1", "a2"]

    run(story())


def test_a_cancel_says_why_too() -> None:
    rig = Rig()
    rig.arrive()
    assert isinstance(rig.sends[-1].why, api.Reason)
    assert api.Cancel(1, 0, api.Reason(Code.NO_TIME)) == api.Cancel(1, 0)


def test_the_successor_answers_for_the_process_it_replaced(tmp_path: Path) -> None:
    """A real upgrade: what the first process decided is asked of the second, while the first drains and
    after."""

    async def story() -> None:
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
                    said = await second.call("why before-1 --json")
                    told = json.loads(said.splitlines()[1])
                    assert told["code"] == "may_have_run" and told["attempts"][0]["ending"] == "node error"
                    assert "served" in await second.call("why before-0")
                    assert (await second.call("why never")).startswith("NO ")
                    assert "did not come" not in await second.call("why --only failed")
                    second.process.send_signal(signal.SIGTERM)
                    assert await second.process.wait() == 0
        finally:
            del os.environ["CHERRYCOVE_OPERATOR"]

    run(story())


def test_without_a_record_nothing_of_it_is_imported() -> None:
    """Start time and memory of a process whose record is off must not grow."""

    async def story() -> None:
        script = (
            "import sys, cherrycove.__main__; print(sorted(name for name in sys.modules if name in "
            "('ddsketch', 'msgpack', 'click', 'jinja2', 'matplotlib', 'numpy') "
            "or name.startswith('cherrycove.broker.decision_log.')"
            "   and name != 'cherrycove.broker.local_codes'))"
        )
        process = await asyncio.create_subprocess_exec(
            os.sys.executable, "-c", script, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )  # type: ignore[attr-defined]
        said, _ = await process.communicate()
        assert said.strip() == b"[]"

    run(story())
