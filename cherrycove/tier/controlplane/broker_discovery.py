"""Reads the platform's broker list over HTTP, page by page; only complete lists are used."""

from __future__ import annotations

import asyncio
import json
import logging
from http import HTTPStatus
from typing import Any, Protocol

import aiohttp
import attrs
import cattrs
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn, override
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.control_pb2 import BrokerEntry, BrokerList
from cherrycove.tier.protocol.sessions import NoRetryConnector, client_session, connect_timeout
from cherrycove.tier.settings import Settings

READS_PER_DRAIN = 5.0  # target number of reads within bounds.drain_ms
MIN_INTERVAL_S = 0.3
MAX_INTERVAL_S = 1.0
RATE_SHARE = 0.5  # used fraction of the platform's rate limit, which applies to all callers together
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_INTERVALS = 4  # limit of the linear backoff, which grows by one interval per failure
MIN_CALLS_PER_S = 0.1
CALL_TIMEOUT_S = 1.0
MAX_PAGES = 1000
READY = "ready"

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Instance:
    """Represents one entry of the platform's list; its JSON keys are the field names in camel case."""

    instance_id: str
    service: str
    address: str
    zone: str = ""
    version: str = ""
    capacity_slots: int = 0
    state: str = READY
    warmup_remaining_ms: float = 0.0

    def to_entry(self) -> BrokerEntry:
        """Return the entry to publish; a broker that is not ready is published as draining."""
        return BrokerEntry(
            instance_id=self.instance_id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            version=self.version,
            capacity_slots=max(0, self.capacity_slots),
            draining=self.state != READY,
            warmup_remaining_ms=max(0, int(self.warmup_remaining_ms)),
        )


@attrs.frozen
class Page:
    """Represents one parsed response of the platform."""

    instances: tuple[BrokerEntry, ...]
    next_token: str  # empty on the last page


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    renames = {field.name: override(rename=_camel_case(field.name)) for field in attrs.fields(Instance)}
    hook = make_dict_structure_fn(Instance, converter, **renames)  # type: ignore[arg-type]
    converter.register_structure_hook(Instance, hook)
    return converter


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_CONVERTER = _converter()


def parse_page(body: bytes) -> Result[Page, Failure]:
    """Parse one page; INVALID if the body is malformed. Invalid entries are logged and skipped."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure(ErrorKind.INVALID, f"broker list: response is not JSON: {error}"))
    if not isinstance(document, dict) or not isinstance(document.get("instances"), list):
        return Err(Failure(ErrorKind.INVALID, "broker list: response has no array 'instances'"))
    entries = [_entry(item) for item in document["instances"]]
    token = document.get("nextPageToken")
    return Ok(
        Page(
            instances=tuple(entry for entry in entries if entry is not None),
            next_token="" if token is None else str(token),
        )
    )


def _entry(item: Any) -> BrokerEntry | None:
    try:
        present = {key: value for key, value in item.items() if value is not None}
        return _CONVERTER.structure(present, Instance).to_entry()
    except (AttributeError, BaseValidationError, TypeError, ValueError, OverflowError) as error:
        _log.warning("broker_entry_invalid", extra={"reason": str(error)})
        return None


class ReadPacing:
    """Computes the pause before the next read, without I/O or clock access.

    Reads are frequent enough to notice draining brokers in time, but use only ``RATE_SHARE`` of the
    platform's rate limit.
    """

    def __init__(self, settings: Settings) -> None:
        interval_s = settings.bounds.drain_ms / 1000.0 / READS_PER_DRAIN
        self._interval_s = min(max(interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)
        self._calls_per_s = max(settings.cloud_api.rate_per_s * RATE_SHARE, MIN_CALLS_PER_S)
        self._failures = 0

    def pause_after_success(self, calls: int) -> float:
        """Return the seconds to wait after a successful read that took ``calls`` calls."""
        self._failures = 0
        return max(self._interval_s, calls / self._calls_per_s)

    def pause_after_failure(self, calls: int) -> float:
        """Return the seconds to wait after a failed read that took ``calls`` calls; the backoff is linear."""
        self._failures += 1
        backoff_s = self._interval_s * min(self._failures, MAX_BACKOFF_INTERVALS)
        return max(min(backoff_s, MAX_BACKOFF_S), calls / self._calls_per_s)


class BrokerReader(Protocol):
    """Reads the complete broker list; implemented by ``BrokerDiscoveryClient``."""

    calls: int  # number of calls made by the read in progress, or else by the last one

    async def start(self) -> None:
        """Prepare to read."""

    async def stop(self) -> None:
        """Release what ``start`` opened."""

    async def read(self) -> Result[BrokerList, Failure]:
        """Return the complete list, sorted by instance id."""


class BrokerDiscoveryClient:
    """Reads the platform's list at ``cloudApi.address``.

    Owned by the ``BrokerWatcher``, which runs one read at a time. Calls are not retried; after a failed read,
    the caller starts a new one.
    """

    def __init__(self, settings: Settings) -> None:
        self._url = f"http://{settings.cloud_api.address}/instances"
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def start(self) -> None:
        """Open the HTTP session, which uses at most one connection."""
        connector = NoRetryConnector(limit=1, keepalive_timeout=10.0)
        self._session = client_session(connector, timeout=connect_timeout(CALL_TIMEOUT_S))

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self) -> Result[BrokerList, Failure]:
        """Return the complete list, sorted by instance id.

        Errors: UNREACHABLE before ``start``; UNAVAILABLE if a call failed; INVALID if a page cannot be
        parsed, a page token repeats, or there are more than ``MAX_PAGES`` pages.
        """
        self.calls = 0
        brokers: dict[str, BrokerEntry] = {}
        tokens: set[str] = set()
        token = ""
        while self.calls < MAX_PAGES:
            outcome = await self._page(token)
            if isinstance(outcome, Err):
                return outcome
            page = outcome.ok_value
            brokers.update((entry.instance_id, entry) for entry in page.instances)
            token = page.next_token
            if not token:
                return Ok(BrokerList(brokers=[brokers[key] for key in sorted(brokers)]))
            if token in tokens:
                break
            tokens.add(token)
        return Err(
            Failure(
                ErrorKind.INVALID,
                f"broker list: page token repeated, or no last page within {MAX_PAGES} pages",
            )
        )

    async def _page(self, token: str) -> Result[Page, Failure]:
        if self._session is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "broker list: client is not started"))
        self.calls += 1
        parameters = {"pageToken": token} if token else {}
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url, params=parameters) as response,
            ):
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(
                Failure(ErrorKind.UNAVAILABLE, f"broker list: request failed: {type(error).__name__} {error}")
            )
        if response.status != HTTPStatus.OK:
            return Err(
                Failure(
                    ErrorKind.UNAVAILABLE,
                    f"broker list: platform answered with HTTP status {response.status}",
                )
            )
        return parse_page(body)
