"""The connection between two processes of one broker, with acknowledged messages."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable

from cherrycove.broker.lifecycle.messages import HandoverError, Message, parse_message

ACK_TIMEOUT_S = 0.5  # the longest wait until the other process has applied a message


class Link:
    """One end of the connection between two processes. The owner awaits ``run`` and calls ``close``."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._serial = 0

    async def run(self, on_message: Callable[[Message], Awaitable[None]]) -> None:
        """Receive messages until the other process ends or sends a malformed one; then close the link."""
        with contextlib.suppress(OSError, EOFError, HandoverError):
            while line := await self._reader.readline():
                await self._receive(parse_message(line), on_message)
        self.close()

    async def _receive(self, message: Message, on_message: Callable[[Message], Awaitable[None]]) -> None:
        if "ack" in message:
            waiter = self._acks.pop(message["ack"], None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            return
        await on_message(message)
        if "serial" in message:
            self.send({"ack": message["serial"]})

    def send(self, message: Message) -> None:
        """Send a message without waiting for an acknowledgement; drop it if the link is closed."""
        if not self._writer.is_closing():
            self._writer.write(json.dumps(message).encode() + b"\n")

    async def request(self, message: Message) -> bool:
        """Send a message; return whether the other process acknowledged it within ``ACK_TIMEOUT_S``."""
        self._serial += 1
        waiter = self._acks[self._serial] = asyncio.get_running_loop().create_future()
        self.send(message | {"serial": self._serial})
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await waiter
            return True
        except (TimeoutError, asyncio.CancelledError):
            return False
        finally:
            self._acks.pop(self._serial, None)

    def close(self) -> None:
        """Close the connection; pending calls of ``request`` return False."""
        for waiter in self._acks.values():
            waiter.cancel()
        self._writer.close()
