"""Consul: node discovery by the health API, and the registration of the broker itself.

The module owns the blocking queries, the mapping of an instance's health checks to a node's state, the
registration and its TTL check. It must never pass on a list that it could not parse, query in a tight loop,
or keep the broker from serving: while Consul is unreachable, the last list stays in use.

Source: Consul's HTTP API, pages "Health", "Blocking Queries", "Agent Service" and "Agent Check".
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
from yarl import URL

from cherrycove.broker.core import Core, Member, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.scheduling.interface import NodeState

log = Log("cherrycove.consul")

_QUERY_SLACK_S = 1.0  # added to a blocking query's wait; also the time-out for connecting
_WAIT_JITTER = 17 / 16  # Consul adds up to 1/16 to the wait of a blocking query
_MIN_BACKOFF_S, _MAX_BACKOFF_S = 0.1, 10.0  # delay after failed queries, doubled by each failure
_REGISTRATION_RETRY_S = 1.0
_RENEWALS_PER_TTL = 3
CALL_TIMEOUT_S = 2.0  # for non-blocking calls to the agent
_DEREGISTER_CRITICAL_AFTER = "10m"

_CHECK_STATES = ("passing", "warning", "critical", "maintenance")
_UNHEALTHY_STATES = ("critical", "maintenance")
_MAINTENANCE_CHECKS = ("_node_maintenance", "_service_maintenance")  # prefixes of the check ids
_MAX_INDEX_DIGITS = 19
_MAX_SINCE_MS, _MAX_WEIGHT = 1e18, 1e9


class HealthError(ValueError):
    """The agent's response is not valid for the health API, or it rejected a call; the message says why."""


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """The ``[consul]`` table of the operator's file.

    Attributes:
        agent: host and port of the agent's HTTP API.
        service: name of the disk nodes' service.
        wait_s: longest time that a blocking query waits for a change.
        register: name of the broker's own service; if empty, the broker is not registered.
        ttl_s: time-to-live of the broker's check.
    """

    agent: tuple[str, int]
    service: str
    wait_s: float = 30.0
    register: str = ""
    ttl_s: float = 10.0


def parse_health(
    text: bytes | str, zones: Mapping[str, int], known_members: Mapping[str, Member], version: int
) -> NodeList:
    """Return the service's instances as a full node list with this version.

    An instance with an invalid registration must not hide the others: it is left out, or, if it is among
    ``known_members`` (by name), set to draining, so that it gets no new work.

    Raises:
        HealthError: if the response is not a JSON list.
    """
    try:
        instances = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise HealthError("health response is not valid JSON") from error
    if not isinstance(instances, list):
        raise HealthError("health response is not a list of instances")
    members: dict[str, Member] = {}
    for instance in instances:
        try:
            member = _parse_instance(instance, zones)
        except HealthError as error:
            name = _instance_id(instance)
            log.warning("consul.instance_unusable", instance=name, why=error)
            if isinstance(name, str) and name in known_members:
                members[name] = replace(known_members[name], state=NodeState.DRAINING)
        else:
            members[member.name] = member
    return NodeList(version, True, tuple(members.values()))


def _parse_instance(raw: Any, zones: Mapping[str, int]) -> Member:
    try:
        service, node = raw["Service"], raw["Node"]
        meta = service.get("Meta") or {}
        name, port = service["ID"], service["Port"]
        host = service.get("Address") or node["Address"]
        shard, since_ms = int(meta["shard"]), float(meta.get("since_ms", 0))
        zone = meta.get("zone", "")
        weight = float((service.get("Weights") or {}).get("Passing", 1))
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise HealthError(f"missing or invalid field in the registration: {error}") from error
    has_name_and_address = isinstance(name, str) and name and _is_address(host, port)
    is_in_range = shard >= 0 and 0 <= since_ms < _MAX_SINCE_MS and 0 <= weight < _MAX_WEIGHT
    if not has_name_and_address or not is_in_range:
        raise HealthError("invalid name or address, or a value out of range, in the registration")
    return Member(
        name=name,
        address=f"{host}:{port}",
        shard=shard,
        zone=zones.get(zone, 0) if isinstance(zone, str) else 0,
        weight=weight,
        since_ms=since_ms,
        state=_node_state(raw.get("Checks")),
    )


def _is_address(host: Any, port: Any) -> bool:
    return isinstance(host, str) and bool(host) and type(port) is int and 0 < port < 65536


def _instance_id(raw: Any) -> Any:
    """Return the unchecked value of an instance's id field; None if there is no such field."""
    service = raw.get("Service") if isinstance(raw, dict) else None
    return service.get("ID") if isinstance(service, dict) else None


def _node_state(checks: Any) -> NodeState:
    """Return UP if every check is passing or warning, DRAINING if one is critical or for maintenance."""
    if not isinstance(checks, list) or not all(
        isinstance(check, dict) and check.get("Status") in _CHECK_STATES for check in checks
    ):
        raise HealthError("malformed checks in the registration")
    return NodeState.DRAINING if any(map(_is_unhealthy, checks)) else NodeState.UP


def _is_unhealthy(check: dict[str, Any]) -> bool:
    return check["Status"] in _UNHEALTHY_STATES or str(check.get("CheckID", "")).startswith(
        _MAINTENANCE_CHECKS
    )


def next_index(last: int, text: str | None) -> int:
    """Return the index for the next blocking query, from the header ``X-Consul-Index``.

    Returns 0, with which a query does not block, if the header is not an index or the index has decreased
    (page "Blocking Queries").
    """
    is_index = text and text.isascii() and text.isdigit() and len(text) <= _MAX_INDEX_DIGITS
    index = int(text) if text and is_index else 0
    return index if index >= max(last, 1) else 0


@dataclass(frozen=True, slots=True)
class _HealthResult:
    """A parsed health response: the nodes, whether they differ from the core's, the next query's index."""

    nodes: NodeList
    is_changed: bool
    next_index: int


class ConsulClient:
    """Watches a service's health through one agent and keeps the broker registered there.

    The broker owns it, runs ``watch`` and ``keep_registered`` as tasks, and calls ``close`` after it has
    cancelled both. An unreachable agent is retried without limit.
    """

    def __init__(
        self,
        core: Core,
        config: ConsulConfig,
        zones: Mapping[str, int],
        name: str,
        listen: tuple[str, int],
    ) -> None:
        """Create a client that has sent nothing yet; the broker registers as ``name`` at ``listen``."""
        self._core = core
        self._config = config
        self._zones = zones
        self._name = name
        self._listen = listen
        host, port = config.agent
        self._base_url = f"http://{host}:{port}/v1"
        self._is_deregistering = False
        self._registration_lock = asyncio.Lock()  # held during calls that change the broker's registration
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            # aiohttp's limit on the whole call can swallow a cancellation, so the calls set their own.
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_QUERY_SLACK_S),
        )

    async def close(self) -> None:
        """Close the connections to the agent."""
        await self._session.close()

    async def watch(self) -> None:
        """Watch the service's health until cancelled; pass each change to the core as a full list."""
        index, backoff_s, version = 0, _MIN_BACKOFF_S, self._core.version or 0
        while True:
            url = self._health_url(index)
            try:
                result = await self._query_health(url, index, version + 1)
            except (HealthError, aiohttp.ClientError, OSError, ValueError) as error:
                log.warning("consul.silent", why=str(error) or type(error).__name__)
                self._core.list_unavailable()
                index = 0  # changes may have been missed: the next query must not block
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
                continue
            if result.is_changed or self._core.version is None:
                version += 1
                self._update_core(result.nodes)
            self._core.source_unreachable = False
            if not result.next_index:
                await asyncio.sleep(_MIN_BACKOFF_S)  # the next query does not block: avoid a tight loop
            index, backoff_s = result.next_index, _MIN_BACKOFF_S

    def _health_url(self, index: int) -> URL:
        """Return the URL of a query that blocks until the index has increased, or not at all for index 0."""
        query = f"?index={index}&wait={self._config.wait_s:g}s" if index else ""
        return URL(f"{self._base_url}/health/service/{self._config.service}{query}", encoded=True)

    async def _query_health(self, url: URL, index: int, version: int) -> _HealthResult:
        """Run one query; its node list gets this version, and ``index`` is the index in the URL."""
        async with (
            asyncio.timeout(self._config.wait_s * _WAIT_JITTER + _QUERY_SLACK_S),
            self._session.get(url, allow_redirects=False) as response,
        ):
            if response.status != 200:
                raise HealthError(f"agent responded with status {response.status} to the health query")
            known_members = {member.name: member for member in self._core.members}
            nodes = parse_health(await response.read(), self._zones, known_members, version)
            return _HealthResult(
                nodes=nodes,
                is_changed=set(nodes.members) != set(known_members.values()),
                next_index=next_index(index, response.headers.get("X-Consul-Index")),
            )

    def _update_core(self, nodes: NodeList) -> None:
        listed = " ".join(f"{member.name}:{member.state.value}" for member in nodes.members)
        log.info("nodes.listed", version=nodes.version, nodes=listed)
        self._core.update(nodes)

    async def keep_registered(self) -> None:
        """Register this broker and renew its TTL check until it is deregistered or the task is cancelled."""
        is_registered = False
        while True:
            status = "passing" if self._core.ready else "critical"
            try:
                async with self._registration_lock:
                    # A renewal after the deregistration would be rejected, and this process, which is
                    # shutting down, would then register again as passing.
                    if self._is_deregistering:
                        return
                    if not is_registered:
                        await self._put("/agent/service/register", self._service_definition())
                        is_registered = True
                    await self._put(f"/agent/check/update/{self._check_id}", {"Status": status})
                await asyncio.sleep(self._config.ttl_s / _RENEWALS_PER_TTL)
            except (HealthError, aiohttp.ClientError, OSError) as error:
                log.warning("consul.not_registered", why=str(error) or type(error).__name__)
                is_registered = False  # a restarted agent has lost the registration
                await asyncio.sleep(min(self._config.ttl_s / _RENEWALS_PER_TTL, _REGISTRATION_RETRY_S))

    @property
    def _check_id(self) -> str:
        return f"service:{self._name}"

    def _service_definition(self) -> dict[str, Any]:
        host, port = self._listen
        return {
            "ID": self._name,
            "Name": self._config.register,
            "Address": host,
            "Port": port,
            "Check": {
                "CheckID": self._check_id,
                "TTL": f"{self._config.ttl_s:g}s",
                "DeregisterCriticalServiceAfter": _DEREGISTER_CRITICAL_AFTER,
            },
        }

    async def deregister(self) -> None:
        """Stop the renewals and remove the broker's registration, after any renewal in flight."""
        self._is_deregistering = True
        try:
            async with self._registration_lock:
                await self._put(f"/agent/service/deregister/{self._name}", None)
        except (HealthError, aiohttp.ClientError, OSError) as error:
            log.warning("consul.not_deregistered", why=str(error) or type(error).__name__)

    async def _put(self, path: str, body: Any) -> None:
        url = URL(self._base_url + path, encoded=True)
        async with asyncio.timeout(CALL_TIMEOUT_S), self._session.put(url, json=body) as response:
            if response.status != 200:
                raise HealthError(f"agent responded with status {response.status} to {path}")
