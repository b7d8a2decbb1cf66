"""Interfaces of the durable storage of a replica and of the writer that serializes its writes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cherrycove.tier.replication.effects import Write
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot


class Storage(Protocol):
    """Durable state of one replica; ``storage.replica_storage.ReplicaStorage`` keeps it in files.

    Every write is durable when its method returns. A write that raises ``OSError`` has failed and must be
    retried; a restart before the retry may or may not recover it.
    """

    @property
    def size_bytes(self) -> int:
        """Return the size of the log and the snapshot in bytes."""

    def recover(self) -> RecoveredState:
        """Read the durable state; must be called first. Raises ``DamagedStorageError`` if data is lost."""

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace epoch, vote and commit index."""

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; the first one replaces the entry at its index and all after it."""

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        """Replace the log with ``snapshot`` and the entries after it, ``tail``."""

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the state in the snapshot at entry ``index``; empty if not available.

        With ``encoded``, ``offset`` and ``size`` refer to the encoded form of the state.
        """

    def close(self) -> None:
        """Release the files."""


class Writer(Protocol):
    """Performs the writes of a replica in order and reports which are durable.

    ``writer.DiskWriter`` performs them in a thread. The writer owns its storage from ``start`` to ``stop``.
    """

    def start(self) -> None:
        """Start the writer; must be called once, in the event loop."""

    def submit(self, writes: list[Write]) -> None:
        """Queue ``writes`` after all that were submitted before."""

    async def stop(self) -> None:
        """Finish the submitted writes, up to the first one that fails, then close the storage."""


class WriterFactory(Protocol):
    """Creates the writer of a storage."""

    def __call__(
        self,
        storage: Any,  # the storage of the same runtime; each writer expects its own kind
        on_written: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        on_snapshot_skipped: Callable[[int, OSError], None],
        /,
    ) -> Writer:
        """Return a writer that is not started; ``writer.DiskWriter`` describes the callbacks."""
