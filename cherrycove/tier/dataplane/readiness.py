"""The endpoint of the platform's readiness probe, which also serves the loss counts."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from cherrycove.tier.dataplane.loss_record import LOSSES_PATH
from cherrycove.tier.protocol.server_log import server_logger

READINESS_PATH = "/api/readiness"
SHUTDOWN_TIMEOUT_S = 0.1


class ReadinessServer:
    """Serves ``GET /api/readiness`` on a separate address: 200 while ``is_ready`` returns True, else 503.

    ``GET /api/losses`` on the same address returns the document of ``losses``, for the command line.

    Owned by the ``DataPlane``. The separate listener responds even while the frontend address is saturated.
    """

    def __init__(self, address: str, is_ready: Callable[[], bool], losses: Callable[[], bytes]) -> None:
        self._address = address
        self._is_ready = is_ready
        self._losses = losses
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on the readiness address. Raises ``OSError`` if it is in use."""
        host, _, port = self._address.rpartition(":")
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, logger=server_logger()),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == LOSSES_PATH:
            return web.Response(body=self._losses(), content_type="application/json")
        if request.path != READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(status=HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)
