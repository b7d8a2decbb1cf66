"""Errors of the storage package."""

from __future__ import annotations


class StorageError(Exception):
    """Base of the errors that this package raises itself."""


class DamagedStorageError(StorageError):
    """Synced data is missing or fails its checksum.

    The disk must not take part under its identity any more: it may have lost a vote or an acknowledged entry.
    """
