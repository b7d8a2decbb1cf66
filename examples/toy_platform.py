"""A fake of the platform API that lists model brokers, on loopback."""

from __future__ import annotations

from typing import Any

import attrs
from aiohttp import web

from examples.toy_broker import ToyBroker

SHUTDOWN_TIMEOUT_S = 0.1


@attrs.define(eq=False, kw_only=True)
class ToyPlatform:
    """Serves ``GET /instances``, which lists all ``brokers`` as ready in a single page."""

    service: str
    brokers: list[ToyBroker]
    address: str = ""  # host:port, once started
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application()
        application.router.add_get("/instances", self._list)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _list(self, request: web.Request) -> web.Response:
        instances = [self._instance(broker) for broker in self.brokers]
        return web.json_response({"instances": instances, "nextPageToken": None})

    def _instance(self, broker: ToyBroker) -> dict[str, Any]:
        return {
            "instanceId": broker.instance_id,
            "service": self.service,
            "address": broker.address,
            "zone": "zone-1",
            "version": "v1",
            "capacitySlots": broker.slots,
            "state": "ready",
            "warmupRemainingMs": 0,
        }
