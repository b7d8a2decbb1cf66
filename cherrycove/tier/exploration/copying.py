"""Copies of object graphs, and a canonical form of them to tell states apart.

Both walk the fields of any class, so that a field that is added to a machine is copied and compared too.
"""

from __future__ import annotations

import hashlib
import marshal
from collections import deque
from collections.abc import Callable
from enum import Enum
from io import BytesIO
from random import Random
from typing import Any

import attrs
from google.protobuf.message import Message

from cherrycove.tier.replication.effects import WriteEntries, WriteHardState, WriteSnapshot

Copier = Callable[[Any, dict[int, Any]], Any]
Canonical = Callable[[Any, dict[int, int]], Any]

# Counters that only name writes in order; they differ without a difference in behaviour.
_IGNORED_FIELDS = frozenset({"ticket", "_last_ticket"})
_WRITES = (WriteEntries, WriteHardState, WriteSnapshot)
_PLAIN = (int, str, bytes, float, bool, type(None))
_numbers: dict[Any, int] = {}  # of values met so far, which stand for them in canonical forms
_copiers: dict[type, Copier] = {}
_canonicals: dict[type, Canonical] = {}


def field_names(kind: type) -> tuple[str, ...] | None:
    """Return the fields of an attrs class; None for other classes, whose fields are in ``__dict__``."""
    return tuple(field.name for field in attrs.fields(kind)) if attrs.has(kind) else None


def _is_value(kind: type) -> bool:
    """Whether instances never change, so that copies may share them."""
    if issubclass(kind, (*_PLAIN, Enum, Random, Message, tuple, frozenset)):
        return True
    return attrs.has(kind) and kind.__hash__ not in (None, object.__hash__)


def _is_hashable(kind: type) -> bool:
    """Whether instances are values that are compared with all their fields, of which none is a list."""
    return attrs.has(kind) and _is_value(kind) and kind not in _WRITES


def copy_graph(value: Any, memo: dict[int, Any]) -> Any:
    """Return a copy that shares only what never changes; ``memo`` keeps shared objects shared.

    Raises ``TypeError`` for objects of other packages, which may hold more than their fields.
    """
    kind = type(value)
    copier = _copiers.get(kind)
    if copier is None:
        copier = _copiers[kind] = _copier(kind)
    return copier(value, memo)


def _copier(kind: type) -> Copier:
    if _is_value(kind):
        return lambda value, _memo: value
    if kind is dict:
        return lambda value, memo: {key: copy_graph(item, memo) for key, item in value.items()}
    if kind is list:
        return lambda value, memo: [copy_graph(item, memo) for item in value]
    if kind is deque:
        return lambda value, memo: deque(copy_graph(item, memo) for item in value)
    if kind is set:
        return lambda value, _memo: set(value)
    if kind is BytesIO:
        return lambda value, _memo: _copied_bytes(value)
    _require_own_class(kind)
    return _object_copier(kind)


def _copied_bytes(value: BytesIO) -> BytesIO:
    copied = BytesIO(value.getvalue())
    copied.seek(value.tell())
    return copied


def _require_own_class(kind: type) -> None:
    """Raise ``TypeError`` for an object of another package."""
    if not kind.__module__.startswith("cherrycove."):
        raise TypeError(f"{kind.__module__}.{kind.__name__} is not known how to be copied")


def _object_copier(kind: type) -> Copier:
    names = field_names(kind)

    def copy_object(value: Any, memo: dict[int, Any]) -> Any:
        known = memo.get(id(value))
        if known is not None:
            return known
        copied: Any = object.__new__(kind)
        memo[id(value)] = copied
        for name in names or tuple(value.__dict__):
            object.__setattr__(copied, name, copy_graph(getattr(value, name), memo))
        return copied

    return copy_object


def canonical(value: Any, seen: dict[int, int] | None = None) -> Any:
    """Return ``value`` as nested tuples of plain values, comparable within this process.

    An object met before is named by its position in the walk.
    """
    seen = {} if seen is None else seen
    kind = type(value)
    function = _canonicals.get(kind)
    if function is None:
        function = _canonicals[kind] = _canonical(kind)
    return function(value, seen)


def _canonical(kind: type) -> Canonical:
    if issubclass(kind, Enum):
        return lambda value, _seen: value.name
    if issubclass(kind, _PLAIN):
        return lambda value, _seen: value
    if issubclass(kind, Message):
        return lambda value, _seen: value.SerializeToString(deterministic=True)
    if issubclass(kind, Random):
        return lambda _value, _seen: None
    if kind is BytesIO:
        return lambda value, _seen: (value.getvalue(), value.tell())
    if _is_hashable(kind):
        return lambda value, _seen: ("value", _numbers.setdefault(value, len(_numbers)))
    return _collection_canonical(kind) or _object_canonical(kind)


def _collection_canonical(kind: type) -> Canonical | None:
    if kind in (list, tuple, deque):
        return lambda value, seen: tuple(canonical(item, seen) for item in value)
    if kind in (set, frozenset):
        return lambda value, seen: tuple(sorted(canonical(item, seen) for item in value))
    if kind is dict:
        return lambda value, seen: tuple((key, canonical(value[key], seen)) for key in sorted(value))
    return None


def _object_canonical(kind: type) -> Canonical:
    names = field_names(kind)

    def walk(value: Any, seen: dict[int, int]) -> Any:
        if id(value) in seen:
            return seen[id(value)]
        seen[id(value)] = len(seen)
        fields = names or tuple(sorted(value.__dict__))
        compared = (name for name in fields if name not in _IGNORED_FIELDS)
        return (kind.__name__, *(canonical(getattr(value, name), seen) for name in compared))

    return walk


def digest(value: Any) -> bytes:
    """Return sixteen bytes that are equal for equal plain values (nested tuples, numbers, strings)."""
    return hashlib.blake2b(marshal.dumps(value, 2), digest_size=16).digest()
