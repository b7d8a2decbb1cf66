"""The operator's configuration: parsing, validation, and matching of requests to routes.

In addition to the parsed form, the controllers keep the exact bytes that the operator sent, which a read
returns.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator

import attrs
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

from cherrycove.tier.checked_documents import (
    STRICT_SCALARS,
    describe_strict_validation_errors,
    document_converter,
    without_nulls,
)
from cherrycove.tier.errors import ErrorKind, Failure

BATCH_KIND = "batch"
ROUTE_KINDS = ("idempotent", "non_idempotent", "streaming", BATCH_KIND)


@attrs.frozen(kw_only=True)
class Split:
    """One service of a route and its share of the requests."""

    service: str
    weight: float  # relative to the other services of the route


@attrs.frozen(kw_only=True)
class Route:
    """Target services, time limits and options of the requests with one host and path prefix."""

    name: str
    hostname: str
    path_prefix: str  # begins and ends with a slash
    route_kind: str  # one of ROUTE_KINDS
    service: str = ""  # the only service, if there is no traffic split
    traffic_split: list[Split] = attrs.field(factory=list)
    timeout_ms: float = math.inf  # optional only for batch routes, whose items it does not limit
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False  # an interrupted stream may be resumed at another broker
    gap_aim_ms: float = 0.0  # target interval between two events of a stream
    completion_target_ms: float = 0.0  # target for the completion of batch jobs; 0: none
    retention_s: float = 0.0  # time after which unfinished items of a batch job are dead-lettered; 0: never
    max_queued_tokens: float | None = None  # None: no limit

    @property
    def is_batch(self) -> bool:
        """Whether its requests are batch jobs, whose items are run later."""
        return self.route_kind == BATCH_KIND

    @property
    def splits(self) -> list[Split]:
        """Services and weights; a route with a single service has one split."""
        if self.traffic_split:
            return self.traffic_split
        return [Split(service=self.service, weight=1.0)] if self.service else []

    @property
    def services(self) -> set[str]:
        """Names of the services that may receive requests of this route."""
        return {split.service for split in self.splits if split.weight > 0}

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be sent to a broker more than once."""
        return self.route_kind == "idempotent" or (self.route_kind == "streaming" and self.resumable)


@attrs.frozen(kw_only=True)
class Engine:
    """The capacity of each model broker of a service."""

    capacity_slots: int = 0
    kv_cache_tokens: int = 0
    stride: int = 1  # tokens in one stream event


@attrs.frozen(kw_only=True)
class Service:
    """A kind of model broker that routes may name."""

    name: str
    health_check_path: str = ""
    connection_limit: int = 0  # total for all callers
    protocol: str = "h1"
    tls_enabled: bool = False
    engine: Engine = attrs.field(factory=Engine)


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits on the size and duration of client requests and on the idle time of connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the configuration, in the form that proxies use."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: ClientLimits = attrs.field(factory=ClientLimits)

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def route(self, name: str) -> Route | None:
        """Return the route with this name, or None."""
        return next((route for route in self.routes if route.name == name), None)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``, or None.

        A port in ``host`` is ignored.
        """
        name = host.partition(":")[0].lower()
        best: Route | None = None
        for route in self.routes:
            if route.hostname.lower() != name or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


_CONVERTER = document_converter(
    (Split, Route, Engine, Service, ClientLimits, Configuration),
    verbatim={"gap_aim_ms"},
    scalars=STRICT_SCALARS,
)


def parse_configuration(body: bytes, source: str = "configuration") -> Result[Configuration, Failure]:
    """Parse the JSON document ``body``. An INVALID failure lists all wrong keys and the reasons.

    ``source`` names the origin of the document in the failure's detail.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _invalid(source, f"not JSON: {error}")
    if not isinstance(document, dict):
        return _invalid(source, "must be an object")
    try:
        configuration = _CONVERTER.structure(without_nulls(document), Configuration)
    except BaseValidationError as error:
        return _invalid(source, describe_strict_validation_errors(error))
    except (TypeError, ValueError, OverflowError) as error:
        return _invalid(source, str(error))
    errors = list(_validation_errors(configuration))
    if errors:
        return _invalid(source, "; ".join(errors))
    return Ok(configuration)


def _invalid(source: str, reason: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.INVALID, f"{source}: {reason}"))


def _validation_errors(configuration: Configuration) -> Iterator[str]:
    """Yield all semantic errors of a well-formed configuration."""
    services = {service.name for service in configuration.services}
    matched: set[tuple[str, str]] = set()
    if configuration.version < 1:
        yield f"version: must be above 0, not {configuration.version}"
    if len(services) != len(configuration.services):
        yield "services: two services have the same name"
    for route in configuration.routes:
        match = (route.hostname.lower(), route.path_prefix)
        if match in matched:
            yield f"route {route.name}: another route has the same hostname and pathPrefix"
        matched.add(match)
        yield from (f"route {route.name}: {error}" for error in _route_errors(route, services))


def _route_errors(route: Route, services: set[str]) -> Iterator[str]:
    if route.route_kind not in ROUTE_KINDS:
        yield f"routeKind {route.route_kind!r} is unknown"
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield "pathPrefix must begin and end with a slash"
    yield from _split_errors(route.splits, services)
    if math.isinf(route.timeout_ms) and not route.is_batch:
        yield "timeoutMs is missing"
    if route.timeout_ms <= 0:
        yield "timeoutMs must be above 0"
    if route.max_attempts < 1:
        yield "maxAttempts must be at least 1"


def _split_errors(splits: list[Split], services: set[str]) -> Iterator[str]:
    if not splits:
        yield "names no service"
    for split in splits:
        if split.service not in services:
            yield f"service {split.service!r} is not among the services"
        if split.weight < 0:
            yield "a weight is below 0"
    if splits and sum(split.weight for split in splits) <= 0:
        yield "the weights add up to 0"
