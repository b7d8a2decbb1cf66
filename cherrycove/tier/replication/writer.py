"""The writer thread of a replica: does writes in order, joins those that wait, reports what is durable."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Sequence

from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState, WriteSnapshot
from cherrycove.tier.storage.replica_storage import ReplicaStorage

RETRY_S = 0.25  # between tries of a write that failed


def coalesce_writes(writes: Sequence[Write]) -> list[Write]:
    """The same writes in as few steps as their order allows."""
    result: list[Write] = []
    for write in writes:
        last = result[-1] if result else None
        if isinstance(write, WriteEntries) and isinstance(last, WriteEntries):
            result[-1] = WriteEntries(write.ticket, last.entries + write.entries)
        elif isinstance(write, WriteHardState) and isinstance(last, WriteHardState):
            result[-1] = write
        else:
            result.append(write)
    return result


class DiskWriter:
    """Owns the storage of a replica from ``start`` to ``stop``. Callbacks run in the event loop."""

    def __init__(
        self,
        storage: ReplicaStorage,
        on_written: Callable[[int], None],
        on_failed: Callable[[OSError], None],
        on_skipped: Callable[[int, OSError], None],
        retry_s: float = RETRY_S,
    ) -> None:
        self._storage = storage
        self._on_written = on_written
        self._on_failed = on_failed
        self._on_skipped = on_skipped
        self._retry_s = retry_s
        self._queue: queue.SimpleQueue[list[Write] | None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="replica-writer", daemon=True)
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._thread.start()

    def submit(self, writes: list[Write]) -> None:
        """Do ``writes`` after all earlier ones."""
        self._queue.put(writes)

    async def stop(self) -> None:
        """Finish the writes that can be finished, then close the storage."""
        self._stopping.set()
        self._queue.put(None)
        await asyncio.to_thread(self._thread.join)
        self._storage.close()

    def _run(self) -> None:
        while True:
            writes = self._take()
            for write in coalesce_writes(writes or []):
                if not self._perform(write):
                    return
                self._report(self._on_written, write.ticket)
            if writes is None:
                return

    def _take(self) -> list[Write] | None:
        """All writes that wait, at least one; None at the end."""
        writes = self._queue.get()
        if writes is None:
            return None
        taken = list(writes)
        while not self._queue.empty():
            more = self._queue.get()
            if more is None:
                self._queue.put(None)
                break
            taken.extend(more)
        return taken

    def _perform(self, write: Write) -> bool:
        """Do one write, trying again while the disk refuses it; False when stopped meanwhile."""
        failed = False
        while True:
            try:
                self._write(write)
                return True
            except OSError as error:
                if isinstance(write, WriteSnapshot) and not write.required:
                    self._report(self._on_skipped, write.ticket, error)
                    return True
                if not failed:
                    self._report(self._on_failed, error)
                failed = True
            if self._stopping.wait(self._retry_s):
                return False

    def _write(self, write: Write) -> None:
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
