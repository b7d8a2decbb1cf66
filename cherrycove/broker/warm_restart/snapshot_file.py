"""The snapshot file: written completely or not at all, and used only if its checksum is right.

    magic:8 format:u16 reserved:u16 length:u32 checksum:16 body

Integers in network order. The body is MessagePack, the checksum BLAKE2b of it and of what precedes the
checksum. All functions that touch the disk block; they must not be called from the event loop.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import stat
import struct
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgpack  # type: ignore[import-untyped]

from cherrycove.broker.warm_restart.snapshot import UnusableError

MAGIC = b"ccmemory"
FILE_FORMAT = 1  # of the frame
HEAD = struct.Struct(">8sHHI")
CHECKSUM_BYTES = 16
MAX_BYTES = 1 << 20


def path(folder: str | os.PathLike[str], broker: str) -> Path:
    """Return the path of a broker's snapshot file."""
    return Path(folder) / f"{quote(broker, safe='')}.memory"


def frame(rows: Any) -> bytes:
    """Return the file's bytes; UnusableError if they would be more than ``MAX_BYTES``."""
    body: bytes = msgpack.packb(rows)
    if len(body) > MAX_BYTES - HEAD.size - CHECKSUM_BYTES:
        raise UnusableError(f"it would hold {len(body)} bytes, of which {MAX_BYTES} may be")
    head = HEAD.pack(MAGIC, FILE_FORMAT, 0, len(body))
    return head + _checksum(head, body) + body


def parse(data: bytes) -> Any:
    """Return the rows in a file's bytes; UnusableError says what is wrong with them."""
    if len(data) < HEAD.size + CHECKSUM_BYTES:
        raise UnusableError("it is cut short")
    magic, form, _, length = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise UnusableError("it is no memory of this program")
    if form != FILE_FORMAT:
        raise UnusableError(f"its format is {form}; this program reads {FILE_FORMAT}")
    checksum, body = data[HEAD.size : HEAD.size + CHECKSUM_BYTES], data[HEAD.size + CHECKSUM_BYTES :]
    if len(body) != length:
        raise UnusableError("it is cut short" if len(body) < length else "something stands behind its end")
    if checksum != _checksum(data[: HEAD.size], body):
        raise UnusableError("its checksum does not hold")
    try:
        return msgpack.unpackb(body, strict_map_key=True)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise UnusableError(f"it cannot be read: {error}") from error


def _checksum(head: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(head + body, digest_size=CHECKSUM_BYTES).digest()


def read(where: Path) -> Any:
    """Return the rows of a file.

    Opened without blocking: what lies under the name may be a pipe or a device.

    Raises:
        FileNotFoundError: there is none.
        OSError: it cannot be read.
        UnusableError: its content cannot be used.
    """
    descriptor = os.open(where, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise UnusableError("it is no file")
        data = b""
        while len(data) <= MAX_BYTES and (chunk := os.read(descriptor, MAX_BYTES + 1 - len(data))):
            data += chunk
    finally:
        os.close(descriptor)
    if len(data) > MAX_BYTES:
        raise UnusableError(f"it holds more than {MAX_BYTES} bytes")
    return parse(data)


def write(where: Path, data: bytes) -> None:
    """Replace the file; OSError leaves the former one untouched.

    Without the first fsync a crash may leave the new name on a file without its bytes, without the second the
    old name. A failed fsync is a failed write: what it did not store is not written by another fsync.
    """
    fresh = where.with_name(f".{where.name}.{os.getpid()}")
    try:
        _write_synced(fresh, data)
        os.replace(fresh, where)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(fresh)
        raise
    folder = os.open(where.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _write_synced(fresh: Path, data: bytes) -> None:
    descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        remaining = memoryview(data)
        while remaining:  # a short write is no error to the system
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def delete(where: Path) -> bool:
    """Delete the file and its temporary files; return whether there was any."""
    found = False
    for each in (where, *where.parent.glob(f".{where.name}.*")):
        with contextlib.suppress(FileNotFoundError):
            os.unlink(each)
            found = True
    return found
