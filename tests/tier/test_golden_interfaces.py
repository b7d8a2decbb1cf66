"""Compares the tier's interfaces to operators, clients and the platform with those of a released version.

Human-readable messages, dates and library versions are not compared; names, keys, codes and fields must not
change.
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
    """Returns the exchanges that the current code produces."""
    return json.loads(json.dumps(interfaces.http()))


@pytest.mark.parametrize("part", HTTP)
def test_http_exchanges_are_unchanged(part: str, http: Any) -> None:
    assert http[part] == released("http.json")[part]


def test_every_http_exchange_is_compared(http: Any) -> None:
    assert set(http) == set(released("http.json")) == set(HTTP)


def test_call_is_one_post_with_call_id_and_receiver() -> None:
    (sent,), reply = released("http.json")["sent calls"]["reply"]
    assert sent.startswith("POST /rpc/batch/body HTTP/1.1\n")
    assert "\nX-Call: 0123456789ab.1\nX-Receiver: disk-b\n" in sent
    assert reply == {"body": "job"}


@pytest.mark.parametrize("name", ("settings.yaml", "settings-least.yaml"))
def test_settings_values_are_unchanged(name: str) -> None:
    text = (support.DATA / name).read_text(encoding="utf-8")
    assert interfaces.read_settings(text) == released("values.json")[name]


def test_configuration_values_are_unchanged() -> None:
    text = (support.DATA / "configuration.json").read_text(encoding="utf-8")
    assert interfaces.read_configuration(text) == released("values.json")["configuration.json"]


def test_command_exit_codes_and_output_are_unchanged() -> None:
    assert json.loads(json.dumps(interfaces.commands(support.DATA))) == released("commands.json")


def test_commands_and_options_are_unchanged() -> None:
    assert interfaces.command_line() == lines("command-line.txt")


@pytest.mark.parametrize("program", ("proxy", "keeper", "store"))
def test_program_without_settings_exits_with_2(program: str) -> None:
    assert interfaces.run_program(program, {}) == 2


def test_program_that_cannot_start_with_its_settings_exits_with_1(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(inputs.LEAST_SETTINGS, encoding="utf-8")  # without a dataDirectory
    assert interfaces.run_program("keeper", {"CHERRYCOVE_CONFIG": str(path)}) == 1


def test_program_announcements_and_file_names_are_unchanged(tmp_path: Path) -> None:
    assert json.loads(json.dumps(asyncio.run(interfaces.programs(tmp_path)))) == released("programs.json")


def test_log_event_names_levels_and_fields_are_unchanged() -> None:
    assert interfaces.events() == lines("events.txt")
