"""Keeps the bodies of items that got their results recently.

A client may read the body of an item whose result it has not seen yet on its last page of results. So the
newest bodies are kept, and the oldest are dropped once a limit is exceeded.
"""

from __future__ import annotations

from collections.abc import Container, Iterator

from cherrycove.tier.batch.jobs.model import ItemKey

MAX_RECENT_BYTES = 1024 * 1024
MAX_RECENT_COUNT = 4096


class RecentBodies:
    """Holds bodies of items with a result, oldest first. It is part of the replicated state."""

    def __init__(self) -> None:
        self._encoded: dict[ItemKey, bytes] = {}  # serialized Items
        self.size_bytes = 0

    def __iter__(self) -> Iterator[ItemKey]:
        return iter(self._encoded)

    def by_job(self) -> dict[str, dict[str, bytes]]:
        """Return the serialized items by job id and item id."""
        jobs: dict[str, dict[str, bytes]] = {}
        for key, encoded in self._encoded.items():
            jobs.setdefault(key.job_id, {})[key.item_id] = encoded
        return jobs

    def get(self, key: ItemKey) -> bytes | None:
        """Return the serialized item; None if it is not kept."""
        return self._encoded.get(key)

    def add(self, key: ItemKey, encoded: bytes) -> None:
        """Add an item that has just got its result, and drop the oldest items while a limit is exceeded."""
        self._encoded[key] = encoded
        self.size_bytes += len(encoded)
        while self.size_bytes > MAX_RECENT_BYTES or len(self._encoded) > MAX_RECENT_COUNT:
            self._drop(next(iter(self._encoded)))

    def drop_jobs(self, job_ids: Container[str]) -> None:
        """Drop the items of these jobs."""
        for key in [key for key in self._encoded if key.job_id in job_ids]:
            self._drop(key)

    def _drop(self, key: ItemKey) -> None:
        self.size_bytes -= len(self._encoded.pop(key))
