"""Runs a daemon of the tier whose outgoing connections all go through the links of the test (``links.py``).

``python tests/tier/linked_process.py PROGRAM``, with LINKED_MACHINE and LINKED_RELAY in the environment. The
code of the daemon is unmodified. Only its event loop connects to the relay and sends it the machine's name
and the requested address. A refused connection raises ConnectionRefusedError, and a blocked one is not
established. With LINKED_KILL_AT, the process is killed at that step of its next snapshot
(``snapshot_steps.py``).
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path
from typing import Any

MACHINE_VARIABLE = "LINKED_MACHINE"
RELAY_VARIABLE = "LINKED_RELAY"  # port of the relay on 127.0.0.1
KILL_VARIABLE = "LINKED_KILL_AT"
REPLY_BYTES = 1


class LinkedLoop(asyncio.SelectorEventLoop):
    """The selector event loop, with connections opened through the relay."""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        await super().sock_connect(sock, ("127.0.0.1", int(os.environ[RELAY_VARIABLE])))
        host, port = address[:2]
        await self.sock_sendall(sock, f"{os.environ[MACHINE_VARIABLE]} {host} {port}\n".encode())
        if not await self.sock_recv(sock, REPLY_BYTES):
            raise ConnectionRefusedError(f"{host}:{port}")


class LinkedPolicy(asyncio.DefaultEventLoopPolicy):
    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return LinkedLoop()


def main() -> int:
    sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
    from cherrycove.tier.__main__ import main as run_tier

    if KILL_VARIABLE in os.environ:
        import snapshot_steps

        snapshot_steps.kill_process_at_step(int(os.environ[KILL_VARIABLE]))
    asyncio.set_event_loop_policy(LinkedPolicy())
    return run_tier()


if __name__ == "__main__":
    sys.exit(main())
