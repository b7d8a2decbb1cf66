"""Simulates clients that submit batch jobs, read their results and end some of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.simulation.control.batch_execution import MAX_ATTEMPTS
from cherrycove.tier.simulation.control.deployment import BATCH_ROUTE, CLIENT_HOST, PROXY_PORT
from cherrycove.tier.simulation.control.loop import Incarnation
from cherrycove.tier.simulation.control.network import Endpoint
from cherrycove.tier.simulation.control.processes import ProxyProcess
from cherrycove.tier.simulation.control.world import World

MAX_SUBMISSIONS = 20  # attempts to submit or to end a job
CALL_TIMEOUT_S = 3.0
PROXY_TIMEOUT_S = 2.5  # of a proxy's call to the stores
READ_WAIT_MS = 500
PAUSE_S = 0.3
ENDING_SHARE = 0.02  # of the reads, after which the client ends the job
RESUBMISSION_SHARE = 0.1  # of the submissions, which are repeated after their acknowledgement
REREAD_SHARE = 0.2  # of the reads, which start before the cursor


class BatchClients:
    """Runs the batch clients of one world, which retry failed calls and submit jobs while ``active``."""

    def __init__(self, world: World) -> None:
        self._invariants = world.invariants
        self._cluster = world.cluster
        self._environment = world.environment
        self._jobs = world.environment.jobs
        self._random = Random(world.environment.random.random())
        self.incarnation = Incarnation("clients")
        self.active = True
        self._submitted_jobs = 0

    def start(self, clients: int) -> None:
        """Start ``clients`` tasks, each of which runs one job at a time."""
        for _ in range(clients):
            self._environment.loop.spawn(self.incarnation, self._run_client())

    async def _run_client(self) -> None:
        await asyncio.sleep(self._random.uniform(2.0, 4.0))
        while True:
            await asyncio.sleep(self._random.uniform(0.0, 2 * PAUSE_S))
            if self.active:
                await self._run_job()

    async def _run_job(self) -> None:
        request = self._new_job()
        self._jobs.open(request)
        if not await self._submit(request):
            return
        cursor = 0
        while cursor < len(request.items):
            position = self._random.randint(0, cursor) if self._random.random() < REREAD_SHARE else cursor
            reply = await self.read(request.job_id, position)
            cursor = max(cursor, 0 if reply is None else position + len(reply.results))
            if self._random.random() < ENDING_SHARE:
                await self._end(request.job_id)
                return
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_S))

    def _new_job(self) -> pb.SubmitRequest:
        self._submitted_jobs += 1
        request = pb.SubmitRequest(
            job_id=f"job{self._submitted_jobs}",
            route=BATCH_ROUTE,
            host="b.example",
            completion_target_ms=60_000,
            retention_ms=600_000,
            max_attempts=MAX_ATTEMPTS,
        )
        for number in range(self._random.randint(1, 12)):
            body = self._random.randbytes(self._random.randint(10, 2000))
            request.items.add(item_id=f"i{number}", path="/b/", body=body, tokens=10)
        return request

    async def _submit(self, request: pb.SubmitRequest) -> bool:
        """Submit the job until it is accepted, possibly once more after that; return whether it was."""
        for _ in range(MAX_SUBMISSIONS):
            if await self._call("submit", request, self._submitted) is not None:
                if self._random.random() < RESUBMISSION_SHARE:
                    await self._call("submit", request, self._submitted)
                return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def read(self, job_id: str, cursor: int) -> pb.ReadReply | None:
        """Read the results of a job from position ``cursor`` on; return None if the call fails."""
        request = pb.ReadRequest(job_id=job_id, cursor=cursor, wait_ms=READ_WAIT_MS)
        reply: pb.ReadReply | None = await self._call("read", request, self._was_read)
        return reply

    async def _end(self, job_id: str) -> None:
        for _ in range(MAX_SUBMISSIONS):
            if await self._call("end", pb.EndRequest(job_id=job_id), self._ended) is not None:
                return
            await asyncio.sleep(PAUSE_S)

    # One call

    async def _call(
        self, name: str, request: Any, check: Callable[[ProxyProcess, Any, Any, float], None]
    ) -> Any:
        proxy = self._random.choice(self._cluster.proxies)
        sent_at = self._environment.now
        if name == "submit":
            self._jobs.jobs[request.job_id].submissions += 1

        async def serve(endpoint: Endpoint) -> Result[Any, Failure]:
            process: ProxyProcess = endpoint.process
            calls: dict[str, Callable[[Any, float], Awaitable[Result[Any, Failure]]]] = {
                "submit": process.batch.submit,
                "read": process.batch.read,
                "end": process.batch.end,
            }
            outcome = await calls[name](request, PROXY_TIMEOUT_S)
            check(process, request, outcome, sent_at)
            return outcome

        address = f"{proxy.host}:{PROXY_PORT}"
        outcome = await self._environment.network.exchange(
            CLIENT_HOST, self.incarnation, address, serve, CALL_TIMEOUT_S
        )
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            return None
        return outcome.ok_value.ok_value

    # Checks of replies as the proxy sends them

    def _submitted(self, process: ProxyProcess, request: Any, outcome: Any, _sent_at: float) -> None:
        job_id = request.job_id
        if isinstance(outcome, Ok):
            holders = self._invariants.holders_of_job(job_id)
            required = self._invariants.required_replicas()
            self._jobs.accepted(process.incarnation.name, job_id, self._environment.now, holders, required)
        elif outcome.err_value.had_no_effect:
            self._jobs.rejected(job_id)

    def _was_read(self, process: ProxyProcess, request: Any, outcome: Any, sent_at: float) -> None:
        if isinstance(outcome, Ok):
            self._jobs.read(process.incarnation.name, request.job_id, request.cursor, outcome.ok_value)
        elif outcome.err_value.kind is ErrorKind.NOT_FOUND:
            self._jobs.unknown(process.incarnation.name, request.job_id, "read", sent_at)

    def _ended(self, process: ProxyProcess, request: Any, outcome: Any, sent_at: float) -> None:
        if isinstance(outcome, Ok):
            self._jobs.ended(request.job_id, self._environment.now)
        elif outcome.err_value.kind is ErrorKind.NOT_FOUND:
            self._jobs.unknown(process.incarnation.name, request.job_id, "end", sent_at)
