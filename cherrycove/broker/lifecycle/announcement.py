"""Says to the process in service that another process of its broker has started, before that one's imports.

It owns the name of the broker's directory and one line on the socket in it. It must never import more than a
few small parts of the standard library, wait longer than HERALD_TIME, or keep a process from starting.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

SOCKET = "process.sock"
HERALD_TIME = 0.1  # s
COMING = b'{"coming": 1}\n'


def directory(name: str, host: str, port: int, root: str | None = None) -> str:
    """The path of the directory that all processes of one broker share."""
    identity = hashlib.sha256(f"{name}\n{host}\n{port}".encode()).hexdigest()[:16]
    root = root or os.environ.get("TMPDIR")
    if not root:
        from tempfile import gettempdir  # with all that it imports, a tenth of what comes before the word

        root = gettempdir()
    return os.path.join(root, f"cherrycove-{identity}")


@contextmanager
def short(path: str | os.PathLike[str]) -> Iterator[str]:
    """A name for the directory that leaves room in a Unix socket's address, which holds 108 bytes."""
    if len(os.fsencode(path)) < 80:
        yield str(path)
        return
    number = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{number}"
    finally:
        os.close(number)


def announce() -> socket.socket | None:
    """Tell the process in service, if there is one; whoever holds what is returned is still coming.

    Guard: imports take most of a core that both processes share. What waits unread meanwhile holds its
    client's place, and with as many requests open as usual, clients had no connection left.
    """
    try:
        with open(os.environ["RELAY_CONFIG"], encoding="utf-8") as file:
            raw = json.load(file)
        name = str(raw.get("name") or os.environ.get("RELAY_NAME") or "broker")
        host, _, port = (raw.get("listen") or os.environ["RELAY_LISTEN"]).rpartition(":")
        place = directory(name, host.strip("[]"), int(port))
        peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            peer.settimeout(HERALD_TIME)
            with short(place) as folder:
                peer.connect(f"{folder}/{SOCKET}")
            peer.sendall(COMING)
        except OSError:
            peer.close()
            return None
        return peer
    except Exception:  # the configuration is read again, and what is wrong with it is said then
        return None
