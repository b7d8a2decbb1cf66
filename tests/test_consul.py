"""Consul against a stand-in agent: health as a node list, index resets, registration."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from aiohttp import ClientTimeout, web
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


def test_health_becomes_node_states() -> None:
    known = {"bad": Member("bad", "127.0.0.1:1", 0)}
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
    news = consul.parse_health(text, PLATFORM.zones, known, 9)
    states = {member.name: member.state for member in news.members}
    up, draining = NodeState.UP, NodeState.DRAINING
    assert states == {
        "up": up,
        "warned": up,
        "ill": draining,
        "kept": draining,
        "off": draining,
        "bad": draining,
    }
    assert news.full and news.version == 9
    assert news.members[0] == Member("up", "127.0.0.9:5000", 1, 1, 2.0, 7000.0)


def test_an_index_that_falls_or_is_none_starts_over() -> None:
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
    """A stand-in agent: answers health from a script, then holds the query; keeps what is put."""

    def __init__(self, *script: tuple[int, str | None, Any]) -> None:
        self.script, self.asked, self.put = list(script), [], []  # type: ignore[var-annotated]
        self.held, self.forgets = asyncio.Event(), 0
        self.updated = asyncio.Event()
        self.hold: asyncio.Event | None = None  # until when nothing that is put is answered
        self.holds = asyncio.Event()  # something waits so

    async def start(self) -> tuple[str, int]:
        self.runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return "127.0.0.1", self.runner.addresses[0][1]

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.method == "PUT":
            self.put.append((request.path, await request.json() if request.body_exists else None))
            if self.hold is not None:
                self.holds.set()
                await self.hold.wait()
            if request.path.startswith("/v1/agent/check/update/"):
                self.forgets -= 1
                if self.forgets >= 0:
                    return web.Response(status=404)  # the agent has started anew and knows no such check
                self.updated.set()
            return web.Response()
        self.asked.append(request.rel_url.query.get("index"))
        if not self.script:
            self.held.set()
            await asyncio.Event().wait()
        status, index, body = self.script.pop(0)
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        return web.Response(status=status, body=text, headers={"X-Consul-Index": index} if index else {})


def test_the_watch_follows_and_survives_errors_and_a_reset() -> None:
    async def story() -> None:
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
            await agent.held.wait()
            assert agent.asked == [None, "10", None, None, "12", None, "4"]
            assert [m.name for m in world.core.members] == ["b"] and world.core.ready
            assert world.core.version == 4  # of lists that changed
            task.cancel()
            await client.close()
        await agent.runner.cleanup()

    run(story())


def test_registration_is_renewed_when_the_agent_forgets_and_ends_with_the_broker() -> None:
    async def story() -> None:
        agent = Agent()
        agent.forgets = 1
        async with World() as world:
            setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker", ttl_s=1.0)
            client = consul.ConsulClient(world.core, setup, PLATFORM.zones, "n0", ("127.0.0.1", 5000))
            task = asyncio.create_task(client.keep_registered())
            await agent.updated.wait()
            task.cancel()
            await client.deregister()
            await client.close()
        paths = [path.removeprefix("/v1/agent/") for path, _ in agent.put]
        assert paths == ["service/register", "check/update/service:n0"] * 2 + ["service/deregister/n0"]
        assert agent.put[0][1]["Port"] == 5000 and agent.put[0][1]["Check"]["TTL"] == "1s"
        assert agent.put[1][1] == {"Status": "critical"}  # it has no node to send to
        await agent.runner.cleanup()

    run(story())


def test_the_own_entry_is_not_made_again_behind_its_end() -> None:
    """An agent that was asked to forget the broker knows no check of it; told so, it registered again."""

    async def story() -> None:
        agent = Agent()
        async with World() as world:
            setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker", ttl_s=1.0)
            client = consul.ConsulClient(world.core, setup, PLATFORM.zones, "n0", ("127.0.0.1", 5000))
            keeping = asyncio.create_task(client.keep_registered())
            await agent.updated.wait()
            agent.hold, agent.forgets = asyncio.Event(), 1
            await agent.holds.wait()  # the next update is at the agent
            leaving = asyncio.create_task(client.deregister())
            await asyncio.sleep(0)
            agent.hold.set()  # which now knows no such check
            await asyncio.wait([keeping, leaving])
            await client.close()
        paths = [path.removeprefix("/v1/agent/") for path, _ in agent.put]
        assert paths == ["service/register", *["check/update/service:n0"] * 2, "service/deregister/n0"]
        await agent.runner.cleanup()

    run(story())


def test_a_silent_agent_does_not_hold_up_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the broker does at an end begins while the agent is still asked to forget it."""
    monkeypatch.setattr(consul, "CALL_TIMEOUT", ClientTimeout(total=None))

    async def story() -> None:
        agent = Agent()
        agent.hold = asyncio.Event()
        setup = consul.ConsulConfig(await agent.start(), "disk-node", register="broker")
        broker = Broker(
            config.parse_platform_config(raw() | {"listen": "127.0.0.1:0"}, {}),
            config.OperatorConfig(consul=setup),
        )
        broker._consul = consul.ConsulClient(broker.core, setup, {}, "n0", ("127.0.0.1", 1))
        lingers, go = asyncio.Event(), asyncio.Event()
        told, put = [], broker._consul._put  # type: list[str], Any

        async def tell(path: str, body: Any) -> None:
            await put(path, body)
            told.append(path)

        monkeypatch.setattr(broker._consul, "_put", tell)

        async def linger(*_: object, **__: object) -> None:
            lingers.set()
            await go.wait()

        monkeypatch.setattr(broker.front, "serve_until_stop", linger)
        ending = asyncio.create_task(broker.end())
        await lingers.wait()
        await agent.holds.wait()
        closes = asyncio.Event()

        async def close() -> None:
            closes.set()

        monkeypatch.setattr(broker.front, "close", close)
        go.set()
        await closes.wait()
        agent.hold.set()  # it answers behind all others, and is waited for
        await ending
        assert told == ["/agent/service/deregister/n0"]
        await agent.runner.cleanup()

    run(story())
