"""One connection to a model broker: accepts only the response to the request that was sent over it.

A response names its request, not the attempt, and can come a second time, late. A connection therefore
carries a request once: a response to it on this connection belongs to that one attempt, however late it is.

The owner is the pool of ``connection_pool``, which asks each connection whether it may be reused.
"""

from __future__ import annotations

import logging
from math import inf
from time import monotonic
from typing import Any

from aiohttp import StreamReader
from aiohttp.http import RawResponseMessage

from cherrycove.broker.http1.node_connection import NodeConnection
from cherrycove.tier.dataplane.headers import REQUEST_ID, parse_keep_alive_s
from cherrycove.tier.dataplane.response_anomalies import AnomalyRecord, ResponseAnomaly

IDLE_TIMEOUT_S = 4.0  # of a connection whose broker announces no keep-alive timeout
SINGLE_EXECUTION_IDLE_TIMEOUT_S = 1.0  # the same, for a request that must not be executed twice
KEEP_ALIVE_FRACTION = 0.7  # of the broker's keep-alive timeout; the rest allows for network latency
MAX_REQUESTS_PER_CONNECTION = 256  # bounds the ids that a connection remembers

_log = logging.getLogger(__name__)


class BrokerConnection(NodeConnection):
    """One connection, owned by the pool; accepts only the response with the id of the request that was sent.

    A response with another id is a late duplicate response to an earlier request: its body is skipped, and
    the connection is closed after the expected response.
    """

    def __init__(self, loop: Any, anomalies: AnomalyRecord | None = None) -> None:
        super().__init__(loop)
        self._anomalies = anomalies or AnomalyRecord()
        self._expected_id = ""
        self._carried_ids: set[str] = set()  # of all requests that were sent over this connection
        self._is_ambiguous = False  # the connection has carried the expected id before
        self._idle_timeout_s = IDLE_TIMEOUT_S
        self._has_keep_alive = False  # the broker announced a keep-alive timeout
        self._response_ended_at = inf
        self._unexpected_body: StreamReader | None = None  # of a response with another id
        self._is_discarding = False  # whether that body is being read now

    def expect(self, request_id: str) -> None:
        """Accept only the response to this request from now on."""
        self._is_ambiguous = request_id in self._carried_ids
        self._carried_ids.add(request_id)
        self._expected_id = request_id
        self._response_ended_at = inf

    def has_carried(self, request_id: str) -> bool:
        """Whether this request was sent over this connection, or one with the same id."""
        return request_id in self._carried_ids

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be reused.

        This includes the case that a response arrived before its request was sent completely (RFC 9112, 9.5):
        the broker may go on reading, and would take further bytes for the rest of that request.
        """
        is_used_up = len(self._carried_ids) >= MAX_REQUESTS_PER_CONNECTION
        return super().should_close or self._has_unsent_bytes() or is_used_up

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Handle parsed response headers; called by aiohttp."""
        message, body = data
        request_id = message.headers.get(REQUEST_ID)
        self._count_anomaly(request_id)
        if self._response_body is None and request_id != self._expected_id:
            self._should_close = True
            if request_id is not None:
                self._unexpected_body = body
                return
        keep_alive_s = parse_keep_alive_s(message.headers)
        if keep_alive_s is not None:
            self._idle_timeout_s = keep_alive_s * KEEP_ALIVE_FRACTION
            self._has_keep_alive = True
        super().feed_data(data, size)

    def _receive(self, data: bytes) -> None:
        """Parse received bytes, and note the end of the response."""
        if data and self._response_body is not None and self._response_body.is_eof():
            self._anomalies.count(self._address(), ResponseAnomaly.UNREQUESTED)
        self._discard_unexpected_body()
        if self._unexpected_body is not None and not self._unexpected_body.is_eof():
            # These bytes belong to a body, so the limit on header bytes does not apply.
            self._header_bytes = 0
        super()._receive(data)
        self._discard_unexpected_body()
        if self._response_body is not None and self._response_body.is_eof():
            self._response_ended_at = min(self._response_ended_at, monotonic())

    def _discard_unexpected_body(self) -> None:
        """Discard what was received of it; otherwise aiohttp stops reading at its buffer limit.

        Reading makes aiohttp resume its parser, which calls ``data_received`` within this method.
        """
        if self._is_discarding:
            return
        self._is_discarding = True
        try:
            while _read_available(self._unexpected_body):
                pass
        finally:
            self._is_discarding = False

    def is_connected(self) -> bool:
        """Whether the connection can be reused for a request that may be executed more than once."""
        return super().is_connected() and self._idle_s() < self._idle_timeout_s

    def is_fit_for_single_execution(self) -> bool:
        """Whether the connection can be reused for a request that must not be executed twice."""
        if not self.is_connected():
            return False
        return self._has_keep_alive or self._idle_s() < SINGLE_EXECUTION_IDLE_TIMEOUT_S

    def _idle_s(self) -> float:
        return monotonic() - self._response_ended_at

    def _count_anomaly(self, request_id: str | None) -> None:
        """Count the response whose headers were received, unless it can only be the expected one."""
        if request_id is None:
            self._anomalies.count(self._address(), ResponseAnomaly.WITHOUT_ID)
        elif request_id != self._expected_id:
            self._anomalies.count(self._address(), ResponseAnomaly.OTHER_REQUEST)
        elif self._is_ambiguous:
            self._anomalies.count(self._address(), ResponseAnomaly.AMBIGUOUS)

    def _address(self) -> str:
        """The broker's address (host:port); empty once the connection is closed."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{peer[0]}:{peer[1]}" if peer else ""

    def _log_unforeseen_error(self, error: Exception) -> None:
        is_answered = self._response_body is not None and self._response_body.is_eof()
        details = {
            "broker": self._address(),
            "request_id": self._expected_id,
            "requests_sent": len(self._carried_ids),
            "execution": "answered" if is_answered else "possible",
        }
        _log.error("broker_connection_failed", exc_info=error, extra=details)


def _read_available(body: StreamReader | None) -> bytes:
    """What was received of ``body`` and not read yet; empty if there is no such body or it has failed."""
    return body.read_nowait() if body is not None and body.exception() is None else b""
