"""The data plane of one proxy: assembles, starts, drains and stops its components."""

from __future__ import annotations

import asyncio
import logging
import random

import attrs

from cherrycove.http_listener.client_memory import ClientMemory
from cherrycove.tier.batch.execution import ItemExecutor
from cherrycove.tier.dataplane.admission_controller import AdmissionController
from cherrycove.tier.dataplane.draining import UNREADY_PROPAGATION_S, DrainDeadline
from cherrycove.tier.dataplane.ingress import BatchApi, Ingress
from cherrycove.tier.dataplane.item_executor import BrokerItemExecutor
from cherrycove.tier.dataplane.loss_record import LossRecord
from cherrycove.tier.dataplane.readiness import ReadinessServer
from cherrycove.tier.dataplane.request_forwarder import RequestForwarder
from cherrycove.tier.dataplane.upstream import UpstreamClient
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.listener.client_server import ListenerBudget
from cherrycove.tier.settings import Settings

_log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 400  # of the file descriptor limit, for files, internal calls and listeners
MIN_DESCRIPTORS = 64
CLIENT_FRACTION = 0.5  # of the remaining descriptors, for clients; the rest is for brokers
CLIENT_MEMORY_FRACTION = 0.4  # of the memory limit, for what clients make the process hold
MAX_READINESS_CONNECTIONS = 32
BYTES_PER_MB = 1_000_000
IDLE_PERIOD_S = 0.3  # time without an open request after which a drain expects no further requests
POLL_INTERVAL_S = 0.05


class DataPlane:
    """Serves live requests and runs batch items on one machine; owned by the proxy program.

    States: *stopped*, *serving* between ``start`` and ``drain``, *draining* until ``stop``. It is ready while
    it is serving and has a configuration and brokers. No state survives the process: a request still open at
    the end of the grace period gets 504 or an aborted stream, and batch items are leased again.
    """

    def __init__(self, settings: Settings, cluster_view: ClusterView, rng: random.Random) -> None:
        self._settings = settings
        self._cluster_view = cluster_view
        self._is_draining = False
        descriptors = max(settings.limits.file_descriptors - RESERVED_DESCRIPTORS, MIN_DESCRIPTORS)
        self._max_connections = int(descriptors * (1 - CLIENT_FRACTION))
        budget = ListenerBudget(
            ClientMemory(int(settings.limits.memory_mb * BYTES_PER_MB * CLIENT_MEMORY_FRACTION)),
            int(descriptors * CLIENT_FRACTION),
        )
        self._upstream = UpstreamClient(self._max_connections)
        self._admission = AdmissionController(cluster_view, rng)
        self._drain = DrainDeadline()
        self._losses = LossRecord()
        forwarder = RequestForwarder(self._admission, self._upstream, rng, self._drain, self._losses)
        self._ingress = Ingress(settings, cluster_view, forwarder, self._drain, self._losses, budget)
        self._readiness = ReadinessServer(
            settings.listen_addresses.readiness,
            self._is_ready,
            self._losses.totals_document,
            attrs.evolve(budget, max_connections=MAX_READINESS_CONNECTIONS),
        )
        self.executor: ItemExecutor = BrokerItemExecutor(
            cluster_view, self._admission, self._upstream, rng, self._losses
        )

    def attach_batch(self, batch_api: BatchApi) -> None:
        """Set the handler of batch API calls. Must be called before ``start``."""
        self._ingress.batch_api = batch_api

    def arrivals(self) -> dict[str, float]:
        """Arrival rates of live requests, per second, by route name."""
        return self._ingress.arrivals.per_second(asyncio.get_running_loop().time())

    async def start(self) -> None:
        """Listen on the frontend and readiness addresses. Raises ``OSError`` if an address is in use."""
        await self._upstream.start()
        self._admission.start()
        self._cluster_view.on_change(self._update_connection_limit)
        self._update_connection_limit()
        await self._ingress.start()
        await self._readiness.start()
        _log.info("dataplane_listening", extra={"address": self._settings.listen_addresses.frontend})

    async def stop(self) -> None:
        """Stop all components; after a drain, first wait for open requests until the drain deadline."""
        loop = asyncio.get_running_loop()
        self._drain.close()
        # Polls, since the wait also ends at the deadline.
        while self._is_draining and self._ingress.open_requests and loop.time() < self._drain.at:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._readiness.stop()
        await self._ingress.stop()
        self._admission.stop()
        await self._upstream.stop()
        self._losses.stop()

    async def drain(
        self, grace_s: float | None = None, unready_propagation_s: float = UNREADY_PROPAGATION_S
    ) -> None:
        """Shut down gracefully.

        The proxy is unready at once, serves new requests until the platform has observed that, and finishes
        open requests. ``grace_s`` is the time until the process must have ended, by default the setting
        ``gracePeriodS``; requests that may not be answered within it are rejected at once.
        """
        loop = asyncio.get_running_loop()
        grace_s = self._settings.bounds.grace_period_s if grace_s is None else grace_s
        self._is_draining = True
        _log.info("dataplane_draining", extra={"open_requests": self._ingress.open_requests})
        self._ingress.close_connections()
        self._drain.begin(loop.time(), grace_s, unready_propagation_s)
        self._admission.limit_deadlines(self._drain.at)
        while loop.time() < self._drain.at and not self._is_drained(loop.time()):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        _log.info("dataplane_drained", extra={"open_requests": self._ingress.open_requests})

    def _is_drained(self, now: float) -> bool:
        ingress = self._ingress
        is_idle = ingress.open_requests == 0 and now - ingress.last_active_at >= IDLE_PERIOD_S
        return is_idle and self._drain.is_unready_propagated(now)

    def _is_ready(self) -> bool:
        return (
            not self._is_draining
            and self._cluster_view.configuration is not None
            and bool(self._cluster_view.brokers)
        )

    def _update_connection_limit(self) -> None:
        """Limit the pool's connections per broker; admission enforces the limit of each service."""
        configuration = self._cluster_view.configuration
        limits = [service.connection_limit for service in configuration.services] if configuration else []
        share = max(limits, default=0) // max(len(self._cluster_view.proxies()), 1)
        self._upstream.limit_connections(max(share - 1, 1) if share else self._max_connections)
