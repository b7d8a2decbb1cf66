"""Reads the platform's list of brokers again and again while this keeper leads, and publishes it."""

from __future__ import annotations

import asyncio
import logging

from result import Err

from cherrycove.tier.controlplane.broker_changes import AbsenceCheck
from cherrycove.tier.controlplane.broker_discovery import BrokerDiscoveryClient, BrokerReader, ReadPacing
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.protocol.control_pb2 import BrokerList
from cherrycove.tier.settings import Settings

IDLE_S = 0.1  # a keeper that does not lead looks again after this time
INHERIT_AFTER_S = 2.0  # a list of brokers that cannot be read for so long is taken from the earlier primary

_log = logging.getLogger(__name__)


class BrokerWatcher:
    """One reader of the platform's list: the primary keeper."""

    def __init__(
        self,
        settings: Settings,
        period: LeadershipPeriod,
        topics: ControlTopics,
        reader: BrokerReader | None = None,
    ) -> None:
        """``reader`` stands in for the one that calls the platform."""
        self._period = period
        self._topics = topics
        self._reader = reader or BrokerDiscoveryClient(settings)
        self._pacing = ReadPacing(settings)
        self._absences = AbsenceCheck()
        self._inherited = BrokerList()
        self._began = 0.0

    async def start(self) -> None:
        await self._reader.start()

    async def stop(self) -> None:
        await self._reader.stop()

    def on_started_leading(self, inherited: BrokerList, now: float) -> None:
        """A term began. ``inherited`` is the list of the primary before, empty where that is not known."""
        self._absences = AbsenceCheck()
        self._inherited = inherited
        self._began = now

    async def step(self) -> None:
        """One read and the pause after it."""
        if not self._period.is_leading():
            await asyncio.sleep(IDLE_S)
            return
        epoch = self._period.epoch
        outcome = await self._reader.read()
        if isinstance(outcome, Err):
            _log.info("broker_list_read_failed", extra={"reason": outcome.err_value.detail})
            self._inherit()
            await asyncio.sleep(self._pacing.failed(self._reader.calls))
            return
        if self._period.is_leading() and self._period.epoch == epoch:
            self._topics.publish_brokers(self._absences.fold(outcome.ok_value, self._reader.calls))
        await asyncio.sleep(self._pacing.succeeded(self._reader.calls))

    def _inherit(self) -> None:
        """While the platform does not answer, processes that start still learn what was known last."""
        waited = asyncio.get_running_loop().time() - self._began
        unknown = self._topics.brokers is None and len(self._inherited.brokers) > 0
        if self._period.is_leading() and unknown and waited >= INHERIT_AFTER_S:
            self._topics.publish_brokers(self._inherited)
