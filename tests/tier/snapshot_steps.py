"""Kills a process at a chosen step of its next snapshot, as a loss of power between two writes does."""

from __future__ import annotations

import itertools
import json
import os
import signal
import threading
from collections.abc import Callable
from typing import Any

from cherrycove.tier.storage.replica_storage import ReplicaStorage

STEPS = ("open", "write", "fsync", "fdatasync", "rename", "unlink")  # functions of os that the storage uses
SNAPSHOT_SAVED_EVENT = "snapshot_saved"  # in the log, once a snapshot is whole


def kill_process_at_step(step: int) -> None:
    """The ``step``-th of these calls within the first snapshot, counted from 1, is the process's end."""
    inside = threading.local()
    count = itertools.count(1)
    save = ReplicaStorage.save_snapshot

    def save_counted(*arguments: Any) -> None:
        inside.first_snapshot = not hasattr(inside, "first_snapshot")
        save(*arguments)
        inside.first_snapshot = False
        print(json.dumps({"event": SNAPSHOT_SAVED_EVENT}), flush=True)

    def counted(function: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **named: Any) -> Any:
            if getattr(inside, "first_snapshot", False) and next(count) == step:
                os.kill(os.getpid(), signal.SIGKILL)
            return function(*arguments, **named)

        return call

    setattr(ReplicaStorage, "save_snapshot", save_counted)  # noqa: B010
    for name in STEPS:
        setattr(os, name, counted(getattr(os, name)))
