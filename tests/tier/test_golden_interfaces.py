"""What operators, clients and the platform see of the tier, compared with what a released version shows.

Sentences for people, dates and versions of libraries are left out; names, keys, codes and fields must stay.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import golden_inputs as inputs
import golden_interfaces as interfaces
import golden_support as support
import pytest

HTTP = (
    "served calls",
    "sent calls",
    "operator",
    "clients",
    "readiness",
    "platform",
    "own answers",
    "header fields",
    "error kinds",
)


def released(name: str) -> Any:
    return json.loads((support.DATA / name).read_text(encoding="utf-8"))


def lines(name: str) -> list[str]:
    return (support.DATA / name).read_text(encoding="utf-8").splitlines()


@pytest.fixture(scope="module")
def http() -> Any:
    """The exchanges as the code has them now."""
    return json.loads(json.dumps(interfaces.http()))


@pytest.mark.parametrize("part", HTTP)
def test_exchanges_over_http_are_what_they_were(part: str, http: Any) -> None:
    assert http[part] == released("http.json")[part]


def test_all_exchanges_are_compared(http: Any) -> None:
    assert set(http) == set(released("http.json")) == set(HTTP)


def test_a_call_is_one_post_with_its_number_and_its_receiver() -> None:
    (sent,), reply = released("http.json")["sent calls"]["reply"]
    assert sent.startswith("POST /rpc/batch/body HTTP/1.1\n")
    assert "\nX-Call: 0123456789ab.1\nX-Receiver: disk-b\n" in sent
    assert reply == {"body": "job"}


@pytest.mark.parametrize("name", ("settings.yaml", "settings-least.yaml"))
def test_settings_are_read_as_they_were(name: str) -> None:
    text = (support.DATA / name).read_text(encoding="utf-8")
    assert interfaces.read_settings(text) == released("values.json")[name]


def test_a_configuration_is_read_as_it_was() -> None:
    text = (support.DATA / "configuration.json").read_text(encoding="utf-8")
    assert interfaces.read_configuration(text) == released("values.json")["configuration.json"]


def test_commands_end_with_the_codes_and_documents_that_they_had() -> None:
    assert json.loads(json.dumps(interfaces.commands(support.DATA))) == released("commands.json")


def test_the_command_line_has_the_commands_and_options_that_it_had() -> None:
    assert interfaces.command_line() == lines("command-line.txt")


@pytest.mark.parametrize("program", ("proxy", "keeper", "store"))
def test_a_program_without_settings_ends_with_2(program: str) -> None:
    assert interfaces.run_program(program, {}) == 2


def test_a_program_finds_its_settings_and_ends_with_1_where_it_cannot_start(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(inputs.LEAST_SETTINGS, encoding="utf-8")  # without a dataDirectory
    assert interfaces.run_program("keeper", {"CHERRYCOVE_CONFIG": str(path)}) == 1


def test_programs_announce_themselves_and_name_their_files_as_they_did(tmp_path: Path) -> None:
    assert json.loads(json.dumps(asyncio.run(interfaces.programs(tmp_path)))) == released("programs.json")


def test_events_have_the_names_levels_and_details_that_they_had() -> None:
    assert interfaces.events() == lines("events.txt")
