"""The operator's HTTP interface. Only the confirmed primary decides; other keepers point to it."""

from __future__ import annotations

import asyncio
import re

from aiohttp import web
from result import Err, Ok, Result

from cherrycove.tier.controlplane.configuration_service import MAX_VERSION, ConfigurationService
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.retirement import RetirementService
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.errors import ErrorKind, Failure

MAX_BODY_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 10.0  # a body takes no longer to arrive
SHUTDOWN_TIMEOUT_S = 0.5
JSON_TYPE = "application/json"

_VERSION = re.compile(r'"?([0-9]{1,19})"?', re.ASCII)


class OperatorApi:
    """Serves the operator on the control plane's address."""

    def __init__(
        self,
        leadership: Leadership,
        state: ControlState,
        decisions: ConfigurationService,
        retirement: RetirementService,
    ) -> None:
        self._leadership = leadership
        self._state = state
        self._decisions = decisions
        self._retirement = retirement
        self._port = 0
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``; without one, only ``answer`` answers."""
        if not address:
            return
        host, _, port = address.rpartition(":")
        self._port = int(port)
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_put("/api/configuration", self._put_configuration)
        application.router.add_get("/api/configuration", self._get_configuration, allow_head=False)
        application.router.add_post("/api/retire/{node}", self._post_retire)
        application.router.add_get("/api/retire/{node}", self._get_retire, allow_head=False)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, self._port).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def answer(self, request: web.Request) -> web.Response:
        """The answer to one request, however it came."""
        configuration = request.path == "/api/configuration"
        if request.method == "PUT":
            return await self._put_configuration(request)
        if request.method == "POST":
            return await self._post_retire(request)
        return await (self._get_configuration if configuration else self._get_retire)(request)

    async def _put_configuration(self, request: web.Request) -> web.Response:
        body = await _read_body(request)
        settled = await self._leadership.wait_until_confirmed()
        if isinstance(settled, Err):
            return self._failed(request, settled.err_value)
        if isinstance(body, Err):
            return self._refused(request, body.err_value)
        base_version = _base_version(request)
        if base_version is None:
            return self._refused(request, Failure(ErrorKind.INVALID, "If-Match must be a version"))
        return self._answered(request, await self._decisions.put(body.ok_value, base_version))

    async def _get_configuration(self, request: web.Request) -> web.Response:
        settled = await self._leadership.wait_until_confirmed()
        if isinstance(settled, Err):
            return self._failed(request, settled.err_value)
        configuration = self._state.configuration
        if not configuration.version:
            return self._failed(request, Failure(ErrorKind.NOT_FOUND, "no configuration was taken yet"))
        return web.Response(
            body=configuration.document,
            content_type=JSON_TYPE,
            headers={"ETag": f'"{configuration.version}"'},
        )

    async def _post_retire(self, request: web.Request) -> web.Response:
        settled = await self._leadership.wait_until_confirmed()
        if isinstance(settled, Err):
            return self._failed(request, settled.err_value)
        return self._answered(request, await self._retirement.order(request.match_info["node"]))

    async def _get_retire(self, request: web.Request) -> web.Response:
        settled = await self._leadership.wait_until_confirmed()
        if isinstance(settled, Err):
            return self._failed(request, settled.err_value)
        state = self._retirement.state(request.match_info["node"])
        if isinstance(state, Err):
            return self._failed(request, state.err_value)
        return web.json_response({"state": state.ok_value.value})

    def _answered(self, request: web.Request, outcome: Result[None, Failure]) -> web.Response:
        if isinstance(outcome, Err):
            return self._failed(request, outcome.err_value)
        return web.json_response({})

    def _refused(self, request: web.Request, failure: Failure) -> web.Response:
        """A refusal for good, which only the confirmed primary may give."""
        confirmed = self._leadership.is_confirmed_primary()
        return self._failed(request, failure if confirmed else self._leadership.not_primary_failure())

    def _failed(self, request: web.Request, failure: Failure) -> web.Response:
        body = {"error": failure.kind.value, "detail": failure.detail}
        if failure.kind is ErrorKind.NOT_PRIMARY and failure.primary:
            host = failure.primary.rpartition(":")[0]
            location = f"http://{host}:{self._port}{request.raw_path}"
            return web.json_response(body, status=307, headers={"Location": location})
        answer = failure.answer
        headers = {} if answer.retry_after_s is None else {"Retry-After": f"{answer.retry_after_s:g}"}
        return web.json_response(body, status=answer.status, headers=headers)


async def _read_body(request: web.Request) -> Result[bytes, Failure]:
    """The whole body. It is read also where it is not used, since closing before the end would reset."""
    try:
        return Ok(await asyncio.wait_for(request.read(), BODY_TIMEOUT_S))
    except TimeoutError:
        return Err(Failure(ErrorKind.UNAVAILABLE, "the body did not arrive in time"))
    except web.HTTPRequestEntityTooLarge as error:
        return Err(Failure(ErrorKind.TOO_LARGE, str(error.text)))


def _base_version(request: web.Request) -> int | None:
    """The version that If-Match names; None when there is none or it is malformed."""
    values = request.headers.getall("If-Match", [])
    match = _VERSION.fullmatch(values[0].strip()) if len(values) == 1 else None
    version = int(match.group(1)) if match else None
    return version if version is not None and version <= MAX_VERSION else None
