"""Free ports on loopback for servers that tests start.

They are drawn from below the range that the system gives to outgoing connections: a port of that range that
is free now may be taken by a connection of another test before the server listens.
"""

from __future__ import annotations

import random
import socket
from collections.abc import Sequence
from contextlib import ExitStack

LOCALHOST = "127.0.0.1"
FIRST_PORT = 15_000
PORTS_END = 32_000  # outgoing connections have ports above
KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)

_random = random.SystemRandom()


def free_ports(count: int, hosts: Sequence[str] = (LOCALHOST,), following: int = 0) -> list[int]:
    """Ports that are free at every one of ``hosts``, for connections and for datagrams, each with as many
    that follow it."""
    found: list[int] = []
    with ExitStack() as held:
        for port in _random.sample(range(FIRST_PORT, PORTS_END), PORTS_END - FIRST_PORT):
            if len(found) == count:
                return found
            ports = range(port, port + following + 1)
            if all(_hold(held, each, hosts) for each in ports):
                found.append(port)
    raise OSError("no port is free")


def free_port(hosts: Sequence[str] = (LOCALHOST,)) -> int:
    """A port that is free at every one of ``hosts``."""
    return free_ports(1, hosts)[0]


def free_address() -> str:
    """``host:port`` at which nobody listens."""
    return f"{LOCALHOST}:{free_port()}"


def _hold(held: ExitStack, port: int, hosts: Sequence[str]) -> bool:
    """Bind ``port`` at all hosts until ``held`` ends; whether it could be bound everywhere."""
    for host in hosts:
        for kind in KINDS:
            probe = held.enter_context(socket.socket(type=kind))
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
