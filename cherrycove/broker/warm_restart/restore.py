"""Takes a snapshot of the core and restores one into it; reads the clocks that span processes."""

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
        return ""  # the age of a snapshot is then computed from the wall clock alone


def moment() -> snapshot.Moment:
    """Return the current time on the clocks that span processes."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return snapshot.Moment(time.time(), "", 0.0)
    return snapshot.Moment(time.time(), _boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME))


def take_snapshot(core: Core, broker: str, *, whole: bool) -> snapshot.Rows:
    """Return a snapshot of the core; ``whole`` states that this process will send no more requests."""
    now = asyncio.get_running_loop().time()
    return snapshot.pack(core.export_restart_state(), now, moment(), core.settings, broker, whole=whole)


def restore_snapshot(core: Core, rows: Any, broker: str, source: str, *, sent_is_known: bool = False) -> None:
    """Pass the usable part of a snapshot to the scheduler.

    Args:
        core: the core whose scheduler receives it.
        rows: the snapshot.
        broker: this broker's name; a snapshot of another broker is unusable.
        source: where the snapshot comes from, for the log.
        sent_is_known: whether the units sent to nodes in slow start have already been received by another
            way; they must not count twice.

    Raises:
        UnusableError: no part of the snapshot is usable.
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
