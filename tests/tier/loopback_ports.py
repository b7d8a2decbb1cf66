"""Free ports on loopback for servers that tests start.

They are chosen below the ephemeral port range of outgoing connections: a free port of that range may be taken
by a connection of another test before the server listens. Each worker of a test run has ports of its own, and
gives none of its recent ones again, as a test may not listen on it yet.
"""

from __future__ import annotations

import os
import random
import socket
from collections import deque
from collections.abc import Sequence
from contextlib import ExitStack

LOCALHOST = "127.0.0.1"
FIRST_PORT = 15_000
PORTS_END = 32_000  # the ephemeral port range is above
KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
RECENT_PORTS = 100

_random = random.SystemRandom()
_recent: deque[int] = deque(maxlen=RECENT_PORTS)


def free_ports(count: int, hosts: Sequence[str] = (LOCALHOST,), following: int = 0) -> list[int]:
    """Return ``count`` ports that are free for TCP and UDP on all ``hosts``.

    The next ``following`` ports after each of them are free as well.
    """
    found: list[int] = []
    with ExitStack() as held:
        candidates = _own_ports()
        for port in _random.sample(candidates, len(candidates)):
            if len(found) == count:
                return found
            ports = range(port, port + following + 1)
            if not any(each in _recent for each in ports) and all(_hold(held, each, hosts) for each in ports):
                found.append(port)
                _recent.extend(ports)
    raise OSError("no free port found")


def _own_ports() -> range:
    """Return the ports of this worker of a parallel test run; all ports outside of one."""
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    size = (PORTS_END - FIRST_PORT) // workers
    first = FIRST_PORT + worker * size
    return range(first, first + size)


def free_port(hosts: Sequence[str] = (LOCALHOST,)) -> int:
    """Return a port that is free on all ``hosts``."""
    return free_ports(1, hosts)[0]


def free_address() -> str:
    """Return a ``host:port`` on which no process listens."""
    return f"{LOCALHOST}:{free_port()}"


def _hold(held: ExitStack, port: int, hosts: Sequence[str]) -> bool:
    """Bind ``port`` on all hosts until ``held`` exits; return whether this succeeded everywhere."""
    for host in hosts:
        for kind in KINDS:
            probe = held.enter_context(socket.socket(type=kind))
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
