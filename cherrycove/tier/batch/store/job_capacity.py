"""How much a store keeps for batch jobs, by its disk, its memory and the time a new member may take.

``docs/CAPACITY.md`` has the formula with the figures behind each constant.
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

STORE_DISK_FRACTION = 0.85  # of the disk that a store uses; a controller beside it needs a few megabytes
MEMORY_FRACTION = 0.2  # of the process; while a snapshot arrives the state is in memory once more
CATCH_UP_FRACTION = 0.4  # of the time for it, in which a new member receives the state over its link
CROWDED_FRACTION = 0.25  # of the capacity; above it complete jobs that nobody ended are forgotten as well
OPEN_COPIES = 2.5  # of an open job on the disk: in two snapshots, and half of one in the log
DEFAULT_RESULT_BYTES = 2048  # of an item, until any is known
BYTES_PER_MB = 1_000_000
MEBIBYTE = 1024 * 1024
BITS_PER_BYTE = 8
FIXED_DISK_BYTES = SNAPSHOT_LOG_BYTES + GARBAGE_BYTES + 64 * 1024  # log, unused parts of packs, hard state


@attrs.frozen
class JobsDemand:
    """What jobs take once all items have their results, and until then. In bytes."""

    finished_bytes: float  # jobs of which nothing is left to be run, compressed
    open_bytes: float  # all others at their largest, without the overhead of records in memory
    open_records: int  # their items, and as many results

    @property
    def disk_bytes(self) -> float:
        """On the disk of a replica."""
        finished = self.finished_bytes * (1 + GARBAGE_FRACTION)
        return finished + self.open_bytes * OPEN_COPIES + FIXED_DISK_BYTES

    @property
    def memory_bytes(self) -> float:
        """In the memory of a replica."""
        return self.finished_bytes + self.open_bytes + self.open_records * 2 * RECORD_OVERHEAD_BYTES

    @property
    def sent_bytes(self) -> float:
        """Over the link of a new member."""
        return self.finished_bytes + self.open_bytes


@attrs.frozen
class JobCapacity:
    """The room of one store. A bound that is not known is infinite."""

    disk_bytes: float
    memory_bytes: float
    sent_bytes: float

    @classmethod
    def of(cls, limits: ProcessLimits, catch_up_s: float) -> JobCapacity:
        """The room that ``limits`` of a process leave; ``catch_up_s`` is the time for a new member."""
        disk_bytes = limits.disk_mb * BYTES_PER_MB * STORE_DISK_FRACTION * USABLE_DISK_SHARE
        link_bytes_per_s = limits.link_mbps * BYTES_PER_MB / BITS_PER_BYTE
        return cls(
            disk_bytes=disk_bytes or float("inf"),
            memory_bytes=limits.memory_mb * MEMORY_FRACTION * MEBIBYTE,
            sent_bytes=link_bytes_per_s * catch_up_s * CATCH_UP_FRACTION or float("inf"),
        )

    def excess_bytes(self, demand: JobsDemand) -> float:
        """How much ``demand`` is over the capacity, by the bound that it exceeds most; 0 if it fits."""
        return max(
            demand.disk_bytes - self.disk_bytes,
            demand.memory_bytes - self.memory_bytes,
            demand.sent_bytes - self.sent_bytes,
            0.0,
        )

    def fraction_in_use(self, demand: JobsDemand) -> float:
        """The fraction of the capacity that ``demand`` takes, by the bound that it comes closest to."""
        return max(
            demand.disk_bytes / self.disk_bytes,
            demand.memory_bytes / self.memory_bytes,
            demand.sent_bytes / self.sent_bytes,
        )

    def is_crowded(self, demand: JobsDemand) -> bool:
        """Whether so much is stored that complete jobs should be forgotten early."""
        return self.fraction_in_use(demand) > CROWDED_FRACTION


def demand_of(state: JobsState, submission: SubmitRequest | None = None) -> JobsDemand:
    """What the jobs of ``state`` take, with one more if ``submission`` is given."""
    usage = state.usage
    unfinished_items = usage.unfinished_items
    open_bytes = usage.open_payload_bytes
    body_bytes = usage.unfinished_body_bytes
    if submission is not None:
        unfinished_items += len(submission.items)
        open_bytes += submission.ByteSize()
        body_bytes += submission.ByteSize()
    result_bytes = unfinished_items * mean_result_bytes(state)
    return JobsDemand(
        finished_bytes=usage.finished_bytes,
        # An item loses its body when its result comes: no job has all of both at once.
        open_bytes=open_bytes + max(result_bytes - body_bytes, 0.0) + state.recent_bytes,
        open_records=usage.open_items + (len(submission.items) if submission is not None else 0),
    )


def mean_result_bytes(state: JobsState) -> float:
    """The mean size of a result among the jobs that are finished, before they are compressed."""
    usage = state.usage
    if not usage.finished_results:
        return DEFAULT_RESULT_BYTES
    return usage.finished_state_bytes / usage.finished_results
