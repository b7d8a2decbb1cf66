"""Copies object graphs and converts them to a canonical form by which states are compared.

Both walk the fields of any class, so that a field added to a state machine is copied and compared too.
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
Canonicalizer = Callable[[Any, dict[int, int]], Any]

# Counters that only number the writes: states that differ in them alone behave alike.
_IGNORED_FIELDS = frozenset({"ticket", "_last_ticket"})
_WRITES = (WriteEntries, WriteHardState, WriteSnapshot)
_PRIMITIVES = (int, str, bytes, float, bool, type(None))
_value_numbers: dict[Any, int] = {}  # numbers that represent the hashable values in canonical forms
_copiers: dict[type, Copier] = {}
_canonicalizers: dict[type, Canonicalizer] = {}


def field_names(kind: type) -> tuple[str, ...] | None:
    """Return the field names of an attrs class; None for other classes, whose fields are in ``__dict__``."""
    return tuple(field.name for field in attrs.fields(kind)) if attrs.has(kind) else None


def _is_immutable(kind: type) -> bool:
    """Return whether instances never change, so that copies may share them."""
    if issubclass(kind, (*_PRIMITIVES, Enum, Random, Message, tuple, frozenset)):
        return True
    return attrs.has(kind) and kind.__hash__ not in (None, object.__hash__)


def _is_hashable(kind: type) -> bool:
    """Return whether instances can be hashed: immutable, compared by all fields, and without lists.

    The write effects contain lists and are excluded.
    """
    return attrs.has(kind) and _is_immutable(kind) and kind not in _WRITES


def copy_graph(value: Any, memo: dict[int, Any]) -> Any:
    """Return a deep copy of ``value`` that shares only immutable objects with it.

    ``memo`` maps the ids of objects copied so far to their copies, so that an object with several references
    is copied once. Raises ``TypeError`` for objects of other packages, which may have state outside their
    fields.
    """
    kind = type(value)
    copier = _copiers.get(kind)
    if copier is None:
        copier = _copiers[kind] = _copier_for(kind)
    return copier(value, memo)


def _copier_for(kind: type) -> Copier:
    if _is_immutable(kind):
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
        return lambda value, _memo: _copy_bytes_io(value)
    _require_project_class(kind)
    return _object_copier(kind)


def _copy_bytes_io(value: BytesIO) -> BytesIO:
    copied = BytesIO(value.getvalue())
    copied.seek(value.tell())
    return copied


def _require_project_class(kind: type) -> None:
    """Raise ``TypeError`` if the class is not one of this project."""
    if not kind.__module__.startswith("cherrycove."):
        raise TypeError(
            f"{kind.__module__}.{kind.__name__} cannot be copied: it is not a class of cherrycove"
        )


def _object_copier(kind: type) -> Copier:
    names = field_names(kind)

    def copy_object(value: Any, memo: dict[int, Any]) -> Any:
        existing = memo.get(id(value))
        if existing is not None:
            return existing
        copied: Any = object.__new__(kind)
        memo[id(value)] = copied
        for name in names or tuple(value.__dict__):
            object.__setattr__(copied, name, copy_graph(getattr(value, name), memo))
        return copied

    return copy_object


def canonical_form(value: Any, seen: dict[int, int] | None = None) -> Any:
    """Return ``value`` as nested tuples of primitive values, comparable within this process only.

    An object that occurs again is represented by its position in the traversal, which ``seen`` records by
    object id.
    """
    seen = {} if seen is None else seen
    kind = type(value)
    canonicalizer = _canonicalizers.get(kind)
    if canonicalizer is None:
        canonicalizer = _canonicalizers[kind] = _canonicalizer_for(kind)
    return canonicalizer(value, seen)


def _canonicalizer_for(kind: type) -> Canonicalizer:
    if issubclass(kind, Enum):
        return lambda value, _seen: value.name
    if issubclass(kind, _PRIMITIVES):
        return lambda value, _seen: value
    if issubclass(kind, Message):
        return lambda value, _seen: value.SerializeToString(deterministic=True)
    if issubclass(kind, Random):
        return lambda _value, _seen: None
    if kind is BytesIO:
        return lambda value, _seen: (value.getvalue(), value.tell())
    if _is_hashable(kind):
        return lambda value, _seen: ("value", _value_numbers.setdefault(value, len(_value_numbers)))
    return _collection_canonicalizer(kind) or _object_canonicalizer(kind)


def _collection_canonicalizer(kind: type) -> Canonicalizer | None:
    if kind in (list, tuple, deque):
        return lambda value, seen: tuple(canonical_form(item, seen) for item in value)
    if kind in (set, frozenset):
        return lambda value, seen: tuple(sorted(canonical_form(item, seen) for item in value))
    if kind is dict:
        return lambda value, seen: tuple((key, canonical_form(value[key], seen)) for key in sorted(value))
    return None


def _object_canonicalizer(kind: type) -> Canonicalizer:
    names = field_names(kind)

    def walk(value: Any, seen: dict[int, int]) -> Any:
        if id(value) in seen:
            return seen[id(value)]
        seen[id(value)] = len(seen)
        fields = names or tuple(sorted(value.__dict__))
        compared = (name for name in fields if name not in _IGNORED_FIELDS)
        return (kind.__name__, *(canonical_form(getattr(value, name), seen) for name in compared))

    return walk


def digest(value: Any) -> bytes:
    """Return a 16-byte digest, equal for equal values made of nested sequences and primitive values."""
    return hashlib.blake2b(marshal.dumps(value, 2), digest_size=16).digest()
