"""The identity of a disk: a replica is a member of its group only as long as its disk keeps what it
promised."""

from __future__ import annotations

import uuid
from pathlib import Path

from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.files import (
    make_directory,
    remove_files,
    replace_file,
)

IDENTITY_FILE = "identity"
FIRST_START_PREFIX = "first-"
_ENCODING = "ascii"


def first_member_id(ip: str) -> str:
    """Member id of a replica at address ``ip`` that starts for the first time, with the whole deployment."""
    return FIRST_START_PREFIX + ip


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


def renew_identity(directory: Path) -> str:
    """Empty ``directory`` and give it a random member id.

    The identity is made invalid first, and stays so until all else is gone: after a crash in between, no
    start takes what is left for the former member's disk, or an empty disk for one that held nothing yet."""
    replace_file(directory / IDENTITY_FILE, b"")
    remove_files(directory, kept=directory / IDENTITY_FILE)
    return _create(directory, uuid.uuid4().hex[:16])


def open_identity(directory: Path, first_start: bool, ip: str) -> tuple[str, bool]:
    """The member id of the disk at ``directory`` and whether it was created just now.

    An empty disk gets a random id, or ``first-IP`` at the first start of the deployment, so that members of
    the initial group can be named by their addresses alone. The id lasts once ``ReplicaStorage.recover`` has
    returned: where another process made it and was killed, only that syncs its name. Blocks.
    """
    make_directory(directory)
    path = directory / IDENTITY_FILE
    if path.exists():
        try:
            return _read(path), False
        except DamagedStorageError:
            return renew_identity(directory), True
    written = any(not entry.name.endswith(".tmp") for entry in directory.iterdir())
    if first_start and not written:
        return _create(directory, first_member_id(ip)), True
    return renew_identity(directory), True
