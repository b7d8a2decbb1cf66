"""The data plane of one proxy: its parts put together, and their life."""

from __future__ import annotations

import asyncio
import logging
import random

from cherrycove.tier.batch.execution import ItemExecutor
from cherrycove.tier.dataplane.admission_controller import AdmissionController
from cherrycove.tier.dataplane.draining import NOTICE_S, DrainDeadline
from cherrycove.tier.dataplane.ingress import BatchApi, Ingress
from cherrycove.tier.dataplane.item_executor import BrokerItemExecutor
from cherrycove.tier.dataplane.readiness import ReadinessServer
from cherrycove.tier.dataplane.request_forwarder import RequestForwarder
from cherrycove.tier.dataplane.upstream import UpstreamClient
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.settings import Settings

_log = logging.getLogger(__name__)

SPARE_DESCRIPTORS = 400  # kept from the limit for files, internal calls and listeners
CLIENT_PART = 0.5  # of the other descriptors, for clients
QUIET_S = 0.3  # without an open request after which nothing more is expected
POLL_S = 0.05


class DataPlane:
    """Serves live requests and runs batch items on one machine."""

    def __init__(self, settings: Settings, views: ClusterView, rng: random.Random) -> None:
        self._settings = settings
        self._views = views
        self._draining = False
        descriptors = max(settings.limits.file_descriptors - SPARE_DESCRIPTORS, 64)
        self._most_connections = int(descriptors * (1 - CLIENT_PART))
        self._upstream = UpstreamClient(self._most_connections)
        self._admission = AdmissionController(views, rng)
        self._drain = DrainDeadline()
        dispatcher = RequestForwarder(self._admission, self._upstream, rng, self._drain)
        self._ingress = Ingress(settings, views, dispatcher, self._drain)
        self._readiness = ReadinessServer(settings.listen_addresses.readiness, self._ready)
        self.executor: ItemExecutor = BrokerItemExecutor(views, self._admission, self._upstream, rng)

    def attach_batch(self, batch_api: BatchApi) -> None:
        """Calls for batch jobs go to ``batch_api``; before ``start``."""
        self._ingress.batch_api = batch_api

    def arrivals(self) -> dict[str, float]:
        """Live requests a second by route name."""
        return self._ingress.arrivals.per_second(asyncio.get_running_loop().time())

    async def start(self) -> None:
        await self._upstream.start()
        self._admission.start()
        self._views.on_change(self._views_changed)
        self._views_changed()
        await self._ingress.start()
        await self._readiness.start()
        _log.info("dataplane_listening", extra={"address": self._settings.listen_addresses.frontend})

    async def stop(self) -> None:
        """End; behind a drain only once what is open has been answered, and with nothing new taken."""
        loop = asyncio.get_running_loop()
        self._drain.close()
        while self._draining and self._ingress.open_requests and loop.time() < self._drain.at:
            await asyncio.sleep(POLL_S)
        await self._readiness.stop()
        await self._ingress.stop()
        self._admission.stop()
        await self._upstream.stop()

    async def drain(self, grace_s: float | None = None, notice_s: float = NOTICE_S) -> None:
        """Leave in order: unready at once, serve until the platform knows, then wait for what is open. What
        may not be answered by then is told at once to go elsewhere."""
        loop = asyncio.get_running_loop()
        grace = self._settings.bounds.grace_period_s if grace_s is None else grace_s
        self._draining = True
        _log.info("dataplane_draining", extra={"open_requests": self._ingress.open_requests})
        self._ingress.close_connections()
        self._drain.begin(loop.time(), grace, notice_s)
        self._admission.limit_deadlines(self._drain.at)
        while loop.time() < self._drain.at and not self._quiet(loop.time()):
            await asyncio.sleep(POLL_S)
        _log.info("dataplane_drained", extra={"open_requests": self._ingress.open_requests})

    def _quiet(self, now: float) -> bool:
        ingress = self._ingress
        rested = ingress.open_requests == 0 and now - ingress.last_active >= QUIET_S
        return rested and self._drain.notice_elapsed(now)

    def _ready(self) -> bool:
        return not self._draining and self._views.configuration is not None and bool(self._views.brokers)

    def _views_changed(self) -> None:
        """The pool's bound on connections to one broker; admission keeps to that of each service."""
        configuration = self._views.configuration
        limits = [service.connection_limit for service in configuration.services] if configuration else []
        most = max(limits, default=0) // max(len(self._views.proxies()), 1)
        self._upstream.limit_connections(max(most - 1, 1) if most else self._most_connections)
