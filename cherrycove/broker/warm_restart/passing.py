"""From one life to the next: the core's figures as rows, and rows of an earlier life to the core.

It owns the clocks that outlive a process. It must never read a disk, or import what only the file needs.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.warm_restart import figures

log = Log("cherrycove.memory")
BOOT_ID = "/proc/sys/kernel/random/boot_id"


@cache
def _boot() -> str:
    try:
        return Path(BOOT_ID).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""  # the wall clock alone tells then


def moment() -> figures.Moment:
    """Now, on the clocks that outlive this process."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return figures.Moment(time.time(), "", 0.0)
    return figures.Moment(time.time(), _boot(), time.clock_gettime(time.CLOCK_BOOTTIME))


def rows_of(core: Core, broker: str, whole: bool) -> figures.Rows:
    """What this process knows now. ``whole``: it will send nothing any more."""
    return figures.pack(
        core.remember(), asyncio.get_running_loop().time(), moment(), core.settings, broker, whole
    )


def take_up(core: Core, rows: Any, broker: str, source: str, sent_is_told: bool = False) -> None:
    """Hand the module what may be taken up of these rows; UnusableError if that is nothing. ``sent_is_told``:
    the module knows what was sent to cold nodes from elsewhere, and must not count it twice."""
    told, absence, aside = figures.unpack(
        rows, asyncio.get_running_loop().time(), moment(), core.settings, broker
    )
    if sent_is_told:
        told = replace(told, nodes=tuple(replace(node, sent=0.0) for node in told.nodes))
    log.info(
        "memory.taken_up",
        source=source,
        absence=round(absence, 3),
        nodes=len(told.nodes),
        volumes=len(told.volumes),
        whole=told.whole,
        aside=sum(aside.values()),
    )
    core.recall(told)
