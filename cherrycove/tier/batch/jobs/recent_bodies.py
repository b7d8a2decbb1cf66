"""Which items with a result still have their bodies.

A client may read the body of an item that its last page of results did not show yet, so the newest bodies
are kept; the oldest ones over the bounds are dropped.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterator

from cherrycove.tier.batch.jobs.model import ItemKey, StoredItem

MAX_RECENT_BYTES = 8 * 1024 * 1024
MAX_RECENT_COUNT = 4096


class RecentBodies:
    """The items with a result whose bodies are kept, oldest first. Part of the replicated state."""

    def __init__(self) -> None:
        self._items: deque[tuple[ItemKey, StoredItem]] = deque()
        self._size_bytes = 0

    def __iter__(self) -> Iterator[ItemKey]:
        return (key for key, _ in self._items)

    def restore(self, key: ItemKey, item: StoredItem) -> None:
        """Add an item of a snapshot, which is within the bounds."""
        self._items.append((key, item))
        self._size_bytes += len(item.encoded)

    def add(self, key: ItemKey, item: StoredItem) -> int:
        """Add an item that has just got its result; returns how many bytes of older bodies were dropped."""
        self.restore(key, item)
        dropped_bytes = 0
        while self._size_bytes > MAX_RECENT_BYTES or len(self._items) > MAX_RECENT_COUNT:
            dropped_bytes += self._drop_oldest()
        return dropped_bytes

    def keep_only(self, job_ids: Container[str]) -> None:
        """Forget the items of all other jobs."""
        self._items = deque((key, item) for key, item in self._items if key.job_id in job_ids)
        self._size_bytes = sum(len(item.encoded) for _, item in self._items)

    def _drop_oldest(self) -> int:
        _, item = self._items.popleft()
        dropped_bytes = len(item.encoded)
        self._size_bytes -= dropped_bytes
        item.encoded = b""
        return dropped_bytes
