"""Writes the files of ``tests/data/tier``: the exact bytes that the serving tier stores and sends.

``python tests/data/make_tier.py DIRECTORY`` creates DIRECTORY and writes the files there. All inputs are
fixed, see ``tests/tier/golden_inputs.py``. The committed files were written by commit 2176a1e. Later versions
must read them and write the same bytes, so they are never regenerated; a new format gets additional files.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "tier")]

import golden_inputs as inputs  # noqa: E402
import golden_interfaces as interfaces  # noqa: E402
import golden_stories as stories  # noqa: E402
import golden_support as support  # noqa: E402


def write_json(path: Path, document: Any) -> None:
    """Write an indented JSON document."""
    text = json.dumps(document, indent=1, sort_keys=False, ensure_ascii=True)
    path.write_text(text + "\n", encoding="utf-8")


def write_schema(target: Path) -> None:
    """Write the fields of all messages."""
    (target / "schema.txt").write_text(support.schema(), encoding="utf-8")


def write_messages(target: Path) -> None:
    """Write samples of each message with every field set, one for each alternative of its ``oneof``."""
    samples = [
        {"message": name, "fields": fields, "bytes": support.encode(name, fields).hex()}
        for name, message in ((support.former_type(one.full_name), one) for one in support.messages())
        for fields in support.samples(message)
    ]
    write_json(target / "messages.json", samples)


def write_disks(target: Path) -> None:
    """Write the data folders of a keeper and of a store, and the state that each contains."""
    states = {}
    for program in support.STATES:
        for kind in ("log", "snapshot"):
            support.make_disk(program, target / "disk" / kind, snapshot=kind == "snapshot")
        states[program] = support.describe(support.state_after(program, support.payloads(program)))
    write_json(target / "states.json", states)


def write_lines(path: Path, entries: list[Any]) -> None:
    """Write one JSON value per line."""
    path.write_text("".join(json.dumps(entry) + "\n" for entry in entries), encoding="utf-8")


def write_calls(target: Path) -> None:
    """Write the calls that processes of the tier send to each other."""
    write_json(target / "call-names.json", stories.call_names())
    for name, transcript in stories.calls().items():
        write_lines(target / f"calls-{name}.jsonl", transcript)
    with tempfile.TemporaryDirectory() as scratch:
        write_lines(target / "replicas.jsonl", stories.replicas(Path(scratch)))
    write_lines(target / "membership.jsonl", stories.membership())


def write_interfaces(target: Path) -> None:
    """Write the data of the interfaces to operators, clients and the platform."""
    (target / "settings.yaml").write_text(inputs.COMPLETE_SETTINGS, encoding="utf-8")
    (target / "settings-least.yaml").write_text(inputs.LEAST_SETTINGS, encoding="utf-8")
    (target / "configuration.json").write_text(inputs.COMPLETE_CONFIGURATION + "\n", encoding="utf-8")
    read = {
        "settings.yaml": interfaces.read_settings(inputs.COMPLETE_SETTINGS),
        "settings-least.yaml": interfaces.read_settings(inputs.LEAST_SETTINGS),
        "configuration.json": interfaces.read_configuration(inputs.COMPLETE_CONFIGURATION),
    }
    write_json(target / "values.json", read)
    write_json(target / "http.json", interfaces.http())
    write_json(target / "commands.json", interfaces.commands(target))
    with tempfile.TemporaryDirectory() as scratch:
        write_json(target / "programs.json", asyncio.run(interfaces.programs(Path(scratch))))
    for name, lines in (("events", interfaces.events()), ("command-line", interfaces.command_line())):
        (target / f"{name}.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


def main() -> None:
    """Create the directory given on the command line, and write all files."""
    target = Path(sys.argv[1]).resolve()
    target.mkdir(parents=True)
    write_schema(target)
    write_messages(target)
    write_disks(target)
    write_calls(target)
    write_interfaces(target)


if __name__ == "__main__":
    main()
