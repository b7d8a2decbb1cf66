"""Compares the tier's protobuf messages, their fields and their encoding, with those of a released version.

The number, type and label of a field must never change. New fields may be added with new numbers; their
golden data then go into additional files.
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


def _sample_id(sample: dict[str, Any]) -> str:
    return f"{sample['message']}-{list(sample['fields'])[-1:]}"


def test_message_fields_are_unchanged() -> None:
    assert sorted(support.schema().splitlines()) == sorted(SCHEMA.splitlines())


@pytest.mark.parametrize("sample", SAMPLES, ids=_sample_id)
def test_message_encoding_is_unchanged(sample: dict[str, Any]) -> None:
    assert support.encode(sample["message"], sample["fields"]).hex() == sample["bytes"]


@pytest.mark.parametrize("sample", SAMPLES, ids=_sample_id)
def test_message_decoding_is_unchanged(sample: dict[str, Any]) -> None:
    assert support.decode(sample["message"], bytes.fromhex(sample["bytes"])) == sample["fields"]


def test_samples_set_every_field_of_every_message() -> None:
    named = {(sample["message"], field) for sample in SAMPLES for field in sample["fields"]}
    lines = [line.split() for line in SCHEMA.splitlines()]
    assert {
        (line[0], line[2]) for line in lines if len(line) > 3 and line[3] in ("single", "repeated")
    } == named
