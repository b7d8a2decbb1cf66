"""The data plane of one proxy: its parts put together, and their life."""

from __future__ import annotations

import asyncio
import logging
import random

from cherrycove.tier.batch.interface import ItemExecutor
from cherrycove.tier.dataplane.dispatch import Dispatcher
from cherrycove.tier.dataplane.gate import Gate
from cherrycove.tier.dataplane.ingress import BatchApi, Ingress
from cherrycove.tier.dataplane.items import BrokerItemExecutor
from cherrycove.tier.dataplane.readiness import Readiness
from cherrycove.tier.dataplane.upstream import Upstream
from cherrycove.tier.distribution.views import Views
from cherrycove.tier.settings import Settings

_log = logging.getLogger(__name__)

SPARE_DESCRIPTORS = 400  # kept from the limit for files, internal calls and listeners
CLIENT_PART = 0.5  # of the other descriptors, for clients
NOTICE_S = 2.5  # after which the platform has seen this proxy unready and sends no new connections
END_RESERVE_S = 0.7  # of the grace period, for the end of the process itself
QUIET_S = 0.3  # without an open request after which nothing more is expected
POLL_S = 0.05


class DataPlane:
    """Serves live requests and runs batch items on one machine."""

    def __init__(self, settings: Settings, views: Views, rng: random.Random) -> None:
        self._settings = settings
        self._views = views
        self._draining = False
        descriptors = max(settings.limits.file_descriptors - SPARE_DESCRIPTORS, 64)
        self._most_connections = int(descriptors * (1 - CLIENT_PART))
        self._upstream = Upstream(self._most_connections)
        self._gate = Gate(views, rng)
        self._ingress = Ingress(settings, views, Dispatcher(self._gate, self._upstream, rng), None)
        self._readiness = Readiness(settings.listen_addresses.readiness, self._ready)
        self.executor: ItemExecutor = BrokerItemExecutor(views, self._gate, self._upstream, rng)

    def attach_batch(self, batch_api: BatchApi) -> None:
        """Calls for batch jobs go to ``batch_api``; before ``start``."""
        self._ingress.batch_api = batch_api

    def arrivals(self) -> dict[str, float]:
        """Live requests a second by route name."""
        return self._ingress.arrivals.rates(asyncio.get_running_loop().time())

    async def start(self) -> None:
        await self._upstream.start()
        self._gate.start()
        self._views.on_change(self._views_changed)
        self._views_changed()
        await self._ingress.start()
        await self._readiness.start()
        _log.info("dataplane_listening", extra={"address": self._settings.listen_addresses.frontend})

    async def stop(self) -> None:
        await self._readiness.stop()
        await self._ingress.stop()
        self._gate.stop()
        await self._upstream.stop()

    async def drain(self, grace_s: float | None = None) -> None:
        """Leave in order: unready at once, serve until the platform knows, then wait for what is open."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        grace = self._settings.bounds.grace_period_s if grace_s is None else grace_s
        latest = began + max(grace - END_RESERVE_S, 0.0)
        self._draining = True
        _log.info("dataplane_draining", extra={"open_requests": self._ingress.open_requests})
        self._ingress.close_connections()
        noticed = min(began + NOTICE_S, latest)
        while loop.time() < latest and not self._quiet(loop.time(), noticed):
            await asyncio.sleep(POLL_S)
        _log.info("dataplane_drained", extra={"open_requests": self._ingress.open_requests})

    def _quiet(self, now: float, noticed: float) -> bool:
        ingress = self._ingress
        return now >= noticed and ingress.open_requests == 0 and now - ingress.last_active >= QUIET_S

    def _ready(self) -> bool:
        return not self._draining and self._views.configuration is not None and bool(self._views.brokers)

    def _views_changed(self) -> None:
        """The pool's bound on connections to one broker; admission keeps to that of each service."""
        configuration = self._views.configuration
        limits = [service.connection_limit for service in configuration.services] if configuration else []
        most = max(limits, default=0) // max(len(self._views.proxies()), 1)
        self._upstream.limit_connections(max(most - 1, 1) if most else self._most_connections)
