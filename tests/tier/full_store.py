"""Simulates a store under sustained load: jobs are submitted, and their items get results.

Time is virtual; sizes in bytes are those of production deployments.
"""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import attrs
from batch_support import HOST, ROUTE, Clock, Cluster, FakeGroup
from result import Err, Ok, Result

from cherrycove.tier.batch.jobs.commands import item_result, results_command
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.job_capacity import BYTES_PER_MB, STORE_DISK_FRACTION
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol import batch_methods
from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.replication.core import CHUNK_BYTES
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.pending_writes import SnapshotHeader
from cherrycove.tier.replication.snapshot_policy import SNAPSHOT_LOG_BYTES, SnapshotPolicy
from cherrycove.tier.settings import Bounds, ProcessLimits, Settings
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import ReplicaStorage
from cherrycove.tier.storage.snapshot_state import SnapshotState
from cherrycove.tier.storage.snapshots import Snapshot

EPOCH = 3
ITEMS = 29  # mean number of items per job
BODY_BYTES = 1_400
EVENTS = 30  # events in the text of an item
EVENT_BYTES = 120
RUN_S = 8.0  # time from the acceptance of a job to the results of its items
TO_LETTERS = bytes(ord("a") + value % 26 for value in range(256))


class CallTable:
    """Registers the calls that a store serves, without a network."""

    def __init__(self) -> None:
        self.handlers: dict[Any, Callable[[Any], Awaitable[Result[Any, Failure]]]] = {}

    def register(self, method: Any, handler: Callable[[Any], Awaitable[Result[Any, Failure]]]) -> None:
        self.handlers[method] = handler


def text_of(random: Random, events: int = EVENTS) -> bytes:
    """Return text as model brokers send it: random letters, which do not compress well."""
    lines = [
        b"7.111.%d.%016x.%b"
        % (n, random.getrandbits(64), random.randbytes(EVENT_BYTES - 26).translate(TO_LETTERS))
        for n in range(events)
    ]
    return b"\n".join(lines)


def submission(random: Random, job_id: str, items: int = ITEMS) -> pb.SubmitRequest:
    request = pb.SubmitRequest(
        job_id=job_id,
        route=ROUTE.name,
        host=HOST,
        completion_target_ms=10_000,
        retention_ms=40_000,
        max_attempts=3,
    )
    for number in range(items):
        request.items.add(
            item_id=f"{job_id}-{number:03d}",
            path=f"/jobs/{number}",
            headers={"Model": "m", "Token-Usage": "1200,1474"},
            body=random.randbytes(BODY_BYTES),
            tokens=1474,
        )
    return request


class RecordingCluster(Cluster):
    """Passes each command to ``record`` after it was applied."""

    def __init__(self, record: Callable[[bytes], None]) -> None:
        super().__init__()
        self._record = record

    def commit(self, proposer: FakeGroup, command: bytes) -> object:
        outcome = super().commit(proposer, command)
        self._record(command)
        return outcome


class ReplicaDisk:
    """Writes to disk what the replica's group would write, without the group. A full disk fails the test."""

    def __init__(self, directory: Path, disk_mb: float) -> None:
        directory.mkdir(exist_ok=True)
        self.directory = directory
        self.limit_bytes = int(disk_mb * BYTES_PER_MB * STORE_DISK_FRACTION)
        self.storage = self._open()
        self.storage.recover()
        self.storage.write_hard_state(HardState(EPOCH, "disk-1"))
        self.index = 0
        self.policy = SnapshotPolicy(SNAPSHOT_LOG_BYTES)
        self.snapshots = 0
        self.peak_bytes = 0

    def _open(self) -> ReplicaStorage:
        return ReplicaStorage(self.directory, self.limit_bytes)

    def commit(self, state: JobsState, command: bytes) -> None:
        """Write an entry that was already applied to ``state``, and a snapshot if one is due."""
        self.index += 1
        entry = Entry(self.index, EPOCH, EntryKind.COMMAND, command)
        self.storage.append([entry])
        self.policy.entry_applied(entry.size_bytes)
        if self.policy.is_due:
            self.save(state)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def save(self, state: JobsState) -> None:
        """Take a snapshot. It is on disk together with the files that it replaces until these are deleted."""
        before_bytes = self.used_bytes
        snapshot = Snapshot(self.index, EPOCH, b"members", state.snapshot())
        plan = self.storage._packs.plan(snapshot.state)
        self.peak_bytes = max(self.peak_bytes, before_bytes + plan.size_bytes + snapshot.size_bytes)
        self.storage.save_snapshot(snapshot, [])
        self.policy.reset_after_snapshot(snapshot.state.rewritten_bytes)
        self.snapshots += 1

    @property
    def used_bytes(self) -> int:
        """Return the total size of the files."""
        return sum(path.stat().st_size for path in self.directory.iterdir())

    def lose_power(self) -> JobsState:
        """Restart from what is on disk, and return the recovered state."""
        self.storage.close()
        self.storage = self._open()
        recovered = self.storage.recover()
        state = JobsState()
        if recovered.snapshot is not None:
            state.restore(recovered.snapshot.state)
        for entry in recovered.entries:
            state.apply(entry.index, entry.payload)
        return state

    def send_to(self, other: ReplicaDisk) -> JobsState:
        """Send a new member the snapshot in chunks and the later entries, and return the member's state."""
        recovered = self.storage.recover()
        assert recovered.snapshot is not None
        header = SnapshotHeader.of(recovered.snapshot)
        chunks: list[bytes] = []
        while sum(map(len, chunks)) < header.encoded_bytes:
            offset = sum(map(len, chunks))
            chunks.append(self.storage.read_state(header.index, offset, CHUNK_BYTES, encoded=True))
        received = SnapshotState.decode(b"".join(chunks))
        other.storage.save_snapshot(Snapshot(header.index, header.epoch, header.members, received), [])
        other.storage.append(recovered.entries)
        return other.lose_power()


@attrs.define(order=True)
class _ScheduledResults:
    at_s: float
    job_id: str
    items: list[str] = attrs.field(order=False)


class StoreSimulation:
    """Simulates one store that is the primary, and the jobs submitted to it."""

    def __init__(
        self,
        limits: ProcessLimits,
        seed: int = 1,
        bounds: Bounds | None = None,
        disk: ReplicaDisk | None = None,
    ) -> None:
        self.random = Random(seed)
        self.clock = Clock()
        self.state = JobsState()
        self.disk = disk
        cluster = RecordingCluster(lambda command: disk.commit(self.state, command) if disk else None)
        identity = MemberIdentity("disk-1", "storage-1", "127.0.0.1:7701")
        self.group = cluster.add(identity, self.state)
        cluster.set_primary(identity)
        self._calls = CallTable()
        settings = Settings(
            node_name="storage-1",
            machine_class="storage",
            ip_address="127.0.0.1",
            zone="a",
            region="r",
            internal_port_range=[7700, 7710],
            limits=limits,
            bounds=bounds or Bounds(status_s=120.0, catch_up_s=7.0),
        )
        self.store = BatchStoreService(
            settings,
            self.group,
            self.state,
            self._calls,
            clock=self.clock,
            wall_clock=self.clock,
        )
        self.accepted: list[str] = []
        self.refused: list[Failure] = []
        self._scheduled_results: list[_ScheduledResults] = []

    async def call(self, method: Any, request: Any) -> Result[Any, Failure]:
        return await self._calls.handlers[method](request)

    async def submit(self, items: int = ITEMS) -> bool:
        """Submit one job and return whether it was accepted. Its items get their results after ``RUN_S``."""
        job_id = f"job-{len(self.accepted) + len(self.refused):05d}"
        request = submission(self.random, job_id, items)
        outcome = await self.call(batch_methods.SUBMIT, request)
        if isinstance(outcome, Err):
            assert outcome.err_value.kind is ErrorKind.OVERLOADED
            self.refused.append(outcome.err_value)
            return False
        self.accepted.append(job_id)
        names = [item.item_id for item in request.items]
        heapq.heappush(self._scheduled_results, _ScheduledResults(self.clock.now + RUN_S, job_id, names))
        return True

    async def advance(self, seconds: float) -> None:
        """Advance the time, record the results that are due, and do the store's periodic work."""
        end_s = self.clock.now + seconds
        while self._scheduled_results and self._scheduled_results[0].at_s <= end_s:
            finish = heapq.heappop(self._scheduled_results)
            self.clock.now = max(self.clock.now, finish.at_s)
            self.finish(finish.job_id, finish.items)
        self.clock.now = end_s
        await self.store.maintain_once()

    def finish(self, job_id: str, names: list[str]) -> None:
        """Commit the results of these items."""
        results = [item_result(ItemKey(job_id, name), text_of(self.random), completed=True) for name in names]
        self.group.cluster.commit(self.group, results_command(results))

    async def read(self, job_id: str) -> list[tuple[str, bytes]]:
        """Return all results of a job in order."""
        found: list[tuple[str, bytes]] = []
        while True:
            outcome = await self.call(
                batch_methods.READ, pb.ReadRequest(job_id=job_id, cursor=len(found), wait_ms=0)
            )
            assert isinstance(outcome, Ok), outcome
            found.extend((entry.item_id, entry.text) for entry in outcome.ok_value.results)
            if not outcome.ok_value.results or len(found) == outcome.ok_value.total:
                return found
