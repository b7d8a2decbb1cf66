"""Reads a deployment, its traffic and its faults from a site file, whose values are used unchanged."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import attrs

LIVE_KIND = "stream"
BATCH_KIND = "batch"
DEFAULT_PERIOD_S = 60.0


@attrs.frozen
class Size:
    """A lognormal size distribution: mean, relative standard deviation (``spread``) and upper limit."""

    mean: float
    spread: float = 0.0
    maximum: float = float("inf")


@attrs.frozen(kw_only=True)
class SharedPart:
    """A prompt segment shared by several requests: one of ``variants`` segments, each with its own size."""

    size: Size
    variants: int


@attrs.frozen(kw_only=True)
class RequestKind:
    """A kind of request. Times are in seconds; ``worth`` is the value of a request answered in time."""

    name: str
    is_batch: bool
    target_s: float  # target latency to the first event; for a job, to its last item
    client_timeout_s: float
    route_timeout_s: float
    max_attempts: int
    is_resumable: bool
    priority: int
    worth: float
    late_worth: float
    max_pause_s: float
    events: Size
    own_tokens: Size
    shared: tuple[SharedPart, ...]
    items: Size  # number of items in a job


@attrs.frozen(kw_only=True)
class EngineModel:
    """The parameters of the broker model. Times are in seconds, rates in tokens per second."""

    slots: int
    queue: int
    connections: int
    step_s: float
    step_s_per_request: float
    prefill_tokens_per_s: float
    pairs_s_per_million: float  # attention time per million token pairs; a prompt of n tokens has n²/2 pairs
    kv_cache_tokens: int
    stride: int  # tokens per event


@attrs.frozen
class ZoneTraffic:
    """The requests that the clients of a zone send; their rate varies as a sine wave."""

    zone: str
    per_s: float
    mix: dict[str, float]  # relative shares by request kind
    clients: int
    amplitude: float
    period_s: float
    phase: float


@attrs.frozen
class Fault:
    """One fault of a day, with the fields of its entry in the site file."""

    kind: str
    at: float
    fields: dict[str, Any]

    def number(self, name: str, default: float) -> float:
        """Return a numeric field, or ``default`` if it is missing."""
        return float(self.fields.get(name, default))


@attrs.frozen(kw_only=True)
class Day:
    """A named scenario of a site: its traffic and its faults."""

    name: str
    seed: int
    traffic: tuple[ZoneTraffic, ...]
    faults: tuple[Fault, ...]


@attrs.frozen(kw_only=True)
class Site:
    """One deployment with one service."""

    name: str
    length_s: float
    in_zone_s: float
    cross_zone_s: float
    client_s: float
    listing_lag_s: float
    proxies: dict[str, int]  # by zone
    brokers: dict[str, int]
    slowdowns: tuple[float, ...]  # factors on the processing times of the brokers, assigned cyclically
    engine: EngineModel
    kinds: tuple[RequestKind, ...]
    days: tuple[Day, ...]

    def day(self, name: str) -> Day:
        """Return the day of that name; raises ``KeyError`` if there is none."""
        for day in self.days:
            if day.name == name:
                return day
        raise KeyError(name)


def load_site(path: Path) -> Site:
    """Read a site file; raises ``KeyError`` with the name of a missing field."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    scale = float(document.get("thin", 1.0))
    service = document["services"][0]
    front = [machine for machine in document["machines"] if machine["class"] == "front"]
    return Site(
        name=document["name"],
        length_s=document["length_s"],
        in_zone_s=document["net"]["in_zone_ms"] / 1000,
        cross_zone_s=document["net"]["cross_zone_ms"] / 1000,
        client_s=document["net"]["client_ms"] / 1000,
        listing_lag_s=document["discovery"]["lag_ms"] / 1000,
        proxies={machine["zone"]: machine["count"] for machine in front},
        brokers={one["zone"]: max(round(one["count"] * scale), 1) for one in service["servers"]},
        slowdowns=tuple(service.get("speeds") or (1.0,)),
        engine=_engine(service),
        kinds=tuple(_kind(entry) for entry in document["classes"]),
        days=tuple(_day(entry, document, scale) for entry in document["day"]),
    )


def _engine(service: dict[str, Any]) -> EngineModel:
    model = service["llm"]
    return EngineModel(
        slots=service["slots"],
        queue=service["queue"],
        connections=service["conn_cap"],
        step_s=model["step_ms"] / 1000,
        step_s_per_request=model["step_ms_per_slot"] / 1000,
        prefill_tokens_per_s=model["prefill_tokens_per_ms"] * 1000,
        pairs_s_per_million=model["pairs_ms_per_m"] / 1000,
        kv_cache_tokens=model["kv_tokens"],
        stride=model["stride"],
    )


def _kind(entry: dict[str, Any]) -> RequestKind:
    stream = entry["stream"]
    is_batch = entry["kind"] == BATCH_KIND
    target_ms = entry["lot"]["run_aim_ms"] if is_batch else entry["aim_ms"]
    return RequestKind(
        name=entry["name"],
        is_batch=is_batch,
        target_s=target_ms / 1000,
        client_timeout_s=entry["deadline_ms"] / 1000,
        route_timeout_s=entry["timeout_ms"] / 1000,
        max_attempts=entry["attempts"],
        is_resumable=stream["resume"],
        priority=entry["priority"],
        worth=entry["worth"],
        late_worth=entry["late_worth"],
        max_pause_s=stream["gap_aim_ms"] / 1000,
        events=_size(stream["pieces"]),
        own_tokens=_size(stream["prompt_tokens"]),
        shared=tuple(
            SharedPart(size=_size(part["tokens"]), variants=part["things"]) for part in stream["chain"]
        ),
        items=_size(entry["lot"]["items"]) if is_batch else Size(1.0),
    )


def _size(entry: dict[str, Any]) -> Size:
    return Size(entry["mean"], entry["spread"], entry["max"])


def _day(entry: dict[str, Any], document: dict[str, Any], scale: float) -> Day:
    traffic = entry.get("traffic", document["traffic"])
    faults = [*entry.get("plan", ()), *entry.get("faults", ())]
    return Day(
        name=entry["name"],
        seed=entry["seed"],
        traffic=tuple(_traffic(each, scale) for each in traffic),
        faults=tuple(Fault(each["kind"], each["at"], each) for each in faults),
    )


def _traffic(entry: dict[str, Any], scale: float) -> ZoneTraffic:
    shape = entry["shape"]
    return ZoneTraffic(
        zone=entry["zone"],
        per_s=entry["per_s"] * scale,
        mix=entry["mix"],
        clients=entry["clients"],
        amplitude=shape.get("swing", 0.0),
        period_s=shape.get("period_s", DEFAULT_PERIOD_S),
        phase=shape.get("phase", 0.0),
    )
