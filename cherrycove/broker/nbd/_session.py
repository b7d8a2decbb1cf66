"""The transmission phase of one client connection (proto.md, section "Transmission phase")."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from itertools import count

from cherrycove.broker.core import Answer, Core, Ending, Request, Verdict
from cherrycove.broker.local_codes import LocalCode
from cherrycove.broker.nbd._codec import (
    CommandRequest,
    ProtocolError,
    ReplyChunk,
    make_data_chunk,
    make_error_chunk,
    pack_simple_reply,
    read_command_request,
)
from cherrycove.broker.nbd._constants import (
    MAX_PAYLOAD_BYTES,
    ChunkType,
    Command,
    Errno,
    ReplyFlag,
)
from cherrycove.broker.nbd._handshake import NegotiatedExport
from cherrycove.broker.nbd._validation import validate_command
from cherrycove.broker.nbd.client import CommandBackend, ConnectionPool
from cherrycove.broker.nbd.config import NbdConfig
from cherrycove.broker.sockets import POLL_INTERVAL_S, is_closed_by_peer

_FRONTEND = "nbd"  # names the protocol a request came from in the core's records
_MAX_DISCARDED_BYTES = 32 * 1024 * 1024  # limit up to which an oversized payload is read and discarded
_SEND_TIMEOUT_S = 30.0  # for a client to read a reply
_MAX_EXPORT_NAME_IN_ID = 64
# Node errors that are forwarded to the client: they are caused by the command, not by the node.
_FORWARDED_ERRORS = (Errno.EPERM, Errno.EINVAL, Errno.ENOSPC, Errno.EOVERFLOW, Errno.ENOTSUP)

_session_numbers = count(1)  # unique within this process


@dataclass(frozen=True, slots=True)
class _Result:
    """The result of a command; ``data`` is the payload of a successful READ."""

    errno: Errno | None = None
    message: str = ""
    data: bytes = b""


class TransmissionSession:
    """Reads one client's commands, runs several at a time and sends one reply to each.

    The server owns it and runs it in the connection's task; it owns a task for each command. It ends on the
    client's DISC or on cancellation of its task, in both cases after it has replied to all commands read so
    far, or on a failure of the connection, which cancels those commands.
    """

    def __init__(
        self,
        core: Core,
        pool: ConnectionPool,
        config: NbdConfig,
        negotiated: NegotiatedExport,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """``negotiated`` is the outcome of the handshake on this connection."""
        self._core = core
        self._pool = pool
        self._config = config
        self._export, self._structured = negotiated
        self._reader = reader
        self._writer = writer
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = next(_session_numbers)
        self._is_disconnected = False
        self._slots = asyncio.Semaphore(config.pipeline)

    async def run(self) -> None:
        """Serve until the client disconnects.

        Raises:
            ProtocolError: if the client violates the protocol.
            OSError, EOFError: if the connection fails or ends without DISC.
            asyncio.CancelledError: if the task was cancelled; all commands read so far have been replied to.
        """
        try:
            await self._read_commands()
        except asyncio.CancelledError:
            await self._finish_commands()
            raise
        except BaseException:
            self._cancel_commands()
            raise
        await self._finish_commands()

    async def _read_commands(self) -> None:
        while True:
            await self._acquire_slot()
            if self._is_disconnected:
                raise EOFError
            request = await read_command_request(self._reader)
            if request.command == Command.DISC:
                return
            payload = await self._read_payload(request)
            task = asyncio.create_task(self._serve(request, payload))
            self._tasks.add(task)
            task.add_done_callback(self._on_command_done)

    async def _acquire_slot(self) -> None:
        """Wait until a command may start within the pipeline limit, or until the client has disconnected.

        While the session reads nothing, unread commands hide the end of the stream from the event loop, and
        the commands in flight would continue without a client; therefore the socket itself is polled.
        """
        while not self._is_disconnected:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._slots.acquire()
                    return
            if is_closed_by_peer(self._writer.transport):
                self.on_disconnected()

    def on_disconnected(self) -> None:
        """Cancel the commands of a disconnected client.

        Acts only while no slot is free; otherwise the read loop detects the disconnection.
        """
        if self._slots.locked():
            self._is_disconnected = True
            self._cancel_commands()

    def _cancel_commands(self) -> None:
        # Without delay: until it learns that the client is gone, the core continues to send attempts.
        for task in self._tasks:
            task.cancel()

    def _on_command_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._slots.release()

    async def _finish_commands(self) -> None:
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_payload(self, request: CommandRequest) -> bytes | None:
        """Read a WRITE's data; return None if it was oversized and has been discarded."""
        if request.command != Command.WRITE:
            return b""
        if request.length <= MAX_PAYLOAD_BYTES:
            return await self._reader.readexactly(request.length)
        if request.length > _MAX_DISCARDED_BYTES:
            raise ProtocolError(
                f"payload of {request.length} bytes; at most {_MAX_DISCARDED_BYTES} are discarded"
            )
        remaining = request.length
        while remaining:
            chunk = await self._reader.read(min(remaining, MAX_PAYLOAD_BYTES))
            if not chunk:
                raise EOFError
            remaining -= len(chunk)
        return None

    async def _serve(self, request: CommandRequest, payload: bytes | None) -> None:
        errno = validate_command(request, self._export, structured=self._structured)
        if errno is not None or payload is None:
            result = self._reject(request, errno)
        else:
            result = await self._execute(request, payload)
        await self._write(self._pack_reply(request, result))

    def _reject(self, request: CommandRequest, errno: Errno | None) -> _Result:
        if request.command in self._config.classes:
            self._core.record_rejection(
                self._config.classes[Command(request.command)],
                local_code=LocalCode.BAD_COMMAND,
                id=self._request_id(request),
                volume=self._export.volume,
                front=_FRONTEND,
            )
        return _Result(errno, "not a command that this export takes")

    async def _execute(self, request: CommandRequest, payload: bytes) -> _Result:
        backend = CommandBackend(self._pool, self._export, request, payload)
        answer = await self._core.serve(self._core_request(request), backend)
        return _result_of(answer, backend.errno)

    def _core_request(self, request: CommandRequest) -> Request:
        settings, export = self._core.settings, self._export
        cls = self._config.classes[Command(request.command)]
        return Request(
            cls=cls,
            plan=export.plan,
            volume=export.volume,
            units=self._config.command_units(request, settings.max_units),
            shard=export.shard,
            hosts=export.hosts,
            deadline=asyncio.get_running_loop().time() + settings.classes[cls].deadline,
            key=f"{export.volume}/{request.offset // MAX_PAYLOAD_BYTES}",
            id=self._request_id(request),
            front=_FRONTEND,
        )

    def _request_id(self, request: CommandRequest) -> str:
        """Return an id for records: NBD commands carry none, and cookies are unique only within a session."""
        return f"nbd:{self._export.name[:_MAX_EXPORT_NAME_IN_ID]}:{self._number}:{request.cookie:x}"

    def _pack_reply(self, request: CommandRequest, result: _Result) -> bytes:
        if not self._structured:
            return pack_simple_reply(request.cookie, result.errno or 0, result.data)
        if result.errno is not None:
            return make_error_chunk(request.cookie, result.errno, result.message).pack()
        if request.command == Command.READ:
            return make_data_chunk(request.cookie, request.offset, result.data).pack()
        return ReplyChunk(ReplyFlag.DONE, ChunkType.NONE, request.cookie, b"").pack()

    async def _write(self, reply: bytes) -> None:
        # A single call, because other tasks write their replies while this one waits for the drain.
        self._writer.write(reply)
        try:
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                await self._writer.drain()
        except (OSError, TimeoutError):
            self._writer.transport.abort()


def _result_of(answer: Answer, node_errno: int) -> _Result:
    """Convert the core's final answer to a command result; the messages are sent to the client."""
    if answer.verdict is Verdict.SERVED:
        return _Result(data=answer.reply.body if answer.reply is not None else b"")
    if answer.verdict is Verdict.REFUSED:
        message = f"refused: a new try does no harm; retry after {answer.retry_after:.3f} s"
        return _Result(Errno.ENOMEM, message)
    if answer.last_ending is Ending.NODE_ERROR and node_errno in _FORWARDED_ERRORS:
        return _Result(Errno(node_errno), "the node refuses the command")
    return _Result(Errno.EIO, "failed: it may have taken effect")
