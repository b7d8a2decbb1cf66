"""Validation of operators' documents (JSON or YAML) and conversion to attrs objects, based on cattrs.

Keys are the camelCase form of the attribute names. Unknown keys are ignored, so that a document of a later
release can be read. All errors in a document are reported in one line that names each key.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterable, Mapping
from typing import Any

import attrs
import cattrs
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn, override

ScalarHook = Callable[[Any, Any], Any]  # converts a value, given its type; raises ValueError with the reason


def document_converter(
    classes: Iterable[type],
    *,
    verbatim: Container[str] = (),
    scalars: Mapping[type, ScalarHook] | None = None,
) -> cattrs.Converter:
    """Return a converter for documents that consist of ``classes``, ordered by their dependencies.

    ``verbatim`` contains the attributes whose keys are written with underscores. ``scalars`` replaces the
    lenient conversions of cattrs, which for example accept "7" as a number.
    """
    converter = cattrs.Converter()
    for scalar, hook in (scalars or {}).items():
        converter.register_structure_hook(scalar, hook)
    for cls in classes:
        keys = {
            field.name: override(rename=field.name if field.name in verbatim else _camel_case(field.name))
            for field in attrs.fields(cls)
        }
        converter.register_structure_hook(cls, make_dict_structure_fn(cls, converter, **keys))  # type: ignore[arg-type]
    return converter


def without_nulls(value: Any) -> Any:
    """Return the document without keys whose value is null, which count as missing."""
    if isinstance(value, Mapping):
        return {key: without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [without_nulls(item) for item in value]
    return value


def describe_validation_errors(error: BaseValidationError) -> str:
    """Return all errors in a document as formatted by cattrs."""
    return "; ".join(cattrs.transform_error(error))


def describe_strict_validation_errors(error: BaseValidationError) -> str:
    """Return all errors in a document with the reasons that ``STRICT_SCALARS`` give."""
    return "; ".join(cattrs.transform_error(error, format_exception=_reason))


def _reason(error: BaseException, _: type[Any] | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error.args[0]} is missing"
    return str(error)


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _text(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {value!r}")
    return value


def _integer(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise ValueError(f"must be a whole number, not {value!r}")
    return int(value)


def _finite_number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"must be a finite number, not {value!r}")
    return float(value)


def _boolean(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {value!r}")
    return value


STRICT_SCALARS: Mapping[type, ScalarHook] = {
    str: _text,
    int: _integer,
    float: _finite_number,
    bool: _boolean,
}
