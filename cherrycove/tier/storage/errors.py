"""Errors of the storage package.

Errors of the operating system are passed on as ``OSError``. A write that raised one is not durable and must
be retried.
"""

from __future__ import annotations

import errno
import os


class StorageError(Exception):
    """Base class of the errors that the storage package raises itself."""


class DamagedStorageError(StorageError):
    """Synced data is missing or fails its checksum.

    The replica must no longer use this disk's identity: it may have lost a vote or an acknowledged entry.
    """


class DiskLimitError(StorageError, OSError):
    """A write would exceed the size limit of the directory.

    Also an ``OSError`` with ``ENOSPC``, so that callers handle it like a full disk.
    """

    def __init__(self) -> None:
        super().__init__(errno.ENOSPC, os.strerror(errno.ENOSPC))
