"""Operations on files and directories that must survive a power failure.

An fsync of a file makes its contents durable, but not its directory entry: that requires an fsync of the
directory.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def sync_directory(directory: Path) -> None:
    """Make files that were created, renamed or removed in ``directory`` durable as directory entries."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: Path) -> None:
    """Make the current contents of ``path`` durable, including unsynced writes of a killed process."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_directory(directory: Path) -> None:
    """Create ``directory`` and its missing parents, durably.

    The parent is synced even if ``directory`` exists: the process that created it may have been killed
    before it synced the directory entry.
    """
    if not directory.parent.is_dir():
        make_directory(directory.parent)
    directory.mkdir(exist_ok=True)
    sync_directory(directory.parent)


def write_all(descriptor: int, data: bytes | memoryview) -> None:
    """Write all of ``data`` at the current position of the file."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path: Path, *chunks: bytes) -> None:
    """Replace the contents of ``path`` by the concatenated ``chunks``, atomically and durably.

    After a power failure the file has either the previous contents or the new ones. After an ``OSError`` it
    keeps the previous ones, unless the sync of the directory failed: then either may survive.
    """
    temporary = path.with_name(path.name + ".tmp")
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            for chunk in chunks:
                write_all(descriptor, chunk)
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
    """Durably remove all files of ``directory`` except ``kept``."""
    for path in directory.iterdir():
        if path.is_file() and path != kept:
            path.unlink()
    sync_directory(directory)
