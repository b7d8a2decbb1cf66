"""Runs the broker under the restrictions of the fleet test: what is refused there raises an error here.

An audit hook refuses fork, spawn and exec, starting programs in any other way, ctypes, connections to Unix
sockets, and sockets that are not IPv4 (except pairs made by ``socketpair``, which the event loop uses and
which have no name). sendfile and splice raise no audit event, so the functions are replaced.
Neither detects a system call made by a C library (io_uring, a fork in C, clone without a thread) or a thread
that spins. No runtime dependency is known to do either; the run of the fleet test's kit checks that.
"""

from __future__ import annotations

import errno
import os
import runpy
import socket
import sys
from typing import Any, NoReturn

REFUSED_EVENTS = (
    "os.fork",
    "os.forkpty",
    "os.exec",
    "os.posix_spawn",
    "os.spawn",
    "os.system",
    "subprocess.Popen",
    "ctypes.dlopen",
)


def audit(event: str, arguments: tuple[Any, ...]) -> None:
    if event in REFUSED_EVENTS:
        raise OSError(errno.ENOSYS, f"refused: {event}")
    if event == "socket.__new__" and arguments[1] not in (socket.AF_INET, socket.AF_UNIX, -1):
        raise OSError(errno.EAFNOSUPPORT, f"refused: a socket of family {arguments[1]!r}")
    if event == "socket.connect" and arguments[0].family == socket.AF_UNIX:
        raise ConnectionRefusedError(errno.ECONNREFUSED, "refused: a connection to a Unix socket")


def refuse_call(*_: object, **__: object) -> NoReturn:
    raise OSError(errno.ENOSYS, "refused: sendfile or splice")


def confine() -> None:
    os.sendfile = refuse_call
    os.splice = refuse_call
    socket.socket.sendfile = refuse_call  # type: ignore[method-assign]  # replaced on purpose
    sys.addaudithook(audit)


if __name__ == "__main__":
    confine()
    sys.path[0], sys.argv = os.getcwd(), ["cherrycove"]
    runpy.run_module("cherrycove", run_name="__main__", alter_sys=True)
