"""Reads the snapshot file at the start and writes it periodically, on separate threads."""

from __future__ import annotations

import asyncio
import contextlib
import os
import threading
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.warm_restart import snapshot, snapshot_file
from cherrycove.broker.warm_restart.restore import restore_snapshot, take_snapshot

log = Log("cherrycove.memory")

READ_TIMEOUT_S = 0.5  # how long the start waits for the file
LAST_WRITE_TIMEOUT_S = 0.5  # how long a shutdown waits for its last write
TIMED_OUT = "the disk did not respond in time"
Result = TypeVar("Result")


async def run_in_thread(work: Callable[[], Result], timeout_s: float | None) -> Result:
    """Run ``work`` on a new thread and return its result.

    A hanging disk blocks its thread forever. The exit of the process waits for the threads of a pool, but not
    for a daemon thread.

    Raises:
        TimeoutError: ``timeout_s`` has passed; the thread continues on its own.
        OSError: no thread can be started.
        Exception: any exception that ``work`` raises.
    """
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Result] = loop.create_future()

    def set_result(value: Result) -> None:
        if not done.done():
            done.set_result(value)

    def set_exception(error: Exception) -> None:
        if not done.done():
            done.set_exception(error)

    def run() -> None:
        with contextlib.suppress(RuntimeError):  # the event loop has been closed meanwhile
            try:
                value = work()
            except Exception as error:  # noqa: BLE001  # passed on to the caller
                loop.call_soon_threadsafe(set_exception, error)
            else:
                loop.call_soon_threadsafe(set_result, value)

    try:
        threading.Thread(target=run, name="memory", daemon=True).start()
    except RuntimeError as error:
        raise OSError(str(error)) from error
    async with asyncio.timeout(timeout_s):
        return await done


class SnapshotStore:
    """Loads and saves the snapshot file of one broker. The broker's process owns it.

    Periodic writes have no time limit and never overlap: if one hangs, a second one would hang as well.

    Args:
        core: the core whose restart state is stored.
        directory: the directory of the file.
        interval_s: the time between two writes.
        broker: the broker's name.
        is_writer: returns whether this process writes the file, while two processes of the broker run.
    """

    def __init__(
        self, core: Core, directory: str, interval_s: float, broker: str, is_writer: Callable[[], bool]
    ) -> None:
        self._core, self._interval_s, self._broker, self._is_writer = core, interval_s, broker, is_writer
        self._path = snapshot_file.path(directory, broker)
        self._writing = threading.Lock()
        self._is_failing = False
        self.counts: Counter[str] = Counter()

    async def load(self) -> bool:
        """Restore the snapshot of an earlier process; return whether a usable one was found."""
        try:
            rows = await run_in_thread(self._read, READ_TIMEOUT_S)
            restore_snapshot(self._core, rows, self._broker, "file")
            return True
        except FileNotFoundError:
            log.info("memory.none", path=self._path)
        except (OSError, TimeoutError, snapshot.UnusableError) as error:
            self.counts["unusable"] += 1
            log.warning("memory.unusable", source="file", why=str(error) or TIMED_OUT)
        return False

    def _read(self) -> object:
        """Return the rows of the file, and mark the file itself as not ``whole``.

        A process that is killed before its first write may have sent requests. Without the mark, the next
        process would conclude from the old file that nothing has been sent since.
        """
        rows = snapshot_file.read(self._path)
        if isinstance(rows, dict) and rows.get("whole"):
            snapshot_file.write(self._path, snapshot_file.frame(rows | {"whole": False}))
        return rows

    async def write_periodically(self) -> None:
        """Write the file after each interval, until cancelled."""
        await self._remove_temporary_files()
        while True:
            await asyncio.sleep(self._interval_s)
            if self._is_writer():
                await self.save()

    async def _remove_temporary_files(self) -> None:
        """Remove the temporary files of processes that were killed while writing; each leaves one."""

        def remove() -> None:
            for each in self._path.parent.glob(f".{self._path.name}.*"):
                if each.name.rpartition(".")[2] != str(os.getpid()):
                    each.unlink(missing_ok=True)

        # The writes that follow report an error.
        with contextlib.suppress(OSError, TimeoutError):
            if self._is_writer():
                await run_in_thread(remove, READ_TIMEOUT_S)

    async def save(self, *, whole: bool = False, timeout_s: float | None = None) -> bool:
        """Write the file once; return whether that succeeded.

        Of consecutive failures only the first is logged, and then the first success. ``whole`` states that no
        more requests will be sent.
        """
        rows = take_snapshot(self._core, self._broker, whole=whole)

        def write() -> None:
            with self._writing:  # an earlier write must not overwrite the last write of a process
                snapshot_file.write(self._path, snapshot_file.frame(rows))

        try:
            await run_in_thread(write, timeout_s)
        except (OSError, TimeoutError, snapshot.UnusableError) as error:
            self.counts["not_written"] += 1
            if not self._is_failing:
                log.error("memory.not_written", path=self._path, why=str(error) or TIMED_OUT)
            self._is_failing = True
            return False
        if self._is_failing:
            log.info("memory.written_again", path=self._path)
        self._is_failing = False
        self.counts["written"] += 1
        return True

    async def close(self) -> None:
        """Write the file a last time, when no more requests are sent, if this process is the writer."""
        if self._is_writer():
            await self.save(whole=True, timeout_s=LAST_WRITE_TIMEOUT_S)

    def figures(self) -> dict[str, int]:
        """Return the counters by their names in the operators' statistics."""
        return {f"memory_{name}": self.counts[name] for name in ("written", "not_written", "unusable")}
