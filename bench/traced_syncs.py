"""``python -m bench.traced_syncs PROGRAM``: runs a program of the tier and records its syncs.

Each sync adds a line with its start and end time to the file that the environment variable SYNC_TRACE names.
Times are in monotonic seconds, which all processes of a machine share.
"""

from __future__ import annotations

import os
import runpy
import time
from collections.abc import Callable
from typing import TextIO

TRACE_VARIABLE = "SYNC_TRACE"


def _with_trace(sync: Callable[[int], None], trace: TextIO) -> Callable[[int], None]:
    def timed(descriptor: int) -> None:
        started_at = time.monotonic()
        sync(descriptor)
        trace.write(f"{started_at:.6f} {time.monotonic():.6f}\n")
        trace.flush()

    return timed


def main() -> None:
    trace = open(os.environ[TRACE_VARIABLE], "a", encoding="ascii")  # noqa: SIM115 - open until exit
    os.fsync = _with_trace(os.fsync, trace)  # type: ignore[assignment]
    os.fdatasync = _with_trace(os.fdatasync, trace)  # type: ignore[assignment]
    runpy.run_module("cherrycove.tier", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
