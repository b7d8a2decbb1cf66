"""The Consul client against a test agent: health as a node list, index resets, registration."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from aiohttp import web
from hypothesis import given
from support import PLATFORM, World, corrupted, fuzz, raw, run

from cherrycove.broker import config, consul
from cherrycove.broker.core import Member
from cherrycove.broker.process import Broker
from cherrycove.scheduling.interface import NodeState


def instance(name: str, status: str = "passing", check: str = "service:x", **meta: str) -> dict[str, Any]:
    return {
        "Node": {"Node": "m", "Address": "127.0.0.9"},
        "Service": {
            "ID": name,
            "Service": "disk-node",
            "Address": "",
            "Port": 5000,
            "Meta": {"shard": "1", "zone": "room-b", "since_ms": "7000"} | meta,
            "Weights": {"Passing": 2, "Warning": 1},
        },
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": check, "Status": status}],
    }


def test_health_checks_map_to_node_states() -> None:
    known_members = {"bad": Member("bad", "127.0.0.1:1", 0)}
    text = json.dumps(
        [
            instance("up"),
            instance("warned", "warning"),
            instance("ill", "critical"),
            instance("kept", "critical", "_service_maintenance:kept"),
            instance("off", "maintenance"),
            instance("bad", shard="none"),
            instance("new-bad", shard="-3"),
        ]
    )
    nodes = consul.parse_health(text, PLATFORM.zones, known_members, 9)
    states = {member.name: member.state for member in nodes.members}
    up, draining = NodeState.UP, NodeState.DRAINING
    assert states == {
        "up": up,
        "warned": up,
        "ill": draining,
        "kept": draining,
        "off": draining,
        "bad": draining,
    }
    assert nodes.full and nodes.version == 9
    assert nodes.members[0] == Member("up", "127.0.0.9:5000", 1, 1, 2.0, 7000.0)


def test_a_decreased_or_invalid_index_restarts_the_queries() -> None:
    assert [
        consul.next_index(last, text)
        for last, text in [(0, "5"), (5, "5"), (5, "4"), (5, "0"), (5, None), (5, "x")]
    ] == [5, 5, 0, 0, 0, 0]


@fuzz
@given(corrupted(json.dumps([instance("a")]).encode()))
def test_garbage_is_refused_or_a_usable_list(garbage: bytes) -> None:
    try:
        news = consul.parse_health(garbage, PLATFORM.zones, {}, 1)
    except consul.HealthError as error:
        assert str(error)
    else:
        assert all(
            m.name and m.shard >= 0 and 0 < int(m.address.rpartition(":")[2]) < 65536 for m in news.members
        )


class Agent:
    """A test agent: answers health queries from a script, then never; records them and all PUT requests."""

    def __init__(self, *script: tuple[int, str | None, Any]) -> None:
        self.script, self.query_indexes, self.puts = list(script), [], []  # type: ignore[var-annotated]
        self.script_ended, self.updates_to_reject = asyncio.Event(), 0
        self.updated = asyncio.Event()
        self.put_gate: asyncio.Event | None = None  # if set, PUT requests wait for it
        self.put_waiting = asyncio.Event()  # set once a PUT request waits for ``put_gate``

    async def start(self) -> tuple[str, int]:
        self.runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return "127.0.0.1", self.runner.addresses[0][1]

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.method == "PUT":
            self.puts.append((request.path, await request.json() if request.body_exists else None))
            if self.put_gate is not None:
                self.put_waiting.set()
                await self.put_gate.wait()
            if request.path.startswith("/v1/agent/check/update/"):
                self.updates_to_reject -= 1
                if self.updates_to_reject >= 0:
                    return web.Response(status=404)  # as a restarted agent, which has lost the check
                self.updated.set()
            return web.Response()
        self.query_indexes.append(request.rel_url.query.get("index"))
        if not self.script:
            self.script_ended.set()
            await asyncio.Event().wait()
        status, index, body = self.script.pop(0)
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        return web.Response(status=status, body=text, headers={"X-Consul-Index": index} if index else {})


def test_the_watch_survives_errors_and_an_index_reset() -> None:
    async def scenario() -> None:
        agent = Agent(
            (200, "10", [instance("a")]),
            (500, None, b""),
            (200, "11", b"{"),
            (200, "12", [instance("a", "critical")]),
            (200, "3", [instance("a"), instance("b")]),
            (200, "4", [instance("b")]),
        )
        async with World() as world:
            setup = consul.ConsulConfig(await agent.start(), "disk-node")
            client = consul.ConsulClient(world.core, setup, PLATFORM.zones, "n0", ("127.0.0.1", 1))
            task = asyncio.create_task(client.watch())
            await agent.script_ended.wait()
            assert agent.query_indexes == [None, "10", None, None, "12", None, "4"]
            assert [m.name for m in world.core.members] == ["b"] and world.core.ready
            assert world.core.version == 4  # four lists differed from the one before
            task.cancel()
            await client.close()
        await agent.runner.cleanup()

    run(scenario())


def test_registration_is_repeated_after_an_agent_restart_and_removed_on_deregistration() -> None:
    async def scenario() -> None:
        agent = Agent()
        agent.updates_to_reject = 1
        async with World() as world:
            setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker", ttl_s=1.0)
            client = consul.ConsulClient(world.core, setup, PLATFORM.zones, "n0", ("127.0.0.1", 5000))
            task = asyncio.create_task(client.keep_registered())
            await agent.updated.wait()
            task.cancel()
            await client.deregister()
            await client.close()
        paths = [path.removeprefix("/v1/agent/") for path, _ in agent.puts]
        assert paths == ["service/register", "check/update/service:n0"] * 2 + ["service/deregister/n0"]
        assert agent.puts[0][1]["Port"] == 5000 and agent.puts[0][1]["Check"]["TTL"] == "1s"
        assert agent.puts[1][1] == {"Status": "critical"}  # the broker has no node to send to
        await agent.runner.cleanup()

    run(scenario())


def test_the_broker_does_not_register_again_after_deregistration() -> None:
    """Guards against registering again when a renewal arrives after the deregistration.

    The agent rejects such a renewal, because it no longer knows the check; the broker took that for a restart
    of the agent and registered again.
    """

    async def scenario() -> None:
        agent = Agent()
        async with World() as world:
            setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker", ttl_s=1.0)
            client = consul.ConsulClient(world.core, setup, PLATFORM.zones, "n0", ("127.0.0.1", 5000))
            renewing = asyncio.create_task(client.keep_registered())
            await agent.updated.wait()
            agent.put_gate, agent.updates_to_reject = asyncio.Event(), 1
            await agent.put_waiting.wait()  # the next renewal has reached the agent
            deregistering = asyncio.create_task(client.deregister())
            await asyncio.sleep(0)
            agent.put_gate.set()  # the agent now rejects that renewal
            await asyncio.wait([renewing, deregistering])
            await client.close()
        paths = [path.removeprefix("/v1/agent/") for path, _ in agent.puts]
        assert paths == ["service/register", *["check/update/service:n0"] * 2, "service/deregister/n0"]
        await agent.runner.cleanup()

    run(scenario())


def test_an_unresponsive_agent_does_not_delay_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """The shutdown proceeds while the deregistration still waits for the agent's response."""
    monkeypatch.setattr(consul, "CALL_TIMEOUT_S", None)

    async def scenario() -> None:
        agent = Agent()
        agent.put_gate = asyncio.Event()
        setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker")
        broker = Broker(
            config.parse_platform_config(raw() | {"listen": "127.0.0.1:0"}, {}),
            config.OperatorConfig(consul=setup),
        )
        broker._consul = consul.ConsulClient(broker.core, setup, {}, "n0", ("127.0.0.1", 1))
        lingering, proceed = asyncio.Event(), asyncio.Event()
        answered_paths, put = [], broker._consul._put  # type: list[str], Any

        async def record_put(path: str, body: Any) -> None:
            await put(path, body)
            answered_paths.append(path)

        monkeypatch.setattr(broker._consul, "_put", record_put)

        async def linger(*_: object, **__: object) -> None:
            lingering.set()
            await proceed.wait()

        monkeypatch.setattr(broker.http_server, "serve_until_stop", linger)
        ending = asyncio.create_task(broker.shut_down())
        await lingering.wait()
        await agent.put_waiting.wait()
        closing = asyncio.Event()

        async def close() -> None:
            closing.set()

        monkeypatch.setattr(broker.http_server, "close", close)
        proceed.set()
        await closing.wait()
        agent.put_gate.set()  # the shutdown waits for this last response
        await ending
        assert answered_paths == ["/agent/service/deregister/n0"]
        await agent.runner.cleanup()

    run(scenario())
