"""Serves the operator's HTTP interface.

It answers PUT and GET on ``/api/configuration`` and POST and GET on ``/api/retire/NODE``. Only the confirmed
primary decides; other controllers answer with the address of the primary.
"""

from __future__ import annotations

import asyncio
import re

from aiohttp import web
from aiohttp.http import HttpProcessingError
from result import Err, Ok, Result

from cherrycove.tier.controlplane.configuration_service import MAX_VERSION, ConfigurationService
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.operator_answers import (
    Accepted,
    CurrentConfiguration,
    OperatorAnswer,
    RetireStatus,
    failure_response,
    success_response,
)
from cherrycove.tier.controlplane.retirement import RetirementService
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.listener.server_log import server_logger

CONFIGURATION_PATH = "/api/configuration"
RETIRE_PATH = "/api/retire/{node}"
MAX_BODY_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 10.0  # time limit for receiving a request body
SHUTDOWN_TIMEOUT_S = 0.5  # time limit for requests in flight when the interface stops

_VERSION = re.compile(r'"?([0-9]{1,19})"?', re.ASCII)


class OperatorApi:
    """Translates HTTP requests to calls of the configuration and retirement services, and back.

    Owned by the ``Controller``. Its only state is the listener; the services answer each request after this
    controller is confirmed as the primary.
    """

    def __init__(
        self, leadership: Leadership, configuration: ConfigurationService, retirement: RetirementService
    ) -> None:
        self._leadership = leadership
        self._configuration = configuration
        self._retirement = retirement
        self._port = 0
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address`` (host:port); if it is empty, only direct calls of ``answer`` are served.

        Raises ``OSError`` if the address cannot be bound.
        """
        if not address:
            return
        host, _, port = address.rpartition(":")
        self._port = int(port)
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_put(CONFIGURATION_PATH, self._put_configuration)
        application.router.add_get(CONFIGURATION_PATH, self._get_configuration, allow_head=False)
        application.router.add_post(RETIRE_PATH, self._post_retire)
        application.router.add_get(RETIRE_PATH, self._get_retire, allow_head=False)
        self._runner = web.AppRunner(
            application, access_log=None, logger=server_logger(), shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, self._port).start()

    async def stop(self) -> None:
        """Close the listener; requests in flight have ``SHUTDOWN_TIMEOUT_S`` to finish."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def answer(self, request: web.Request) -> web.Response:
        """Answer one request that was not received by the listener, such as one of a simulated operator."""
        if request.method == "PUT":
            return await self._put_configuration(request)
        if request.method == "POST":
            return await self._post_retire(request)
        if request.path == CONFIGURATION_PATH:
            return await self._get_configuration(request)
        return await self._get_retire(request)

    async def _put_configuration(self, request: web.Request) -> web.Response:
        return self._respond(request, await self._change_configuration(request))

    async def _get_configuration(self, request: web.Request) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        return self._respond(request, self._configuration.current().map(CurrentConfiguration))

    async def _post_retire(self, request: web.Request) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        outcome = await self._retirement.order(request.match_info["node"])
        return self._respond(request, outcome.map(lambda _: Accepted()))

    async def _get_retire(self, request: web.Request) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        return self._respond(request, self._retirement.state(request.match_info["node"]).map(RetireStatus))

    async def _change_configuration(self, request: web.Request) -> Result[OperatorAnswer, Failure]:
        body = await _read_body(request)
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return confirmed
        if isinstance(body, Err):
            return self._final_error(body.err_value)
        base_version = _base_version(request)
        if base_version is None:
            return self._final_error(Failure(ErrorKind.INVALID, "If-Match must be a version"))
        outcome = await self._configuration.put(body.ok_value, base_version)
        return outcome.map(lambda _: Accepted())

    def _final_error(self, failure: Failure) -> Err[Failure]:
        """Return ``failure``, or NOT_PRIMARY if this is not the confirmed primary.

        Only the confirmed primary may return a final error.
        """
        confirmed = self._leadership.is_confirmed_primary()
        return Err(failure if confirmed else self._leadership.not_primary_failure())

    def _respond(self, request: web.Request, outcome: Result[OperatorAnswer, Failure]) -> web.Response:
        if isinstance(outcome, Err):
            return failure_response(outcome.err_value, request.raw_path, self._port)
        return success_response(outcome.ok_value)


async def _read_body(request: web.Request) -> Result[bytes, Failure]:
    """Read the complete body, even if it is not used.

    Closing the connection before the end of the body would reset it, and the client could miss the response.
    """
    try:
        return Ok(await asyncio.wait_for(request.read(), BODY_TIMEOUT_S))
    except TimeoutError:
        return Err(Failure(ErrorKind.UNAVAILABLE, "the body did not arrive in time"))
    except ConnectionError as error:  # nobody receives the response
        return Err(Failure(ErrorKind.UNAVAILABLE, f"the body did not arrive: {error}"))
    except (web.RequestPayloadError, HttpProcessingError) as error:
        return Err(Failure(ErrorKind.INVALID, f"the body is malformed: {error}"))
    except web.HTTPRequestEntityTooLarge as error:
        return Err(Failure(ErrorKind.TOO_LARGE, str(error.text)))


def _base_version(request: web.Request) -> int | None:
    """Return the version in If-Match (RFC 9110, section 13.1.1); None unless there is exactly one."""
    values = request.headers.getall("If-Match", [])
    match = _VERSION.fullmatch(values[0].strip()) if len(values) == 1 else None
    version = int(match.group(1)) if match else None
    return version if version is not None and version <= MAX_VERSION else None
