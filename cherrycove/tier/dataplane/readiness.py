"""The endpoint of the platform's readiness probe, which also serves the loss counts."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from cherrycove.tier.configuration import ClientLimits
from cherrycove.tier.dataplane.loss_record import LOSSES_PATH
from cherrycove.tier.listener.client_server import ClientServer, ListenerBudget

READINESS_PATH = "/api/readiness"
SHUTDOWN_TIMEOUT_S = 0.1
LIMITS = ClientLimits(max_body_bytes=0, idle_timeout_ms=60_000.0)  # nobody sends a body there


class ReadinessServer:
    """Serves ``GET /api/readiness`` on a separate address: 200 while ``is_ready`` returns True, else 503.

    ``GET /api/losses`` on the same address returns the document of ``losses``, for the command line.

    Owned by the ``DataPlane``. The separate listener responds even while the frontend address is saturated.
    """

    def __init__(
        self,
        address: str,
        is_ready: Callable[[], bool],
        losses: Callable[[], bytes],
        budget: ListenerBudget | None = None,
    ) -> None:
        self._address = address
        self._is_ready = is_ready
        self._losses = losses
        self._budget = budget
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on the readiness address. Raises ``OSError`` if it is in use."""
        server = ClientServer(self._handle, lambda: LIMITS, self._budget)
        self._runner = await server.listen(self._address, SHUTDOWN_TIMEOUT_S)

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
