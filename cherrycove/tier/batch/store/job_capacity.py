"""How much a store keeps for batch jobs, by its memory and its disk."""

from __future__ import annotations

from cherrycove.tier.settings import ProcessLimits

MEMORY_FRACTION = 0.2  # of the process; a snapshot that is taken or read holds all jobs once more
DISK_FRACTION = 0.25  # of the disk, which holds two snapshots and the log
CROWDED_FRACTION = 0.25  # of the capacity; above it complete jobs that nobody ended are forgotten as well
MEGABYTE = 1024 * 1024


class JobCapacity:
    """Admission of jobs by the bytes that are stored already."""

    def __init__(self, limits: ProcessLimits) -> None:
        memory_bytes = limits.memory_mb * MEMORY_FRACTION * MEGABYTE
        disk_bytes = limits.disk_mb * DISK_FRACTION * MEGABYTE
        self._capacity_bytes = min(memory_bytes, disk_bytes) if limits.disk_mb else memory_bytes

    def has_room(self, stored_bytes: int, job_bytes: int) -> bool:
        """Whether a job of ``job_bytes`` may be accepted beside ``stored_bytes``."""
        return stored_bytes + job_bytes <= self._capacity_bytes

    def is_crowded(self, stored_bytes: int) -> bool:
        """Whether so much is stored that complete jobs should be forgotten early."""
        return stored_bytes > self._capacity_bytes * CROWDED_FRACTION
