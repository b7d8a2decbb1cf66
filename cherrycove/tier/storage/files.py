"""Small helpers for files that must survive a loss of power."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def sync_directory(directory: Path) -> None:
    """Make names that were created, renamed or removed in ``directory`` last."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: Path) -> None:
    """Make the contents of ``path`` last as they are read now, also what a killed process left unsynced."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_directory(directory: Path) -> None:
    """Make ``directory`` and the folders above it that are missing, and their names last."""
    if not directory.parent.is_dir():
        make_directory(directory.parent)
    directory.mkdir(exist_ok=True)
    sync_directory(directory.parent)  # also where it was there: the process that made it may have been killed


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


def remove_files(directory: Path, kept: Path) -> None:
    """Remove every file of ``directory`` but ``kept`` for good."""
    for path in directory.iterdir():
        if path.is_file() and path != kept:
            path.unlink()
    sync_directory(directory)
