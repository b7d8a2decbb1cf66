"""JSON documents of the command line: attrs objects, rendered with their attributes as camel-case keys."""

from __future__ import annotations

from typing import Any

import attrs

Document = attrs.AttrsInstance | dict[str, Any]  # a dict is printed with its keys unchanged


def to_json_object(document: Document) -> dict[str, Any]:
    """Return ``document`` as an object for ``json.dumps``; nested documents are rendered likewise."""
    if isinstance(document, dict):
        return document
    return {
        _camel_case(field.name): _to_json_value(getattr(document, field.name))
        for field in attrs.fields(type(document))
    }


def _to_json_value(value: Any) -> Any:
    if attrs.has(type(value)):
        return to_json_object(value)
    if isinstance(value, list):
        return [_to_json_value(item) for item in value]
    return value


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(word.capitalize() for word in others)
