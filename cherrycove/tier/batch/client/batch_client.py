"""Calls to the primary of the store group: finds it, follows hints, and tries again within a time budget."""

from __future__ import annotations

import asyncio
from typing import Generic

from result import Err, Ok, Result

from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import Caller, ReplyT, RequestT, RpcMethod
from cherrycove.tier.settings import Settings

ATTEMPT_TIMEOUT_S = 0.8  # of one call; a dead store says nothing
LEASE_ATTEMPT_TIMEOUT_S = 0.4
READ_SLACK_S = 0.5  # of one held read, beyond the time it may be held
FIRST_PAUSE_S = 0.03  # after all stores were tried once
LONGEST_PAUSE_S = 0.24
MAX_HINTS_IN_A_ROW = 2  # then the other stores are asked
UNRESPONSIVE_PERIOD_S = 2.0  # a store that did not answer is asked last for so long

FINAL_KINDS = frozenset((ErrorKind.NOT_FOUND, ErrorKind.INVALID, ErrorKind.OVERLOADED, ErrorKind.TOO_LARGE))
UNRESPONSIVE_KINDS = frozenset((ErrorKind.UNREACHABLE, ErrorKind.UNCERTAIN))


class PrimaryFinder:
    """Where the primary of the stores may be, best guess first."""

    def __init__(self, views: ClusterView, settings: Settings) -> None:
        self._views = views
        self._settings = settings
        self._confirmed = ""  # address that answered as primary last
        self._unresponsive_since: dict[str, float] = {}  # monotonic s at which a store last failed to answer

    def mark_primary(self, address: str) -> None:
        """``address`` answered as the primary."""
        self._confirmed = address
        self._unresponsive_since.pop(address, None)

    def mark_not_primary(self, address: str) -> None:
        """``address`` answered that it is not the primary."""
        if self._confirmed == address:
            self._confirmed = ""
        self._unresponsive_since.pop(address, None)

    def mark_unresponsive(self, address: str, now: float) -> None:
        """``address`` did not answer, whatever others say of it."""
        self.mark_not_primary(address)
        self._unresponsive_since[address] = now

    def is_unresponsive(self, address: str, now: float) -> bool:
        """Whether ``address`` failed to answer a short while ago."""
        return now - self._unresponsive_since.get(address, float("-inf")) < UNRESPONSIVE_PERIOD_S

    def candidates(self, now: float) -> list[str]:
        """Addresses to try, in order, each once; those that were silent come last."""
        stores = sorted(
            self._views.stores(), key=lambda store: (store.group_primary, store.group_epoch), reverse=True
        )
        known = [self._confirmed] if self._confirmed else []
        listed = [self._settings.peer_address(store.ip, "store") for store in stores]
        return sorted(
            dict.fromkeys([*known, *listed]), key=lambda address: self.is_unresponsive(address, now)
        )


class BatchClient:
    """Typed calls of the batch plane."""

    def __init__(self, client: Caller, views: ClusterView, settings: Settings) -> None:
        self._client = client
        self._finder = PrimaryFinder(views, settings)

    async def submit(self, request: pb.SubmitRequest, budget_s: float) -> Result[pb.SubmitReply, Failure]:
        """Hand in a job. A certain failure promises that the job was not taken."""
        return await self._call(batch_methods.SUBMIT, request, budget_s)

    async def read(self, request: pb.ReadRequest, budget_s: float) -> Result[pb.ReadReply, Failure]:
        """Results from a cursor on; NOT_FOUND only where the primary is sure."""
        attempt_timeout_s = request.wait_ms / 1000.0 + READ_SLACK_S
        return await self._call(batch_methods.READ, request, budget_s, attempt_timeout_s)

    async def body(self, request: pb.BodyRequest, budget_s: float) -> Result[pb.BodyReply, Failure]:
        """The body of an item that has no result yet."""
        return await self._call(batch_methods.BODY, request, budget_s)

    async def end(self, request: pb.EndRequest, budget_s: float) -> Result[pb.EndReply, Failure]:
        """End a job."""
        return await self._call(batch_methods.END, request, budget_s)

    async def lease(self, request: pb.LeaseRequest, budget_s: float) -> Result[pb.LeaseReply, Failure]:
        """Renew leases, and ask for more."""
        return await self._call(batch_methods.LEASE, request, budget_s, LEASE_ATTEMPT_TIMEOUT_S)

    async def report(self, request: pb.ReportRequest, budget_s: float) -> Result[pb.ReportReply, Failure]:
        """Report how an item ended."""
        return await self._call(batch_methods.REPORT, request, budget_s, budget_s)

    async def _call(
        self,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        budget_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Result[ReplyT, Failure]:
        attempts = _Attempts(self._client, self._finder, method, request, attempt_timeout_s)
        return await attempts.run(budget_s)


class _Attempts(Generic[RequestT, ReplyT]):
    """All tries of one call."""

    def __init__(
        self,
        client: Caller,
        finder: PrimaryFinder,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        attempt_timeout_s: float,
    ) -> None:
        self._client = client
        self._finder = finder
        self._method = method
        self._request = request
        self._attempt_timeout_s = attempt_timeout_s
        self._certain = True
        self._last = Failure(ErrorKind.UNAVAILABLE, "no store is known")

    async def run(self, budget_s: float) -> Result[ReplyT, Failure]:
        deadline = _now() + budget_s
        pause_s = FIRST_PAUSE_S
        while True:
            answer = await self._round(deadline)
            if answer is not None:
                return answer
            remaining = deadline - _now()
            if remaining <= pause_s:
                return Err(self._verdict())
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _round(self, deadline: float) -> Result[ReplyT, Failure] | None:
        """Try every store once, those that are named as primary first; None if no try was final."""
        addresses = self._finder.candidates(_now())
        hints = 0
        tried: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            remaining = deadline - _now()
            if remaining <= 0:
                return None
            if address in tried:
                continue
            tried.add(address)
            timeout_s = min(self._attempt_timeout_s, remaining)
            answer = await self._client.call(address, self._method, self._request, timeout_s)
            if isinstance(answer, Ok):
                self._finder.mark_primary(address)
                return answer
            failure = answer.err_value
            if failure.kind in FINAL_KINDS:
                self._finder.mark_primary(address)
                return self._final(failure)
            self._note(address, failure)
            if self._worth_asking(failure.primary) and hints < MAX_HINTS_IN_A_ROW:
                hints += 1
                addresses.insert(0, failure.primary)
        return None

    def _note(self, address: str, failure: Failure) -> None:
        if failure.kind in UNRESPONSIVE_KINDS:
            self._finder.mark_unresponsive(address, _now())
        else:
            self._finder.mark_not_primary(address)
        self._certain = self._certain and failure.is_certain
        self._last = failure

    def _worth_asking(self, hint: str) -> bool:
        return bool(hint) and not self._finder.is_unresponsive(hint, _now())

    def _final(self, failure: Failure) -> Err[Failure]:
        """What the primary refused; want of room proves nothing about an earlier try of unknown outcome."""
        if failure.kind is ErrorKind.OVERLOADED and not self._certain:
            return Err(self._verdict())
        return Err(failure)

    def _verdict(self) -> Failure:
        if self._certain:
            return Failure(ErrorKind.UNAVAILABLE, self._last.detail)
        return Failure(ErrorKind.UNCERTAIN, self._last.detail)


def _now() -> float:
    return asyncio.get_running_loop().time()
