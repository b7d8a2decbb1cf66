"""Defines the orders of operators, their requests and documents, and the mix of orders in a workload."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from random import Random
from typing import Any

import attrs
from multidict import CIMultiDict

from cherrycove.tier.simulation.control.deployment import BATCH_ROUTE
from cherrycove.tier.simulation.control.history import Change

_ROUTE = {
    "name": "r",
    "hostname": "a.example",
    "pathPrefix": "/a/",
    "routeKind": "idempotent",
    "timeoutMs": 3000,
    "service": "s",
}
_BATCH_ROUTE = {
    "name": BATCH_ROUTE,
    "hostname": "b.example",
    "pathPrefix": "/b/",
    "routeKind": "batch",
    "service": "s",
    "maxAttempts": 3,
}


class ReceivedBody:
    """Stands in for the stream of a body that has arrived; it can be read again from the start."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._is_read = False

    async def readany(self) -> bytes:
        """Return the body, or nothing at its end."""
        self._is_read = not self._is_read
        return self._body if self._is_read else b""


class Request:
    """Stands in for an HTTP request, with the attributes that the operators' interface reads."""

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        node: str = "",
    ) -> None:
        """Create a request; ``node`` is the machine named in the path."""
        self.method = method
        self.path = self.raw_path = path
        self.headers = CIMultiDict(headers or {})
        self.match_info = {"node": node}
        self.content = ReceivedBody(body)
        self.content_length = len(body)


@attrs.frozen
class Reply:
    """Holds the parts of an HTTP response that an operator reads; ``location`` is "" without that header."""

    status: int
    location: str
    body: bytes


class OrderKind(Enum):
    """Enumerates what an order asks for."""

    CHANGE = "change"
    READ = "read"
    RETIRE = "retire"
    RETIRE_STATE = "retire_state"


@attrs.frozen(eq=False)
class Order:
    """One request of an operator, sent repeatedly until it has a definite reply."""

    kind: OrderKind
    request: Request
    change: Change | None = None
    is_valid: bool = True


@attrs.frozen(kw_only=True)
class Workload:
    """Describes what the operators of a world send. Shares are of all orders unless stated otherwise."""

    operators: int = 3
    pause_s: float = 0.25  # between the orders of one operator, on average
    document_bytes: tuple[int, int] = (4_000, 64_000)
    lost_answers_share: float = 0.05  # of the replies
    resent_share: float = 0.15  # of orders sent again
    duplicated_share: float = 0.1  # of orders sent twice at the same time
    invalid_share: float = 0.08  # of the changes
    reads_share: float = 0.2
    stale_share: float = 0.1  # of the changes, which are based on an old version


def document(version: int, random: Random, size: int) -> dict[str, Any]:
    """Return a valid and unique configuration of about ``size`` bytes."""
    note = random.randbytes(max(8, size // 2)).hex()
    return {"version": version, "routes": [_ROUTE, _BATCH_ROUTE], "services": [{"name": "s"}], "note": note}


def invalidate(body: dict[str, Any], random: Random) -> bytes:
    """Return an invalid configuration derived from the valid one in ``body``."""
    route: dict[str, Any] = dict(_ROUTE)
    fault = random.randrange(5)
    if fault == 0:
        return json.dumps(body).encode()[:-3]
    if fault == 1:
        route["timeoutMs"] = 0
    elif fault == 2:
        route["service"] = "nobody"
    elif fault == 3:
        route["trafficSplit"] = [{"service": "s", "weight": 0}]
    routes = [route, route] if fault == 4 else [route]
    return json.dumps({**body, "routes": routes}).encode()


def read_order() -> Order:
    """Return an order to read the configuration."""
    return Order(OrderKind.READ, Request("GET", "/api/configuration"))


def retire_order(node: str) -> Order:
    """Return an order to retire the machine ``node``."""
    return Order(OrderKind.RETIRE, Request("POST", f"/api/retire/{node}", b"{}", node=node))


def retire_state_order(node: str) -> Order:
    """Return an order to read the state of the retirement of ``node``."""
    return Order(OrderKind.RETIRE_STATE, Request("GET", f"/api/retire/{node}", node=node))
