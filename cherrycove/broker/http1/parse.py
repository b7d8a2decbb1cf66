"""Heads of requests, discovery's lists and nodes' reports, from text that anybody may have written.

It owns what makes a request of this deployment and what is wrong with one. It must never do I/O, and never
return a part of what it could not read completely.
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
MAX_FIGURE = 1e18  # of any figure in a list or report: ms since 1970 are some 1.8e12
_STATE_BY_STATUS = {"up": NodeState.UP, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class RequestError(ValueError):
    """What a client sent is not a request of this deployment; the message says why."""


class BodyError(RequestError):
    """A body did not come, or not as it was announced; ``status`` is the response's."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class NodeListError(ValueError):
    """What discovery sent is not a node list; the message says why."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a request's head says, before the core's view of it.

    Attributes:
        cls: index into ``Settings.classes``.
        plan: index into ``Settings.plans``.
        volume: 16 hex digits.
        units: the request's cost.
        shard: None if any shard may serve it.
        hosts: how many brokers the volume's clients use.
        budget: s until the client's deadline.
        key: of the object, 16 hex digits.
        id: by which the client knows the request.
        repeat: whether the client has sent it before.
        idempotency_key: by which nodes drop a duplicate; empty: none was sent.
    """

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    budget: float
    key: str
    id: str
    repeat: bool
    idempotency_key: str = ""


class DeploymentNames:
    """A deployment's names of classes and plans, indexed, and the bounds of a request's figures."""

    def __init__(self, settings: Settings) -> None:
        """The names and bounds of these settings."""
        self.classes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.keyed = {index for index, cls in enumerate(settings.classes) if cls.effect is Effect.KEYED}
        self.plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        self.max_units, self.shards, self.brokers = settings.max_units, settings.shards, settings.schedulers


def parse_head(path: str, headers: Mapping[str, str], names: DeploymentNames) -> RequestHead:
    """A request's head. A path that names no class is the caller's to answer.

    Raises:
        RequestError: at the first header that is missing, malformed or out of range.
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
        # Nodes could not drop a duplicate of it, and the class says that one does no harm.
        raise RequestError("Idempotency-Key is missing")
    hosts = max(min(int(_matched(_INTEGER, info["hosts"], "hosts")), names.brokers), 1)
    return RequestHead(
        cls=cls,
        plan=plan,
        volume=_matched(HEX16, info["volume"], "volume"),
        units=units,
        shard=shard,
        hosts=hosts,
        budget=int(_matched(_INTEGER, _header(headers, "X-Deadline-Ms"), "X-Deadline-Ms")) / 1000,
        key=_matched(HEX16, _cookie(_header(headers, "Cookie"), "object"), "the cookie object"),
        id=_matched(_REQUEST_ID, _header(headers, "X-Request-Id"), "X-Request-Id"),
        repeat=headers.get("X-Retry") == "1",
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
        # The decision module keeps state for each shard that it has seen, for good.
        raise RequestError("shard is out of range")
    return shard


def _checked_idempotency_key(text: str | None) -> str:
    return "" if text is None else _matched(_IDEMPOTENCY_KEY, text, "Idempotency-Key")


def parse_node_list(text: bytes | str, zones: Mapping[str, int]) -> NodeList:
    """Discovery's response; ``zones`` gives the index of each zone's name.

    Raises:
        NodeListError: if any part is wrong: such a list is trusted in none.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise NodeListError("not JSON") from error
    return parse_node_list_json(raw, zones)


def parse_node_list_json(raw: Any, zones: Mapping[str, int]) -> NodeList:
    """A node list that has been read as JSON; NodeListError if any part is wrong."""
    if not isinstance(raw, dict):
        raise NodeListError("no object")
    index, full, entries = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
    if type(index) is not int or index < 0 or type(full) is not bool or not isinstance(entries, list):
        raise NodeListError("index, snapshot or endpoints is missing or of the wrong type")
    return NodeList(index, full, tuple(_parse_node(entry, zones) for entry in entries))


def _parse_node(raw: Any, zones: Mapping[str, int]) -> Member:
    if not isinstance(raw, dict):
        raise NodeListError("an entry is no object")
    try:
        name, state = raw["name"], _STATE_BY_STATUS[raw["status"]]
    except (KeyError, TypeError) as error:
        raise NodeListError(f"an entry lacks or misstates {error}") from error
    address, shard = raw.get("address", ""), raw.get("group", -1)
    weight, since_ms = raw.get("weight", 1.0), raw.get("since_ms", 0)
    has_texts = isinstance(name, str) and name and isinstance(address, str)
    if not (has_texts and type(shard) is int and _is_figure(weight) and _is_figure(since_ms)):
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


def _is_figure(value: Any) -> bool:
    """Whether it is a number that a float can hold; JSON's integers have no bound."""
    return type(value) in (int, float) and abs(value) < MAX_FIGURE


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    has_valid_host = bool(host) and _HOST.fullmatch(host) is not None
    return has_valid_host and _INTEGER.fullmatch(port) is not None and 0 < int(port) < 65536


def parse_load(text: str | None) -> dict[str, float]:
    """A node's load report by name; what cannot be read is left out, since it is only advice."""
    try:
        raw = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    return {name: float(value) for name, value in raw.items() if _is_figure(value)}


def parse_volume_load(text: str | None) -> float | None:
    """The volume's use as a multiple of its plan's rate, reported in percent; None if it cannot be read."""
    return int(text) / 100 if text and _INTEGER.fullmatch(text) else None


def parse_other_hosts(text: str | None) -> float:
    """The units that a shard has served for the volume through other brokers; 0 if that cannot be read."""
    return float(text) if text and _DECIMAL.fullmatch(text) else 0.0


def to_origin_form(target: str) -> str:
    """A request target without the scheme and host of the absolute form (RFC 9112, section 3.2.2)."""
    scheme, separator, rest = target.partition("://")
    return "/" + rest.partition("/")[2] if separator and scheme.lower() == "http" else target


def reject_repeated_headers(headers: MultiMapping[str]) -> MultiMapping[str]:
    """The headers; RequestError if one that identifies the request is there twice."""
    for name in _SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise RequestError(f"{name} comes twice")
    return headers
