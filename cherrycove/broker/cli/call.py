"""Client for calls to a broker at its operators' address, with blocking I/O."""

from __future__ import annotations

import json
import os
import socket

RESPONSE_TIMEOUT_S = 5.0  # a broker answers within 1 s
MAX_RESPONSE_BYTES = 64 << 20


class CallError(OSError):
    """No answer came, or none that a broker sends; the message says what happened."""


def address(given: str | None) -> tuple[str, int]:
    """Return the address to call: ``given``, or else the one that the environment configures.

    Raises:
        ValueError: the address is not HOST:PORT, or the configuration cannot be read.
    """
    text = given or os.environ.get("RELAY_ADMIN") or _configured_address()
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"the operators' address must be HOST:PORT, not {text!r}: give --admin, or set "
            "RELAY_ADMIN or RELAY_CONFIG"
        )
    return host.strip("[]"), int(port)


def _configured_address() -> str | None:
    path = os.environ.get("RELAY_CONFIG")
    if not path:
        return None
    try:
        with open(path, encoding="utf-8") as file:
            admin = json.load(file).get("admin")
    except (OSError, ValueError, AttributeError) as error:
        raise ValueError(f"{path}: {error}") from None
    return admin if isinstance(admin, str) else None


def call(endpoint: tuple[str, int], line: str) -> list[str]:
    """Send one command and return the lines of the response, without END.

    Raises:
        ValueError: ``line`` is more than one line, or not ASCII.
        CallError: no answer came.
    """
    if "\n" in line or "\r" in line:
        raise ValueError("a call must be one line")
    response = bytearray()
    try:
        with socket.create_connection(endpoint, timeout=RESPONSE_TIMEOUT_S) as peer:
            peer.sendall(line.encode("ascii", "strict") + b"\n")
            while chunk := peer.recv(65536):
                response += chunk
                if len(response) > MAX_RESPONSE_BYTES:
                    raise CallError(f"the response is longer than {MAX_RESPONSE_BYTES} bytes")
    except UnicodeEncodeError:
        raise ValueError("a call must be ASCII text") from None
    except CallError:
        raise
    except OSError as error:
        raise CallError(f"{endpoint[0]}:{endpoint[1]}: {error.strerror or type(error).__name__}") from None
    lines = response.decode("ascii", "replace").splitlines()
    if not lines:
        raise CallError(f"{endpoint[0]}:{endpoint[1]}: closed the connection without an answer")
    return lines[:-1] if lines[-1] == "END" else lines
