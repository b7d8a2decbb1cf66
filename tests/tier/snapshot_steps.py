"""Kills a process at a chosen step of its next snapshot, like a crash between two writes."""

from __future__ import annotations

import itertools
import json
import os
import signal
import threading
from collections.abc import Callable
from typing import Any

from cherrycove.tier.storage.replica_storage import ReplicaStorage

# Functions of ``os`` that the storage package calls.
STORAGE_CALLS = ("open", "write", "fsync", "fdatasync", "rename", "unlink")
SNAPSHOT_SAVED_EVENT = "snapshot_saved"  # logged once a snapshot is complete


def kill_process_at_step(step: int) -> None:
    """Kill the process at the ``step``-th storage call (from 1) of its first snapshot."""
    thread_state = threading.local()
    count = itertools.count(1)
    save = ReplicaStorage.save_snapshot

    def save_counted(*arguments: Any) -> None:
        thread_state.first_snapshot = not hasattr(thread_state, "first_snapshot")
        save(*arguments)
        thread_state.first_snapshot = False
        print(json.dumps({"event": SNAPSHOT_SAVED_EVENT}), flush=True)

    def counted(function: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **named: Any) -> Any:
            if getattr(thread_state, "first_snapshot", False) and next(count) == step:
                os.kill(os.getpid(), signal.SIGKILL)
            return function(*arguments, **named)

        return call

    setattr(ReplicaStorage, "save_snapshot", save_counted)  # noqa: B010
    for name in STORAGE_CALLS:
        setattr(os, name, counted(getattr(os, name)))
