"""The proxy, which runs on every frontend machine and forwards requests to model brokers and stores."""

from __future__ import annotations

import asyncio
import random

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.frontend.http_api import BatchApi
from cherrycove.tier.batch.worker.batch_worker import BatchWorker
from cherrycove.tier.dataplane import DataPlane
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.distribution.puller import Puller
from cherrycove.tier.program_names import PROXY_PROGRAM
from cherrycove.tier.programs.process import new_incarnation
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.rpc import RpcClient
from cherrycove.tier.settings import Settings


class ProxyProgram:
    """Assembles, starts and stops the data plane of one machine; implements ``process.Program``.

    Owns the data plane, the batch worker, the puller and the client of internal calls. It has no persistent
    state: after a crash, configuration, brokers and stores are pulled from the controllers again.
    """

    def __init__(self, settings: Settings) -> None:
        """Create and connect the components without starting them."""
        self._settings = settings
        self._client = RpcClient()
        self._incarnation = new_incarnation()
        self._leaving = False
        self._cluster_view = ClusterView()
        self._puller = Puller(settings, self._client, self._cluster_view, self._announce)
        self._data_plane = DataPlane(settings, self._cluster_view, random.Random())
        batch_client = BatchClient(self._client, self._cluster_view, settings)
        self._data_plane.attach_batch(BatchApi(batch_client, self._cluster_view))
        self._worker = BatchWorker(
            settings, batch_client, self._data_plane.executor, self._cluster_view, self._incarnation
        )

    async def start(self) -> None:
        """Start all components. Raises ``OSError`` if an address cannot be bound."""
        await self._client.start()
        await self._data_plane.start()
        await self._puller.start()
        await self._worker.start()

    async def stop(self) -> None:
        """Shut down gracefully: open requests and leased items may finish within the grace period."""
        self._leaving = True
        self._puller.announce_now()
        await asyncio.gather(self._worker.stop(), self._data_plane.drain())
        await self._data_plane.stop()
        await self._puller.stop()
        await self._client.stop()

    def reload(self, settings: Settings) -> None:
        """Use the seed nodes of ``settings`` from now on; nothing else changes in a running daemon."""
        self._puller.reload(settings)

    def _announce(self) -> Announcement:
        configuration = self._cluster_view.configuration
        return Announcement(
            node_name=self._settings.node_name,
            program=PROXY_PROGRAM,
            ip=self._settings.ip_address,
            zone=self._settings.zone,
            region=self._settings.region,
            incarnation=self._incarnation,
            arrivals_per_s=self._data_plane.arrivals(),
            configuration_version=configuration.version if configuration else 0,
            leaving=self._leaving,
        )


def assemble(settings: Settings) -> ProxyProgram:
    """Return the program, not started yet."""
    return ProxyProgram(settings)
