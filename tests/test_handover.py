"""Two processes of one broker: what they pass on, share, and survive."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import threading
from pathlib import Path

import pytest
from helpers import Rig
from hypothesis import given
from support import ROOT, Node, answer, corrupted, fuzz, message, raw, run

import cherrycove.__main__ as main
from cherrycove.broker import config, request_limit
from cherrycove.broker.core import Maintenance, Member
from cherrycove.broker.lifecycle import announcement, handover, messages, state_machine
from cherrycove.broker.lifecycle.link import Link
from cherrycove.broker.process import Broker
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.state import Volume

MEMBER = Member("d0", "127.0.0.1:1", 3, 1, 1.0, 5.0, api.NodeState.DRAINING)
STATE = {"version": 7, "members": [messages.pack_member(MEMBER)], "sent": {"d0": 3.0}}


class Process:
    """A broker's process, and what its log says."""

    program: tuple[str, ...] = ("-m", "cherrycove")

    def __init__(self, whole: dict[str, object], folder: Path, operator: str = "") -> None:
        self.whole, self.folder, self.env = whole, folder, {}
        if operator:
            (folder / "operator.toml").write_text(operator)
            self.env = {"CHERRYCOVE_OPERATOR": str(folder / "operator.toml")}

    async def __aenter__(self) -> Process:
        self.path = self.folder / f"{id(self)}.json"
        self.path.write_text(json.dumps(self.whole))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"RELAY_CONFIG": str(self.path), "TMPDIR": str(self.folder)} | self.env,
        )
        self.port = int((await self.line("broker.serves ")).rpartition("=")[2])
        self.admin = int((await self.line("calls.serves port=")).rpartition("=")[2])
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()  # closes the pipe while the loop that serves it still runs

    async def line(self, text: str) -> str:
        assert self.process.stderr is not None
        self.said: list[str] = getattr(self, "said", [])
        while text not in (line := (await self.process.stderr.readline()).decode()):
            assert line, f"it ended before it said {text!r}: {self.said}"
            self.said.append(line)
        return line.strip()

    async def call(self, line: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(line.encode() + b"\n")
        said = (await reader.read()).decode()
        writer.close()
        return said

    async def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        await self.ended()

    async def ended(self) -> None:
        """In order, having been told to."""
        assert self.process.stderr is not None
        assert b"Traceback" not in await self.process.stderr.read() and await self.process.wait() == 0


class PatientProcess(Process):
    """Keeps a connection between two requests for as long as a test may take: how long another process needs
    to start says nothing about the one in service."""

    program = (
        "-c",
        "import runpy; from cherrycove.broker.http1 import server; server.IDLE_TIMEOUT_S = 60.0; "
        "runpy.run_module('cherrycove', run_name='__main__')",
    )


def free_port() -> int:
    """Below those that the system gives to connections: one of these is taken again at once."""
    for port in random.SystemRandom().sample(range(15_000, 32_000), 100):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise OSError("no port is free")


def settings(node: Node) -> dict[str, object]:
    port = free_port()
    whole = raw() | {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0"}
    whole["known"]["endpoints"][0] |= {"name": "d0", "address": f"127.0.0.1:{node.port}"}
    return whole


def test_a_second_process_takes_the_place_of_the_first_and_nobody_is_turned_away(tmp_path: Path) -> None:
    """It ended with the address in use; a socket of its own would drop the first one's queue."""

    async def story() -> None:
        node = await Node("ok", "held ok").start()
        whole = settings(node)
        place = ("127.0.0.1", int(str(whole["listen"]).rpartition(":")[2]))
        async with PatientProcess(whole, tmp_path) as first:
            kept, writer = await asyncio.open_connection(*place)
            writer.write(message(id="kept"))
            assert "connection" not in (await answer(kept))[1]
            held, holder = await asyncio.open_connection(*place)
            holder.write(message(id="held"))
            await node.until(2)
            async with Process(whole, tmp_path) as second:
                assert (await second.call("status")).startswith("YES")
                await first.line("handover.successor_serves")
                writer.write(message(id="last"))  # a kept connection ends with its request
                status, headers, body = await answer(kept)
                assert (status, headers["connection"], body) == (200, "close", b"data of last")
                assert not await kept.read()
                first.process.send_signal(signal.SIGTERM)
                await first.line("broker.draining")
                node.release.set()
                status, _, body = await answer(held)  # taken before, answered before the end
                assert (status, body) == (200, b"data of held")
                await first.ended()
                await second.line("handover.other_ended")
                reader, asker = await asyncio.open_connection(*place)
                asker.write(message(id="new"))
                assert (await answer(reader))[2] == b"data of new"
                for each in (writer, holder, asker):
                    each.close()
                await second.end()

    run(story())


@pytest.mark.parametrize("point", ["before it asked", "while it is handed the sockets", "once it serves"])
def test_should_the_successor_die_the_process_in_service_goes_on(point: str, tmp_path: Path) -> None:
    """Killed between its operators' line and its word to the former process, that one had stopped nothing."""

    async def story() -> None:
        whole = settings(await Node().start())
        async with Process(whole, tmp_path) as first:
            if point == "once it serves":
                async with Process(whole, tmp_path) as second:
                    second.process.kill()
                await first.line("handover.serving_again")
            else:
                place = handover.HandoverEndpoint("n0", _listen(whole), str(tmp_path))
                peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                with announcement.short(place.path) as folder:
                    peer.connect(f"{folder}/{handover.SOCKET}")
                if point == "while it is handed the sockets":
                    peer.sendall(b'{"hello": 1}\n')
                    await first.line("handover.successor_started")
                peer.close()
            reader, writer = await asyncio.open_connection(*_listen(whole))
            writer.write(message(id="after"))
            status, headers, body = await answer(reader)
            assert body == b"data of after" and "connection" not in headers  # and it goes on keeping them
            writer.close()
            await first.end()

    run(story())


def test_a_successor_takes_up_what_the_process_in_service_knows(tmp_path: Path) -> None:
    """Where a memory is on; of the file, which is older, it reads nothing."""

    async def story() -> None:
        whole = settings(await Node().start())
        memory = f'[memory]\nenabled = true\nfolder = "{tmp_path}"\n'
        async with Process(whole, tmp_path, memory) as first:
            reader, writer = await asyncio.open_connection(*_listen(whole))
            writer.write(message(id="learn"))
            assert (await answer(reader))[0] == 200
            writer.close()
            async with Process(whole, tmp_path, memory) as second:
                taken = [line for line in second.said if "memory.taken_up" in line]
                assert len(taken) == 1 and "source=process" in taken[0] and " nodes=1 " in taken[0]
                await first.end()
                await second.line("handover.other_ended")
                await second.end()

    run(story())


def test_a_third_process_waits_until_the_first_has_ended(tmp_path: Path) -> None:
    """Three shared what is one broker's: a half each."""

    async def story() -> None:
        node = await Node("hang").start()
        whole = settings(node)
        async with Process(whole, tmp_path) as first:
            reader, holder = await asyncio.open_connection(*_listen(whole))
            holder.write(message(id="held", ms=2500))
            await node.until(1)
            async with Process(whole, tmp_path) as second:
                third = Process(whole, tmp_path)
                starting = asyncio.create_task(third.__aenter__())
                await second.line("handover.successor_waits")
                assert not starting.done()
                first.process.send_signal(signal.SIGTERM)
                await second.line("handover.successor_started")
                assert first.process.returncode is not None or await first.process.wait() == 0
                await starting
                assert (await third.call("status")).startswith("YES")
                await second.end()
                await third.end()
                holder.close()

    run(story())


def test_a_process_whose_successor_died_is_found_by_the_next(tmp_path: Path) -> None:
    """That one had taken its name, and the next served beside it from a socket of its own."""

    async def story() -> None:
        whole = settings(await Node().start())
        async with Process(whole, tmp_path) as first:
            for _ in range(2):
                async with Process(whole, tmp_path) as dies:
                    assert (await dies.call("status")).startswith("YES")
                await first.line("handover.serving_again")
            async with Process(whole, tmp_path) as last:
                await first.line("handover.successor_serves")
                await first.end()
                await last.line("handover.other_ended")
                await last.end()

    run(story())


def test_a_process_that_stands_still_as_its_successor_starts_makes_room_once_it_goes_on(
    tmp_path: Path,
) -> None:
    """It was counted as absent, and both served with a whole budget for as long as they lived."""

    async def story() -> None:
        whole = settings(await Node().start())
        async with Process(whole, tmp_path) as first:
            first.process.send_signal(signal.SIGSTOP)
            async with Process(whole, tmp_path) as last:
                assert (await last.call("status")).startswith("YES")
                first.process.send_signal(signal.SIGCONT)
                await first.line("handover.successor_serves")
                await first.end()
                await last.line("handover.other_ended")
                await last.end()

    run(story())


def test_of_two_that_start_at_once_one_takes_the_place_of_the_other(tmp_path: Path) -> None:
    async def story() -> None:
        whole = settings(await Node().start())
        both = [Process(whole, tmp_path) for _ in range(2)]
        async with contextlib.AsyncExitStack() as stack:  # what is still running ends within this loop
            await asyncio.gather(*(stack.enter_async_context(each) for each in both))
            words = [await each.call("status") for each in both]
            assert all(word.startswith("YES") for word in words)
            lines = [asyncio.create_task(each.line("handover.successor_serves")) for each in both]
            done, others = await asyncio.wait(lines, return_when=asyncio.FIRST_COMPLETED)
            assert len(done) == 1  # just one of them was the other's elder
            for each in others:
                each.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            elder = both[lines.index(done.pop())]
            elder.process.send_signal(signal.SIGTERM)
            assert await elder.process.wait() == 0

    run(story())


@pytest.mark.parametrize("how", ["a process that hangs as it starts", "two that live on"])
def test_no_process_waits_for_ever_to_start(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handover, "BUSY_TIMEOUT_S", 0.1)

    async def story() -> None:
        place, other = (handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path)) for _ in range(2))
        await other.enter()
        if how == "a process that hangs as it starts":
            await place.enter()  # it goes on without
            assert await place.meet({}) is None
        else:
            await other.await_successor(lambda hello: None, lambda link: link.follow(None))  # type: ignore
            await place.enter()
            with pytest.raises(handover.TwoLiveError):
                await place.meet({})
            await other.close()
        for each in (place, other):
            each.leave()

    run(story())


def _listen(whole: dict[str, object]) -> tuple[str, int]:
    return "127.0.0.1", int(str(whole["listen"]).rpartition(":")[2])


def test_two_processes_together_leave_clients_the_places_that_one_leaves_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each held a quarter of the descriptors with open requests, and together more than clients have."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(
        request_limit, "FULL_LATENESS_S", 1e9
    )  # a busy machine makes this process late, and its bound lower

    async def story() -> None:
        node = await Node(*["hang"] * 3).start()
        whole = settings(node) | {"limits": {"sockets": 160, "memory_mb": 80}}
        platform = config.parse_platform_config(whole, {})

        def most(broker: Broker) -> float:
            broker.core.tick()
            return broker.core._driver.scheduler.shedding.max_open_requests

        first, second = (Broker(platform, config.OperatorConfig()) for _ in range(2))
        await first.start()
        assert most(first) == 40
        # One that is only about to start takes the core from this one; what waits unread holds places too.
        (tmp_path / "config.json").write_text(json.dumps(whole))
        monkeypatch.setenv("RELAY_CONFIG", str(tmp_path / "config.json"))
        monkeypatch.setattr(
            first.handover.endpoint,
            "on_coming",
            lambda: (first.handover.announcements_changed(), changed.set()),
        )
        changed, coming = asyncio.Event(), announcement.announce()
        assert coming is not None
        await changed.wait()
        assert most(first) == 20
        changed.clear()
        coming.close()
        await changed.wait()
        assert most(first) == 40
        held: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        for number in range(3):
            held.append(await asyncio.open_connection(*_listen(whole)))
            held[-1][1].write(message(id=f"h{number}", ms=20_000))
        while first.core.open_requests < 3:
            await asyncio.sleep(0.01)
        told = asyncio.Event()
        bound = second.handover.apply_request_limit
        monkeypatch.setattr(
            second.handover,
            "apply_request_limit",
            lambda: (bound(), second.life.predecessor_open_requests is not None and told.set()),
        )
        await second.start()
        assert most(first) == 20  # it has handed over before the other says yes
        await told.wait()
        assert most(second) == 37  # what the former one holds is not the other's
        first.stop.set()
        ending = asyncio.create_task(first.end())
        node.server.close()
        for link in list(first.handover.links):
            link.close()
        while second.handover.links:
            await asyncio.sleep(0.01)
        assert most(second) == 40 and most(first) == 20
        await second.end()
        ending.cancel()

    run(story())


@pytest.mark.parametrize("left", ["nothing", "a file", "a socket of the dead", "one that never answers"])
def test_whatever_lies_in_the_directory_a_process_starts_and_can_be_found(
    left: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handover, "ANSWER_TIMEOUT_S", 0.2)

    async def story() -> None:
        deep = tmp_path / ("x" * 100)  # longer than the address of a Unix socket may be
        deep.mkdir()
        place = handover.HandoverEndpoint("n0", ("h", 1), str(deep))
        stale = socket.socket(socket.AF_UNIX)
        if left == "a file":
            (place.path / handover.SOCKET).write_bytes(b"garbage")
        elif left != "nothing":
            with announcement.short(place.path) as folder:
                stale.bind(f"{folder}/{handover.SOCKET}")
        if left == "one that never answers":
            stale.listen()
        else:
            stale.close()
        assert await place.meet({}) is None
        with socket.create_server(("127.0.0.1", 0)) as front:
            talks: list[Link] = []

            async def keep(link: Link) -> None:
                talks.append(link)
                await link.follow(took)

            async def took(message: handover.Message) -> None:
                assert message["tell"] == 1

            await place.await_successor(lambda hello: (STATE, [front]), keep)
            met = await handover.HandoverEndpoint("n0", ("h", 1), str(deep)).meet({"hello": 1})
            assert met is not None and met[1] == STATE
            assert met[2][0].getsockname() == front.getsockname()
            following = asyncio.create_task(met[0].follow(took))
            assert await met[0].request({"tell": 1})  # told, taken in, acknowledged
            met[2][0].close()
            met[0].close()
            talks[0].close()
            await place.close()
            await following
        stale.close()

    run(story())


def test_a_successor_lost_in_the_middle_of_the_answer_leaves_the_place_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Claimed for good, it was handed to nobody any more."""

    def broken(*_: object) -> None:
        raise OSError("gone")

    async def story() -> None:
        life, place = (
            state_machine.LifecycleState(1024, 80.0),
            handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path)),
        )
        monkeypatch.setattr(socket, "send_fds", broken)
        await place.await_successor(
            lambda hello: (life.successor_found(), (STATE, []))[1],  # type: ignore
            lambda link: link.follow(None),
            life.successor_gone,
        )  # type: ignore
        assert await handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path)).meet({}) is None
        assert life.can_be_succeeded() and life.budget().fraction == 1.0
        await place.close()

    run(story())


def test_a_place_that_cannot_be_made_keeps_no_process_from_starting(tmp_path: Path) -> None:
    async def story() -> None:
        (tmp_path / "file").write_bytes(b"")
        place = handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path / "file"))
        assert await place.meet({}) is None
        await place.await_successor(lambda hello: (STATE, []), lambda link: link.follow(None))  # type: ignore
        await place.close()

    run(story())


@fuzz
@given(corrupted(json.dumps(STATE).encode()))
def test_spoiled_messages_are_refused_in_words_or_usable(garbage: bytes) -> None:
    try:
        state = messages.parse_message(garbage)
        members = [messages.parse_member(each) for each in state.get("members", [])]
    except (messages.HandoverError, TypeError) as error:
        assert str(error)
    else:
        assert all(member.name for member in members)


def test_two_processes_send_a_cold_node_what_one_may() -> None:
    """Each with the whole of the broker's part, together they push it over."""

    def units(shared: api.BudgetShare) -> float:
        rig = Rig(cold_units=80.0)
        rig.wait(2.0)  # an earlier life's sends are past
        rig.listed(api.Node("n0", 0, started=rig.now - 0.5))
        rig.give(shared)
        for number in range(200):
            rig.arrive(volume=f"v{number}")
            for request in rig.sent():
                if rig.attempts[request] == 0 and request not in rig.answers:
                    rig.answers[request] = rig.sends[-1]
                    rig.end(request)
        return rig.scheduler.recent_sent_units()["n0"]

    whole, half = units(api.BudgetShare(1.0)), units(api.BudgetShare(0.5))
    assert whole / 2 - 2 <= half <= whole / 2
    assert units(api.BudgetShare(0.5, {"n0": 12.0})) <= half - 10  # what the other sent of late counts too


def test_limits_are_shared_and_whole_again() -> None:
    volume = Volume("v", api.Plan("p", 1.0, limit=20.0, burst=8.0), 1.0, 0.0, hosts=2)
    volume.share(0.0, 1.0)
    assert (volume.limit, volume.burst) == (10.0, 4.0)
    volume.share(0.0, 0.5)
    assert (volume.limit, volume.burst, volume.level(10.0)) == (5.0, 2.0, 2.0)
    volume.share(10.0, 1.0)
    assert volume.level(10.1) == pytest.approx(3.0)


def test_a_ban_binds_both_processes_and_outlasts_the_first(tmp_path: Path) -> None:
    async def story() -> None:
        whole = settings(await Node().start())
        async with Process(whole, tmp_path) as first:
            assert (await first.call("maint-on nobody")).startswith("NO ")
            assert (await first.call("maint-off d0")).startswith("YES ")  # it was not out: nothing to undo
            for _ in range(2):
                assert (await first.call("maint-on d0")).startswith("YES ")
            assert "broker.skipped_disk_nodes:1|g" in await first.call("stats")
            async with Process(whole, tmp_path) as second:
                assert "broker.skipped_disk_nodes:1|g" in await second.call("stats")
                assert (await second.call("maint-off d0")).startswith("YES ")  # one undoes both
                for each in (first, second):
                    assert "broker.skipped_disk_nodes:0|g" in await each.call("stats")
                assert (await first.call("maint-on d0")).startswith("YES ")
                await first.end()
                assert "broker.skipped_disk_nodes:1|g" in await second.call("stats")
                second.process.kill()
                await second.process.wait()
            async with Process(whole, tmp_path) as third:  # from the file alone
                assert "broker.skipped_disk_nodes:1|g" in await third.call("stats")
                await third.end()

    run(story())


def test_a_ban_that_cannot_be_kept_is_owed_a_no(tmp_path: Path) -> None:
    """A yes that the next process knows nothing of would send to a node that is being worked on."""
    place = handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path))
    state = Maintenance({"d0": 5.0}, {"d1": (0.0, 9.0)})
    assert run(place.save(state)) and place.load() == state
    for garbage in (b"", b"{", b"[]", b'{"out":[]}', b'{"out":{"a":"x"},"back":{}}', b"\xff"):
        (place.path / handover.MAINTENANCE).write_bytes(garbage)
        assert place.load() == Maintenance()
    (place.path / handover.MAINTENANCE).unlink()
    place.path.rmdir()
    assert not run(place.save(state))


def test_a_disk_that_takes_its_time_holds_nothing_else_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests waited 0.25 s for it, and clients ran out of connections."""
    gate, replace = threading.Event(), os.replace

    def slow(*places: Path) -> None:
        if not gate.wait(5):
            raise OSError("nothing else ran meanwhile")
        replace(*places)

    async def story() -> None:
        place = handover.HandoverEndpoint("n0", ("h", 1), str(tmp_path))
        monkeypatch.setattr(os, "replace", slow)
        saving = asyncio.create_task(place.save(Maintenance({"d0": 5.0})))
        asyncio.get_running_loop().call_later(0.05, gate.set)
        assert await saving and place.load() == Maintenance({"d0": 5.0})

    run(story())


def test_imports_at_low_priority_end_while_others_keep_the_core_busy(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lowest priority gets a sixtieth of such a core, and the successor was not ready within 6 s."""
    made: list[threading.Event] = []
    event = threading.Event

    def make() -> threading.Event:
        made.append(event())
        return made[-1]

    seen: list[str] = []

    def slow(name: str) -> None:
        seen.append(name)
        assert made[0].wait(20)

    monkeypatch.setattr(main.threading, "Event", make)
    monkeypatch.setattr(main.importlib, "import_module", slow)
    main._load("first", "second", limit_s=0.05)
    assert seen == ["first"]  # the one at hand is waited for, the others come at the usual priority


def test_a_process_imports_at_low_priority_and_then_works_at_its_own() -> None:
    """Else the process that it replaces has half a core for the time of its start."""

    async def story() -> None:
        script = (
            "import os, sys, importlib; import cherrycove.__main__ as m; at = []; "
            "m.importlib.import_module = lambda name: at.append(os.getpriority(os.PRIO_PROCESS, 0)); "
            "m._load('x'); print(at[0] - os.getpriority(os.PRIO_PROCESS, 0))"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", script, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        said, _ = await process.communicate()
        assert int(said) > 0

    run(story())
