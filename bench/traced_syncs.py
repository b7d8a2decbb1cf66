"""``python -m bench.traced_syncs PROGRAM``: a process of the tier that notes its syncs.

One line a sync, in monotonic seconds, which all processes of a machine share, in the file of SYNC_TRACE.
"""

from __future__ import annotations

import os
import runpy
import time
from collections.abc import Callable
from typing import TextIO

TRACE_VARIABLE = "SYNC_TRACE"


def _traced(sync: Callable[[int], None], trace: TextIO) -> Callable[[int], None]:
    def timed(descriptor: int) -> None:
        began = time.monotonic()
        sync(descriptor)
        trace.write(f"{began:.6f} {time.monotonic():.6f}\n")
        trace.flush()

    return timed


def main() -> None:
    trace = open(os.environ[TRACE_VARIABLE], "a", encoding="ascii")  # noqa: SIM115 - open for the whole life
    os.fsync = _traced(os.fsync, trace)  # type: ignore[assignment]
    os.fdatasync = _traced(os.fdatasync, trace)  # type: ignore[assignment]
    runpy.run_module("cherrycove.tier", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
