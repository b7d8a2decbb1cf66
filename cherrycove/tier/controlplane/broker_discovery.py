"""Reads the platform's list of brokers over HTTP, page by page; only a complete list is used."""

from __future__ import annotations

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
from cherrycove.tier.protocol.sessions import NoRetryConnector, client_session
from cherrycove.tier.settings import Settings

READS_PER_DRAIN = 5.0  # reads of the list within bounds.drain_ms
MIN_INTERVAL_S = 0.3
MAX_INTERVAL_S = 1.0
RATE_SHARE = 0.5  # of the platform's rate limit, which all callers share
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_INTERVALS = 4  # the backoff grows by one interval with each failure
MIN_CALLS_PER_S = 0.1
CALL_TIMEOUT_S = 1.0
MAX_PAGES = 1000
READY = "ready"

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Instance:
    """One entry of the platform's list; its JSON keys are the names in camel case."""

    instance_id: str
    service: str
    address: str
    zone: str = ""
    version: str = ""
    capacity_slots: int = 0
    state: str = READY
    warmup_remaining_ms: float = 0.0

    def to_entry(self) -> BrokerEntry:
        """Return the entry as it is published; a broker that is not ready counts as draining."""
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
    """One response of the platform."""

    instances: tuple[BrokerEntry, ...]
    next_token: str  # empty on the last page


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    renames = {field.name: override(rename=_camel(field.name)) for field in attrs.fields(Instance)}
    hook = make_dict_structure_fn(Instance, converter, **renames)  # type: ignore[arg-type]
    converter.register_structure_hook(Instance, hook)
    return converter


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_CONVERTER = _converter()


def parse_page(body: bytes) -> Result[Page, Failure]:
    """Return the entries of one page; INVALID if it is not one. An invalid entry is logged and left out."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Failure(ErrorKind.INVALID, f"list of brokers: not JSON: {error}"))
    if not isinstance(document, dict) or not isinstance(document.get("instances"), list):
        return Err(Failure(ErrorKind.INVALID, "list of brokers: no instances"))
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
    """When to read next: often enough to notice draining brokers, within a share of the rate limit. Pure."""

    def __init__(self, settings: Settings) -> None:
        interval_s = settings.bounds.drain_ms / 1000.0 / READS_PER_DRAIN
        self._interval_s = min(max(interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)
        self._calls_per_s = max(settings.cloud_api.rate_per_s * RATE_SHARE, MIN_CALLS_PER_S)
        self._failures = 0

    def succeeded(self, calls: int) -> float:
        """Return the seconds until the next read after one that took ``calls`` calls."""
        self._failures = 0
        return max(self._interval_s, calls / self._calls_per_s)

    def failed(self, calls: int) -> float:
        """Return the seconds until the next read after one that failed, with a linear backoff."""
        self._failures += 1
        backoff_s = self._interval_s * min(self._failures, MAX_BACKOFF_INTERVALS)
        return max(min(backoff_s, MAX_BACKOFF_S), calls / self._calls_per_s)


class BrokerReader(Protocol):
    """Reads the complete list of brokers; implemented by ``BrokerDiscoveryClient``."""

    calls: int  # made by the read in progress, or by the last one

    async def start(self) -> None:
        """Prepare to read."""

    async def stop(self) -> None:
        """Release what ``start`` opened."""

    async def read(self) -> Result[BrokerList, Failure]:
        """Return the complete list, by instance id."""


class BrokerDiscoveryClient:
    """Reads the platform's list at ``cloudApi.address``.

    Owned by the ``BrokerWatcher``, one read at a time. Each call is sent once; a failed read is repeated only
    by the next one.
    """

    def __init__(self, settings: Settings) -> None:
        self._url = f"http://{settings.cloud_api.address}/instances"
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0  # made by the read in progress, or by the last one

    async def start(self) -> None:
        """Open the session; one connection at a time."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = NoRetryConnector(limit=1, keepalive_timeout=10.0)
        self._session = client_session(connector, timeout=timeout)

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self) -> Result[BrokerList, Failure]:
        """Return the complete list, by instance id.

        UNREACHABLE before ``start``; UNAVAILABLE where a call failed; INVALID where a page cannot be parsed,
        or a page token repeats or the pages do not end within ``MAX_PAGES``.
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
        return Err(Failure(ErrorKind.INVALID, "list of brokers: the pages do not end"))

    async def _page(self, token: str) -> Result[Page, Failure]:
        if self._session is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "reader is not started"))
        self.calls += 1
        parameters = {"pageToken": token} if token else {}
        try:
            async with self._session.get(self._url, params=parameters) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"list of brokers: {type(error).__name__} {error}"))
        if response.status != HTTPStatus.OK:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"list of brokers: status {response.status}"))
        return parse_page(body)
