"""Clients of batch jobs and the brokers that run their items."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cherrycove.tier.batch.execution import ItemOutcome, ItemState, RecordFailures
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.simulation.control.loop import Life
from cherrycove.tier.simulation.control.network import Endpoint

if TYPE_CHECKING:
    from cherrycove.tier.simulation.control.processes import ProxyProcess
    from cherrycove.tier.simulation.control.world import World

CLIENT_HOST = "client"
FRONT_PORT = 8161
PLACES = 6  # items that one proxy runs at once
RUN_S = (0.05, 1.2)
FAILING = 0.1  # share of runs answered by 500
MAX_ATTEMPTS = 3
TRY_S = 3.0
BUDGET_S = 2.5
READ_WAIT_MS = 500
PAUSE_S = 0.3
ENDING = 0.02  # share of reads after which the client ends its job
BATCH_ROUTE = "b"


class Brokers:
    """Runs items for one proxy; implements ``ItemExecutor``."""

    def __init__(self, process: ProxyProcess) -> None:
        self._process = process
        self._running = 0

    def free_slots(self) -> int:
        return PLACES - self._running

    async def run_item(
        self, item: pb.LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        self._running += 1
        try:
            return await self._run(item, may_send, record_failures)
        finally:
            self._running -= 1

    async def _run(
        self, item: pb.LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        process, failed = self._process, item.failed_attempts
        jobs, random = process.world.jobs, process.random
        while may_send():
            jobs.started(process.life.name, item.job_id, process.world.now)
            await asyncio.sleep(random.uniform(*RUN_S))
            if random.random() >= FAILING:
                text = f"{item.job_id}/{item.item.item_id}/{random.getrandbits(40):x}".encode()
                jobs.jobs[item.job_id].texts.add(text)
                return ItemOutcome(ItemState.COMPLETED, text)
            failed += 1
            await record_failures(failed)
            if failed >= MAX_ATTEMPTS:
                return ItemOutcome(ItemState.DEAD_LETTERED, reason="attempts", failed_attempts=failed)
        return ItemOutcome(ItemState.RETURNED, failed_attempts=failed)


class BatchClients:
    """Hand jobs in, read them, end some of them, and do each of it again after a failure."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._random = Random(world.random.random())
        self.life = Life("clients")
        self.active = True
        self._made = 0

    def start(self, clients: int) -> None:
        for _ in range(clients):
            self._world.loop.spawn(self.life, self._work())

    async def _work(self) -> None:
        await asyncio.sleep(self._random.uniform(2.0, 4.0))
        while True:
            await asyncio.sleep(self._random.uniform(0.0, 2 * PAUSE_S))
            if self.active:
                await self._one_job()

    async def _one_job(self) -> None:
        request = self._new_job()
        self._world.jobs.open(request)
        if not await self._submit(request):
            return
        cursor = 0
        while cursor < len(request.items):
            position = self._random.randint(0, cursor) if self._random.random() < 0.2 else cursor
            reply = await self.read(request.job_id, position)
            cursor = max(cursor, 0 if reply is None else position + len(reply.results))
            if self._random.random() < ENDING:
                await self._end(request.job_id)
                return
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_S))

    def _new_job(self) -> pb.SubmitRequest:
        self._made += 1
        request = pb.SubmitRequest(
            job_id=f"job{self._made}",
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
        """Hand the job in until it is taken; at times once more after that."""
        for _ in range(20):
            if await self._call("submit", request, self._submitted) is not None:
                if self._random.random() < 0.1:
                    await self._call("submit", request, self._submitted)
                return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def read(self, job_id: str, cursor: int) -> pb.ReadReply | None:
        request = pb.ReadRequest(job_id=job_id, cursor=cursor, wait_ms=READ_WAIT_MS)
        reply: pb.ReadReply | None = await self._call("read", request, self._was_read)
        return reply

    async def _end(self, job_id: str) -> None:
        for _ in range(20):
            if await self._call("end", pb.EndRequest(job_id=job_id), self._ended) is not None:
                return
            await asyncio.sleep(PAUSE_S)

    # One call

    async def _call(
        self, name: str, request: Any, judge: Callable[[ProxyProcess, Any, Any, float], None]
    ) -> Any:
        world = self._world
        proxy = self._random.choice(world.proxies)
        sent_at = world.now
        if name == "submit":
            world.jobs.jobs[request.job_id].tries += 1

        async def serve(endpoint: Endpoint) -> Result[Any, Failure]:
            process: ProxyProcess = endpoint.process
            calls: dict[str, Callable[[Any, float], Awaitable[Result[Any, Failure]]]] = {
                "submit": process.batch.submit,
                "read": process.batch.read,
                "end": process.batch.end,
            }
            outcome = await calls[name](request, BUDGET_S)
            judge(process, request, outcome, sent_at)
            return outcome

        address = f"{proxy.host}:{FRONT_PORT}"
        outcome = await world.network.exchange(CLIENT_HOST, self.life, address, serve, TRY_S)
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, Err):
            return None
        return outcome.ok_value.ok_value

    def _submitted(self, process: ProxyProcess, request: Any, outcome: Any, sent_at: float) -> None:
        world = self._world
        if isinstance(outcome, Ok):
            places = world.holders_of_job(request.job_id)
            world.jobs.accepted(process.life.name, request.job_id, world.now, places, world.copies_wanted())
        elif outcome.err_value.is_certain:
            world.jobs.refused(request.job_id)

    def _was_read(self, process: ProxyProcess, request: Any, outcome: Any, sent_at: float) -> None:
        if isinstance(outcome, Ok):
            self._world.jobs.read(process.life.name, request.job_id, request.cursor, outcome.ok_value)
        elif outcome.err_value.kind is ErrorKind.NOT_FOUND:
            self._world.jobs.unknown(process.life.name, request.job_id, "read", sent_at)

    def _ended(self, process: ProxyProcess, request: Any, outcome: Any, sent_at: float) -> None:
        if isinstance(outcome, Ok):
            self._world.jobs.ended(request.job_id, self._world.now)
        elif outcome.err_value.kind is ErrorKind.NOT_FOUND:
            self._world.jobs.unknown(process.life.name, request.job_id, "end", sent_at)
