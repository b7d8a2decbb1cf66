"""What two processes of one broker share: the listening sockets, the node list, who is out for maintenance.

It owns the broker's directory in $TMPDIR, what lies in it, and the link between a process and its
successor. It must never decide what either serves, never trust what it finds in the directory, and never keep
a process from starting: without it a broker still serves, alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cherrycove.broker.core import Maintenance, Member
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.announcement import SOCKET, directory, short
from cherrycove.scheduling.interface import NodeState

log = Log("cherrycove.life.handover")

MAINTENANCE = "maintenance.json"
LOCK = "start.lock"  # held by the process that starts, until it can be found
LOCK_AGAIN = 0.02  # s
COMING_TIME = 6.0  # s in which a process that has announced itself must ask for the sockets
MOST_OUT = 256  # nodes
ANSWER_TIME = 2.5  # s in which a process in service must answer its successor; else it is as none. A yes
# is due 6 s after the start, of which imports take up to 2 on a crowded core
BUSY = b"w"  # the answer of a process that has another beside it already
BUSY_AGAIN = 0.1  # s after which one that was told so asks again,
BUSY_TIME = 4.5  # s in all: as long as one that ends may take, and what is left of the 6 s
ACK_TIME = 0.5  # s in which the other process must have taken in what it is told
MOST_MESSAGE = 1 << 20
MOST_LISTENERS = 4
Message = dict[str, Any]


class HandoverError(ValueError):
    """What the other process sent is not understood; the message says why."""


def pack_member(member: Member) -> list[Any]:
    return [
        member.name,
        member.address,
        member.shard,
        member.zone,
        member.weight,
        member.since_ms,
        member.state.value,
    ]


def parse_member(raw: Any) -> Member:
    try:
        name, address, shard, zone, weight, since, state = raw
        member = Member(name, address, shard, zone, float(weight), float(since), NodeState(state))
    except (TypeError, ValueError):
        raise HandoverError("an entry of the node list is malformed") from None
    if not (
        isinstance(name, str)
        and name
        and isinstance(address, str)
        and type(shard) is int
        and type(zone) is int
    ):
        raise HandoverError("an entry of the node list is malformed")
    return member


def pack_maintenance(state: Maintenance) -> Message:
    return {"out": dict(state.out), "back": {name: list(times) for name, times in state.back.items()}}


def parse_maintenance(raw: Any) -> Maintenance:
    try:
        out = {str(name): float(since) for name, since in raw["out"].items()}
        back = {str(name): (float(since), float(at)) for name, (since, at) in raw["back"].items()}
    except (KeyError, TypeError, ValueError, AttributeError):
        raise HandoverError("the state of maintenance is malformed") from None
    if len(out) > MOST_OUT:
        raise HandoverError("more nodes are out than may be")
    return Maintenance(out, back)


def parse_message(line: bytes) -> Message:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise HandoverError("not JSON") from None
    if not isinstance(message, dict):
        raise HandoverError("no object")
    return message


class TwoLiveError(OSError):
    """Two processes of this broker live already, and neither has ended in ``BUSY_TIME``."""


class _BusyError(Exception):
    """The process in service has another beside it."""


class Link:
    """The connection to the other process, over which each tells the other what binds both."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._serial = 0

    async def follow(self, on_message: Callable[[Message], Awaitable[None]]) -> None:
        """Take messages until the other process ends."""
        with contextlib.suppress(OSError, EOFError, HandoverError):
            while line := await self._reader.readline():
                message = parse_message(line)
                if "ack" in message:
                    waiter = self._acks.pop(message["ack"], None)
                    if waiter is not None and not waiter.done():
                        waiter.set_result(None)
                    continue
                await on_message(message)
                if "serial" in message:
                    self.tell({"ack": message["serial"]})
        self.close()

    def tell(self, message: Message) -> None:
        if not self._writer.is_closing():
            self._writer.write(json.dumps(message).encode() + b"\n")

    async def ask(self, message: Message) -> bool:
        """Tell, and wait until the other has taken it in; False if it did not in time, or has gone."""
        self._serial += 1
        waiter = self._acks[self._serial] = asyncio.get_running_loop().create_future()
        self.tell(message | {"serial": self._serial})
        try:
            async with asyncio.timeout(ACK_TIME):
                await waiter
            return True
        except (TimeoutError, asyncio.CancelledError):
            return False
        finally:
            self._acks.pop(self._serial, None)

    def close(self) -> None:
        for waiter in self._acks.values():
            waiter.cancel()
        self._writer.close()


class HandoverEndpoint:
    """The broker's directory. Without one (it cannot be made) there is nobody to meet and nothing is kept."""

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        root: str | None = None,
        on_coming: Callable[[], None] = lambda: None,
    ) -> None:
        self.path = Path(directory(name, *listen, root))
        self.changing = asyncio.Lock()  # held by whoever changes what is out, until it is kept or given up
        self.coming = 0  # processes that have announced themselves and not asked yet
        self.on_coming = on_coming
        self._server: asyncio.Server | None = None
        self._lock = -1
        self._talks: set[asyncio.Task[None]] = set()
        self._awaiting: set[asyncio.Task[None]] = set()  # of these, what says no more than that it comes
        try:
            self.path.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    async def enter(self) -> None:
        """Be the one process of this broker that starts, until ``found`` or the end of this process.

        Guard: two that started at once found nobody each, and served with two budgets. One that stands still
        as it starts holds up the next for ``BUSY_TIME``, and no longer.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + BUSY_TIME
        try:
            self._lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            while True:
                try:
                    fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    return
                except BlockingIOError:
                    if loop.time() >= until:
                        log.warning("handover.start_not_alone")
                        return
                await asyncio.sleep(LOCK_AGAIN)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error.strerror)

    def leave(self) -> None:
        """The next may start."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    async def save(self, state: Maintenance) -> bool:
        """Whether it is safely in its file, from which the next start takes it. Guard: a file that takes the
        place of another is written out first; a busy disk held all requests up for 0.25 s meanwhile."""
        try:
            await asyncio.to_thread(self._write, json.dumps(pack_maintenance(state)))
        except OSError as error:
            log.error("maintenance.not_kept", why=error)
            return False
        return True

    def _write(self, text: str) -> None:
        fresh = self.path / f"{os.getpid()}.{MAINTENANCE}"
        fresh.write_text(text)
        os.replace(fresh, self.path / MAINTENANCE)

    def load(self) -> Maintenance:
        try:
            return parse_maintenance(parse_message((self.path / MAINTENANCE).read_bytes()))
        except FileNotFoundError:
            return Maintenance()
        except (OSError, HandoverError) as error:
            log.warning("maintenance.unreadable", path=self.path / MAINTENANCE, why=error)
            return Maintenance()

    async def meet(self, hello: Message) -> tuple[Link, Message, list[socket.socket]] | None:
        """The process in service: the link to it, its state, its listening sockets. None: there is none.
        TwoLiveError: this one is a third.

        Guard: a third that served at once had a half of the budgets beside two others, and what it was told
        was not what the first of them had sent.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + BUSY_TIME
        while True:
            try:
                return await self._meet(hello)
            except _BusyError:
                if loop.time() >= until:
                    raise TwoLiveError("two processes of this broker live already") from None
                await asyncio.sleep(BUSY_AGAIN)

    async def _meet(self, hello: Message) -> tuple[Link, Message, list[socket.socket]] | None:
        peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        peer.setblocking(False)
        loop, taken = asyncio.get_running_loop(), []  # type: asyncio.AbstractEventLoop, list[int]
        try:
            async with asyncio.timeout(ANSWER_TIME):
                with short(self.path) as folder:
                    await loop.sock_connect(peer, f"{folder}/{SOCKET}")
                await loop.sock_sendall(peer, json.dumps(hello).encode() + b"\n")
                readable = loop.create_future()
                loop.add_reader(peer, _wake, readable)
                try:
                    await readable
                finally:
                    loop.remove_reader(peer)
                # Guard: one byte and no more, so that the descriptors come with it and the state behind it.
                mark, taken, _, _ = socket.recv_fds(peer, 1, MOST_LISTENERS)
                if mark == BUSY:
                    raise _BusyError
                if not mark or not taken:
                    raise HandoverError("it hands nothing over")
                reader, writer = await asyncio.open_connection(sock=peer, limit=MOST_MESSAGE)
                state = parse_message(await reader.readline())
                listeners = [socket.socket(fileno=number) for number in taken]
                return Link(reader, writer), state, listeners
        except (OSError, EOFError, HandoverError, asyncio.LimitOverrunError, ValueError) as error:
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log.warning("handover.nobody", why=str(error) or type(error).__name__)
            for number in taken:
                os.close(number)
            peer.close()
            return None
        except _BusyError:
            peer.close()
            raise

    async def await_successor(
        self,
        take: Callable[[Message], tuple[Message, list[socket.socket]] | None],
        link: Callable[[Link], Awaitable[None]],
        dropped: Callable[[], object] = lambda: None,
    ) -> None:
        """Be found by the next process: ``take`` gives the state and the sockets, or None if it has to ask
        again; ``link`` keeps the link; ``dropped`` is called if it was lost before that."""

        async def found(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            talk = asyncio.current_task()
            assert talk is not None
            self._talks.add(talk)
            try:
                hello = parse_message(await reader.readline())
                if "coming" in hello:
                    return await self._await(reader)
                given = take(hello)
                if given is None:
                    writer.write(BUSY)
                    return
                try:
                    with writer.get_extra_info("socket").dup() as peer:
                        socket.send_fds(peer, [b"\n"], [each.fileno() for each in given[1]])
                    writer.write(json.dumps(given[0]).encode() + b"\n")
                except (OSError, ValueError):
                    dropped()
                    raise
                await link(Link(reader, writer))
            except (OSError, ValueError) as error:
                log.warning("handover.came_to_nothing", why=error)
            finally:
                self._talks.discard(talk)
                writer.close()

        own = f"{os.getpid()}.sock"
        if self._server is not None:
            self._server.close()  # found under a name that another has taken since
        try:
            with short(self.path) as folder:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(f"{folder}/{own}")
                self._server = await asyncio.start_unix_server(found, f"{folder}/{own}", limit=MOST_MESSAGE)
            # Guard: whatever lies there, of the process before this one or of one long dead, is replaced.
            os.replace(self.path / own, self.path / SOCKET)
        except OSError as error:
            log.warning("handover.no_place", path=self.path, why=error)
        finally:
            self.leave()

    async def _await(self, reader: asyncio.StreamReader) -> None:
        """A process has started to start, until it asks, dies, or has had its time."""
        self.coming += 1
        self.on_coming()
        talk = asyncio.current_task()
        assert talk is not None
        self._awaiting.add(talk)
        try:
            async with asyncio.timeout(COMING_TIME):
                await reader.read()
        except TimeoutError:
            pass
        finally:
            self._awaiting.discard(talk)
            self.coming -= 1
            self.on_coming()

    async def close(self) -> None:
        """Be found no more. The links are closed by their owner, and waited for here."""
        if self._server is not None:
            self._server.close()
        for talk in self._awaiting:
            talk.cancel()
        await asyncio.gather(*self._talks, return_exceptions=True)


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def listener(host: str, port: int, **options: int) -> socket.socket:
    """A socket for clients, not listening yet. A process that did not answer its successor may still hold the
    address, so it is shared; where it did answer, one socket serves both."""
    family, kind, proto, _, place = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    made = socket.socket(family, kind, proto)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        for name, value in options.items():
            made.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
        made.bind(place)
    except OSError:
        made.close()
        raise
    return made
