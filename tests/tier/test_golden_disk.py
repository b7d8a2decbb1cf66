"""Checks that replicas read a released version's data folders and write byte-identical ones.

For each program there is a folder with the whole log and one with a snapshot. ``states.json`` holds the state
that each contains; the tests below also check its important parts explicitly.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import golden_inputs as inputs
import golden_support as support
import pytest

STATES: dict[str, Any] = json.loads((support.DATA / "states.json").read_text(encoding="utf-8"))
PROGRAMS = ("keeper", "store")
KINDS = ("log", "snapshot")
CASES = [(program, kind) for program in PROGRAMS for kind in KINDS]
# In a snapshot, the bodies of listed items now follow their job; in the older format, each was stored with
# its item. Both this version and the one that wrote the older folder read both formats.
CASES.append(("store", "snapshot-with-finished-jobs"))
CURRENT_FORMAT = {("store", "snapshot"): "snapshot-with-finished-jobs"}

MEMBERS = {
    program: [
        ["first-10.1.0.1", "core-1", f"10.1.0.1:{port}", "north"],
        ["first-10.1.0.2", "core-2", f"10.1.0.2:{port}", "south"],
        ["first-10.1.0.3", "core-3", f"10.1.0.3:{port}", "east"],
    ]
    for program, port in (("keeper", 7700), ("store", 7701))
}
RECOVERED = {  # snapshot: index, epoch, size; then for each later entry: index, epoch, kind, payload size
    ("keeper", "snapshot"): ([14, 3, 677], [[15, 3, 0, 42], [16, 5, 1, 0]]),
    ("store", "snapshot"): ([11, 3, 658], [[12, 3, 0, 11], [13, 5, 1, 0]]),
    ("store", "snapshot-with-finished-jobs"): ([11, 3, 673], [[12, 3, 0, 11], [13, 5, 1, 0]]),
}
LAST_INDEX = {"keeper": 16, "store": 13}


def contents(directory: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in directory.iterdir()}


@pytest.fixture(params=CASES, ids=lambda case: "-".join(case))
def case(request: pytest.FixtureRequest) -> tuple[str, str]:
    program, kind = request.param
    return program, kind


@pytest.fixture
def disk(case: tuple[str, str], tmp_path: Path) -> Path:
    """Returns the parent of a copy of the released folder."""
    program, kind = case
    shutil.copytree(support.DATA / "disk" / kind / program, tmp_path / program)
    return tmp_path


def test_folder_contents_are_byte_identical(case: tuple[str, str], tmp_path: Path) -> None:
    program, kind = case
    support.make_disk(program, tmp_path, snapshot=kind != "log")
    kind = CURRENT_FORMAT.get((program, kind), kind)
    assert contents(tmp_path / program) == contents(support.DATA / "disk" / kind / program)


def test_hard_state_snapshot_and_log_are_recovered(case: tuple[str, str], disk: Path) -> None:
    program, kind = case
    found = support.recovered_contents(disk / program)
    assert found["hard_state"] == [5, "first-10.1.0.2", LAST_INDEX[program]]
    if kind == "log":
        assert found["snapshot"] is None
        assert [entry[0] for entry in found["entries"]] == list(range(1, LAST_INDEX[program] + 1))
        assert found["entries"][:2] == [[1, 0, 2, 179], [2, 3, 1, 0]]
        assert found["entries"][-1] == [LAST_INDEX[program], 5, 1, 0]
    else:
        assert (found["snapshot"], found["entries"]) == RECOVERED[program, kind]


def test_program_starts_from_the_folder_without_changing_it(case: tuple[str, str], disk: Path) -> None:
    program, _ = case
    before = contents(disk / program)
    found = support.state_after_start(program, disk)
    assert found["member_id"] == {"keeper": "first-10.1.0.1", "store": "0123456789ab4def"}[program]
    assert (found["fresh"], found["epoch"], found["members"]) == (False, 5, MEMBERS[program])
    assert found["state"] == STATES[program]
    assert contents(disk / program) == before


def test_keeper_state_contains_the_committed_configuration_and_orders() -> None:
    state = STATES["keeper"]
    assert json.loads(state["configuration"]["document"]) == json.loads(inputs.configuration(9))
    assert [one["node_name"] for one in state["store_group"]["initial"]] == ["core-1", "core-2", "core-3"]
    assert state["retire_orders"]["core-3"]["completed"]
    assert "completed" not in state["retire_orders"]["core-2"]
    assert state["retire_orders"]["core-2"]["store_ids"] == ["disk-2", "disk-2b"]


def test_store_state_contains_the_committed_jobs() -> None:
    state = STATES["store"]
    assert list(state) == ["lot-done", "lot-open", "lot-ended"]
    assert [(job["done"], job["ended"]) for job in state.values()] == [
        (True, False),
        (False, False),
        (True, True),
    ]
    assert state["lot-done"]["results"] == [["b", True, "two\nlines"], ["a", True, "one"]]
    assert state["lot-open"]["results"] == [["e", False, "attempts"]]
    assert state["lot-open"]["items"]["d"]["failed_attempts"] == 1
