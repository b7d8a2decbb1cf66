"""Announces a starting process to the one in service, before the slow imports of the start.

This module imports only a few modules, all of the standard library. An announcement never waits longer than
``ANNOUNCE_TIMEOUT_S`` and never prevents a process from starting.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

# The name, in the broker's directory, of the Unix socket on which the process in service listens.
SOCKET_NAME = "process.sock"
ANNOUNCE_TIMEOUT_S = 0.1
ANNOUNCEMENT_MESSAGE = b'{"coming": 1}\n'
# The address of a Unix socket holds 108 bytes, including the file name and a terminating zero byte.
MAX_SOCKET_DIRECTORY_BYTES = 80


def broker_directory(name: str, host: str, port: int, root: str | None = None) -> str:
    """Return the path of the directory that all processes of one broker share.

    ``root`` defaults to ``$TMPDIR``, or to the system's directory for temporary files.
    """
    identity = hashlib.sha256(f"{name}\n{host}\n{port}".encode()).hexdigest()[:16]
    root = root or os.environ.get("TMPDIR")
    if not root:
        # Imported only here: the import takes a tenth of the time before the announcement.
        from tempfile import gettempdir

        root = gettempdir()
    return os.path.join(root, f"cherrycove-{identity}")


@contextmanager
def short_path(path: str | os.PathLike[str]) -> Iterator[str]:
    """Yield a path of the directory that is short enough for the address of a Unix socket.

    A longer path is replaced by one below ``/proc/self/fd``, which is valid inside the context only.
    """
    if len(os.fsencode(path)) < MAX_SOCKET_DIRECTORY_BYTES:
        yield str(path)
        return
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def announce() -> socket.socket | None:
    """Announce this process; the caller keeps the connection open until it has requested the handover.

    The imports take most of a core that both processes share. Requests that wait unread meanwhile occupy
    their clients' connections, so the process in service lowers its limit of open requests while any process
    is announced.

    Returns:
        The connection, or None if no process is in service or the configuration cannot be read.
    """
    try:
        directory = _configured_directory()
    except (OSError, KeyError, ValueError, TypeError, AttributeError, RecursionError):
        return None  # the configuration is read again later, and errors in it are reported then
    try:
        return _connect(directory)
    except (OSError, ValueError):
        return None


def _configured_directory() -> str:
    """Return the directory of the broker whose configuration the environment names."""
    with open(os.environ["RELAY_CONFIG"], encoding="utf-8") as file:
        raw = json.load(file)
    name = str(raw.get("name") or os.environ.get("RELAY_NAME") or "broker")
    host, _, port = (raw.get("listen") or os.environ["RELAY_LISTEN"]).rpartition(":")
    return broker_directory(name, host.strip("[]"), int(port))


def _connect(directory: str) -> socket.socket:
    peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        peer.settimeout(ANNOUNCE_TIMEOUT_S)
        with short_path(directory) as short_directory:
            peer.connect(f"{short_directory}/{SOCKET_NAME}")
        peer.sendall(ANNOUNCEMENT_MESSAGE)
    except (OSError, ValueError):
        peer.close()
        raise
    return peer
