"""What a life leaves to the next: snapshot, file, store, and what a module does with it."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import Any

import click.testing
import pytest
from helpers import CAPPED, SETTINGS, Rig
from hypothesis import given
from hypothesis import strategies as st
from support import ROOT, fuzz, message, run
from test_many import exchange

from bench.many.rig import BrokerProcess
from bench.many.rig import Rig as Fleet
from cherrycove.broker.cli.commands import main
from cherrycove.broker.warm_restart import snapshot, snapshot_file
from cherrycove.broker.warm_restart.snapshot import Moment, UnusableError
from cherrycove.scheduling.interface import (
    CapacityPool,
    ListKind,
    Node,
    NodeListUpdate,
    NodeRestartState,
    Outcome,
    RestartState,
    VolumeRestartState,
)
from cherrycove.scheduling.slow_start import SlowStart
from cherrycove.scheduling.state import NodeQueue, SlidingWindowSum

HERE = Moment(1e9, "boot", 500.0)
TOLD = RestartState(
    (
        NodeRestartState("n0", 40.0, 0.25, 98.0, 3.0, True, 2, 100.5, 7, 12.0, 99.0),
        NodeRestartState("n1", None, 0.1, 60.0, 4.0),
    ),
    (VolumeRestartState("v", -3.5, 99.5, 99.0), VolumeRestartState("w", 1.0, 99.5)),
    {0: 3.0},
)


def rows(moment: Moment = HERE, whole: bool = False) -> Any:
    return snapshot.pack(TOLD, 100.0, moment, SETTINGS, "b", whole=whole)


def taken(raw: Any, moment: Moment = HERE, now: float = 5.0) -> RestartState:
    return snapshot.unpack(raw, now, moment, SETTINGS, "b")[0]


# Rows, pure.


def test_what_was_written_comes_back_older_by_the_absence_on_another_clock() -> None:
    later = replace(HERE, wall=HERE.wall + 7777.0, up=HERE.up + 2.0)  # the wall clock leapt; nobody minds
    told = taken(json.loads(json.dumps(rows(whole=True))), later, now=5.0)
    n0, n1 = told.nodes
    assert n0 == replace(TOLD.nodes[0], started=-57.0, last_served_at=1.0, backoff_until=3.5, sent_at=2.0)
    assert n1.started is None and n1.last_served_at == -37.0 and n1.sent_at == -inf
    assert (
        told.volumes[0] == VolumeRestartState("v", -3.5, 2.5, 2.0) and told.volumes[1].over_reserve_at == -inf
    )
    assert told.whole and told.budgets == {0: 3.0}


@pytest.mark.parametrize(
    ("changes", "moment", "why"),
    [
        ({"form": snapshot.FORM + 1}, HERE, "form"),
        ({"form": None}, HERE, "form"),
        ({"deployment": "another"}, HERE, "another deployment"),
        ({"broker": "c"}, HERE, "another broker"),
        ({"up": "x"}, HERE, "when"),
        ({"up": 10**400}, HERE, "when"),
        ({"wall": float("nan")}, HERE, "when"),
        ({}, Moment(HERE.wall - 3600.0, "next boot", 1.0), "set back"),
    ],
)
def test_rows_that_are_not_for_this_broker_or_of_no_known_age_count_for_nothing(
    changes: dict[str, Any], moment: Moment, why: str
) -> None:
    with pytest.raises(UnusableError, match=why):
        taken(rows() | changes, moment)


def test_a_clock_set_back_within_one_run_of_the_machine_does_no_harm() -> None:
    set_back = replace(HERE, wall=HERE.wall - 3600.0, up=HERE.up + 1.0)
    assert taken(rows(), set_back).nodes[0].last_served_at == 2.0


def test_past_the_bound_only_figures_without_a_time_count() -> None:
    for moment in (replace(HERE, up=HERE.up + snapshot.MAX_AGE_S), Moment(HERE.wall + 3600.0, "next", 9.0)):
        told = taken(rows(), moment)
        assert (told.nodes, told.volumes, told.budgets) == ((), (), {0: 3.0})


def test_another_deployment_is_told_by_its_names_and_sizes_and_not_by_its_aims() -> None:
    longer = tuple(replace(cls, aim=cls.aim * 2) for cls in SETTINGS.classes)
    assert snapshot.deployment(replace(SETTINGS, classes=longer)) == snapshot.deployment(SETTINGS)
    assert snapshot.deployment(replace(SETTINGS, shards=9)) != snapshot.deployment(SETTINGS)


JSONLIKE = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 1 << 70) | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=13) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=30,
)


@fuzz
@given(
    st.sampled_from(["nodes", "volumes", "budgets", "wall", "whole", "boot"]),
    JSONLIKE,
    st.integers(0, 12),
    JSONLIKE,
)
def test_spoilt_rows_are_left_aside_and_what_is_taken_up_is_sound(
    key: str, value: Any, place: int, figure: Any
) -> None:
    raw = json.loads(json.dumps(rows()))
    raw["nodes"][0][min(place, 11)] = figure
    raw["volumes"][0][min(place, 3)] = figure
    raw[key] = value
    try:
        told = taken(raw)
    except UnusableError:
        return
    for node in told.nodes:
        assert (
            node.threshold >= 1 and node.mean_latency_s >= 0 and node.sent >= 0 and node.last_served_at <= 5.0
        )
    assert all(0 <= longest <= SETTINGS.classes[cls].deadline for cls, longest in told.budgets.items())
    rig = Rig(2)
    rig.give(told)
    rig.end(rig.arrive())


# The file.


def test_a_file_torn_at_any_byte_or_with_any_byte_flipped_is_never_taken_up(tmp_path: Path) -> None:
    whole, where = snapshot_file.frame(rows()), snapshot_file.path(tmp_path, "b/ü")
    assert where.parent == tmp_path
    snapshot_file.write(where, whole)
    assert taken(snapshot_file.read(where)) == taken(rows())
    for end in range(len(whole)):
        with pytest.raises(UnusableError):
            snapshot_file.parse(whole[:end])
        flipped = bytearray(whole)
        flipped[end] ^= 1 << end % 8
        with pytest.raises(UnusableError):
            snapshot_file.parse(bytes(flipped))
    with pytest.raises(UnusableError, match="behind"):
        snapshot_file.parse(whole + b"x")


@pytest.mark.parametrize("call", ["write", "fsync", "replace"])
def test_a_failed_write_leaves_the_former_file_and_nothing_beside_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    where = snapshot_file.path(tmp_path, "b")
    snapshot_file.write(where, snapshot_file.frame(rows()))
    real = os.write

    def full(*arguments: Any) -> int:
        if call == "write" and len(arguments[1]) > 100:
            return real(arguments[0], arguments[1][:100])  # a short write; the next finds the disk full
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, call, full)
    with pytest.raises(OSError, match="full"):
        snapshot_file.write(where, snapshot_file.frame(rows(whole=True)))
    monkeypatch.undo()
    assert taken(snapshot_file.read(where)) == taken(rows())
    assert [each.name for each in tmp_path.iterdir()] == ["b.memory"]


def test_what_is_no_file_or_too_large_is_told(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "pipe")
    with pytest.raises(UnusableError, match="no file"):
        snapshot_file.read(tmp_path / "pipe")
    (tmp_path / "large").write_bytes(b"x" * (snapshot_file.MAX_BYTES + 1))
    with pytest.raises(UnusableError, match="more than"):
        snapshot_file.read(tmp_path / "large")
    with pytest.raises(UnusableError, match="would hold"):
        snapshot_file.frame(["x" * snapshot_file.MAX_BYTES])


def test_a_writer_killed_at_any_moment_leaves_a_whole_file(tmp_path: Path) -> None:
    """Twenty lives of a writer, each killed as it writes files of changing length."""
    program = (
        "import random, sys\nfrom pathlib import Path\n"
        "from cherrycove.broker.warm_restart import snapshot_file as file\n"
        "where, number = Path(sys.argv[1]), 0\n"
        "while True:\n    number += 1\n"
        "    file.write(where, file.frame([number, 'x' * random.randint(0, 200_000), number]))\n"
        "    print(number, flush=True)\n"
    )
    where, dice = tmp_path / "b.memory", random.Random(5)
    for _ in range(20):
        with subprocess.Popen(
            [sys.executable, "-c", program, str(where)], cwd=ROOT, stdout=subprocess.PIPE
        ) as writer:
            assert writer.stdout is not None and writer.stdout.readline()
            for _ in range(dice.randint(0, 9)):
                writer.stdout.readline()
            time.sleep(dice.uniform(0.0, 0.002))
            writer.send_signal(signal.SIGKILL)
            last = int(([b"0", *writer.stdout.read().split()])[-1] or 0)
        first, _, again = snapshot_file.read(where)
        assert first == again >= last
    assert snapshot_file.forget(where) and not list(tmp_path.iterdir()) and not snapshot_file.forget(where)


# What the module does with it.


def recalled(
    rig: Rig, *nodes: NodeRestartState, volumes: tuple[VolumeRestartState, ...] = (), **more: Any
) -> Rig:
    rig.give(RestartState(nodes, volumes, **more))
    return rig


def test_evidence_holds_back_and_lets_nothing_go() -> None:
    rig = recalled(Rig(1), NodeRestartState("n0", None, 1.0, 99.0, 1.0))
    assert rig.scheduler.state.nodes[0].threshold < 1.3  # it comes back by halves
    rig = recalled(Rig(1), NodeRestartState("n0", None, 1e-6, 100.0, 50.0))
    assert rig.scheduler.state.nodes[0].threshold == Rig(1).scheduler.state.nodes[0].threshold


def test_evidence_of_another_start_or_of_another_node_is_none() -> None:
    for told in (
        NodeRestartState("n0", 50.0, 0.2, 99.9, 1.0, failures=5, backoff_until=101.0),
        NodeRestartState("x", None, 0.2, 99.9, 1.0),
    ):
        rig = recalled(Rig(1), told)
        assert (
            rig.scheduler.state.nodes[0].failures == 0 and rig.scheduler.state.nodes[0].last_served_at == -inf
        )


def test_a_node_at_which_nobody_answered_is_tried_by_one_once_it_has_rested() -> None:
    rig = recalled(Rig(1), NodeRestartState("n0", None, 0.05, 99.0, 4.0, failures=3, backoff_until=100.2))
    for number in range(3):
        rig.arrive(volume=f"v{number}", budget=3.0)
    assert not rig.sends
    rig.wait(0.25)
    assert len(rig.sends) == 1
    rig.end(rig.sends[0].request)
    assert len(rig.sends) == 3


def test_new_objects_go_where_answers_were_quick_before() -> None:
    rig = recalled(
        Rig(4), *(NodeRestartState(f"n{n}", None, 0.4 if n else 0.02, 99.9, 4.0) for n in range(4))
    )
    for number in range(3):
        rig.arrive(volume=f"v{number}", shard=None)
    assert {send.node for send in rig.sends} == {"n0"}


def test_what_a_volume_had_overdrawn_is_paid_back_before_it_is_let_go_again() -> None:
    """At a node with no spare room, so that credit alone decides."""

    def let_go(told: tuple[VolumeRestartState, ...]) -> int:
        rig = Rig(1)
        for number in range(8):
            rig.arrive(volume=f"other{number}", budget=3.0)  # holds every place at the node
        recalled(rig, volumes=told)
        rig.arrive(volume="v", units=2.0)
        return len(rig.scheduler.state.volumes["v"].lanes)

    assert let_go(()) == 0
    assert let_go((VolumeRestartState("v", -5.0, 100.0),)) == 1
    assert let_go((VolumeRestartState("v", 1000.0, 100.0),)) == 0
    rig = recalled(Rig(1), volumes=(VolumeRestartState("v", 1000.0, 100.0),))
    rig.arrive(volume="v")
    assert rig.scheduler.state.volumes["v"].credits <= rig.scheduler.state.volumes["v"].refill_units


def test_no_memory_makes_a_limit_wider() -> None:
    for told in ((), (VolumeRestartState("v", 1000.0, 100.0, 50.0),)):
        rig = recalled(Rig(1), volumes=told, whole=True)
        for _ in range(40):
            rig.arrive(plan=1, volume="v", units=1.0)
            rig.wait(0.05)
            for request in list(rig.in_flight):
                rig.end(request)
        assert len(rig.sends) <= CAPPED.limit / 2 * 2.0 + 1


def room_used(part: float, **begin: Any) -> float:
    """What one of two hosts sends an old node that is still cold within the window of the rule, from its
    start, its evidence being what ``begin`` says."""
    rig = Rig(0, cold_units=part * 2, fall_multiple=1.0)
    if begin:
        rig.give(RestartState(**begin))
    rig.give(NodeListUpdate(1, ListKind.RESTORED, (Node("n0", 0, started=rig.now - 1.0),)))
    for number in range(20):
        rig.arrive(volume=f"v{number}", units=1.0, shard=0, budget=9.0)
    rig.wait(rig.settings.fall_window * 0.9)
    return sum(1.0 for _ in rig.sends)


def test_the_room_on_a_cold_node_counts_as_used_by_an_earlier_life() -> None:
    old = Node("n0", 0, started=99.0)
    assert room_used(10.0) == 0  # who knows
    assert room_used(10.0, nodes=(), whole=True) > 0
    used = (NodeRestartState("n0", old.started, 0.0, -inf, 4.0, sent=10.0, sent_at=100.0),)
    assert room_used(10.0, nodes=used, whole=True) == 0
    assert room_used(10.0, nodes=(replace(used[0], sent=0.0),), whole=False) == 0


def test_a_lot_is_drawn_once_in_a_window_whatever_lives_there_are() -> None:
    """A thousand lives within one window of the rule, each knowing of the last."""
    settings = replace(SETTINGS, schedulers=40, cold_units=20.0)
    granted, slot = 0, -1
    for life in range(1000):
        node = NodeQueue(0, 1.0, SlidingWindowSum(2.0), SlidingWindowSum(2.0))
        node.begin(Node("n", 0, started=0.0), 0.0, 1.0)
        node.draw_window = slot
        room = SlowStart(settings, random.Random(life))
        room.begin(0.5)
        room.restore(complete=True)
        granted += room.admit(node, 2.0, 0.5).granted
        slot = node.draw_window
    assert granted <= 1


def test_peers_may_lend_what_an_earlier_life_may_have_used() -> None:
    rig = Rig(1, schedulers=40, cold_units=20.0)
    rig.give(CapacityPool(0.8))
    rig.listed(Node("c0", 0, started=rig.now - 1.0), kind=ListKind.FULL)
    rig.arrive(shard=0, budget=9.0)
    assert any(type(said).__name__ == "BorrowCapacity" for said in rig.said) and not rig.sends


def test_a_second_life_knows_what_the_first_took_down() -> None:
    first = Rig(2)
    for number in range(12):
        first.arrive(volume=f"v{number}", shard=number % 2)
        first.wait(0.1)
        for request in list(first.in_flight):
            first.end(request, latency=0.1 if number % 2 else 0.02)
    first.end(first.arrive(shard=1, volume="bad"), Outcome.CONNECT_FAILED)
    told = first.scheduler.export_restart_state()
    assert told.budgets == {0: 3.0} and {each.id: each.failures for each in told.nodes} == {"n0": 0, "n1": 1}
    second = Rig(2, now=first.now)
    second.give(replace(told, whole=True))
    nodes = second.scheduler.state.nodes
    assert nodes[1].mean_latency_s > nodes[0].mean_latency_s > 0 and nodes[1].failures == 1
    second.wait(1.5)  # evidence is taken up once: a node that starts anew under its name has none
    second.listed(Node("n1", 1, started=second.now), kind=ListKind.FULL)
    assert nodes[1].failures == 0 and nodes[1].last_served_at == -inf


# Processes.


def kept(broker: BrokerProcess) -> Path:
    return broker.folder / "kept" / f"{broker.name}.memory"


async def written(broker: BrokerProcess) -> None:
    """Until the memory has been written once more."""
    before = kept(broker).stat().st_mtime_ns if kept(broker).exists() else 0
    while not kept(broker).exists() or kept(broker).stat().st_mtime_ns == before:
        await asyncio.sleep(0.01)


async def said(broker: BrokerProcess, event: str, since: int = 0) -> str:
    while not (found := [line for line in broker.lines[since:] if event in line]):
        await asyncio.sleep(0.01)
    return found[0]


def test_a_broker_that_was_killed_knows_its_nodes_and_one_that_ended_says_that_it_told_all() -> None:
    async def story() -> None:
        async with Fleet(1, 2, memory=True) as rig:
            broker = rig.brokers[0]
            await said(broker, "memory.none")
            for shard in range(2):
                assert b" 200 " in await exchange(broker.front.port, message(shard=shard, id=f"r{shard}"))
            for _ in range(2):  # the first may have been taken down before
                await written(broker)
            await broker.kill()
            since = len(broker.lines)
            await broker.start()
            line = await said(broker, "memory.taken_up", since)
            assert " nodes=2 " in line and " whole=False " in line and " source=file " in line
            assert b" 200 " in await exchange(broker.front.port, message(id="again"))
            broker.signal(signal.SIGTERM)
            assert await broker.ended() == 0
            for whole in (True, False):  # the first of these lives is killed before it has written
                since = len(broker.lines)
                await broker.start()
                assert f" whole={whole} " in await said(broker, "memory.taken_up", since)
                assert snapshot_file.read(kept(broker))["whole"] is False
                await broker.kill()

    run(story())


@pytest.mark.parametrize(
    "how", ["lost", "torn", "of another", "of yesterday", "a pipe", "no folder", "of a later form"]
)
def test_whatever_lies_there_a_broker_serves(how: str) -> None:
    async def story() -> None:
        async with Fleet(1, 1, memory=True) as rig:
            broker = rig.brokers[0]
            assert b" 200 " in await exchange(broker.front.port, message(id="first"))
            await written(broker)
            await broker.kill()
            where, since, event = kept(broker), len(broker.lines), "memory.unusable"
            raw = snapshot_file.read(where)
            if how == "torn":
                where.write_bytes(where.read_bytes()[:-1])
            elif how == "of another":
                snapshot_file.write(where, snapshot_file.frame(raw | {"broker": "n7"}))
            elif how == "of a later form":
                snapshot_file.write(where, snapshot_file.frame(raw | {"form": 99}))
            elif how == "of yesterday":
                event = "memory.taken_up"
                day = {"up": raw["up"] - 86400.0, "wall": raw["wall"] - 86400.0}
                snapshot_file.write(where, snapshot_file.frame(raw | day))
            else:
                where.unlink()
                event = "memory.none"
            if how == "a pipe":
                os.mkfifo(where)
                event = "memory.unusable"
            if how == "no folder":
                where.parent.rmdir()
            await broker.start()
            line = await said(broker, event, since)
            assert how != "of yesterday" or " nodes=0 volumes=0 " in line
            assert b" 200 " in await exchange(broker.front.port, message(id="second"))
            if how == "no folder":
                assert "No such file" in await said(broker, "memory.not_written", since)
                where.parent.mkdir()
                await said(broker, "memory.written_again", since)
            broker.signal(signal.SIGTERM)
            assert await broker.ended() == 0

    run(story())


def test_staff_look_at_a_memory_check_it_and_throw_it_away(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    where = tmp_path / "m.memory"

    def command(*words: str) -> click.testing.Result:
        return click.testing.CliRunner().invoke(main, ["memory", words[0], "--file", str(where), *words[1:]])

    assert command("show").exit_code == 1 and command("check").exit_code == 1
    snapshot_file.write(where, snapshot_file.frame(rows(replace(HERE, boot="gone", wall=time.time()))))
    shown = json.loads(command("show", "--json").stdout)
    assert shown["nodes"][0]["id"] == "n0" and shown["nodes"][0]["failures"] == 2 and shown["absence_s"] < 60
    assert "failed 2 times" in command("show").stdout and "volume v: -3.5" in command("show").stdout
    monkeypatch.setenv("RELAY_CONFIG", str(ROOT / "examples/config.json"))
    checked = command("check", "--json")
    assert checked.exit_code == 1 and "another deployment" in json.loads(checked.stdout)["error"]
    where.write_bytes(where.read_bytes()[:40])
    assert "cut short" in command("check").stderr
    assert "forgotten" in command("forget").stdout and not where.exists()
    assert json.loads(command("forget", "--json").stdout)["found"] is False
