"""The messages of the tier: their fields, and their bytes with every field set, as in a released version.

A field keeps its number, its type and its label for good. New ones may be added: with new numbers, and then
in files beside these.
"""

from __future__ import annotations

import json
from typing import Any

import golden_support as support
import pytest

SAMPLES: list[dict[str, Any]] = [
    sample
    for name in ("messages.json", "messages-added.json")
    for sample in json.loads((support.DATA / name).read_text(encoding="utf-8"))
]
SCHEMA = "".join(
    (support.DATA / name).read_text(encoding="utf-8") for name in ("schema.txt", "schema-added.txt")
)


def _id(sample: dict[str, Any]) -> str:
    return f"{sample['message']}-{list(sample['fields'])[-1:]}"


def test_every_message_has_the_fields_that_it_had() -> None:
    assert sorted(support.schema().splitlines()) == sorted(SCHEMA.splitlines())


@pytest.mark.parametrize("sample", SAMPLES, ids=_id)
def test_a_message_is_written_as_it_was(sample: dict[str, Any]) -> None:
    assert support.encode(sample["message"], sample["fields"]).hex() == sample["bytes"]


@pytest.mark.parametrize("sample", SAMPLES, ids=_id)
def test_a_message_is_read_as_it_was(sample: dict[str, Any]) -> None:
    assert support.decode(sample["message"], bytes.fromhex(sample["bytes"])) == sample["fields"]


def test_the_samples_set_every_field_of_every_message() -> None:
    named = {(sample["message"], field) for sample in SAMPLES for field in sample["fields"]}
    lines = [line.split() for line in SCHEMA.splitlines()]
    assert {
        (line[0], line[2]) for line in lines if len(line) > 3 and line[3] in ("single", "repeated")
    } == named
