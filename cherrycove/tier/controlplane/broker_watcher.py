"""Reads the platform's broker list periodically while this controller leads, and publishes it."""

from __future__ import annotations

import asyncio
import logging

from result import Err

from cherrycove.tier.controlplane.broker_changes import RemovalConfirmation
from cherrycove.tier.controlplane.broker_discovery import BrokerDiscoveryClient, BrokerReader, ReadPacing
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.protocol.control_pb2 import BrokerList
from cherrycove.tier.settings import Settings

IDLE_INTERVAL_S = 0.1  # interval of leadership checks while this controller does not lead
INHERIT_AFTER_S = 2.0  # time without a successful read after which the earlier primary's list is published

_log = logging.getLogger(__name__)


class BrokerWatcher:
    """Reads the platform's list on the primary only, so that one controller calls the platform.

    Owned by the ``Controller``; the ``LeaderCoordinator`` notifies it of new epochs. The list is not
    persisted: after a crash or a change of primary it is read again. While the platform does not answer, the
    last list stays published.
    """

    def __init__(
        self,
        settings: Settings,
        period: LeadershipPeriod,
        topics: ControlTopics,
        reader: BrokerReader | None = None,
    ) -> None:
        """Read with ``reader`` if given, else with a ``BrokerDiscoveryClient``."""
        self._period = period
        self._topics = topics
        self._reader = reader or BrokerDiscoveryClient(settings)
        self._pacing = ReadPacing(settings)
        self._removals = RemovalConfirmation()
        self._inherited = BrokerList()
        self._leading_since = 0.0

    async def start(self) -> None:
        """Open the reader."""
        await self._reader.start()

    async def stop(self) -> None:
        """Close the reader; the caller ensures that no step is in progress."""
        await self._reader.stop()

    def on_started_leading(self, inherited: BrokerList, now: float) -> None:
        """Handle the start of leadership in a new epoch, at ``now`` (monotonic s).

        ``inherited`` is the list that the previous primary published, or empty if it is unknown.
        """
        self._removals = RemovalConfirmation()
        self._inherited = inherited
        self._leading_since = now

    async def step(self) -> None:
        """Read the list once, publish it, and pause until the next read is due."""
        if not self._period.is_leading():
            await asyncio.sleep(IDLE_INTERVAL_S)
            return
        epoch = self._period.epoch
        outcome = await self._reader.read()
        if isinstance(outcome, Err):
            _log.info("broker_list_read_failed", extra={"reason": outcome.err_value.detail})
            self._publish_inherited()
            await asyncio.sleep(self._pacing.pause_after_failure(self._reader.calls))
            return
        if self._period.is_leading() and self._period.epoch == epoch:
            self._topics.publish_brokers(self._removals.merge(outcome.ok_value, self._reader.calls))
        await asyncio.sleep(self._pacing.pause_after_success(self._reader.calls))

    def _publish_inherited(self) -> None:
        """Publish the earlier primary's list while the platform does not answer.

        This gives processes that start in the meantime a list of brokers.
        """
        waited_s = asyncio.get_running_loop().time() - self._leading_since
        unknown = self._topics.brokers is None and len(self._inherited.brokers) > 0
        if self._period.is_leading() and unknown and waited_s >= INHERIT_AFTER_S:
            self._topics.publish_brokers(self._inherited)
