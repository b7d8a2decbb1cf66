"""The identity of a disk.

A replica is a member of its group only as long as its disk keeps its votes and acknowledged entries. The
member id therefore names the disk: one that was emptied or damaged gets another id, and is another member.
"""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import NamedTuple

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import make_directory, remove_files, replace_file

IDENTITY_FILE = "identity"
FIRST_START_PREFIX = "first-"
_ENCODING = "ascii"
_RANDOM_ID_DIGITS = 16  # hexadecimal


class OpenedIdentity(NamedTuple):
    """The identity of a disk as ``open_identity`` found or made it."""

    member_id: str
    is_new: bool  # made just now; the disk is empty


def first_member_id(ip: str) -> str:
    """Return the member id of a replica at address ``ip`` that starts with the whole deployment."""
    return FIRST_START_PREFIX + ip


def open_identity(directory: Path, *, first_start: bool, ip: str) -> OpenedIdentity:
    """Return the identity of the disk at ``directory``, which is created if it is missing. Blocks.

    An empty disk gets a random id, or ``first_member_id`` at the first start of the deployment, so that
    members of the initial group can be named by their addresses alone. A disk without a valid identity is
    emptied (``renew_identity``). The id is durable once ``ReplicaStorage.recover`` has returned: where
    another process made it and was killed, only that syncs its name.
    """
    make_directory(directory)
    path = directory / IDENTITY_FILE
    if path.exists():
        try:
            return OpenedIdentity(_read(path), is_new=False)
        except DamagedStorageError:
            return OpenedIdentity(renew_identity(directory), is_new=True)
    is_written = any(not entry.name.endswith(".tmp") for entry in directory.iterdir())
    if first_start and not is_written:
        return OpenedIdentity(_create(directory, first_member_id(ip)), is_new=True)
    return OpenedIdentity(renew_identity(directory), is_new=True)


def renew_identity(directory: Path) -> str:
    """Empty ``directory``, give it a random member id, and return that.

    The identity is made invalid first, and stays so until all else is gone. After a crash in between, no
    start takes the leftovers for the disk of the former member, or an empty disk for one that was never used.
    """
    replace_file(directory / IDENTITY_FILE, b"")
    remove_files(directory, kept=directory / IDENTITY_FILE)
    return _create(directory, uuid.uuid4().hex[:_RANDOM_ID_DIGITS])


def _read(path: Path) -> str:
    try:
        text = path.read_text(_ENCODING)
    except UnicodeDecodeError as error:
        raise DamagedStorageError(f"{path}: {error}") from error
    member_id, _, check = text.partition("\n")
    if not member_id or check != member_id:
        raise DamagedStorageError(f"{path}: not an identity")
    return member_id


def _create(directory: Path, member_id: str) -> str:
    replace_file(directory / IDENTITY_FILE, f"{member_id}\n{member_id}".encode(_ENCODING))
    return member_id
