"""Takes a snapshot of the core, and restores one into it; reads the clocks that outlive a process."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.warm_restart import snapshot

log = Log("cherrycove.memory")
BOOT_ID = "/proc/sys/kernel/random/boot_id"


@cache
def _boot_id() -> str:
    try:
        return Path(BOOT_ID).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""  # then the wall clock alone counts


def moment() -> snapshot.Moment:
    """Return the present moment on the clocks that outlive this process."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return snapshot.Moment(time.time(), "", 0.0)
    return snapshot.Moment(time.time(), _boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME))


def take_snapshot(core: Core, broker: str, *, whole: bool) -> snapshot.Rows:
    """Return what this process knows now; ``whole`` says that it will send nothing any more."""
    now = asyncio.get_running_loop().time()
    return snapshot.pack(core.export_restart_state(), now, moment(), core.settings, broker, whole=whole)


def restore_snapshot(core: Core, rows: Any, broker: str, source: str, *, sent_is_known: bool = False) -> None:
    """Hand the scheduler what is usable of a snapshot.

    Args:
        core: the core whose scheduler receives it.
        rows: the snapshot.
        broker: this broker's name; a snapshot of another broker is unusable.
        source: where it is from, for the log.
        sent_is_known: whether the units sent to nodes in slow start were received elsewhere already. They
            must not count twice.

    Raises:
        UnusableError: nothing of it is usable.
    """
    now = asyncio.get_running_loop().time()
    restored = snapshot.unpack(rows, now, moment(), core.settings, broker)
    state = restored.restart_state
    if sent_is_known:
        state = replace(state, nodes=tuple(replace(node, sent=0.0) for node in state.nodes))
    log.info(
        "memory.taken_up",
        source=source,
        absence=round(restored.absence_s, 3),
        nodes=len(state.nodes),
        volumes=len(state.volumes),
        whole=state.whole,
        aside=sum(restored.skipped.values()),
    )
    core.import_restart_state(state)
