"""Runs the broker as the fleet test's processes run: what is refused there raises here.

Refused by audit hook: fork, spawn and exec, programs started by any name, ctypes, a connection to a Unix
socket, and sockets that are not IPv4 (a pair made by ``socketpair`` is the loop's own and has no name). By
taking the function's place, as no audit event tells of them: sendfile and splice.
What neither can see: a system call made by a library in C (io_uring, a fork in C, clone without a thread),
and a thread that spins. No package of the runtime list is known to do either; the kit's run is the check.
"""

from __future__ import annotations

import errno
import os
import runpy
import socket
import sys
from typing import Any, NoReturn

PROGRAMS = (
    "os.fork",
    "os.forkpty",
    "os.exec",
    "os.posix_spawn",
    "os.spawn",
    "os.system",
    "subprocess.Popen",
    "ctypes.dlopen",
)


def refuse(event: str, arguments: tuple[Any, ...]) -> None:
    if event in PROGRAMS:
        raise OSError(errno.ENOSYS, f"refused: {event}")
    if event == "socket.__new__" and arguments[1] not in (socket.AF_INET, socket.AF_UNIX, -1):
        raise OSError(errno.EAFNOSUPPORT, f"refused: a socket of family {arguments[1]!r}")
    if event == "socket.connect" and arguments[0].family == socket.AF_UNIX:
        raise ConnectionRefusedError(errno.ECONNREFUSED, "nobody comes to a Unix socket")


def absent(*_: object, **__: object) -> NoReturn:
    raise OSError(errno.ENOSYS, "refused: sendfile or splice")


def confine() -> None:
    os.sendfile = absent
    os.splice = absent
    socket.socket.sendfile = absent  # type: ignore[method-assign]  # replaced on purpose
    sys.addaudithook(refuse)


if __name__ == "__main__":
    confine()
    sys.path[0], sys.argv = os.getcwd(), ["cherrycove"]
    runpy.run_module("cherrycove", run_name="__main__", alter_sys=True)
