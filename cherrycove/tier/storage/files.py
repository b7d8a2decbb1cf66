"""Small helpers for files that must survive a loss of power."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


class DamagedStorageError(Exception):
    """Synced data is missing or fails its checksum; this disk must not take part under its identity."""


def sync_directory(directory: Path) -> None:
    """Make names that were created, renamed or removed in ``directory`` last."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes | memoryview) -> None:
    """Write every byte of ``data`` at the file's position."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path: Path, *parts: bytes) -> None:
    """Give ``path`` new contents as a whole: after a loss of power it holds the old ones or the new ones."""
    temporary = path.with_name(path.name + ".tmp")
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            for part in parts:
                write_all(descriptor, part)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    sync_directory(path.parent)


def remove_files(directory: Path) -> None:
    """Remove every file of ``directory`` for good."""
    for path in directory.iterdir():
        if path.is_file():
            path.unlink()
    sync_directory(directory)
