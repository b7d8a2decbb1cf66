"""Differences between two JSON documents, by key."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs

ABSENT = None


@attrs.frozen
class Difference:
    """A key whose value differs; None stands for no value."""

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
    """All keys in which the documents differ. Lists of named objects are compared by name, not by place."""
    return list(_compare("", before, after))


def _compare(key: str, before: Any, after: Any) -> Iterator[Difference]:
    left, right = _by_name(before), _by_name(after)
    if not (isinstance(left, dict) and isinstance(right, dict)):
        if before != after:
            yield Difference(key, before, after)
        return
    for name in [*left, *(name for name in right if name not in left)]:
        path = f"{key}.{name}" if key else name
        if left.get(name) is ABSENT or right.get(name) is ABSENT:
            if left.get(name) != right.get(name):
                yield Difference(path, left.get(name), right.get(name))
        else:
            yield from _compare(path, left[name], right[name])


def _by_name(value: Any) -> Any:
    """A list of objects with different names as one object; anything else as it is."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return value
    names = [item.get("name") for item in value]
    if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
        return value
    return dict(zip(names, value, strict=True))
