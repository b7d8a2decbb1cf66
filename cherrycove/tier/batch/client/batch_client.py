"""Provides typed batch calls to the primary of the store group."""

from __future__ import annotations

from result import Result

from cherrycove.tier.batch.client.primary_call import PrimaryCall
from cherrycove.tier.batch.client.primary_finder import PrimaryFinder
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import Caller, ReplyT, RequestT, RpcMethod
from cherrycove.tier.settings import Settings

ATTEMPT_TIMEOUT_S = 0.8  # bounds one call to one store, since a crashed store does not answer
LEASE_ATTEMPT_TIMEOUT_S = 0.4
READ_SLACK_S = 0.5  # added to the time for which the store may hold a read open


class BatchClient:
    """Makes the batch calls of one proxy. Each call finds the primary and retries within its time budget.

    ``PrimaryCall`` has the rules for retries.
    """

    def __init__(self, client: Caller, cluster_view: ClusterView, settings: Settings) -> None:
        self._client = client
        self._finder = PrimaryFinder(cluster_view, settings)

    async def submit(self, request: pb.SubmitRequest, budget_s: float) -> Result[pb.SubmitReply, Failure]:
        """Submit a job. If the returned failure is certain, the job was not accepted."""
        return await self._call(batch_methods.SUBMIT, request, budget_s)

    async def read(self, request: pb.ReadRequest, budget_s: float) -> Result[pb.ReadReply, Failure]:
        """Read results from a cursor on. NOT_FOUND comes only from a primary with a valid lease."""
        attempt_timeout_s = request.wait_ms / 1000.0 + READ_SLACK_S
        return await self._call(batch_methods.READ, request, budget_s, attempt_timeout_s)

    async def body(self, request: pb.BodyRequest, budget_s: float) -> Result[pb.BodyReply, Failure]:
        """Read the request body of an item; NOT_FOUND once the store has dropped it."""
        return await self._call(batch_methods.BODY, request, budget_s)

    async def end(self, request: pb.EndRequest, budget_s: float) -> Result[pb.EndReply, Failure]:
        """End a job, so that its remaining items are not run."""
        return await self._call(batch_methods.END, request, budget_s)

    async def lease(self, request: pb.LeaseRequest, budget_s: float) -> Result[pb.LeaseReply, Failure]:
        """Renew leases and request further items."""
        return await self._call(batch_methods.LEASE, request, budget_s, LEASE_ATTEMPT_TIMEOUT_S)

    async def report(self, request: pb.ReportRequest, budget_s: float) -> Result[pb.ReportReply, Failure]:
        """Report the outcome of an item, or its failed attempts so far."""
        return await self._call(batch_methods.REPORT, request, budget_s, budget_s)

    async def _call(
        self,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        budget_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Result[ReplyT, Failure]:
        call = PrimaryCall(self._client, self._finder, method, request, attempt_timeout_s)
        return await call.run(budget_s)
