"""Makes one call to the primary of the store group, trying store after store within a time budget."""

from __future__ import annotations

import asyncio
from typing import Generic

from result import Err, Ok, Result

from cherrycove.tier.batch.client.primary_finder import PrimaryFinder
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, ReplyT, RequestT, RpcMethod

MIN_BACKOFF_S = 0.03  # pause after every store was tried once
MAX_BACKOFF_S = 0.24
MAX_HINTS_PER_PASS = 2  # primary hints followed before the remaining stores are tried

FINAL_KINDS = frozenset((ErrorKind.NOT_FOUND, ErrorKind.INVALID, ErrorKind.OVERLOADED, ErrorKind.TOO_LARGE))
UNRESPONSIVE_KINDS = frozenset((ErrorKind.UNREACHABLE, ErrorKind.UNCERTAIN))


class PrimaryCall(Generic[RequestT, ReplyT]):
    """Makes all attempts of one call. Every method called this way is idempotent, so attempts may repeat.

    The call ends with the first reply, with a failure that only a primary returns, or at its deadline. The
    failure of the call is certain only if every attempt certainly had no effect.
    """

    def __init__(
        self,
        client: Caller,
        finder: PrimaryFinder,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        attempt_timeout_s: float,
    ) -> None:
        """``attempt_timeout_s`` bounds one attempt at one store."""
        self._client = client
        self._finder = finder
        self._method = method
        self._request = request
        self._attempt_timeout_s = attempt_timeout_s
        self._is_certain = True  # whether all attempts so far certainly had no effect
        self._last_failure = Failure(ErrorKind.UNAVAILABLE, "no store is known")

    async def run(self, budget_s: float) -> Result[ReplyT, Failure]:
        """Return the reply of the primary, or a failure after at most ``budget_s`` seconds."""
        deadline = _now() + budget_s
        backoff_s = MIN_BACKOFF_S
        while True:
            outcome = await self._try_every_store(deadline)
            if outcome is not None:
                return outcome
            if deadline - _now() <= backoff_s:
                return Err(self._exhausted_failure())
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _try_every_store(self, deadline: float) -> Result[ReplyT, Failure] | None:
        """Try each store once, the likely and the hinted primary first; None if no outcome is final."""
        addresses = self._finder.candidates(_now())
        hints_followed = 0
        tried: set[str] = set()
        while addresses:
            address = addresses.pop(0)
            remaining_s = deadline - _now()
            if remaining_s <= 0:
                return None
            if address in tried:
                continue
            tried.add(address)
            outcome = await self._attempt(address, remaining_s)
            if not isinstance(outcome, Failure):
                return outcome
            if hints_followed < MAX_HINTS_PER_PASS and self._is_usable_hint(outcome.primary):
                hints_followed += 1
                addresses.insert(0, outcome.primary)
        return None

    async def _attempt(self, address: str, remaining_s: float) -> Result[ReplyT, Failure] | Failure:
        """Try one store. Returns the outcome of the call, or a bare failure if other stores must be tried."""
        timeout_s = min(self._attempt_timeout_s, remaining_s)
        outcome = await self._client.call(address, self._method, self._request, timeout_s)
        if isinstance(outcome, Ok):
            self._finder.mark_primary(address)
            return outcome
        failure = outcome.err_value
        if failure.kind in FINAL_KINDS:
            self._finder.mark_primary(address)
            return Err(self._final_failure(failure))
        self._record_failure(address, failure)
        return failure

    def _record_failure(self, address: str, failure: Failure) -> None:
        if failure.kind in UNRESPONSIVE_KINDS:
            self._finder.mark_unresponsive(address, _now())
        else:
            self._finder.mark_not_primary(address)
        self._is_certain = self._is_certain and failure.had_no_effect
        self._last_failure = failure

    def _is_usable_hint(self, address: str) -> bool:
        return bool(address) and not self._finder.is_unresponsive(address, _now())

    def _final_failure(self, failure: Failure) -> Failure:
        """Return the failure of the call for the primary's ``failure``.

        OVERLOADED does not rule out that an earlier attempt of unknown outcome took effect.
        """
        if failure.kind is ErrorKind.OVERLOADED and not self._is_certain:
            return self._exhausted_failure()
        return failure

    def _exhausted_failure(self) -> Failure:
        kind = ErrorKind.UNAVAILABLE if self._is_certain else ErrorKind.UNCERTAIN
        return Failure(kind, self._last_failure.detail)


def _now() -> float:
    return asyncio.get_running_loop().time()
