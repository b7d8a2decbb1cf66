"""The snapshot file: replaced atomically, and used only if its checksum is right.

    magic:8 format:u16 reserved:u16 length:u32 checksum:16 body

Integers are in network byte order. The body is MessagePack; the checksum is BLAKE2b over the header (all
fields before the checksum) and the body. All functions that access the disk block; they must not be called
from the event loop.
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
FILE_FORMAT = 1  # of header and checksum; the format of the body is snapshot.ROWS_FORMAT
HEADER = struct.Struct(">8sHHI")
CHECKSUM_BYTES = 16
MAX_BYTES = 1 << 20


def path(directory: str | os.PathLike[str], broker: str) -> Path:
    """Return the path of a broker's snapshot file."""
    return Path(directory) / f"{quote(broker, safe='')}.memory"


def frame(rows: Any) -> bytes:
    """Return the file's bytes; UnusableError if there would be more than ``MAX_BYTES``."""
    body: bytes = msgpack.packb(rows)
    if len(body) > MAX_BYTES - HEADER.size - CHECKSUM_BYTES:
        raise UnusableError(f"the body would hold {len(body)} bytes; the whole file may hold {MAX_BYTES}")
    header = HEADER.pack(MAGIC, FILE_FORMAT, 0, len(body))
    return header + _checksum(header, body) + body


def parse(data: bytes) -> Any:
    """Return the rows that a file's bytes contain; UnusableError if they are damaged or of another format."""
    if len(data) < HEADER.size + CHECKSUM_BYTES:
        raise UnusableError(
            f"the file is truncated: it holds {len(data)} bytes, less than a header and checksum"
        )
    magic, file_format, _, length = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnusableError("not a snapshot file: the magic bytes differ")
    if file_format != FILE_FORMAT:
        raise UnusableError(f"file format {file_format} is not supported; this program reads {FILE_FORMAT}")
    checksum, body = data[HEADER.size : HEADER.size + CHECKSUM_BYTES], data[HEADER.size + CHECKSUM_BYTES :]
    if len(body) != length:
        raise UnusableError(
            "the file is truncated" if len(body) < length else "data follows the end of the body"
        )
    if checksum != _checksum(data[: HEADER.size], body):
        raise UnusableError("the checksum does not match")
    try:
        return msgpack.unpackb(body, strict_map_key=True)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise UnusableError(f"the body cannot be decoded: {error}") from error


def _checksum(header: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(header + body, digest_size=CHECKSUM_BYTES).digest()


def read(file_path: Path) -> Any:
    """Return the rows of a file.

    The file is opened without blocking, because the path may lead to a pipe or a device.

    Raises:
        FileNotFoundError: the file does not exist.
        OSError: the file cannot be read.
        UnusableError: the path leads to no regular file, or the content cannot be used.
    """
    descriptor = os.open(file_path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise UnusableError("not a regular file")
        data = b""
        while len(data) <= MAX_BYTES and (chunk := os.read(descriptor, MAX_BYTES + 1 - len(data))):
            data += chunk
    finally:
        os.close(descriptor)
    if len(data) > MAX_BYTES:
        raise UnusableError(f"the file holds more than {MAX_BYTES} bytes")
    return parse(data)


def write(file_path: Path, data: bytes) -> None:
    """Replace the file atomically.

    Without the fsync of the file, a crash could leave the new directory entry with a file that lacks its
    bytes; without the fsync of the directory, it could leave the old entry. A failed fsync counts as a failed
    write: a second fsync would not write the data that the first did not store.

    Raises:
        OSError: the write failed. The previous file remains, unless only the directory could not be synced.
    """
    temporary = file_path.with_name(f".{file_path.name}.{os.getpid()}")
    try:
        _write_synced(temporary, data)
        os.replace(temporary, file_path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    directory = os.open(file_path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def _write_synced(temporary: Path, data: bytes) -> None:
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        remaining = memoryview(data)
        while remaining:  # os.write may write fewer bytes without an error
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def delete(file_path: Path) -> bool:
    """Delete the file and its temporary files; return whether any of them existed."""
    found = False
    for each in (file_path, *file_path.parent.glob(f".{file_path.name}.*")):
        with contextlib.suppress(FileNotFoundError):
            os.unlink(each)
            found = True
    return found
