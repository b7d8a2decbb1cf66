"""Codec of the header fields that the data plane reads, removes or adds.

A field that cannot be parsed counts as absent. The field names are part of the wire protocol, which the model
brokers define except where a standard is named.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"  # remaining time of the client's timeout
EXPECTED_INSTANCE = "Expected-Instance"
EXPECT_VERSION = "Expect-Version"
RESPONSE_SIGNATURE = "Response-Signature"
NOT_EXECUTED = "Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"  # WHATWG HTML, 9.2.4
INSTANCE_LOAD = "Instance-Load"
TOKEN_USAGE = "Token-Usage"
PROMPT_PREFIX = "Prompt-Prefix"
RETRY_AFTER = "Retry-After"  # RFC 9110, 10.2.3; here with a fraction
EVENT_STREAM = "text/event-stream"  # a media type, WHATWG HTML, 9.2.5

_HOP_BY_HOP = frozenset({
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
})  # fmt: skip
_UNSIGNED = re.compile(r"\d{1,15}")
_LOAD_NUMBERS = 3


def end_to_end_headers(headers: CIMultiDictProxy[str] | CIMultiDict[str]) -> CIMultiDict[str]:
    """The fields that a proxy forwards: all except the hop-by-hop fields (RFC 9110, 7.6.1).

    ``Content-Length`` and ``Expect`` are removed as well: the body was read already, and is framed anew.
    """
    named = {name.strip().lower() for value in headers.getall("Connection", ()) for name in value.split(",")}
    dropped = _HOP_BY_HOP | named
    return CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)


def parse_unsigned(text: str | None) -> int | None:
    """Parse a number without sign or fraction, of at most 15 digits; None if ``text`` is not one."""
    stripped = (text or "").strip()
    return int(stripped) if _UNSIGNED.fullmatch(stripped) else None


def parse_keep_alive_s(headers: Mapping[str, str]) -> int | None:
    """The time for which a broker keeps an idle connection; None if it does not announce one.

    Accepts ``Keep-Alive: timeout=5`` (RFC 2068, 19.7.1.1) or a bare number of seconds.
    """
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
    """A broker's load report: the numbers of running requests, of waiting requests, and of its slots."""

    running: int
    waiting: int
    slots: int


def parse_instance_load(headers: Mapping[str, str]) -> InstanceLoad | None:
    """Parse ``Instance-Load: running,waiting,slots``; None if the field is absent or invalid."""
    numbers = [parse_unsigned(text) for text in headers.get(INSTANCE_LOAD, "").split(",")]
    if len(numbers) != _LOAD_NUMBERS or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return InstanceLoad(running, waiting, slots)
