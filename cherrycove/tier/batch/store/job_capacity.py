"""Computes how many batch jobs a store can hold, given its disk, its memory and the link of a new member.

``docs/CAPACITY.md`` explains the formula and the figures behind each constant.
"""

from __future__ import annotations

import attrs

from cherrycove.tier.batch.jobs.model import RECORD_OVERHEAD_BYTES
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.protocol.batch_pb2 import SubmitRequest
from cherrycove.tier.replication.group import USABLE_DISK_SHARE
from cherrycove.tier.replication.snapshot_policy import SNAPSHOT_LOG_BYTES
from cherrycove.tier.settings import ProcessLimits
from cherrycove.tier.storage.block_packs import GARBAGE_BYTES, GARBAGE_FRACTION

# Fraction of the disk limit that a store uses; a controller on the same disk needs a few megabytes.
STORE_DISK_FRACTION = 0.85
# Fraction of the process's memory; while a snapshot is received the state is in memory twice.
MEMORY_FRACTION = 0.2
# Fraction of the catch-up time in which a new member receives the state over its link.
CATCH_UP_FRACTION = 0.4
# Fraction of the capacity above which complete jobs are forgotten even if no client ended them.
EARLY_FORGET_FRACTION = 0.25
OPEN_COPIES = 2.5  # copies of an open job on disk: one in each of two snapshots, and half of one in the log
DEFAULT_RESULT_BYTES = 2048  # assumed size of an item's result until one is known
BYTES_PER_MB = 1_000_000
MEBIBYTE = 1024 * 1024
BITS_PER_BYTE = 8
# Log, unused parts of packs, and hard state.
FIXED_DISK_BYTES = SNAPSHOT_LOG_BYTES + GARBAGE_BYTES + 64 * 1024


@attrs.frozen
class JobsDemand:
    """Holds the sizes in bytes of finished jobs and, at their largest, of open jobs."""

    finished_bytes: float  # finished jobs, compressed
    open_bytes: float  # open jobs at their largest, without the overhead of records in memory
    open_records: int  # items of open jobs; each gets one result

    @property
    def disk_bytes(self) -> float:
        """Return the space taken on the disk of a replica."""
        finished = self.finished_bytes * (1 + GARBAGE_FRACTION)
        return finished + self.open_bytes * OPEN_COPIES + FIXED_DISK_BYTES

    @property
    def memory_bytes(self) -> float:
        """Return the space taken in the memory of a replica."""
        return self.finished_bytes + self.open_bytes + self.open_records * 2 * RECORD_OVERHEAD_BYTES

    @property
    def sent_bytes(self) -> float:
        """Return how much is sent over the link of a new member."""
        return self.finished_bytes + self.open_bytes


@attrs.frozen
class JobCapacity:
    """Holds the capacity of one store. A limit that is not configured is infinite."""

    disk_bytes: float
    memory_bytes: float
    sent_bytes: float

    @classmethod
    def of(cls, limits: ProcessLimits, catch_up_s: float) -> JobCapacity:
        """Compute the capacity under ``limits``. ``catch_up_s`` is the time a new member has to catch up."""
        disk_bytes = limits.disk_mb * BYTES_PER_MB * STORE_DISK_FRACTION * USABLE_DISK_SHARE
        link_bytes_per_s = limits.link_mbps * BYTES_PER_MB / BITS_PER_BYTE
        return cls(
            disk_bytes=disk_bytes or float("inf"),
            memory_bytes=limits.memory_mb * MEMORY_FRACTION * MEBIBYTE,
            sent_bytes=link_bytes_per_s * catch_up_s * CATCH_UP_FRACTION or float("inf"),
        )

    def excess_bytes(self, demand: JobsDemand) -> float:
        """Return how far ``demand`` exceeds the limit that it exceeds most; 0 if it fits."""
        return max(
            demand.disk_bytes - self.disk_bytes,
            demand.memory_bytes - self.memory_bytes,
            demand.sent_bytes - self.sent_bytes,
            0.0,
        )

    def fraction_in_use(self, demand: JobsDemand) -> float:
        """Return the largest fraction of any limit that ``demand`` takes."""
        return max(
            demand.disk_bytes / self.disk_bytes,
            demand.memory_bytes / self.memory_bytes,
            demand.sent_bytes / self.sent_bytes,
        )

    def should_forget_early(self, demand: JobsDemand) -> bool:
        """Return whether so much is stored that complete jobs should be forgotten early."""
        return self.fraction_in_use(demand) > EARLY_FORGET_FRACTION


@attrs.frozen
class SubmissionSize:
    """Holds the size of submitted jobs that are not in the state yet."""

    items: int = 0
    size_bytes: int = 0

    @classmethod
    def of(cls, submission: SubmitRequest) -> SubmissionSize:
        """Return the size of one job."""
        return cls(len(submission.items), submission.ByteSize())

    def __add__(self, other: SubmissionSize) -> SubmissionSize:
        return SubmissionSize(self.items + other.items, self.size_bytes + other.size_bytes)

    def __sub__(self, other: SubmissionSize) -> SubmissionSize:
        return SubmissionSize(self.items - other.items, self.size_bytes - other.size_bytes)


def demand_of(state: JobsState, submitted: SubmissionSize | None = None) -> JobsDemand:
    """Return the demand of the jobs in ``state``, including ``submitted`` ones if they are given."""
    submitted = submitted or SubmissionSize()
    usage = state.usage
    unfinished_items = usage.unfinished_items + submitted.items
    open_bytes = usage.open_payload_bytes + submitted.size_bytes
    body_bytes = usage.unfinished_body_bytes + submitted.size_bytes
    result_bytes = unfinished_items * mean_result_bytes(state)
    return JobsDemand(
        finished_bytes=usage.finished_bytes,
        # An item's body is dropped when its result arrives, so no job holds all of both at once.
        open_bytes=open_bytes + max(result_bytes - body_bytes, 0.0) + state.recent_bytes,
        open_records=usage.open_items + submitted.items,
    )


def mean_result_bytes(state: JobsState) -> float:
    """Return the mean size of a result over the finished jobs, before compression."""
    usage = state.usage
    if not usage.finished_results:
        return DEFAULT_RESULT_BYTES
    return usage.finished_state_bytes / usage.finished_results
