"""Reports the outcomes of items to the primary of the store group until it has accepted them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok

from cherrycove.tier.batch.client.batch_client import BatchClient
from cherrycove.tier.batch.execution import ROUTE_REMOVED, ItemOutcome, ItemState
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol import batch_pb2 as pb

REPORT_BUDGET_S = 1.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5

# The job or the item is no longer known, or the report can never be accepted, so retrying is useless.
FINAL_KINDS = (ErrorKind.NOT_FOUND, ErrorKind.INVALID)


class ReportSender:
    """Sends the reports of one process of a proxy, retrying each with backoff until its outcome is final."""

    def __init__(self, client: BatchClient, proxy: str, incarnation: str, epoch: Callable[[], int]) -> None:
        """``epoch`` returns the epoch of the primary that last granted or renewed leases."""
        self._client = client
        self._proxy = proxy
        self._incarnation = incarnation
        self._epoch = epoch

    async def send_failures(self, key: ItemKey, failed_attempts: int) -> None:
        """Report the failed attempts of an item that continues; returns once the count is replicated."""
        request = self._request(key)
        request.failures_so_far = failed_attempts
        await self._send(request)

    async def send_outcome(self, key: ItemKey, outcome: ItemOutcome, *, route_removed: bool) -> None:
        """Report the end of an execution. A returned item is dead-lettered if its route was removed."""
        request = self._request(key)
        if outcome.state is ItemState.COMPLETED:
            request.completed_text = outcome.text
        elif outcome.state is ItemState.DEAD_LETTERED:
            request.dead_letter_reason = outcome.reason
        elif route_removed:
            request.dead_letter_reason = ROUTE_REMOVED
        else:
            request.failed_attempts = outcome.failed_attempts
        await self._send(request)

    def _request(self, key: ItemKey) -> pb.ReportRequest:
        request = pb.ReportRequest(proxy=self._proxy, incarnation=self._incarnation)
        request.reference.job_id = key.job_id
        request.reference.item_id = key.item_id
        return request

    async def _send(self, request: pb.ReportRequest) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            request.epoch = self._epoch()
            outcome = await self._client.report(request, REPORT_BUDGET_S)
            if isinstance(outcome, Ok) or outcome.err_value.kind in FINAL_KINDS:
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
