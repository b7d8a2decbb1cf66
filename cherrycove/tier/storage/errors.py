"""Errors of the storage package.

Errors of the operating system pass through as ``OSError``; a write that raised one does not count and is to
be attempted again.
"""

from __future__ import annotations

import errno
import os


class StorageError(Exception):
    """Base of the errors that the storage package raises itself."""


class DamagedStorageError(StorageError):
    """Synced data is missing or fails its checksum.

    The disk must not take part under its identity any more: it may have lost a vote or an acknowledged entry.
    """


class DiskLimitError(StorageError, OSError):
    """A write would exceed the limit of the directory.

    It is an ``OSError`` with ``ENOSPC`` as well, since a caller treats it like a full disk.
    """

    def __init__(self) -> None:
        super().__init__(errno.ENOSPC, os.strerror(errno.ENOSPC))
