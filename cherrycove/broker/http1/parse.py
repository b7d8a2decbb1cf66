"""Heads of requests, discovery's lists and nodes' reports, from text that anybody may have written.

It owns what makes a request of this deployment and what is wrong with one. It must never do I/O, and never
give a part of what it could not read whole.
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
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
IO_INFO_FIELDS = {"volume", "units", "shard", "hosts"}
SINGLE_HEADERS = ("X-Request-Id", "X-Class", "Tier", "X-Deadline-Ms", "IO-Info", "Cookie", "Idempotency-Key")
INTEGER = re.compile(r"[0-9]{1,9}", re.ASCII)
MAX_FIGURE = 1e18  # of any figure in a list: ms since 1970 are some 1.8e12
REQUEST_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
IDEMPOTENCY_KEY = re.compile(r"[!-~]([ -~]{0,254}[!-~])?", re.ASCII)
STATE_BY_STATUS = {"up": NodeState.UP, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class RequestError(ValueError):
    """What a client sent is not a request of this deployment; the message says why."""


class BodyError(RequestError):
    """A body did not come, or not as it was announced."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class NodeListError(ValueError):
    """What discovery sent is not a node list."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the front reads of a request's head, before the core's view of it."""

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
    idempotency_key: str = ""  # by which nodes drop a repeat; "": none was sent


class DeploymentNames:
    """The names of a deployment by their places, ready to look up."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.keyed = {place for place, cls in enumerate(settings.classes) if cls.effect is Effect.KEYED}
        self.plans = {plan.name: place for place, plan in enumerate(settings.plans)}
        self.max_units, self.shards, self.brokers = settings.max_units, settings.shards, settings.schedulers


def _field(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name)
    if value is None:
        raise RequestError(f"{name} is missing")
    return value


def _matched(pattern: re.Pattern[str], text: str, what: str) -> str:
    if not pattern.fullmatch(text):
        raise RequestError(f"{what} is malformed")
    return text


def _cookie(text: str, name: str) -> str:
    for part in text.split(";"):
        key, mark, value = part.strip().partition("=")
        if mark and key == name:
            return value.strip('"')
    raise RequestError(f"the cookie {name} is missing")


def parse_head(path: str, headers: Mapping[str, str], names: DeploymentNames) -> RequestHead:
    """A request's head, or RequestError. A path that names no class is the caller's to answer."""
    word = _field(headers, "X-Class")
    cls, plan = names.classes.get(word), names.plans.get(_field(headers, "Tier"))
    if cls is None:
        raise RequestError("X-Class names no class")
    if plan is None:
        raise RequestError("Tier names no plan")
    if path.partition("?")[0].split("/", 2)[1:2] != [word]:
        raise RequestError("the path and X-Class differ")
    info = dict([part.strip().partition("=")[::2] for part in _field(headers, "IO-Info").split(",")])
    if not info.keys() >= IO_INFO_FIELDS:
        raise RequestError(f"IO-Info lacks {min(IO_INFO_FIELDS - info.keys())}")
    units = float(_matched(DECIMAL, info["units"], "units"))
    if not 0 < units <= names.max_units:
        raise RequestError("units is out of range")
    shard = -1 if info["shard"] == "-1" else int(_matched(INTEGER, info["shard"], "shard"))
    if shard >= names.shards > 0:
        # Guard: what the module keeps for each shard is kept for good.
        raise RequestError("shard is out of range")
    repeat_key = headers.get("Idempotency-Key")
    if repeat_key is None and cls in names.keyed:
        # Guard: nodes could not drop a repeat of it, and the class says that one does no harm.
        raise RequestError("Idempotency-Key is missing")
    hosts = max(min(int(_matched(INTEGER, info["hosts"], "hosts")), names.brokers), 1)
    return RequestHead(
        cls=cls,
        plan=plan,
        volume=_matched(HEX16, info["volume"], "volume"),
        units=units,
        shard=None if shard < 0 else shard,
        hosts=hosts,
        budget=int(_matched(INTEGER, _field(headers, "X-Deadline-Ms"), "X-Deadline-Ms")) / 1000,
        key=_matched(HEX16, _cookie(_field(headers, "Cookie"), "object"), "the cookie object"),
        id=_matched(REQUEST_ID, _field(headers, "X-Request-Id"), "X-Request-Id"),
        repeat=headers.get("X-Retry") == "1",
        idempotency_key=""
        if repeat_key is None
        else _matched(IDEMPOTENCY_KEY, repeat_key, "Idempotency-Key"),
    )


def _entry(raw: Any, zones: Mapping[str, int]) -> Member:
    if not isinstance(raw, dict):
        raise NodeListError("an entry is no object")
    try:
        name, state = raw["name"], STATE_BY_STATUS[raw["status"]]
        address, shard = raw.get("address", ""), raw.get("group", -1)
        weight, since = raw.get("weight", 1.0), raw.get("since_ms", 0)
    except (KeyError, TypeError) as error:
        raise NodeListError(f"an entry lacks or misstates {error}") from None
    # Guard: a whole number that no float holds raised in isfinite(), and that ended the broker.
    numbers = all(type(x) in (int, float) and abs(x) < MAX_FIGURE for x in (weight, since))
    if not (isinstance(name, str) and name and isinstance(address, str) and type(shard) is int and numbers):
        raise NodeListError("an entry has a value of the wrong type")
    host, _, port = address.rpartition(":")
    if state is not NodeState.GONE and not (
        host
        and re.fullmatch(r"[0-9A-Za-z.\[\]:_-]+", host)
        and INTEGER.fullmatch(port)
        and 0 < int(port) < 65536
        and shard >= 0
    ):
        raise NodeListError("an entry has no usable address or group")
    zone = raw.get("zone")
    return Member(
        name,
        address,
        shard,
        zones.get(zone, 0) if isinstance(zone, str) else 0,
        float(weight),
        float(since),
        state,
    )


def parse_node_list(text: bytes | str, zones: Mapping[str, int]) -> NodeList:
    """Discovery's answer, or NodeListError: a list that is wrong in one place is trusted in none."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise NodeListError("not JSON") from None
    return parse_node_list_json(raw, zones)


def parse_node_list_json(raw: Any, zones: Mapping[str, int]) -> NodeList:
    if not isinstance(raw, dict):
        raise NodeListError("no object")
    index, full, entries = raw.get("index"), raw.get("snapshot"), raw.get("endpoints")
    if type(index) is not int or index < 0 or type(full) is not bool or not isinstance(entries, list):
        raise NodeListError("index, snapshot or endpoints is missing or of the wrong type")
    return NodeList(index, full, tuple(_entry(entry, zones) for entry in entries))


def parse_load(text: str | None) -> dict[str, float]:
    """A load report; what cannot be read is left out, for it is advice at most."""
    try:
        raw = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    return {name: float(x) for name, x in raw.items() if type(x) in (int, float) and abs(x) < 1e18}


def parse_volume_load(text: str | None) -> float | None:
    """The volume's use, told in percent of its plan's rate."""
    return int(text) / 100 if text and INTEGER.fullmatch(text) else None


def parse_other_hosts(text: str | None) -> float:
    """The units that a shard has served for the volume through other brokers; none where none are told."""
    return float(text) if text and DECIMAL.fullmatch(text) else 0.0


def to_origin_form(target: str) -> str:
    """A target without the scheme and host that a client may write before it (RFC 9112, 3.2.2)."""
    scheme, mark, rest = target.partition("://")
    return "/" + rest.partition("/")[2] if mark and scheme.lower() == "http" else target


def reject_repeated_headers(headers: MultiMapping[str]) -> MultiMapping[str]:
    """The headers; a repeat of one that says what the request is leaves open which one counts."""
    for name in SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise RequestError(f"{name} comes twice")
    return headers
