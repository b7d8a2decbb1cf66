"""Reads and writes the snapshot file at its times, on threads of its own."""

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

READ_TIMEOUT_S = 0.5  # that a start waits for the file
LAST_WRITE_TIMEOUT_S = 0.5  # that a shutdown waits for its last write
NO_ANSWER = "the disk does not answer"
Result = TypeVar("Result")


async def run_in_thread(work: Callable[[], Result], timeout_s: float | None) -> Result:
    """Run ``work`` on a thread of its own and return its result.

    A disk that hangs occupies its thread for good. The threads of a pool are waited for as the process ends,
    a daemon thread is not.

    Raises:
        TimeoutError: ``timeout_s`` has passed; the thread goes on alone.
        OSError: no thread can be started.
        Exception: whatever ``work`` raises.
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
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            try:
                value = work()
            except Exception as error:  # noqa: BLE001  # the top of a thread: the caller receives it
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
    """The snapshot file of one broker. The broker's process owns it.

    At most one write is pending: one that hangs is waited for, however long, since a second would hang beside
    it.

    Args:
        core: whose knowledge is stored.
        folder: of the file.
        interval_s: between two writes.
        broker: the broker's name.
        is_writer: whether this process, of two, is the one that writes.
    """

    def __init__(
        self, core: Core, folder: str, interval_s: float, broker: str, is_writer: Callable[[], bool]
    ) -> None:
        self._core, self._interval_s, self._broker, self._is_writer = core, interval_s, broker, is_writer
        self._path = snapshot_file.path(folder, broker)
        self._writing = threading.Lock()
        self._is_failing = False
        self.counts: Counter[str] = Counter()

    async def load(self) -> bool:
        """Restore what an earlier process left; return whether there was anything usable."""
        try:
            rows = await run_in_thread(self._read, READ_TIMEOUT_S)
            restore_snapshot(self._core, rows, self._broker, "file")
            return True
        except FileNotFoundError:
            log.info("memory.none", path=self._path)
        except (OSError, TimeoutError, snapshot.UnusableError) as error:
            self.counts["unusable"] += 1
            log.warning("memory.unusable", source="file", why=str(error) or NO_ANSWER)
        return False

    def _read(self) -> object:
        """Read the rows, and mark the file as one of a process that went on.

        A process that is killed before its first write has sent something. The next one would read from an
        unmarked file that nothing was sent since.
        """
        rows = snapshot_file.read(self._path)
        if isinstance(rows, dict) and rows.get("whole"):
            snapshot_file.write(self._path, snapshot_file.frame(rows | {"whole": False}))
        return rows

    async def write_periodically(self) -> None:
        """Write the file at each interval, without end."""
        await self._remove_leftovers()
        while True:
            await asyncio.sleep(self._interval_s)
            if self._is_writer():
                await self.save()

    async def _remove_leftovers(self) -> None:
        """Remove the temporary files of processes that were killed as they wrote; each leaves one."""

        def remove() -> None:
            for each in self._path.parent.glob(f".{self._path.name}.*"):
                if each.name.rpartition(".")[2] != str(os.getpid()):
                    each.unlink(missing_ok=True)

        # An error here is reported by the writes that follow.
        with contextlib.suppress(OSError, TimeoutError):
            if self._is_writer():
                await run_in_thread(remove, READ_TIMEOUT_S)

    async def save(self, *, whole: bool = False, timeout_s: float | None = None) -> bool:
        """Write the file once; return whether it is written.

        A failure is logged when it begins and when it is over. ``whole`` says that nothing is sent any more.
        """
        rows = take_snapshot(self._core, self._broker, whole=whole)

        def write() -> None:
            with self._writing:  # the last write of a process must not be undone by the one before it
                snapshot_file.write(self._path, snapshot_file.frame(rows))

        try:
            await run_in_thread(write, timeout_s)
        except (OSError, TimeoutError, snapshot.UnusableError) as error:
            self.counts["not_written"] += 1
            if not self._is_failing:
                log.error("memory.not_written", path=self._path, why=str(error) or NO_ANSWER)
            self._is_failing = True
            return False
        if self._is_failing:
            log.info("memory.written_again", path=self._path)
        self._is_failing = False
        self.counts["written"] += 1
        return True

    async def close(self) -> None:
        """Write the last time, once nothing is sent any more, if this process is the writer."""
        if self._is_writer():
            await self.save(whole=True, timeout_s=LAST_WRITE_TIMEOUT_S)

    def figures(self) -> dict[str, int]:
        """Return the counters by their names in the operators' statistics."""
        return {f"memory_{name}": self.counts[name] for name in ("written", "not_written", "unusable")}
