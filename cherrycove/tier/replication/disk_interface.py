"""What a replicated group needs of its disk: a durable state and the writer in front of it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cherrycove.tier.replication.effects import Write
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot


class Storage(Protocol):
    """The durable state of one replica (``storage.replica_storage.ReplicaStorage``: in files).

    Every write is durable when its method returns. One that raises ``OSError`` does not count and is to be
    attempted again; a start before that may find it or not.
    """

    @property
    def size_bytes(self) -> int:
        """Size of log and snapshot."""

    def recover(self) -> RecoveredState:
        """Read the durable state; to be called first. Raises ``DamagedStorageError`` where some is lost."""

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace epoch, vote and commit index."""

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; the first one replaces the entry at its index and all behind it."""

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None:
        """Replace the log by ``snapshot`` and the entries behind it."""

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the state in the snapshot of entry ``index``; empty if not available.

        ``encoded``: of the state's encoded form.
        """

    def close(self) -> None:
        """Release the files."""


class Writer(Protocol):
    """Performs the writes of a replica in order and reports what is durable.

    ``writer.DiskWriter`` does so in a thread. The writer owns its storage from ``start`` to ``stop``.
    """

    def start(self) -> None:
        """Begin to work; to be called in the event loop, once."""

    def submit(self, writes: list[Write]) -> None:
        """Perform ``writes`` after all that were submitted before."""

    async def stop(self) -> None:
        """Finish the submitted writes, up to one that fails, then close the storage."""


class WriterFactory(Protocol):
    """Makes the writer in front of a storage."""

    def __call__(
        self,
        storage: Any,  # the storage of the same runtime; each writer expects its own kind
        on_written: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        on_snapshot_skipped: Callable[[int, OSError], None],
        /,
    ) -> Writer:
        """Return a writer that is not started; for the callbacks see ``writer.DiskWriter``."""
