"""Builds replicated commands, and lets results that are reported close together share one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs
from result import Err, Ok, Result

from cherrycove.tier.batch.jobs.state import ItemKey
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.batch_log_pb2 import BatchCommand, ItemResult
from cherrycove.tier.protocol.batch_pb2 import SubmitRequest
from cherrycove.tier.replication.interface import Group

PROPOSE_TIMEOUT_S = 2.0
SHARED_RESULTS = 256  # at most so many results in one command
SHARED_BYTES = 1024 * 1024  # and about so many bytes of texts


def accept_command(job: SubmitRequest, received_unix_ms: int) -> bytes:
    """Takes a job."""
    command = BatchCommand()
    command.accept.job.CopyFrom(job)
    command.accept.received_unix_ms = received_unix_ms
    return command.SerializeToString()


def end_command(job_id: str) -> bytes:
    """Ends a job."""
    command = BatchCommand()
    command.end.job_id = job_id
    return command.SerializeToString()


def forget_command(job_ids: Sequence[str]) -> bytes:
    """Drops jobs that are done and old."""
    command = BatchCommand()
    command.forget.job_ids.extend(job_ids)
    return command.SerializeToString()


def failures_command(key: ItemKey, failed_attempts: int) -> bytes:
    """Keeps how many answers of 500 an item has had."""
    command = BatchCommand()
    command.failures.reference.job_id = key.job_id
    command.failures.reference.item_id = key.item_id
    command.failures.failed_attempts = failed_attempts
    return command.SerializeToString()


def results_command(results: Sequence[ItemResult]) -> bytes:
    """Gives results their positions, in this order."""
    command = BatchCommand()
    command.results.results.extend(results)
    return command.SerializeToString()


class SingleFlightProposals:
    """Proposes a command once while callers ask for it again, as after an answer that came too late."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._tasks: dict[str, asyncio.Task[Result[object, Failure]]] = {}

    async def propose(self, key: str, command: Callable[[], bytes]) -> Result[object, Failure]:
        """The outcome of the proposal under way for ``key``, or of a new one."""
        task = self._tasks.get(key)
        if task is None:
            task = asyncio.create_task(self._group.propose(command(), PROPOSE_TIMEOUT_S))
            self._tasks[key] = task
            task.add_done_callback(lambda _: self._tasks.pop(key, None))
        return await asyncio.shield(task)


@attrs.frozen(eq=False)
class _Pending:
    result: ItemResult
    recorded: asyncio.Future[Result[None, Failure]]


class ResultRecorder:
    """Proposes results: one command at a time, with all that came while the one before was under way."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._pending: list[_Pending] = []
        self._task: asyncio.Task[None] | None = None

    async def record(self, result: ItemResult) -> Result[None, Failure]:
        """Ok once the result is committed, or another one of the same item was before."""
        entry = _Pending(result, asyncio.get_running_loop().create_future())
        self._pending.append(entry)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        return await entry.recorded

    async def _drain(self) -> None:
        while self._pending:
            shared = self._next_share()
            outcome = await self._propose([entry.result for entry in shared])
            for entry in shared:
                if not entry.recorded.done():
                    entry.recorded.set_result(outcome)

    def _next_share(self) -> list[_Pending]:
        size = 0
        count = 0
        for entry in self._pending[:SHARED_RESULTS]:
            size += len(entry.result.text)
            if count and size > SHARED_BYTES:
                break
            count += 1
        shared, self._pending = self._pending[:count], self._pending[count:]
        return shared

    async def _propose(self, results: list[ItemResult]) -> Result[None, Failure]:
        try:
            outcome = await self._group.propose(results_command(results), PROPOSE_TIMEOUT_S)
        except Exception as error:  # the callers must hear of it, whatever it is
            return Err(Failure(ErrorKind.UNCERTAIN, f"{type(error).__name__}: {error}"))
        return Err(outcome.err_value) if isinstance(outcome, Err) else Ok(None)
