"""What the storage broker reads, writes, sends and decides stays as it was when the golden data were written.

The data were made by tests/make_golden_broker.py. They are never rewritten to make a test pass: a difference
says that a file, a message or a decision has changed, which breaks a deployment that is upgraded in service.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import golden_broker as golden
import make_golden_broker as make
import pytest

MESSAGES = json.loads((golden.DATA / "messages.json").read_text())
WRITTEN = json.loads((golden.DATA / "written.json").read_text())


def test_the_golden_files_are_the_ones_that_are_tested() -> None:
    assert {each.name for each in golden.DATA.iterdir()} == {*make.FILES, *make.RECORDED}


@pytest.mark.parametrize("name", make.FILES)
def test_a_golden_file_is_made_again_to_the_byte(name: str) -> None:
    made = make.FILES[name]()
    assert (made.encode() if isinstance(made, str) else made) == (golden.DATA / name).read_bytes()


@pytest.mark.parametrize("place", range(len(MESSAGES)))
def test_a_message_is_read_and_written_as_before(place: int) -> None:
    kind, plain, data, read = MESSAGES[place]
    codec = golden.MESSAGES[kind]
    assert golden.to_plain(codec.decode(bytes.fromhex(data))) == read
    assert codec.encode(golden.from_plain(plain)).hex() == data


def test_every_type_of_the_golden_vocabulary_has_the_fields_that_it_had() -> None:
    for name, (kind, fields) in golden.TYPES.items():
        assert len(golden.field_names(kind)) == len(fields.split()), name


@pytest.mark.parametrize("place", range(len(WRITTEN)))
def test_a_message_is_written_as_before(place: int) -> None:
    kind, plain, data = WRITTEN[place]
    assert golden.WRITTEN[kind](*golden.from_plain(plain)).hex() == data


def test_the_memory_file_is_taken_up() -> None:
    """Two seconds later on a clock that shows 7 s: all times are older by these two seconds."""
    data = (golden.DATA / "n1.memory").read_bytes()
    told, absence, aside = json.loads(make.memory_read(data))
    assert (absence, aside) == (2.0, 0)
    nodes, volumes, budgets, whole = told["recalled"]
    # d1, heard 42 s ago, comes behind the node that failed; the one that was never heard of is not kept.
    assert nodes == [
        {"node_memory": ["d0", -55.0, 0.25, 3.0, 3.5, True, 2, 5.5, 7, 12.0, 4.0]},
        {"node_memory": ["d1", None, 0.125, -35.0, 4.0, False, 0, 5.0, -1, 0.0, "=-inf"]},
    ]
    assert volumes == [
        {"volume_memory": ["00000000000000aa", -3.5, 4.5, 4.0]},
        {"volume_memory": ["w", 1.25, 4.5, "=-inf"]},
    ]
    assert budgets == {"=map": [[0, 3.0], [1, 2.5]]} and whole is False


def test_the_maintenance_file_is_taken_up(tmp_path: Path) -> None:
    state = golden.read_maintenance((golden.DATA / "maintenance.json").read_bytes(), tmp_path)
    assert golden.to_plain(state) == make.MAINTENANCE


def test_a_second_broker_has_the_map_of_the_first() -> None:
    lines: list[Any] = (golden.DATA / "store.txt").read_text().splitlines()
    kept = dict(line.split("=", 1) for line in lines if "=" in line)
    assert kept["config/mine"] == "kept" and kept["config/7"] == "x" * 7 and "node/d2" not in kept
    assert json.loads(kept["node/d0"]) == ["up", "127.0.0.1:7001", 0, 1700000000123.0]


# Names.

NAMES = json.loads((golden.DATA / "names.json").read_text())


@pytest.mark.parametrize("kind", NAMES)
def test_names_that_are_known_outside_stay(kind: str) -> None:
    """Log events with their fields, settings, variables, commands and the like; each kind by itself."""
    assert list(golden.names()[kind]) == NAMES[kind]


def test_the_golden_configuration_has_each_setting() -> None:
    def paths(value: Any, place: str = "") -> set[str]:
        if isinstance(value, list):
            return {each for entry in value for each in paths(entry, f"{place}[]") if isinstance(entry, dict)}
        if not isinstance(value, dict):
            return set()
        inner = {each for key, entry in value.items() for each in paths(entry, f"{place}.{key}")}
        return inner | {f"{place}.{key}" for key in value}

    had = {each.removeprefix(".") for each in paths(make.PLATFORM["settings"])}
    assert had >= set(NAMES["settings read"])
    assert set(make.PLATFORM) >= set(NAMES["platform keys"])


def _spoilt(table: dict[str, Any], place: str = "") -> Iterator[tuple[str, dict[str, Any]]]:
    """The table with one key misspelt, for each key of it whose name is not the operator's own."""
    for key, value in table.items():
        path = f"{place}.{key}"
        if not re.fullmatch(r"\.nbd\.nodes\..*|\.nbd\.exports\.\w+|\.store\.config\.[\w/]+", path):
            yield path, {f"{name}_" if name == key else name: each for name, each in table.items()}
        if isinstance(value, dict):
            for inner, spoilt in _spoilt(value, path):
                yield inner, table | {key: spoilt}


def test_the_operators_file_has_these_keys_and_no_other_spelling() -> None:
    spoilt = dict(_spoilt(make.operator_file()))
    assert len(spoilt) > 45
    for place, table in spoilt.items():
        try:
            golden.read_operator(table, make.PLATFORM)
        except golden.ConfigError:
            continue
        pytest.fail(f"{place} may be misspelt")


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["--help"], 0),
        (["no-such-command"], 2),
        (["status", "--admin", "nowhere"], 2),
        (["status", "--admin", "127.0.0.1:1"], 3),
        (["check-config", "--platform", "/no/such/file"], 2),
        (["memory", "show", "--file", "/no/such/file"], 1),
        (["memory", "check", "--file", "/no/such/file"], 1),
        (["memory", "forget", "--file", "/no/such/file"], 0),
        (["why", "a b", "--admin", "127.0.0.1:1"], 2),
        (["completion", "bash"], 0),
    ],
)
def test_the_command_line_ends_with_the_code_that_it_had(words: list[str], code: int) -> None:
    assert golden.exit_code(*words) == code


# Decisions.

DECISIONS = [name for name in make.RECORDED if name.startswith("decisions-")]


def _texts() -> list[str]:
    return [make.read_recorded(golden.DATA, name) for name in DECISIONS]


def _split(line: str) -> tuple[str, str]:
    word, _, rest = line.partition(" ")
    return word, rest


@pytest.mark.parametrize("name", DECISIONS)
def test_recorded_events_lead_to_the_recorded_actions(name: str) -> None:
    """Each call's actions, their order, reasons and figures, exactly."""
    lines = [_split(line) for line in make.read_recorded(golden.DATA, name).splitlines()]
    decider: golden.Decider | None = None
    place = 0

    def block(mark: str) -> list[Any]:
        nonlocal place
        found = []
        while place < len(lines) and lines[place][0] == mark:
            found.append(json.loads(lines[place][1]))
            place += 1
        return found

    while place < len(lines):
        number, (word, rest) = place + 1, lines[place]
        place += 1
        if word == "scheduler":
            seed, _, settings = rest.partition(" ")
            decider = golden.Decider(json.loads(settings), int(seed))
            continue
        assert decider is not None
        if word == "at":
            acts = decider.decide(float(rest), block("<"))
            assert acts == block(">"), f"the call in line {number} at {rest} s"
        else:
            assert word == "knows"
            assert decider.known() == json.loads(rest), f"what is known in line {number}"


def test_the_recorded_decisions_have_each_event_each_action_and_each_reason() -> None:
    heads = {
        line[: line.index('":') + 1] for text in _texts() for line in text.splitlines() if line[0] in "<>"
    }
    assert heads >= {f'< {{"{event}"' for event in golden.EVENTS}
    never = {"cancel", "probe"}  # the module takes neither action
    assert heads & {f'> {{"{act}"' for act in golden.ACTIONS} == {
        f'> {{"{act}"' for act in golden.ACTIONS if act not in never
    }
    reasons = {int(found) for text in _texts() for found in re.findall(r'"=code\.(\d+)"', text)}
    assert reasons == golden.CODES
    outcomes = {found for text in _texts() for found in re.findall(r'"=outcome\.(\w+)"', text)}
    assert outcomes == set(golden.ENUMS["outcome"][1].split())


def _no_wording(line: str) -> str:
    """Why a scheduler could not start is said in words that may change."""
    return line.partition("noteText=")[0] if line.startswith("> BAIL_OUT") else line


def test_recorded_lines_on_the_wire_are_answered_with_the_recorded_lines() -> None:
    recorded = make.read_recorded(golden.DATA, "wirehost.txt.xz").splitlines()
    said = golden.wire_run("".join(f"{line[2:]}\n" for line in recorded if line[0] == "<"))
    told = [_no_wording(line) for line in recorded if line[0] == ">"]
    assert [_no_wording(f"> {line}") for line in said.splitlines()] == told
