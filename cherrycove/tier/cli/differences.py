"""Finds the differences between two JSON documents by key."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs

ABSENT = None  # a key with the value null counts as absent


@attrs.frozen
class Difference:
    """Describes a key, as a dotted path, whose values differ; ABSENT stands for no value."""

    key: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is ABSENT:
            return f"+ {self.key}: {json.dumps(self.after)}"
        if self.after is ABSENT:
            return f"- {self.key}: {json.dumps(self.before)}"
        return f"~ {self.key}: {json.dumps(self.before)} -> {json.dumps(self.after)}"


def find_differences(before: Any, after: Any) -> list[Difference]:
    """Return every key in which two JSON values differ.

    Lists of objects with distinct names are compared by name, not by position.
    """
    return list(_compare("", before, after))


def _compare(key: str, before: Any, after: Any) -> Iterator[Difference]:
    left, right = _by_name(before), _by_name(after)
    if not (isinstance(left, dict) and isinstance(right, dict)):
        if before != after:
            yield Difference(key, before, after)
        return
    for name in [*left, *(name for name in right if name not in left)]:
        path = f"{key}.{name}" if key else name
        left_value, right_value = left.get(name), right.get(name)
        if left_value is not ABSENT and right_value is not ABSENT:
            yield from _compare(path, left_value, right_value)
        elif left_value != right_value:
            yield Difference(path, left_value, right_value)


def _by_name(value: Any) -> Any:
    """Return a list of objects with distinct names as one object by name, anything else unchanged."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return value
    names = [item.get("name") for item in value]
    if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
        return value
    return dict(zip(names, value, strict=True))
