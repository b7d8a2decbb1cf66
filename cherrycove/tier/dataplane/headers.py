"""Header fields that the data plane reads, drops or adds.

It owns the names and their parsing. A field that cannot be read counts as absent.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
EXPECTED_INSTANCE = "Expected-Instance"
EXPECT_VERSION = "Expect-Version"
RESPONSE_SIGNATURE = "Response-Signature"
NOT_EXECUTED = "Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"
INSTANCE_LOAD = "Instance-Load"
TOKEN_USAGE = "Token-Usage"
PROMPT_PREFIX = "Prompt-Prefix"
RETRY_AFTER = "Retry-After"
EVENT_STREAM = "text/event-stream"

_ONE_CONNECTION = frozenset({
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
})  # fmt: skip
_WHOLE = re.compile(r"\d{1,15}")


def end_to_end_headers(headers: CIMultiDictProxy[str] | CIMultiDict[str]) -> CIMultiDict[str]:
    """The fields that are passed on: all but those that concern one connection."""
    named = {name.strip().lower() for value in headers.getall("Connection", ()) for name in value.split(",")}
    dropped = _ONE_CONNECTION | named
    return CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)


def parse_unsigned(text: str | None) -> int | None:
    """A number without sign or fraction, None if it is not one."""
    stripped = (text or "").strip()
    return int(stripped) if _WHOLE.fullmatch(stripped) else None


def parse_keep_alive_s(headers: Mapping[str, str]) -> int | None:
    """The time that a broker keeps an idle connection, None if it does not tell."""
    value = headers.get("Keep-Alive")
    if value is None:
        return None
    for parameter in value.split(","):
        name, _, number = parameter.partition("=")
        if name.strip().lower() == "timeout":
            return parse_unsigned(number)
    return parse_unsigned(value)


@attrs.frozen
class InstanceLoad:
    """What a broker said of its load: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


def parse_instance_load(headers: Mapping[str, str]) -> InstanceLoad | None:
    numbers = [parse_unsigned(part) for part in headers.get(INSTANCE_LOAD, "").split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return InstanceLoad(running, waiting, slots)
