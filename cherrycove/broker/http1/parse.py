"""Parses heads of requests, discovery's node lists and nodes' load reports, all from untrusted text.

This module decides what is a valid request of this deployment, and names the fault of an invalid one. It must
never do I/O, and never return a part of what it could not parse completely.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from multidict import MultiMapping

from cherrycove.broker.core import Member, NodeList
from cherrycove.scheduling.interface import Effect, NodeState, Settings

HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
_INTEGER = re.compile(r"[0-9]{1,9}", re.ASCII)
_REQUEST_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
_IDEMPOTENCY_KEY = re.compile(r"[!-~]([ -~]{0,254}[!-~])?", re.ASCII)
_HOST = re.compile(r"[0-9A-Za-z.\[\]:_-]+")
_IO_INFO_FIELDS = {"volume", "units", "shard", "hosts"}
_SINGLE_HEADERS = (
    "X-Request-Id",
    "X-Class",
    "Tier",
    "X-Deadline-Ms",
    "IO-Info",
    "Cookie",
    "Idempotency-Key",
)
_NO_SHARD = "-1"
MAX_NUMBER = 1e18  # bound on any number in a list or report: ms since 1970 are about 1.8e12
_STATE_BY_STATUS = {"up": NodeState.UP, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class RequestError(ValueError):
    """A client's request is not valid in this deployment; the message, sent to the client, says why."""


class BodyError(RequestError):
    """A body was not received, or not as its headers announce it; ``status`` is the response's."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NodeListError(ValueError):
    """Discovery's response is not a valid node list; the message says why."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The parsed and validated head of a request.

    Attributes:
        cls: index into ``Settings.classes``.
        plan: index into ``Settings.plans``.
        volume: 16 hex digits.
        units: the request's cost.
        shard: None if any shard may serve it.
        hosts: how many brokers the volume's clients use.
        budget_s: seconds until the client's deadline.
        key: the object's key, 16 hex digits.
        id: the client's id of the request.
        is_retry: whether the client has sent the request before.
        idempotency_key: by which nodes recognise and drop a duplicate; empty if none was sent.
    """

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    budget_s: float
    key: str
    id: str
    is_retry: bool
    idempotency_key: str = ""


class DeploymentNames:
    """The indexes of a deployment's classes and plans by name, and the limits of a request's numbers."""

    def __init__(self, settings: Settings) -> None:
        """Take the names and limits from ``settings``."""
        self.classes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.keyed = {index for index, cls in enumerate(settings.classes) if cls.effect is Effect.KEYED}
        self.plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        self.max_units, self.shards, self.brokers = settings.max_units, settings.shards, settings.schedulers


def parse_head(path: str, headers: Mapping[str, str], names: DeploymentNames) -> RequestHead:
    """Parse a request's head. The caller responds to a path that names no class.

    Raises:
        RequestError: for the first header that is missing, malformed or out of range.
    """
    class_name = _header(headers, "X-Class")
    cls, plan = names.classes.get(class_name), names.plans.get(_header(headers, "Tier"))
    if cls is None:
        raise RequestError("X-Class names no class")
    if plan is None:
        raise RequestError("Tier names no plan")
    if path.partition("?")[0].split("/", 2)[1:2] != [class_name]:
        raise RequestError("the path and X-Class differ")
    info = _parse_io_info(_header(headers, "IO-Info"))
    units = _parse_units(info["units"], names)
    shard = _parse_shard(info["shard"], names)
    idempotency_key = headers.get("Idempotency-Key")
    if idempotency_key is None and cls in names.keyed:
        # Without it nodes could not drop duplicates, which the class declares harmless.
        raise RequestError("Idempotency-Key is missing")
    hosts = max(min(int(_matched(_INTEGER, info["hosts"], "hosts")), names.brokers), 1)
    return RequestHead(
        cls=cls,
        plan=plan,
        volume=_matched(HEX16, info["volume"], "volume"),
        units=units,
        shard=shard,
        hosts=hosts,
        budget_s=int(_matched(_INTEGER, _header(headers, "X-Deadline-Ms"), "X-Deadline-Ms")) / 1000,
        key=_matched(HEX16, _cookie(_header(headers, "Cookie"), "object"), "the cookie object"),
        id=_matched(_REQUEST_ID, _header(headers, "X-Request-Id"), "X-Request-Id"),
        is_retry=headers.get("X-Retry") == "1",
        idempotency_key=_checked_idempotency_key(idempotency_key),
    )


def _header(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name)
    if value is None:
        raise RequestError(f"{name} is missing")
    return value


def _matched(pattern: re.Pattern[str], text: str, what: str) -> str:
    if not pattern.fullmatch(text):
        raise RequestError(f"{what} is malformed")
    return text


def _cookie(text: str, name: str) -> str:
    for cookie in text.split(";"):
        key, equals, value = cookie.strip().partition("=")
        if equals and key == name:
            return value.strip('"')
    raise RequestError(f"the cookie {name} is missing")


def _parse_io_info(text: str) -> dict[str, str]:
    info = dict([field.strip().partition("=")[::2] for field in text.split(",")])
    if not info.keys() >= _IO_INFO_FIELDS:
        raise RequestError(f"IO-Info lacks {min(_IO_INFO_FIELDS - info.keys())}")
    return info


def _parse_units(text: str, names: DeploymentNames) -> float:
    units = float(_matched(_DECIMAL, text, "units"))
    if not 0 < units <= names.max_units:
        raise RequestError("units is out of range")
    return units


def _parse_shard(text: str, names: DeploymentNames) -> int | None:
    if text == _NO_SHARD:
        return None
    shard = int(_matched(_INTEGER, text, "shard"))
    if shard >= names.shards > 0:
        # The scheduler keeps state for every shard that it has seen and never deletes it.
        raise RequestError("shard is out of range")
    return shard


def _checked_idempotency_key(text: str | None) -> str:
    return "" if text is None else _matched(_IDEMPOTENCY_KEY, text, "Idempotency-Key")


def parse_node_list(text: bytes | str, zones: Mapping[str, int]) -> NodeList:
    """Parse discovery's response; ``zones`` maps the name of each zone to its index.

    Raises:
        NodeListError: if any part is invalid; no part of such a list is used.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise NodeListError("the list is not JSON") from error
    return parse_node_list_json(raw, zones)


def parse_node_list_json(raw: Any, zones: Mapping[str, int]) -> NodeList:
    """Parse a node list from a JSON value; NodeListError if any part is invalid."""
    if not isinstance(raw, dict):
        raise NodeListError("the list is not a JSON object")
    index, full, entries = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
    if type(index) is not int or index < 0 or type(full) is not bool or not isinstance(entries, list):
        raise NodeListError("index, snapshot or endpoints is missing or of the wrong type")
    return NodeList(index, full, tuple(_parse_node(entry, zones) for entry in entries))


def _parse_node(raw: Any, zones: Mapping[str, int]) -> Member:
    if not isinstance(raw, dict):
        raise NodeListError("an entry is not a JSON object")
    try:
        name, state = raw["name"], _STATE_BY_STATUS[raw["status"]]
    except (KeyError, TypeError) as error:
        raise NodeListError(f"an entry has a missing or unknown value: {error}") from error
    address, shard = raw.get("address", ""), raw.get("group", -1)
    weight, since_ms = raw.get("weight", 1.0), raw.get("since_ms", 0)
    has_strings = isinstance(name, str) and name and isinstance(address, str)
    if not (
        has_strings and type(shard) is int and _is_bounded_number(weight) and _is_bounded_number(since_ms)
    ):
        raise NodeListError("an entry has a value of the wrong type")
    if state is not NodeState.GONE and not (_is_address(address) and shard >= 0):
        raise NodeListError("an entry has no usable address or group")
    zone = raw.get("zone")
    return Member(
        name=name,
        address=address,
        shard=shard,
        zone=zones.get(zone, 0) if isinstance(zone, str) else 0,
        weight=float(weight),
        since_ms=float(since_ms),
        state=state,
    )


def _is_bounded_number(value: Any) -> bool:
    """Whether ``value`` is a number that a float can hold; integers in JSON have no bound."""
    return type(value) in (int, float) and abs(value) < MAX_NUMBER


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    has_valid_host = bool(host) and _HOST.fullmatch(host) is not None
    return has_valid_host and _INTEGER.fullmatch(port) is not None and 0 < int(port) < 65536


def parse_load(text: str | None) -> dict[str, float]:
    """Return the values of a node's load report by name; unreadable ones are omitted: they are only hints."""
    try:
        raw = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    return {name: float(value) for name, value in raw.items() if _is_bounded_number(value)}


def parse_volume_load(text: str | None) -> float | None:
    """Return the volume's use, reported in percent, as a multiple of its plan's rate; None if unreadable."""
    return int(text) / 100 if text and _INTEGER.fullmatch(text) else None


def parse_other_hosts(text: str | None) -> float:
    """Return the units that a shard has served for the volume through other brokers; 0 if unreadable."""
    return float(text) if text and _DECIMAL.fullmatch(text) else 0.0


def to_origin_form(target: str) -> str:
    """Return a request target without the scheme and host of the absolute form (RFC 9112, section 3.2.2)."""
    scheme, separator, rest = target.partition("://")
    return "/" + rest.partition("/")[2] if separator and scheme.lower() == "http" else target


def reject_repeated_headers(headers: MultiMapping[str]) -> MultiMapping[str]:
    """Return the headers unchanged; RequestError if one of ``_SINGLE_HEADERS`` occurs more than once."""
    for name in _SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise RequestError(f"{name} comes twice")
    return headers
