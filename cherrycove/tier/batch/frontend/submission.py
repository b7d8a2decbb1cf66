"""Parses and validates the batch jobs that clients submit."""

from __future__ import annotations

import base64
import binascii
import json
import re
from typing import Any

from result import Err, Ok, Result

from cherrycove.tier.configuration import Route
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.batch_pb2 import Item, SubmitRequest

MAX_ITEMS = 200
MAX_TOKENS = 2**32 - 1
MAX_CONTAINERS = 10_000  # arrays and objects of a document; a job of MAX_ITEMS has 2 + 2 * MAX_ITEMS
HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # a token of RFC 9110, section 5.6.2
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
WHITESPACE = re.compile(r"\s")
_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)  # a string of JSON (RFC 8259, section 7)


def parse_submission(job_id: str, route: Route, body: bytes) -> Result[SubmitRequest, Failure]:
    """Parse the JSON document in ``body`` into a job that takes its limits from ``route``.

    Returns INVALID with the key and the reason if the document is not a valid job. The caller sets the
    configuration version.
    """
    if not job_id:
        return _invalid("Request-Id is missing")
    if _has_too_many_containers(body):
        return _invalid(f"more than {MAX_CONTAINERS} arrays and objects")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _invalid(f"not JSON: {error}")
    entries = document.get("requests") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        return _invalid("requests: must be a list")
    if len(entries) > MAX_ITEMS:
        return _invalid(f"requests: more than {MAX_ITEMS} items")
    submission = _job_without_items(job_id, route)
    seen_ids: set[str] = set()
    for number, entry in enumerate(entries):
        error_text = _fill_item(submission.items.add(), entry, seen_ids)
        if error_text:
            return _invalid(f"requests[{number}]: {error_text}")
    return Ok(submission)


def _has_too_many_containers(body: bytes) -> bool:
    """Whether a document has more arrays and objects than any job; decoded, each takes some 100 bytes."""
    if body.count(b"{") + body.count(b"[") <= MAX_CONTAINERS:
        return False
    outside_texts = _TEXT.sub(b"", body)
    return outside_texts.count(b"{") + outside_texts.count(b"[") > MAX_CONTAINERS


def _job_without_items(job_id: str, route: Route) -> SubmitRequest:
    return SubmitRequest(
        job_id=job_id,
        route=route.name,
        host=route.hostname,
        completion_target_ms=int(route.completion_target_ms),
        retention_ms=int(route.retention_s * 1000),
        max_attempts=route.max_attempts,
    )


def _fill_item(item: Item, entry: Any, seen_ids: set[str]) -> str:
    """Fill ``item`` from one entry of the document. Returns what is wrong with the entry, or ''."""
    if not isinstance(entry, dict):
        return "must be an object"
    item_id, path, tokens = entry.get("instanceId"), entry.get("path"), entry.get("tokens")
    if not isinstance(item_id, str) or not item_id or CONTROL_CHARACTER.search(item_id):
        return "instanceId: must be a text"
    if item_id in seen_ids:
        return f"instanceId: {item_id} comes twice"
    seen_ids.add(item_id)
    if (
        not isinstance(path, str)
        or not path.startswith("/")
        or CONTROL_CHARACTER.search(path)
        or WHITESPACE.search(path)
    ):
        return "path: must begin with a slash and hold no blanks"
    if isinstance(tokens, bool) or not isinstance(tokens, int) or not 0 <= tokens <= MAX_TOKENS:
        return "tokens: must be a whole number"
    item.item_id, item.path, item.tokens = item_id, path, tokens
    return _fill_headers(item, entry.get("headers")) or _fill_body(item, entry.get("body"))


def _fill_headers(item: Item, headers: Any) -> str:
    if not isinstance(headers, dict):
        return "headers: must be an object"
    for name, value in headers.items():
        if not HEADER_NAME.fullmatch(name):
            return f"headers: {name!r} is not a name"
        if not isinstance(value, str) or CONTROL_CHARACTER.search(value):
            return f"headers: the value of {name} must be a text of one line"
        item.headers[name] = value
    return ""


def _fill_body(item: Item, text: Any) -> str:
    if not isinstance(text, str):
        return "body: must be base64"
    try:
        item.body = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return "body: must be base64"
    return ""


def _invalid(reason: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.INVALID, reason))
