"""One call on a broker's operators' address, in blocking style."""

from __future__ import annotations

import json
import os
import socket

ANSWER_TIME = 5.0  # s; a broker answers within 1
MOST_ANSWER = 64 << 20  # bytes


class CallError(OSError):
    """Nobody answers there, or not as a broker does; the text says what happened."""


def address(given: str | None) -> tuple[str, int]:
    """Return the address to call: the given one, else that of the broker of this environment.

    ValueError if it is no HOST:PORT, or the configuration cannot be read.
    """
    text = given or os.environ.get("RELAY_ADMIN") or _configured()
    host, _, port = (text or "").rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"the operators' address must be HOST:PORT, not {text!r}: give --admin, or set "
            "RELAY_ADMIN or RELAY_CONFIG"
        )
    return host.strip("[]"), int(port)


def _configured() -> str | None:
    path = os.environ.get("RELAY_CONFIG")
    if not path:
        return None
    try:
        with open(path, encoding="utf-8") as file:
            admin = json.load(file).get("admin")
    except (OSError, ValueError, AttributeError) as error:
        raise ValueError(f"{path}: {error}") from None
    return admin if isinstance(admin, str) else None


def call(place: tuple[str, int], line: str) -> list[str]:
    """Make a call; return the answer's lines, without END.

    Raises:
        ValueError: ``line`` is more than one line, or not ASCII.
        CallError: no answer came.
    """
    if "\n" in line or "\r" in line:
        raise ValueError("a call is one line")
    said = bytearray()
    try:
        with socket.create_connection(place, timeout=ANSWER_TIME) as peer:
            peer.sendall(line.encode("ascii", "strict") + b"\n")
            while piece := peer.recv(65536):
                said += piece
                if len(said) > MOST_ANSWER:
                    raise CallError("the answer does not end")
    except UnicodeEncodeError:
        raise ValueError("a call is plain text") from None
    except CallError:
        raise
    except OSError as error:
        raise CallError(f"{place[0]}:{place[1]}: {error.strerror or type(error).__name__}") from None
    lines = said.decode("ascii", "replace").splitlines()
    if not lines:
        raise CallError(f"{place[0]}:{place[1]}: hung up without an answer")
    return lines[:-1] if lines[-1] == "END" else lines
