"""Writes the files of ``tests/data/tier``: what the serving tier stores and sends, byte for byte.

``python tests/data/make_tier.py DIRECTORY`` makes DIRECTORY and writes the files there. All inputs are fixed:
see ``tests/tier/golden_inputs.py``. The committed files were written by commit 2176a1e. Later versions must
read them and write the same bytes, so they are never written again; a new format gets files beside them.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "tier")]

import golden_support as support  # noqa: E402


def write_json(path: Path, document: Any) -> None:
    text = json.dumps(document, indent=1, sort_keys=False, ensure_ascii=True)
    path.write_text(text + "\n", encoding="utf-8")


def write_schema(target: Path) -> None:
    (target / "schema.txt").write_text(support.schema(), encoding="utf-8")


def write_messages(target: Path) -> None:
    """Each message with every field set, once for each choice that it offers."""
    samples = [
        {"message": name, "fields": fields, "bytes": support.encode(name, fields).hex()}
        for name, message in ((support.former_type(one.full_name), one) for one in support.messages())
        for fields in support.samples(message)
    ]
    write_json(target / "messages.json", samples)


def write_disks(target: Path) -> None:
    """The folders of a keeper and of a store, and the state that each holds."""
    states = {}
    for program in support.STATES:
        for kind in ("log", "snapshot"):
            support.make_disk(program, target / "disk" / kind, snapshot=kind == "snapshot")
        states[program] = support.describe(support.state_after(program, support.payloads(program)))
    write_json(target / "states.json", states)


def main() -> None:
    target = Path(sys.argv[1])
    target.mkdir(parents=True)
    write_schema(target)
    write_messages(target)
    write_disks(target)


if __name__ == "__main__":
    main()
