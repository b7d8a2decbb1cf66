"""The core without a wire, its configuration, and the whole process on loopback."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import PLATFORM, RAW, ROOT, Discovery, Node, answer, fuzz, message, raw, run, spoiled

from cherrycove.broker import config
from cherrycove.broker.core import (
    Attempt,
    Core,
    Ending,
    Member,
    NodeList,
    Reply,
    Request,
    Verdict,
)
from cherrycove.broker.core.endings import OUTCOMES
from cherrycove.broker.core.request_table import MARGIN_FRACTION, MARGIN_S
from cherrycove.broker.lifecycle import shutdown_timetable
from cherrycove.broker.process import Broker
from cherrycove.broker.request_limit import RequestLimit
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.interface import NodeState, Outcome

READ, WRITE = 0, 1


class Scripted:
    """A backend that ends its attempts as told, and keeps them."""

    def __init__(self, core: Core, *endings: Ending) -> None:
        self.core, self.endings, self.made = core, list(endings), []  # type: ignore[var-annotated]
        self.out = 0

    async def attempt(self, attempt: Attempt) -> Reply:
        self.made.append(attempt)
        self.out += 1
        assert self.out == 1, "two attempts at once"
        try:
            await asyncio.sleep(0)
            ending = self.endings.pop(0) if self.endings else Ending.SERVED
            if ending is Ending.TIMED_OUT:
                attempt.wrote()
                await asyncio.Event().wait()
            return Reply(ending, b"whole")
        finally:
            self.out -= 1


def core_with(platform: config.PlatformConfig = PLATFORM) -> Core:
    core = Core(platform.settings, platform.seed)
    core.update(NodeList(1, True, (Member("d0", "here", 0),)))
    return core


def request(cls: int, wait: float = 20.0) -> Request:
    return Request(cls, 0, "v", 1.0, 0, 1, asyncio.get_running_loop().time() + wait)


def test_every_ending_has_its_outcome_and_only_the_sure_ones_never_ran() -> None:
    assert set(OUTCOMES) == set(Ending)
    assert {e for e in Ending if OUTCOMES[e].never_ran} == {
        Ending.TURNED_AWAY,
        Ending.CONNECT_REFUSED,
        Ending.CONNECT_TIMEOUT,
        Ending.BROKEN_UNSENT,
        Ending.EXPIRED,
        Ending.NOT_STARTED,
        Ending.NOT_ITS,
    }
    assert [e for e in Ending if OUTCOMES[e] is Outcome.SERVED] == [Ending.SERVED]


@fuzz
@given(
    st.lists(st.sampled_from([e for e in Ending if e is not Ending.TIMED_OUT]), max_size=4),
    st.sampled_from([READ, WRITE]),
)
def test_any_run_of_endings_ends_in_one_answer(endings: list[Ending], cls: int) -> None:
    async def story() -> None:
        core = core_with(config.parse_platform_config(raw(1), {}))
        backend = Scripted(core, *endings)
        found = await core.serve(request(cls, 0.7), backend)
        ended = [*endings, Ending.SERVED][: len(backend.made)]
        assert len(ended) <= PLATFORM.settings.max_attempts and not core.open_requests
        assert (found.verdict is Verdict.SERVED) == (ended[-1:] == [Ending.SERVED])
        ran = [e for e in ended if not OUTCOMES[e].never_ran]
        if cls == WRITE:
            assert len(ran) <= 1 and (found.verdict is not Verdict.REFUSED or not ran)
        assert core.counts["taken"] == 1 == core.counts[found.verdict.value]
        assert sum(core.endings.values()) == len(backend.made)

    run(story())


def test_nodes_that_come_and_go_all_day_leave_nothing_behind() -> None:
    async def story() -> None:
        core = core_with()
        for number in range(50):
            name = f"d{number}"
            gone = (Member(name, "", 0, state=NodeState.GONE),) if number else ()
            core.update(NodeList(number + 2, False, (*gone, Member(f"d{number + 1}", "here", 0))))
            backend = Scripted(core, Ending.SERVED)
            assert (await core.serve(request(READ), backend)).verdict is Verdict.SERVED
        parts = (core, core._driver, core._nodes, core._counters, core._requests)
        every = [kept for part in parts for kept in vars(part).values()]
        sizes = [len(kept) for kept in every if isinstance(kept, dict | list | set)]
        # counts, endings, answers; events; tickets, those that are over; members
        assert len(sizes) == 7
        assert max(sizes) <= 12, sizes

    run(story())


def test_a_stall_is_cut_before_the_client_gives_up() -> None:
    async def story() -> None:
        core = core_with()
        backend, asked = Scripted(core, Ending.TIMED_OUT), request(WRITE, 0.4)
        found = await core.serve(asked, backend)
        assert found.verdict is Verdict.FAILED and core.endings == {Ending.TIMED_OUT: 1}
        made = backend.made[0]  # what the client still waits when it is sent is at most what it waited before
        assert asked.deadline - made.expires >= MARGIN_FRACTION * (asked.deadline - made.began) - 1e-9

    run(story())


@pytest.mark.parametrize("wait", [0.055, 0.4, 0.75])
def test_the_margin_leaves_a_client_in_a_hurry_most_of_its_time(wait: float) -> None:
    """50 ms kept back from one who waits 55 left the module 5 to work with: it refused them all."""

    async def story() -> None:
        core = core_with()
        backend, asked = Scripted(core, Ending.SERVED), request(READ, wait)
        assert (await core.serve(asked, backend)).verdict is Verdict.SERVED
        kept = asked.deadline - backend.made[0].expires
        assert abs(kept - min(MARGIN_S, MARGIN_FRACTION * wait)) < 0.001

    run(story())


def test_an_attempt_out_of_time_before_it_was_written_tells_nothing_of_its_node() -> None:
    async def story() -> None:
        class Waiting(Scripted):
            async def attempt(self, attempt: Attempt) -> Reply:
                self.made.append(attempt)
                return await asyncio.Event().wait() and Reply(Ending.SERVED)  # type: ignore[return-value]

        core = core_with()
        backend = Waiting(core)
        found = await core.serve(request(WRITE, 0.3), backend)
        assert found.verdict is Verdict.REFUSED and core.endings == {Ending.EXPIRED: 1}  # it never ran
        assert not core._driver.scheduler.state.nodes[0].failures

    run(story())


def test_a_retry_with_hardly_any_time_left_is_still_the_modules_to_refuse() -> None:
    async def story() -> None:
        core, backend = core_with(), Scripted(core_with())
        found = await core.serve(request(WRITE, 0.001), backend)
        assert found.verdict is Verdict.REFUSED and found.retry_after > 0 and not backend.made

    run(story())


def test_a_client_that_claims_to_wait_for_ever_harms_no_other() -> None:
    async def story() -> None:
        core = core_with()
        backend = Scripted(core)
        for wait in (10_000.0, PLATFORM.settings.classes[READ].deadline):
            assert (await core.serve(request(READ, wait), backend)).verdict is Verdict.SERVED

    run(story())


def test_a_silent_module_leaves_nobody_unanswered() -> None:
    async def story() -> None:
        core = core_with()
        core._driver.scheduler.handle = lambda now, events: 1 / 0  # type: ignore
        found = await core.serve(request(READ, 0.2), Scripted(core))
        assert found.verdict is Verdict.REFUSED and not core.open_requests  # nothing of it was sent

    run(story())


def test_a_client_that_leaves_between_decision_and_start_costs_no_attempt() -> None:
    async def story() -> None:
        core = core_with()
        backend = Scripted(core)
        task = asyncio.create_task(core.serve(request(READ), backend))
        while not any(ticket.current for ticket in core._requests.tickets.values()):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not backend.made and core.endings == {Ending.NOT_STARTED: 1}
        assert (await core.serve(request(READ), backend)).verdict is Verdict.SERVED

    run(story())


def test_a_start_time_does_not_move_between_lists_and_a_drain_holds_at_once() -> None:
    async def story() -> None:
        core = core_with()
        assert core._nodes.loop_time(5e9) == core._nodes.loop_time(5e9) and core._nodes.loop_time(0) is None
        core.update(NodeList(2, False, (Member("d0", "here", 0, state=NodeState.DRAINING),)))
        backend = Scripted(core)
        assert (await core.serve(request(READ, 0.3), backend)).verdict is Verdict.REFUSED
        assert not backend.made and not core.ready

    run(story())


def test_no_news_lifts_a_ban_and_no_return_lifts_a_drain() -> None:
    async def story() -> None:
        core = core_with()
        core.maintain(core.maintenance.taking_out("d0", 0.0).taking_out("d0", 7.0))
        for version, news in enumerate((NodeState.UP, NodeState.GONE, NodeState.UP), 2):
            core.update(NodeList(version, False, (Member("d0", "here", 0, state=news),)))
            assert (await core.serve(request(READ, 0.3), Scripted(core))).verdict is Verdict.REFUSED
        core.update(NodeList(5, True, (Member("d0", "here", 0, state=NodeState.DRAINING),)))
        core.maintain(core.maintenance.putting_back("d0", 1e12))
        assert not core.ready and core.figures().skipped == 1
        core.update(NodeList(6, False, (Member("d0", "here", 0),)))
        assert (await core.serve(request(READ), Scripted(core))).verdict is Verdict.SERVED

    run(story())


def test_a_node_that_is_put_back_is_cold_from_then_until_its_start_is_told() -> None:
    """Discovery tells of the restart seconds late; sent all its work, a cold node falls over."""

    async def story() -> None:
        core = core_with()
        node = core._driver.scheduler.state.node(0)
        core.maintain(core.maintenance.taking_out("d0", 0.0))
        now = time.time() * 1000
        core.maintain(core.maintenance.putting_back("d0", now))
        core.update(NodeList(2, True, (Member("d0", "here", 0),)))  # old news
        assert (await core.serve(request(READ), Scripted(core))).verdict is Verdict.SERVED  # it gets some
        assert core._driver.scheduler.state.is_cold(node) and node.started == core._nodes.loop_time(now)
        core.update(NodeList(3, False, (Member("d0", "here", 0, since_ms=now - 3000),)))
        core.tick()
        assert node.started == core._nodes.loop_time(now - 3000) and not core.maintenance.back
        core.maintain(core.maintenance.taking_out("d0", now - 3000))
        core.update(NodeList(4, False, (Member("d0", "here", 0, since_ms=now - 1000),)))
        core.maintain(core.maintenance.putting_back("d0", now))  # its restart was told while it was out
        core.tick()
        assert node.started == core._nodes.loop_time(now - 1000)

    run(story())


@fuzz
@given(spoiled(json.dumps(RAW).encode()))
def test_a_spoiled_configuration_is_refused_in_words_or_usable(garbage: bytes) -> None:
    try:
        whole = json.loads(garbage)
    except ValueError:
        return
    if isinstance(whole, dict):
        try:
            assert config.parse_platform_config(whole, {}).settings.classes
        except config.ConfigError as error:
            assert str(error)


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"seed": "xyz"}, "seed"),
        ({"listen": "nowhere"}, "listen"),
        ({"known": []}, "known"),
        ({"settings": {}}, "settings"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"discovery": 5}, "discovery"),
        ({"limits": {"memory_mb": "1"}}, "memory_mb"),
        ({"admin": "nowhere"}, "admin"),
    ],
)
def test_what_is_wrong_is_named(change: dict[str, object], word: str) -> None:
    with pytest.raises(config.ConfigError, match=word):
        config.parse_platform_config(copy.deepcopy(RAW) | change, {})


def test_the_operators_file_is_off_as_shipped_and_strict_when_on(tmp_path: Path) -> None:
    shipped = ROOT / "deploy/operator.toml"
    assert config.load_operator_config(shipped, PLATFORM.settings) == config.OperatorConfig()
    text = shipped.read_text().replace("enabled = false", "enabled = true")
    path = tmp_path / "operator.toml"
    path.write_text(text)
    found = config.load_operator_config(path, PLATFORM.settings)
    assert found.nbd and found.consul and found.shared_map and found.nbd.exports["claims"].size == 1 << 30
    for old, new, word in [
        ('write = "claim-write"', 'write = "claim-read"', "never runs twice"),
        ("pipeline = 16", "pipelines = 16", "pipeline"),
        ("size = 1073741824", "size = 5", "size"),
        ('plan = "basic"', 'plan = "b"', "plan"),
        ("ttl_s = 10", "ttl_s = 0", "ttl_s"),
        ("peers = []", 'peers = ["x"]', "peers"),
        ("[nbd]", "[nbd", "expected|Expected"),
    ]:
        path.write_text(text.replace(old, new))
        with pytest.raises(config.ConfigError, match=word):
            config.load_operator_config(path, PLATFORM.settings)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[why]\nenabld = true", "why.enabld"),
        ("[store]\npeerz = []", "store.peerz"),
        ("[consul]\nservce = 'x'", "consul.servce"),
        ("[nbd]\nlisten_on = 'x'", "nbd.listen_on"),
        ("[nbd.exports.a]\nsise = 5", "nbd.exports.a.sise"),
        ("[nbd.classes]\nreed = 'x'", "nbd.classes.reed"),
        ("[store.config.a]\nversoin = 1", "store.config.a.versoin"),
        ("[why]\nenabled = 'yes'", "why.enabled"),
        ("[store]\npeers = 'x'", "store.peers"),
        ("[whyy]\nenabled = true", "whyy"),
    ],
)
def test_a_part_that_is_off_is_held_to_the_names_and_types_of_its_keys(
    text: str, key: str, tmp_path: Path
) -> None:
    """A misspelt switch passed unseen, and what the operator meant to turn on stayed off."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=rf"{path}: {key} "):
        config.load_operator_config(path, PLATFORM.settings)


def test_a_part_that_is_off_may_leave_things_out_and_name_what_this_deployment_lacks(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(
        "[consul]\nenabled = false\n[store]\n[store.config.a]\nversion = 1\nvalue = 'x'\n"
        "[nbd.classes]\nread = 'another'\n[nbd.exports.a]\nplan = 'another'\nhosts = 999\n"
    )
    assert config.load_operator_config(path, PLATFORM.settings) == config.OperatorConfig()


def test_the_process_serves_drains_on_sigterm_and_exits_0(tmp_path: Path) -> None:
    async def story() -> None:
        node = await Node("ok", "hang").start()
        whole = raw() | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}
        whole["known"]["endpoints"][0]["address"] = f"127.0.0.1:{node.port}"
        (tmp_path / "config.json").write_text(json.dumps(whole))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"TMPDIR": str(tmp_path), "RELAY_CONFIG": str(tmp_path / "config.json")},
        )
        assert process.stderr is not None
        try:
            while b" broker.serves " not in (line := await process.stderr.readline()):
                assert line, "it ended early"
            reader, writer = await asyncio.open_connection("127.0.0.1", int(line.rpartition(b"=")[2]))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" + message(id="first"))
            assert (await answer(reader))[0] == 200 and (await answer(reader))[2] == b"data of first"
            writer.write(message(id="held", ms=2500))
            await node.until(2)
            process.send_signal(signal.SIGTERM)
            assert (await answer(reader))[0] == 503  # it was taken, so it is answered
            log = await process.stderr.read()
            assert await process.wait() == 0 and b"broker.ended" in log and b"Traceback" not in log
        finally:
            if process.returncode is None:
                process.kill()

    run(story())


def test_sighup_moves_the_watch_and_whatever_the_file_holds_ends_nothing(tmp_path: Path) -> None:
    """Unhandled, SIGHUP ends the process: every request it held is lost."""

    async def story() -> None:
        node = await Node("hang").start()
        whole = raw()
        whole["known"]["endpoints"][0]["address"] = f"127.0.0.1:{node.port}"
        places = [Discovery(json.dumps(whole["known"]).encode()) for _ in range(2)]
        whole |= {"listen": "127.0.0.1:0", "discovery": await places[0].start()}
        path = tmp_path / "config.json"
        path.write_text(json.dumps(whole))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrycove",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"TMPDIR": str(tmp_path), "RELAY_CONFIG": str(path)},
        )
        assert process.stderr is not None
        try:
            while b" broker.serves " not in (line := await process.stderr.readline()):
                assert line, "it ended early"
            assert "since" in await places[0].asked.get()
            reader, writer = await asyncio.open_connection("127.0.0.1", int(line.rpartition(b"=")[2]))
            writer.write(message(id="held", ms=2500))
            await node.until(1)
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while b"config.not_used" not in (line := await process.stderr.readline()):
                assert line, "a bad file ended it"
            path.write_text(json.dumps(whole | {"discovery": await places[1].start()}))
            process.send_signal(signal.SIGHUP)
            await places[0].gone.wait()
            assert await places[1].asked.get() == "/api/targets"  # the other's versions mean nothing here
            assert "since=1&" in await places[1].asked.get()
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            assert (await answer(reader))[0] == 503  # still held through all of it, and answered
            log = await process.stderr.read()
            assert await process.wait() == 0 and b"Traceback" not in log
            assert places[0].asked.empty() and places[1].asked.empty()
        finally:
            if process.returncode is None:
                process.kill()

    run(story())


def test_clients_that_never_stop_asking_do_not_keep_a_broker_from_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Held up until SIGKILL, it would lose what it has open."""
    monkeypatch.setattr(shutdown_timetable, "MAX_DEADLINE_S", 0.9)

    async def story() -> None:
        platform = config.parse_platform_config(
            raw() | {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}, {}
        )
        broker = Broker(platform, config.OperatorConfig())
        await broker.start()

        async def ask() -> None:
            while True:
                broker.front.last_request = asyncio.get_running_loop().time()
                await asyncio.sleep(0.01)

        asking = asyncio.create_task(ask())
        await broker.end()
        asking.cancel()

    run(story())


def test_a_process_that_runs_late_keeps_fewer_requests_open() -> None:
    """A loop 30 ms late had as many connections on their way as clients have beyond the usual bound."""
    places = RequestLimit(96)
    assert [places.now(1.0 + n, 0.004) for n in range(3)] == [96] * 3
    assert places.now(10.0, 0.020) == 48 and places.now(10.0, 1e9) == 48
    back = [RequestLimit(96).now(1.0, late / 1000) for late in range(40)]
    assert back == sorted(back, reverse=True) and back[0] == 96 and back[12] in range(66, 78)
    assert places.now(1e6, 0.0) == 96
    places = RequestLimit(96)
    places.now(1.0, 0.030)
    fading = [places.now(1.0 + n / 10, 0.0) for n in range(1, 20)]
    assert fading == sorted(fading) and fading[0] < 96 == fading[-1]

    async def story() -> None:
        core = core_with()
        core.limit_open_requests(96)
        core.tick()
        assert core._driver.scheduler.shedding.max_open_requests == 96
        core._driver.push(api.TimerExpiry(0))
        time.sleep(0.06)  # the loop is held up, as by another process on its core
        await asyncio.sleep(0.005)
        assert core._driver.scheduler.shedding.max_open_requests < 96

    run(story())
