"""Dependencies of a replicated group on its process: clock, storage, writer and threads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs

from cherrycove.tier.replication.disk_interface import Storage, WriterFactory
from cherrycove.tier.replication.writer import DiskWriter
from cherrycove.tier.storage import identity
from cherrycove.tier.storage.replica_storage import ReplicaStorage


@attrs.frozen(kw_only=True)
class Runtime:
    """Holds the injectable dependencies of a group; the defaults are for production."""

    clock: Callable[[], float] = time.monotonic  # s
    open_storage: Callable[[Path, int], Storage] = ReplicaStorage  # opens a directory with a limit in bytes
    make_writer: WriterFactory = DiskWriter
    renew_identity: Callable[[Path], str] = identity.renew_identity  # empties a directory; returns the new id
    run_blocking: Callable[..., Awaitable[Any]] = asyncio.to_thread  # runs a function outside the event loop
