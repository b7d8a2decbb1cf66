"""Runs batch items at model brokers: the ``ItemExecutor`` of the batch plane."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf

from multidict import CIMultiDict

from cherrycove.tier.batch.execution import ExecutorLoad, ItemOutcome, ItemState, RecordFailures
from cherrycove.tier.configuration import Route
from cherrycove.tier.dataplane.admission import AdmissionRequest
from cherrycove.tier.dataplane.admission_controller import AdmissionController
from cherrycove.tier.dataplane.item_execution import ItemExecution
from cherrycove.tier.dataplane.loss_cause import RequestTimeline
from cherrycove.tier.dataplane.loss_record import LossRecord
from cherrycove.tier.dataplane.prompt import parse_prompt
from cherrycove.tier.dataplane.request_forwarder import choose_service
from cherrycove.tier.dataplane.upstream import UpstreamClient
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.protocol.batch_pb2 import LeasedItem


class BrokerItemExecutor:
    """Runs each item as an ``ItemExecution``; owned by the ``DataPlane``, used by the batch worker."""

    def __init__(
        self,
        cluster_view: ClusterView,
        admission: AdmissionController,
        upstream: UpstreamClient,
        rng: random.Random,
        losses: LossRecord,
    ) -> None:
        self._cluster_view = cluster_view
        self._admission = admission
        self._upstream = upstream
        self._rng = rng
        self._losses = losses

    def free_slots(self) -> int:
        """The number of further items that could be started now without delaying live requests."""
        return self._admission.free_slots()

    def load(self) -> ExecutorLoad:
        """The slots of the brokers of batch routes, and this proxy's live requests for the same services."""
        configuration = self._cluster_view.configuration
        if configuration is None:
            return ExecutorLoad(0, 0)
        services: set[str] = set()
        for route in configuration.routes:
            if route.is_batch:
                services |= route.services
        return self._admission.load(services)

    async def run_item(
        self, item: LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        """Run an item until its outcome is known; see ``ItemExecutor.run_item``."""
        loop = asyncio.get_running_loop()
        timeline = RequestTimeline(due_at=loop.time() + item.due_in_ms / 1000, is_batch=True)
        outcome = await self._run(item, timeline, may_send, record_failures)
        cause = timeline.loss(loop.time(), is_complete=outcome.state is ItemState.COMPLETED)
        if cause is not None:
            self._losses.count(item.route, cause)
        return outcome

    async def _run(
        self,
        item: LeasedItem,
        timeline: RequestTimeline,
        may_send: Callable[[], bool],
        record_failures: RecordFailures,
    ) -> ItemOutcome:
        execution = ItemExecution(
            admission=self._admission,
            upstream=self._upstream,
            item=item,
            timeline=timeline,
            failed_attempts=item.failed_attempts,
            record_failures=record_failures,
        )
        if execution.has_failed:  # an earlier lease holder ended before it reported that
            return execution.dead_lettered()
        while True:
            route = self._route(item)
            if route is None:
                return execution.returned()
            outcome = await execution.attempt(
                self._admission_request(item, route),
                may_send,
                lambda service: self._is_served_by(item, service),
            )
            if outcome is not None:
                return outcome

    def _route(self, item: LeasedItem) -> Route | None:
        configuration = self._cluster_view.configuration
        return configuration.route(item.route) if configuration is not None else None

    def _is_served_by(self, item: LeasedItem, service: str) -> bool:
        route = self._route(item)
        return route is not None and service in route.services

    def _admission_request(self, item: LeasedItem, route: Route) -> AdmissionRequest:
        now = asyncio.get_running_loop().time()
        due_at = now + item.due_in_ms / 1000
        return AdmissionRequest(
            route=route.name,
            service=choose_service(route, self._rng),
            arrived_at=now,
            target_latency_s=max(due_at - now, 0.0),
            deadline=inf,
            due_at=due_at,
            is_batch=True,
            preferred_broker=item.broker,
            prompt=parse_prompt(CIMultiDict(item.item.headers)),
        )
