"""Batch clients: submit jobs at any proxy, read their results at any other, and delete some of them."""

from __future__ import annotations

import asyncio
import json
import time
from random import Random
from typing import Any

import aiohttp
import attrs

from bench.soak import traffic
from bench.soak.ledger import Ledger
from bench.soak.tier import SoakTier
from examples.tier_client import HOST, batch_item, new_id

CALL_TIMEOUT_S = 5.0
PAUSE_S = 1.5  # longest pause between two jobs of one client
READ_PAUSE_S = 0.3
DELETE_SHARE = 0.2
MAX_ITEMS = 8
ITEM_TEXT = "\n".join(traffic.EVENT_TEXTS)


@attrs.define
class AcceptedJob:
    """A job that was answered with 202, and the results that have been read."""

    job_id: str
    item_ids: list[str]
    results: list[dict[str, Any]] = attrs.field(factory=list)
    is_delete_requested: bool = False  # a DELETE was sent, or will be

    @property
    def is_complete(self) -> bool:
        """Whether the results of all items have been read."""
        return len(self.results) == len(self.item_ids)


class BatchClients:
    """Submits jobs and holds all accepted jobs of a run. ``stop`` ends the submissions."""

    def __init__(self, tier: SoakTier, ledger: Ledger, random: Random) -> None:
        self._tier = tier
        self._ledger = ledger
        self._random = random
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self._is_stopping = False
        self.jobs: list[AcceptedJob] = []

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def stop(self) -> None:
        """Submit no further job."""
        self._is_stopping = True

    async def run(self) -> None:
        """Submit one job after the other, and read the results of each for a while."""
        while not self._is_stopping:
            job = await self._submit()
            if job is not None:
                self.jobs.append(job)
                await self._follow(job)
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_S))

    async def _submit(self) -> AcceptedJob | None:
        job_id = new_id()
        item_ids = [new_id() for _ in range(self._random.randint(1, MAX_ITEMS))]
        body = json.dumps({"requests": [batch_item(one, traffic.BATCH_PREFIX) for one in item_ids]})
        status, _ = await self._call("POST", f"{traffic.BATCH_PREFIX}{job_id}", body, request_id=job_id)
        self._ledger.counts[f"jobs answered {status}"] += 1
        return AcceptedJob(job_id, item_ids) if status == 202 else None

    async def _follow(self, job: AcceptedJob) -> None:
        will_delete = self._random.random() < DELETE_SHARE
        for _ in range(self._random.randint(0, 5)):
            await asyncio.sleep(READ_PAUSE_S)
            await self.read(job)
        if will_delete:
            job.is_delete_requested = True  # even if the response is lost
            await self._call("DELETE", f"/api/lots/{job.job_id}")

    async def read(self, job: AcceptedJob, at_proxy: str = "") -> bool:
        """Read one page from a random position in the known results, and check it against them.

        Returns whether the page was received.
        """
        position = self._random.randint(0, len(job.results))
        status, text = await self._call("GET", f"/api/lots/{job.job_id}?pageCursor={position}", "", at_proxy)
        if status != 200:
            if status in (404, 410):
                self._ledger.record_violation(
                    f"job {job.job_id} was accepted, but a read is answered with {status}: {text[:200]}"
                )
            return False
        page = json.loads(text)
        self._check(job, position, page)
        return True

    def _check(self, job: AcceptedJob, position: int, page: dict[str, Any]) -> None:
        results = page["results"]
        require = self._ledger.require
        total = int(page["total"])
        require(holds=total == len(job.item_ids), detail=f"job {job.job_id}: total {total}")
        known = job.results[position:]
        require(
            holds=results[: len(known)] == known[: len(results)],
            detail=f"job {job.job_id}: results from position {position} differ from those read before",
        )
        job.results.extend(results[len(known) :])
        for result in results[len(known) :]:
            is_correct = result["state"] == "completed" and result["message"] == ITEM_TEXT
            require(holds=is_correct, detail=f"job {job.job_id}: result {result}")
        item_ids = [result["instanceId"] for result in job.results]
        require(
            holds=len(set(item_ids)) == len(item_ids) and set(item_ids) <= set(job.item_ids),
            detail=f"job {job.job_id}: items {item_ids}",
        )

    async def read_back(self, deadline: float) -> None:
        """Read the results of all jobs; all jobs for which no DELETE was sent have to be complete."""
        incomplete = list(self.jobs)
        while incomplete and time.monotonic() < deadline:
            done = [
                job
                for job in incomplete
                if await self.read(job) and (job.is_delete_requested or job.is_complete)
            ]
            incomplete = [job for job in incomplete if job not in done]
            await asyncio.sleep(READ_PAUSE_S if incomplete else 0.0)
        for job in incomplete:
            progress = (
                f"{len(job.results)} of {len(job.item_ids)} results, DELETE sent: {job.is_delete_requested}"
            )
            self._ledger.record_violation(f"job {job.job_id} is incomplete at the end: {progress}")

    async def status_of(self, method: str, target: str, at_proxy: str) -> int:
        """Return the status of one response; 0 if there was none."""
        status, _ = await self._call(method, target, "mark", at_proxy)
        return status

    async def _call(
        self, method: str, target: str, body: str = "", at_proxy: str = "", request_id: str = ""
    ) -> tuple[int, str]:
        """Return the status and text of one response; status 0 if there was none."""
        frontend = at_proxy or self._random.choice(self._tier.all_of("proxy")).frontend
        request_headers = {"Host": HOST, "Request-Id": request_id or new_id()}
        try:
            async with self._session.request(
                method, f"http://{frontend}{target}", data=body or None, headers=request_headers
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, ""
