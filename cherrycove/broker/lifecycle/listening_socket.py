"""Opens the sockets that clients connect to."""

from __future__ import annotations

import socket


def bind_listening_socket(host: str, port: int, **options: int) -> socket.socket:
    """Return a bound socket for clients that does not listen yet; ``options`` are TCP options by their names.

    The address can be shared (SO_REUSEPORT), since a predecessor that did not answer the request for the
    handover may still be bound to it. A predecessor that answered passes its own socket instead.

    Raises:
        OSError: if the address cannot be bound.
    """
    family, kind, protocol, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    listening = socket.socket(family, kind, protocol)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        for name, value in options.items():
            listening.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
        listening.bind(address)
    except OSError:
        listening.close()
        raise
    return listening
