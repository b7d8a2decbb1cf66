"""Shares proposals between callers: one per submitted job, and one for results that arrive together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from cherrycove.tier.batch.jobs.commands import results_command
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.batch_log_pb2 import ItemResult
from cherrycove.tier.replication.interface import Group

PROPOSE_TIMEOUT_S = 2.0
MAX_RESULTS = 256  # limit per command
MAX_TEXT_BYTES = 1024 * 1024  # total text per command; exceeded only by a single longer text


class SingleFlightProposals:
    """Proposes a command only once while it is pending, however many callers request it.

    A client that got no answer in time submits the same job again; the replicated log must not hold it twice.
    Each proposal runs in its own task, so cancelling one caller does not stop it for the others.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._tasks: dict[str, asyncio.Task[Result[object, Failure]]] = {}

    def is_pending(self, key: str) -> bool:
        """Return whether a proposal for ``key`` is pending."""
        return key in self._tasks

    async def propose(self, key: str, command: Callable[[], bytes]) -> Result[object, Failure]:
        """Return the outcome of the pending proposal for ``key``, or of a new proposal of ``command()``."""
        task = self._tasks.get(key)
        if task is None:
            task = asyncio.create_task(self._group.propose(command(), PROPOSE_TIMEOUT_S))
            self._tasks[key] = task
            task.add_done_callback(lambda _: self._tasks.pop(key, None))
        return await asyncio.shield(task)


@attrs.frozen(eq=False)
class _PendingResult:
    result: ItemResult
    recorded: asyncio.Future[Result[None, Failure]]


class ResultRecorder:
    """Proposes results in batches: one command at a time, with the results that arrived during the last one.

    It owns one task, which ends when no result is pending.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._pending: list[_PendingResult] = []
        self._task: asyncio.Task[None] | None = None

    async def record(self, result: ItemResult) -> Result[None, Failure]:
        """Return Ok once this result or an earlier one of the same item is committed."""
        entry = _PendingResult(result, asyncio.get_running_loop().create_future())
        self._pending.append(entry)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._propose_pending())
        return await entry.recorded

    async def _propose_pending(self) -> None:
        while self._pending:
            batch = self._take_batch()
            outcome = await self._propose([entry.result for entry in batch])
            for entry in batch:
                if not entry.recorded.done():
                    entry.recorded.set_result(outcome)

    def _take_batch(self) -> list[_PendingResult]:
        """Remove and return the oldest pending results, at least one, within the limits of one command."""
        text_bytes = 0
        count = 0
        for entry in self._pending[:MAX_RESULTS]:
            text_bytes += len(entry.result.text)
            if count and text_bytes > MAX_TEXT_BYTES:
                break
            count += 1
        batch, self._pending = self._pending[:count], self._pending[count:]
        return batch

    async def _propose(self, results: list[ItemResult]) -> Result[None, Failure]:
        try:
            outcome = await self._group.propose(results_command(results), PROPOSE_TIMEOUT_S)
        except Exception as error:  # noqa: BLE001 - every waiting caller must get an outcome
            return Err(Failure(ErrorKind.UNCERTAIN, f"{type(error).__name__}: {error}"))
        return Err(outcome.err_value) if isinstance(outcome, Err) else Ok(None)
