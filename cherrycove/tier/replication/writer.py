"""Thread that performs the disk writes of a replica."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Sequence

from cherrycove.tier.replication.disk_interface import Storage
from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState, WriteSnapshot

RETRY_S = 0.25  # interval between attempts of a failing write


def coalesce_writes(writes: Sequence[Write]) -> list[Write]:
    """Merge adjacent writes where that preserves the order, so that they share one sync.

    Entries are appended to the preceding entries; a hard state replaces the preceding one. A merged write has
    the ticket of its last part, whose completion also reports the earlier parts as durable.
    """
    coalesced: list[Write] = []
    for write in writes:
        last = coalesced[-1] if coalesced else None
        if isinstance(write, WriteEntries) and isinstance(last, WriteEntries):
            coalesced[-1] = WriteEntries(write.ticket, last.entries + write.entries)
        elif isinstance(write, WriteHardState) and isinstance(last, WriteHardState):
            coalesced[-1] = write
        else:
            coalesced.append(write)
    return coalesced


class DiskWriter:
    """Performs writes in order in a separate thread; implements ``disk_interface.Writer``.

    Owns the storage from ``start`` to ``stop``. A write that fails with ``OSError`` is retried until it
    succeeds, since a later one must not become durable before it; only a snapshot that is not required is
    skipped. All callbacks run in the event loop in which ``start`` was called.
    """

    def __init__(
        self,
        storage: Storage,
        on_written: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        on_snapshot_skipped: Callable[[int, OSError], None],
        retry_s: float = RETRY_S,
    ) -> None:
        """Create a writer that is not started.

        ``on_written`` receives the ticket up to which all writes are durable or skipped, ``on_failed`` the
        error of a write's first failed attempt, ``on_snapshot_skipped`` the ticket and error of a skipped
        snapshot.
        """
        self._storage = storage
        self._on_written = on_written
        self._on_failed = on_failed
        self._on_snapshot_skipped = on_snapshot_skipped
        self._retry_s = retry_s
        self._queue: queue.SimpleQueue[list[Write] | None] = queue.SimpleQueue()  # None stops the thread
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="replica-writer", daemon=True)
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Start the thread; must be called once, in the event loop."""
        self._loop = asyncio.get_running_loop()
        self._thread.start()

    def submit(self, writes: list[Write]) -> None:
        """Queue ``writes`` after all that were submitted before."""
        self._queue.put(writes)

    async def stop(self) -> None:
        """Finish the submitted writes, up to the first one that fails, then close the storage."""
        self._stopping.set()
        self._queue.put(None)
        await asyncio.to_thread(self._thread.join)
        self._storage.close()

    def _run(self) -> None:
        while True:
            writes = self._next_writes()
            for write in coalesce_writes(writes or []):
                if not self._perform_with_retries(write):
                    return
                self._report(self._on_written, write.ticket)
            if writes is None:
                return

    def _next_writes(self) -> list[Write] | None:
        """Wait for a write and return all queued writes; None when the writer stops."""
        writes = self._queue.get()
        if writes is None:
            return None
        queued = list(writes)
        while not self._queue.empty():
            more = self._queue.get()
            if more is None:
                self._queue.put(None)
                break
            queued.extend(more)
        return queued

    def _perform_with_retries(self, write: Write) -> bool:
        """Perform or skip ``write``; return False if the writer was stopped before the write succeeded."""
        has_failed = False
        while True:
            try:
                self._perform(write)
                return True
            except OSError as error:
                if isinstance(write, WriteSnapshot) and not write.required:
                    self._report(self._on_snapshot_skipped, write.ticket, error)
                    return True
                if not has_failed:
                    self._report(self._on_failed, error)
                has_failed = True
            if self._stopping.wait(self._retry_s):
                return False

    def _perform(self, write: Write) -> None:
        if isinstance(write, WriteHardState):
            self._storage.write_hard_state(write.hard_state)
        elif isinstance(write, WriteEntries):
            self._storage.append(write.entries)
        else:
            self._storage.save_snapshot(write.snapshot, write.tail)

    def _report(self, callback: Callable[..., None], *arguments: object) -> None:
        loop = self._loop
        if loop is not None and not loop.is_closed():
            loop.call_soon_threadsafe(callback, *arguments)
