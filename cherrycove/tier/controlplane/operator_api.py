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

from cherrycove.http_listener.errors import BodyTooLargeError, GaveWayError
from cherrycove.tier.configuration import ClientLimits
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
from cherrycove.tier.listener.client_server import ClientServer, ListenerBudget, reserve_within
from cherrycove.tier.listener.json_cost import decoded_cost_bytes
from cherrycove.tier.listener.request_body import read_body

CONFIGURATION_PATH = "/api/configuration"
_RETIRE_PATH = re.compile("/api/retire/([^/]+)")
MAX_BODY_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 10.0  # time limit for receiving a request body
LIMITS = ClientLimits(max_body_bytes=MAX_BODY_BYTES, header_timeout_ms=10_000.0, idle_timeout_ms=120_000.0)
MEMORY_TIMEOUT_S = 1.0  # time limit of the wait for memory to decode a document
SHUTDOWN_TIMEOUT_S = 0.5  # time limit for requests in flight when the interface stops

_VERSION = re.compile(r'"?([0-9]{1,19})"?', re.ASCII)


class OperatorApi:
    """Translates HTTP requests to calls of the configuration and retirement services, and back.

    Owned by the ``Controller``. Its only state is the listener; the services answer each request after this
    controller is confirmed as the primary.
    """

    def __init__(
        self,
        leadership: Leadership,
        configuration: ConfigurationService,
        retirement: RetirementService,
        budget: ListenerBudget | None = None,
    ) -> None:
        self._leadership = leadership
        self._configuration = configuration
        self._retirement = retirement
        self._budget = budget
        self._port = 0
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address`` (host:port); if it is empty, only direct calls of ``answer`` are served.

        Raises ``OSError`` if the address cannot be bound.
        """
        if not address:
            return
        self._port = int(address.rpartition(":")[2])
        server = ClientServer(self.answer, lambda: LIMITS, self._budget)
        self._runner = await server.listen(address, SHUTDOWN_TIMEOUT_S)

    async def stop(self) -> None:
        """Close the listener; requests in flight have ``SHUTDOWN_TIMEOUT_S`` to finish."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one request, received by the listener or made by a simulated operator.

        Raises ``web.HTTPNotFound`` and ``web.HTTPMethodNotAllowed`` for what the interface does not have.
        """
        if request.path == CONFIGURATION_PATH:
            handlers = {"PUT": self._put_configuration, "GET": self._get_configuration}
        elif _retired_node(request):
            handlers = {"POST": self._post_retire, "GET": self._get_retire}
        else:
            raise web.HTTPNotFound
        if request.method not in handlers:
            raise web.HTTPMethodNotAllowed(request.method, handlers)
        return await handlers[request.method](request)

    async def _put_configuration(self, request: web.BaseRequest) -> web.Response:
        return self._respond(request, await self._change_configuration(request))

    async def _get_configuration(self, request: web.BaseRequest) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        return self._respond(request, self._configuration.current().map(CurrentConfiguration))

    async def _post_retire(self, request: web.BaseRequest) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        outcome = await self._retirement.order(_retired_node(request))
        return self._respond(request, outcome.map(lambda _: Accepted()))

    async def _get_retire(self, request: web.BaseRequest) -> web.Response:
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return self._respond(request, confirmed)
        return self._respond(request, self._retirement.state(_retired_node(request)).map(RetireStatus))

    async def _change_configuration(self, request: web.BaseRequest) -> Result[OperatorAnswer, Failure]:
        body = await _read_body(request)
        confirmed = await self._leadership.wait_until_confirmed()
        if isinstance(confirmed, Err):
            return confirmed
        if isinstance(body, Err):
            return self._final_error(body.err_value)
        base_version = _base_version(request)
        if base_version is None:
            return self._final_error(Failure(ErrorKind.INVALID, "If-Match must be a version"))
        reserved = await self._reserve_for_document(request, body.ok_value)
        if isinstance(reserved, Err):
            return reserved
        outcome = await self._configuration.put(body.ok_value, base_version)
        return outcome.map(lambda _: Accepted())

    async def _reserve_for_document(self, request: web.BaseRequest, body: bytes) -> Result[None, Failure]:
        """Reserve the memory that a document takes once it is decoded.

        TOO_LARGE if this process could never decode it, OVERLOADED if it cannot now.
        """
        cost_bytes = decoded_cost_bytes(body)
        if self._budget is not None and cost_bytes > self._budget.memory.limit_bytes:
            return self._final_error(Failure(ErrorKind.TOO_LARGE, "the document has too many values"))
        if not await reserve_within(request, cost_bytes, MEMORY_TIMEOUT_S):
            return Err(Failure(ErrorKind.OVERLOADED, "no memory for the document now"))
        return Ok(None)

    def _final_error(self, failure: Failure) -> Err[Failure]:
        """Return ``failure``, or NOT_PRIMARY if this is not the confirmed primary.

        Only the confirmed primary may return a final error.
        """
        confirmed = self._leadership.is_confirmed_primary()
        return Err(failure if confirmed else self._leadership.not_primary_failure())

    def _respond(self, request: web.BaseRequest, outcome: Result[OperatorAnswer, Failure]) -> web.Response:
        if isinstance(outcome, Err):
            return failure_response(outcome.err_value, request.raw_path, self._port)
        return success_response(outcome.ok_value)


async def _read_body(request: web.BaseRequest) -> Result[bytes, Failure]:
    """Read the complete body, even if it is not used.

    Closing the connection before the end of the body would reset it, and the client could miss the response.
    """
    try:
        return Ok(await asyncio.wait_for(read_body(request, MAX_BODY_BYTES), BODY_TIMEOUT_S))
    except GaveWayError as error:
        return Err(Failure(ErrorKind.OVERLOADED, f"the body did not arrive: {error}"))
    except BodyTooLargeError as error:
        return Err(Failure(ErrorKind.TOO_LARGE, str(error)))
    except TimeoutError:
        return Err(Failure(ErrorKind.UNAVAILABLE, "the body did not arrive in time"))
    except ConnectionError as error:  # nobody receives the response
        return Err(Failure(ErrorKind.UNAVAILABLE, f"the body did not arrive: {error}"))
    except (web.RequestPayloadError, HttpProcessingError) as error:
        return Err(Failure(ErrorKind.INVALID, f"the body is malformed: {error}"))


def _retired_node(request: web.BaseRequest) -> str:
    """Return the machine that a path of the retirement interface names; empty for any other path."""
    match = _RETIRE_PATH.fullmatch(request.path)
    return match.group(1) if match else ""


def _base_version(request: web.BaseRequest) -> int | None:
    """Return the version in If-Match (RFC 9110, section 13.1.1); None unless there is exactly one."""
    values = request.headers.getall("If-Match", [])
    match = _VERSION.fullmatch(values[0].strip()) if len(values) == 1 else None
    version = int(match.group(1)) if match else None
    return version if version is not None and version <= MAX_VERSION else None
