"""Consul: the health API as the source of the node list, and the broker's own entry in the catalogue.

It owns the blocking queries, the reading of a service's health as a node's state, the registration and its
TTL check. It must never hand on a list that it could not read, ask in a tight loop, or keep the broker from
serving: without Consul the last list stands.
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

SLACK = 1.0  # s past a blocking query's wait; Consul itself adds up to a sixteenth of the wait
LEAST_PAUSE, MOST_PAUSE = 0.1, 10.0  # s between calls after failures, doubling
STATES = ("passing", "warning", "critical", "maintenance")


class HealthError(ValueError):
    """What came is not an answer of the health API."""


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    agent: tuple[str, int]
    service: str  # the disk nodes' service
    wait_s: float = 30.0
    register: str = ""  # the broker's own service; empty: it is not registered
    ttl_s: float = 10.0


def _state(checks: Any) -> NodeState:
    """Passing (or with a warning) is up; maintenance or critical takes no new work."""
    if not isinstance(checks, list) or not all(
        isinstance(check, dict) and check.get("Status") in STATES for check in checks
    ):
        raise HealthError("its checks are malformed")
    ill = any(
        check["Status"] in ("critical", "maintenance")
        or str(check.get("CheckID", "")).startswith(("_node_maintenance", "_service_maintenance"))
        for check in checks
    )
    return NodeState.DRAINING if ill else NodeState.UP


def _instance(raw: Any, zones: Mapping[str, int]) -> Member:
    try:
        service, node = raw["Service"], raw["Node"]
        meta = service.get("Meta") or {}
        name, port = service["ID"], service["Port"]
        host = service.get("Address") or node["Address"]
        shard, since = int(meta["shard"]), float(meta.get("since_ms", 0))
        zone = meta.get("zone", "")
        weight = float((service.get("Weights") or {}).get("Passing", 1))
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise HealthError(f"it lacks or misstates {error}") from None
    if not (
        isinstance(name, str)
        and name
        and isinstance(host, str)
        and host
        and type(port) is int
        and 0 < port < 65536
        and shard >= 0
        and 0 <= since < 1e18
        and 0 <= weight < 1e9
    ):
        raise HealthError("a value is out of range")
    return Member(
        name,
        f"{host}:{port}",
        shard,
        zones.get(zone, 0) if isinstance(zone, str) else 0,
        weight,
        since,
        _state(raw.get("Checks")),
    )


def parse_health(
    text: bytes | str, zones: Mapping[str, int], before: Mapping[str, Member], version: int
) -> NodeList:
    """The service's instances as a whole node list, or HealthError.

    One instance that is registered wrongly must not blind the broker to the others: it is left out, or, if it
    was known, gets no new work.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise HealthError("not JSON") from None
    if not isinstance(raw, list):
        raise HealthError("not a list of instances")
    members: dict[str, Member] = {}
    for each in raw:
        try:
            member = _instance(each, zones)
        except HealthError as error:
            service = each.get("Service") if isinstance(each, dict) else None
            name = service.get("ID") if isinstance(service, dict) else None
            log.warning("consul.instance_unusable", instance=name, why=error)
            if isinstance(name, str) and name in before:
                members[name] = replace(before[name], state=NodeState.DRAINING)
        else:
            members[member.name] = member
    return NodeList(version, True, tuple(members.values()))


def next_index(last: int, text: str | None) -> int:
    """The index to ask with next: one that falls, or is none, starts over."""
    index = int(text) if text and text.isascii() and text.isdigit() and len(text) < 20 else 0
    return index if index >= max(last, 1) else 0


class ConsulClient:
    """Talks to one agent."""

    def __init__(
        self, core: Core, setup: ConsulConfig, zones: Mapping[str, int], name: str, listen: tuple[str, int]
    ) -> None:
        self._core, self._setup, self._zones = core, setup, zones
        self._name, self._listen = name, listen
        host, port = setup.agent
        self._base = f"http://{host}:{port}/v1"
        self._leaving, self._entry = False, asyncio.Lock()  # held while the own entry is being changed
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=setup.wait_s * 17 / 16 + SLACK, sock_connect=SLACK),
        )

    async def close(self) -> None:
        await self._session.close()

    async def watch(self) -> None:
        """Follow the service's health for ever."""
        index, pause, version = 0, LEAST_PAUSE, self._core.version or 0
        while True:
            query = f"?index={index}&wait={self._setup.wait_s:g}s" if index else ""
            url = URL(f"{self._base}/health/service/{self._setup.service}{query}", encoded=True)
            try:
                async with self._session.get(url, allow_redirects=False) as answer:
                    if answer.status != 200:
                        raise HealthError(f"status {answer.status}")
                    before = {member.name: member for member in self._core.members}
                    news = parse_health(await answer.read(), self._zones, before, version + 1)
                    told = next_index(index, answer.headers.get("X-Consul-Index"))
            except (HealthError, aiohttp.ClientError, OSError, ValueError) as error:
                log.warning("consul.silent", why=str(error) or type(error).__name__)
                self._core.list_unavailable()
                index = 0  # what was missed is asked for anew
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, MOST_PAUSE)
                continue
            if set(news.members) != set(before.values()) or self._core.version is None:
                version += 1
                log.info(
                    "nodes.listed",
                    version=news.version,
                    nodes=" ".join(f"{m.name}:{m.state.value}" for m in news.members),
                )
                self._core.update(news)
            self._core.silent = False
            if not told:
                await asyncio.sleep(LEAST_PAUSE)  # no index to block on: never a tight loop
            index, pause = told, LEAST_PAUSE

    async def keep_registered(self) -> None:
        """Register this broker and keep its TTL check passing, until it is deregistered."""
        check = f"service:{self._name}"
        host, port = self._listen
        entry = {
            "ID": self._name,
            "Name": self._setup.register,
            "Address": host,
            "Port": port,
            "Check": {
                "CheckID": check,
                "TTL": f"{self._setup.ttl_s:g}s",
                "DeregisterCriticalServiceAfter": "10m",
            },
        }
        registered = False
        while True:
            status = "passing" if self._core.ready else "critical"
            try:
                async with self._entry:
                    # Guard: an agent asked to forget this broker knows no such check; told so, it was
                    # registered again, as passing, by a process that ends.
                    if self._leaving:
                        return
                    if not registered:
                        await self._put("/agent/service/register", entry)
                        registered = True
                    await self._put(f"/agent/check/update/{check}", {"Status": status})
                await asyncio.sleep(self._setup.ttl_s / 3)
            except (HealthError, aiohttp.ClientError, OSError) as error:
                log.warning("consul.not_registered", why=str(error) or type(error).__name__)
                registered = False  # an agent that has started anew knows nothing of us
                await asyncio.sleep(min(self._setup.ttl_s / 3, 1.0))

    async def deregister(self) -> None:
        """Behind whatever is just being told of the entry; it is not renewed from now on."""
        self._leaving = True
        try:
            async with self._entry:
                await self._put(f"/agent/service/deregister/{self._name}", None)
        except (HealthError, aiohttp.ClientError, OSError) as error:
            log.warning("consul.not_deregistered", why=str(error) or type(error).__name__)

    async def _put(self, path: str, body: Any) -> None:
        async with self._session.put(URL(self._base + path, encoded=True), json=body, timeout=CALL) as answer:
            if answer.status != 200:
                raise HealthError(f"status {answer.status} to {path}")


CALL = aiohttp.ClientTimeout(total=2.0)
