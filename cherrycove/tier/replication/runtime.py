"""What a replicated group takes from its process: a clock, a disk and the writer in front of it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

import attrs

from cherrycove.tier.replication.effects import Write
from cherrycove.tier.replication.writer import DiskWriter
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import renew_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshots import Snapshot


class Storage(Protocol):
    """The durable state of one replica, as ``ReplicaStorage`` keeps it in files."""

    @property
    def size_bytes(self) -> int: ...

    def recover(self) -> RecoveredState: ...

    def write_hard_state(self, hard_state: HardState) -> None: ...

    def append(self, entries: Sequence[Entry]) -> None: ...

    def save_snapshot(self, snapshot: Snapshot, tail: Sequence[Entry]) -> None: ...

    def read_state(self, index: int, offset: int, size: int) -> bytes: ...

    def close(self) -> None: ...


class Writer(Protocol):
    """Does the writes of a replica in order and reports what is durable (``DiskWriter``: in a thread)."""

    def start(self) -> None: ...

    def submit(self, writes: list[Write]) -> None: ...

    async def stop(self) -> None: ...


WriterFactory = Callable[
    [Any, Callable[[int], None], Callable[[OSError], None], Callable[[int, OSError], None]], Writer
]  # of a storage; told what was written, what failed, and which snapshot was skipped


@attrs.frozen(kw_only=True)
class Runtime:
    """The defaults are those of a real process; a simulation puts its own in their place."""

    clock: Callable[[], float] = time.monotonic
    open_storage: Callable[[Path, int], Storage] = ReplicaStorage
    make_writer: WriterFactory = DiskWriter
    renew_identity: Callable[[Path], str] = renew_identity
    run_blocking: Callable[..., Awaitable[Any]] = asyncio.to_thread
