"""When a broker's memory is read and written.

It owns the threads that touch the disk, and the times of reading and writing. It must never wait for a disk
on the event loop, start a second write while one hangs, or delay a start by more than ``READ_TIME``.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.warm_restart import figures, file
from cherrycove.broker.warm_restart.passing import rows_of, take_up

log = Log("cherrycove.memory")

READ_TIME = 0.5  # s that a start waits for the file
LAST_TIME = 0.5  # s that an end waits for its last write


async def beside(work: Callable[[], Any], most: float | None) -> Any:
    """Do it on a thread of its own; TimeoutError after ``most`` seconds, the thread going on alone.

    Guard: a disk that hangs holds its thread for good. A pool's threads are waited for as the process ends.
    """
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Any] = loop.create_future()

    def tell(value: Any, error: Exception | None) -> None:
        if not done.done():
            done.set_exception(error) if error is not None else done.set_result(value)

    def run() -> None:
        value, failed = None, None
        try:
            value = work()
        except Exception as error:
            failed = error
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            loop.call_soon_threadsafe(tell, value, failed)

    try:
        threading.Thread(target=run, name="memory", daemon=True).start()
    except RuntimeError as error:
        raise OSError(str(error)) from None
    async with asyncio.timeout(most):
        return await done


class Keeper:
    """One broker's memory. ``mine`` says whether this process is the one that writes it."""

    def __init__(
        self, core: Core, folder: str, interval: float, broker: str, mine: Callable[[], bool]
    ) -> None:
        self._core, self._interval, self._broker, self._mine = core, interval, broker, mine
        self._path = file.path(folder, broker)
        self._writing = threading.Lock()
        self._failing = False
        self.counts: Counter[str] = Counter()

    async def load(self) -> bool:
        """Take up what an earlier life left; whether there was anything of use."""
        try:
            rows = await beside(self._read, READ_TIME)
            take_up(self._core, rows, self._broker, "file")
            return True
        except FileNotFoundError:
            log.info("memory.none", path=self._path)
        except (OSError, TimeoutError, figures.UnusableError) as error:
            self.counts["unusable"] += 1
            log.warning("memory.unusable", source="file", why=str(error) or "the disk does not answer")
        return False

    def _read(self) -> Any:
        """Guard: a life that is killed before its first write has sent something, and the file that it found
        would tell the next once more that nothing was sent after it."""
        rows = file.read(self._path)
        if isinstance(rows, dict) and rows.get("whole"):
            file.write(self._path, file.frame(rows | {"whole": False}))
        return rows

    async def keep(self) -> None:
        """Write it again and again, for ever."""
        await self._clear()
        while True:
            await asyncio.sleep(self._interval)
            if self._mine():
                await self.save()

    async def _clear(self) -> None:
        """Guard: each life that is killed as it writes leaves a file; a thousand lives left a thousand."""

        def clear() -> None:
            for each in self._path.parent.glob(f".{self._path.name}.*"):
                if each.name.rpartition(".")[2] != str(os.getpid()):
                    each.unlink(missing_ok=True)

        try:
            if self._mine():
                await beside(clear, READ_TIME)
        except (OSError, TimeoutError):
            pass  # the writes that follow say what is wrong with the folder

    async def save(self, whole: bool = False, most: float | None = None) -> bool:
        """Write it once; whether that is done. A failure is told when it begins and when it is over."""
        rows = rows_of(self._core, self._broker, whole)

        def write() -> None:
            with self._writing:  # Guard: the last write of a life must not be undone by the one before it
                file.write(self._path, file.frame(rows))

        try:
            # Guard: a write that hangs is waited for, however long: a second would hang beside it.
            await beside(write, most)
        except (OSError, TimeoutError, figures.UnusableError) as error:
            self.counts["not_written"] += 1
            if not self._failing:
                log.error("memory.not_written", path=self._path, why=str(error) or "the disk does not answer")
            self._failing = True
            return False
        if self._failing:
            log.info("memory.written_again", path=self._path)
        self._failing = False
        self.counts["written"] += 1
        return True

    async def close(self) -> None:
        """The last write, once nothing is sent any more; by the process that serves last alone."""
        if self._mine():
            await self.save(whole=True, most=LAST_TIME)

    def figures(self) -> dict[str, int]:
        return {f"memory_{name}": self.counts[name] for name in ("written", "not_written", "unusable")}
