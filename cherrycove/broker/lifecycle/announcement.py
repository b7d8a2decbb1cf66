"""Announces a starting process to the one in service, before the start's imports.

Imports the standard library only, and few modules of it. An announcement never waits longer than
``ANNOUNCE_TIMEOUT_S`` and never keeps a process from starting.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

SOCKET_NAME = "process.sock"  # file name, in the broker's directory, of the socket of the process in service
ANNOUNCE_TIMEOUT_S = 0.1
ANNOUNCEMENT_MESSAGE = b'{"coming": 1}\n'  # the announcement's bytes
MAX_SOCKET_FOLDER_BYTES = 80  # of a path; a Unix address holds 108 with the file name and a zero byte


def broker_directory(name: str, host: str, port: int, root: str | None = None) -> str:
    """Return the path of the directory that all processes of one broker share.

    ``root`` defaults to ``$TMPDIR``, or to the system's directory for temporary files.
    """
    identity = hashlib.sha256(f"{name}\n{host}\n{port}".encode()).hexdigest()[:16]
    root = root or os.environ.get("TMPDIR")
    if not root:
        from tempfile import gettempdir  # imported late: it takes a tenth of the time before the announcement

        root = gettempdir()
    return os.path.join(root, f"cherrycove-{identity}")


@contextmanager
def short(path: str | os.PathLike[str]) -> Iterator[str]:
    """Yield a name of the directory that is short enough for the address of a Unix socket."""
    if len(os.fsencode(path)) < MAX_SOCKET_FOLDER_BYTES:
        yield str(path)
        return
    number = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{number}"
    finally:
        os.close(number)


def announce() -> socket.socket | None:
    """Announce this process; keep the returned connection open until it asks for the handover.

    The imports take most of a core that both processes share. Requests that wait unread meanwhile occupy
    their clients' connections, so the process in service lowers its limit of open requests while it has
    announcements.

    Returns:
        The connection, or None if no process is in service or the configuration cannot be read.
    """
    try:
        folder = _configured_directory()
    except (OSError, KeyError, ValueError, TypeError, AttributeError, RecursionError):
        return None  # the configuration is read again later, and its faults are reported then
    try:
        return _connect(folder)
    except (OSError, ValueError):
        return None


def _configured_directory() -> str:
    """Return the directory of the broker that the environment configures."""
    with open(os.environ["RELAY_CONFIG"], encoding="utf-8") as file:
        raw = json.load(file)
    name = str(raw.get("name") or os.environ.get("RELAY_NAME") or "broker")
    host, _, port = (raw.get("listen") or os.environ["RELAY_LISTEN"]).rpartition(":")
    return broker_directory(name, host.strip("[]"), int(port))


def _connect(folder: str) -> socket.socket:
    peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        peer.settimeout(ANNOUNCE_TIMEOUT_S)
        with short(folder) as short_folder:
            peer.connect(f"{short_folder}/{SOCKET_NAME}")
        peer.sendall(ANNOUNCEMENT_MESSAGE)
    except (OSError, ValueError):
        peer.close()
        raise
    return peer
