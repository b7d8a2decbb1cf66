"""The file of a memory: written whole or not at all, and believed only where its checksum holds.

It owns the path, the frame and the order of system calls. It must never be called from the event loop, leave
a half of itself under its name, or be larger than ``MOST_BYTES``.

    magic:8 format:u16 reserved:u16 length:u32 checksum:16 body

Integers in network order; the body is MessagePack, the checksum BLAKE2b of it and of what stands before.
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

from cherrycove.broker.warm_restart.figures import UnusableError

MAGIC = b"ccmemory"
FORMAT = 1  # of the frame
HEAD = struct.Struct(">8sHHI")
SUM = 16  # bytes
MOST_BYTES = 1 << 20


def path(folder: str | os.PathLike[str], broker: str) -> Path:
    """Where the memory of this broker lies."""
    return Path(folder) / f"{quote(broker, safe='')}.memory"


def frame(rows: Any) -> bytes:
    """The file's bytes; UnusableError if they would be too many."""
    body: bytes = msgpack.packb(rows)
    if len(body) > MOST_BYTES - HEAD.size - SUM:
        raise UnusableError(f"it would hold {len(body)} bytes, of which {MOST_BYTES} may be")
    head = HEAD.pack(MAGIC, FORMAT, 0, len(body))
    return head + _sum(head, body) + body


def parse(data: bytes) -> Any:
    """The rows in a file's bytes; UnusableError says what is wrong with them."""
    if len(data) < HEAD.size + SUM:
        raise UnusableError("it is cut short")
    magic, form, _, length = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise UnusableError("it is no memory of this program")
    if form != FORMAT:
        raise UnusableError(f"its format is {form}; this program reads {FORMAT}")
    told, body = data[HEAD.size : HEAD.size + SUM], data[HEAD.size + SUM :]
    if len(body) != length:
        raise UnusableError("it is cut short" if len(body) < length else "something stands behind its end")
    if told != _sum(data[: HEAD.size], body):
        raise UnusableError("its checksum does not hold")
    try:
        return msgpack.unpackb(body, strict_map_key=True)
    except (ValueError, RecursionError, msgpack.UnpackException) as error:
        raise UnusableError(f"it cannot be read: {error}") from None


def _sum(head: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(head + body, digest_size=SUM).digest()


def read(where: Path) -> Any:
    """The rows of a file. FileNotFoundError: there is none; OSError or UnusableError: none that can be used.

    Guard: what lies under the name may be a pipe or a device, and its opening would never end.
    """
    number = os.open(where, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        if not stat.S_ISREG(os.fstat(number).st_mode):
            raise UnusableError("it is no file")
        data = b""
        while len(data) <= MOST_BYTES and (piece := os.read(number, MOST_BYTES + 1 - len(data))):
            data += piece
    finally:
        os.close(number)
    if len(data) > MOST_BYTES:
        raise UnusableError(f"it holds more than {MOST_BYTES} bytes")
    return parse(data)


def write(where: Path, data: bytes) -> None:
    """Put it in place of what lies there. OSError: the former one is untouched.

    Guard: without the first fsync a crash may leave the new name on a file without its bytes, and without the
    second the old name; a failed fsync is a failed write, since what it left out is not tried again.
    """
    fresh = where.with_name(f".{where.name}.{os.getpid()}")
    try:
        number = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            left = memoryview(data)
            while left:  # a short write is no error to the system
                left = left[os.write(number, left) :]
            os.fsync(number)
        finally:
            os.close(number)
        os.replace(fresh, where)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(fresh)
        raise
    folder = os.open(where.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def forget(where: Path) -> bool:
    """Throw it away, with what a broken writer left beside it; whether there was any."""
    found = False
    for each in (where, *where.parent.glob(f".{where.name}.*")):
        with contextlib.suppress(FileNotFoundError):
            os.unlink(each)
            found = True
    return found
