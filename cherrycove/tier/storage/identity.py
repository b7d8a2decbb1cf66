"""The identity of a disk.

A replica is a member of its group only as long as its disk retains its votes and acknowledged entries. The
member id therefore identifies the disk: a disk that was emptied or damaged gets a new id and becomes a new
member.
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
    """The identity of a disk that ``open_identity`` read or created."""

    member_id: str
    is_new: bool  # whether it was just created; the disk is then empty


def first_member_id(ip: str) -> str:
    """Return the member id of the replica at ``ip`` at the first start of the deployment."""
    return FIRST_START_PREFIX + ip


def open_identity(directory: Path, *, first_start: bool, ip: str) -> OpenedIdentity:
    """Return the identity of the disk at ``directory``, which is created if it is missing. Blocks.

    An empty disk gets a random id, or ``first_member_id`` at the first start of the deployment, so that
    the members of the initial group can be derived from their addresses. A disk without a valid identity is
    emptied (``renew_identity``). The id is durable once ``ReplicaStorage.recover`` has returned: if the
    process that created the file was killed, only recovery syncs its directory entry.
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
    """Empty ``directory``, assign a random member id, and return the id.

    The identity is invalidated first and stays invalid until all other files are removed. After a crash in
    between, no start mistakes the remaining files for the disk of the previous member, or the emptied disk
    for one that was never used.
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
        raise DamagedStorageError(f"{path}: identity file is empty or its two copies of the id differ")
    return member_id


def _create(directory: Path, member_id: str) -> str:
    replace_file(directory / IDENTITY_FILE, f"{member_id}\n{member_id}".encode(_ENCODING))
    return member_id
