"""The operator's configuration: parsed by library, checked, and matched against requests.

The exact bytes that the operator sent are kept beside the parsed form, since they are what a read gives back.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import cattrs
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn, override
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure

ROUTE_KINDS = ("idempotent", "non_idempotent", "streaming", "batch")


@attrs.frozen(kw_only=True)
class Split:
    """One service of a route, with its share of the requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of one host and path prefix may go, and within which times. Durations are in ms."""

    name: str
    hostname: str
    path_prefix: str
    route_kind: str
    service: str = ""
    traffic_split: list[Split] = attrs.field(factory=list)
    timeout_ms: float = math.inf  # absent only on batch routes, whose items it does not bind
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    completion_target_ms: float = 0.0
    retention_s: float = 0.0
    max_queued_tokens: float | None = None

    @property
    def splits(self) -> list[Split]:
        """Services and weights, also for a route that names one service."""
        if self.traffic_split:
            return self.traffic_split
        return [Split(service=self.service, weight=1.0)] if self.service else []

    @property
    def services(self) -> set[str]:
        """Services that requests of this route may run at."""
        return {split.service for split in self.splits if split.weight > 0}

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_kind == "idempotent" or (self.route_kind == "streaming" and self.resumable)


@attrs.frozen(kw_only=True)
class Engine:
    """What a model broker of a service has."""

    capacity_slots: int = 0
    kv_cache_tokens: int = 0
    stride: int = 1  # tokens in one stream event


@attrs.frozen(kw_only=True)
class Service:
    name: str
    health_check_path: str = ""
    connection_limit: int = 0  # from all callers together
    protocol: str = "h1"
    tls_enabled: bool = False
    engine: Engine = attrs.field(factory=Engine)


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Bounds on what a client may send, and how long it may take or rest."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen(kw_only=True)
class Configuration:
    version: int
    routes: list[Route]
    services: list[Service]
    limits: ClientLimits = attrs.field(factory=ClientLimits)

    def service(self, name: str) -> Service | None:
        return next((service for service in self.services if service.name == name), None)

    def route(self, name: str) -> Route | None:
        return next((route for route in self.routes if route.name == name), None)

    def match(self, host: str, path: str) -> Route | None:
        """The route of ``host`` whose prefix begins ``path`` and is longest."""
        name = host.partition(":")[0].lower()
        best: Route | None = None
        for route in self.routes:
            if route.hostname.lower() != name or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def has_host(self, host: str) -> bool:
        name = host.partition(":")[0].lower()
        return any(route.hostname.lower() == name for route in self.routes)


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_KEPT_NAMES = {"gap_aim_ms"}  # keys that the wire spells with underscores


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_structure_hook(str, _text)
    converter.register_structure_hook(int, _whole_number)
    converter.register_structure_hook(float, _finite_number)
    converter.register_structure_hook(bool, _truth)
    for cls in (Split, Route, Engine, Service, ClientLimits, Configuration):
        renames = {
            field.name: override(rename=field.name if field.name in _KEPT_NAMES else _camel(field.name))
            for field in attrs.fields(cls)
        }
        hook = make_dict_structure_fn(cls, converter, **renames)  # type: ignore[arg-type]
        converter.register_structure_hook(cls, hook)
    return converter


def _text(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {value!r}")
    return value


def _whole_number(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise ValueError(f"must be a whole number, not {value!r}")
    return int(value)


def _truth(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {value!r}")
    return value


def _finite_number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"must be a finite number, not {value!r}")
    return float(value)


_CONVERTER = _converter()


def _reason(error: BaseException, _: type[Any] | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error.args[0]} is missing"
    return str(error)


def _without_nulls(value: Any) -> Any:
    if isinstance(value, Mapping):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _faults(configuration: Configuration) -> Iterator[str]:
    """Everything that makes a well-formed configuration unusable."""
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    if configuration.version < 1:
        yield f"version: must be above 0, not {configuration.version}"
    if len(services) != len(configuration.services):
        yield "services: two services have the same name"
    for route in configuration.routes:
        place = (route.hostname.lower(), route.path_prefix)
        if place in places:
            yield f"route {route.name}: another route has the same hostname and pathPrefix"
        places.add(place)
        yield from _route_faults(route, services)


def _route_faults(route: Route, services: set[str]) -> Iterator[str]:
    label = f"route {route.name}"
    if route.route_kind not in ROUTE_KINDS:
        yield f"{label}: routeKind {route.route_kind!r} is unknown"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield f"{label}: pathPrefix must begin and end with a slash"
    if not route.splits:
        yield f"{label}: names no service"
    for split in route.splits:
        if split.service not in services:
            yield f"{label}: service {split.service!r} is not among the services"
        if split.weight < 0:
            yield f"{label}: a weight is below 0"
    if route.splits and sum(split.weight for split in route.splits) <= 0:
        yield f"{label}: the weights add up to 0"
    if math.isinf(route.timeout_ms) and route.route_kind != "batch":
        yield f"{label}: timeoutMs is missing"
    if route.timeout_ms <= 0:
        yield f"{label}: timeoutMs must be above 0"
    if route.max_attempts < 1:
        yield f"{label}: maxAttempts must be at least 1"


def parse_configuration(body: bytes, source: str = "configuration") -> Result[Configuration, Failure]:
    """The configuration in ``body``, or INVALID with the key and the reason."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure(ErrorKind.INVALID, f"{source}: not JSON: {error}"))
    if not isinstance(document, dict):
        return Err(Failure(ErrorKind.INVALID, f"{source}: must be an object"))
    try:
        configuration = _CONVERTER.structure(_without_nulls(document), Configuration)
    except BaseValidationError as error:
        reasons = cattrs.transform_error(error, format_exception=_reason)
        return Err(Failure(ErrorKind.INVALID, f"{source}: {'; '.join(reasons)}"))
    except (TypeError, ValueError, OverflowError) as error:
        return Err(Failure(ErrorKind.INVALID, f"{source}: {error}"))
    faults = list(_faults(configuration))
    if faults:
        return Err(Failure(ErrorKind.INVALID, f"{source}: {'; '.join(faults)}"))
    return Ok(configuration)
