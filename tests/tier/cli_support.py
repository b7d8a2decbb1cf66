"""Helpers that run operators' commands through cleo, and stub HTTP servers on loopback for them to call."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable
from typing import Any

import attrs
from aiohttp import web
from cleo.testers.command_tester import CommandTester

from cherrycove.tier.cli import create_application

DONE, FAILED, INVALID, UNANSWERED = 0, 1, 2, 3
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "a.example",
            "pathPrefix": "/x/",
            "routeKind": "streaming",
            "timeoutMs": 3000,
            "service": "s-1",
        }
    ],
    "services": [{"name": "s-1"}],
}
SETTINGS = """
nodeName: core-1
machineClass: core
ipAddress: 10.0.0.1
zone: z1
region: r1
internalPortRange: [7720, 7735]
serves: [control_plane]
"""


@attrs.frozen
class CommandResult:
    exit_code: int
    output: str
    errors: str

    @property
    def document(self) -> Any:
        return json.loads(self.output)


def run(command: str, arguments: str = "") -> CommandResult:
    tester = CommandTester(create_application().find(command))
    exit_code = tester.execute(arguments)
    return CommandResult(exit_code, tester.io.fetch_output(), tester.io.fetch_error())


# Stub servers


@attrs.frozen
class ReceivedRequest:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class StubResponse:
    status: int
    body: bytes = b"{}"
    headers: dict[str, str] = attrs.field(factory=dict)


class EventLoopThread:
    """Runs an event loop in a thread, for servers that commands call while they block."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def run(self, awaitable: Awaitable[Any]) -> Any:
        async def wait() -> Any:
            return await awaitable

        return asyncio.run_coroutine_threadsafe(wait(), self._loop).result(timeout=20)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class StubServer:
    """Sends the given responses to HTTP requests in order, and the last one to all further requests."""

    def __init__(self, *responses: StubResponse) -> None:
        self.responses = list(responses)
        self.received: list[ReceivedRequest] = []
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        self.received.append(ReceivedRequest(request.method, request.path_qs, dict(request.headers), body))
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        return web.Response(status=response.status, body=response.body, headers=response.headers)
