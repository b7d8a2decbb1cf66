"""One HTTP/1.1 connection of a client, used until the other side closes it."""

from __future__ import annotations

import asyncio

import attrs

HEAD_END = b"\r\n\r\n"
READ_LIMIT_BYTES = 1 << 20


class CutOffError(Exception):
    """The connection ended within an answer, or before it. ``status`` is 0 where no head came."""

    def __init__(self, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.status = status


@attrs.frozen
class HttpAnswer:
    """A whole answer; names of headers in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def keeps_connection(self) -> bool:
        """Whether the other side goes on with this connection."""
        return self.headers.get("connection", "").lower() != "close"


class HttpConnection:
    """Requests one after the other over one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> HttpConnection:
        """Connect to ``address`` (host:port); ``OSError`` or ``TimeoutError`` if that fails."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            return cls(*await asyncio.open_connection(host, int(port), limit=READ_LIMIT_BYTES))

    @property
    def is_closed(self) -> bool:
        """Whether the other side has closed, as far as is known here."""
        return self._reader.at_eof()

    def close(self) -> None:
        """Close without waiting."""
        self._writer.close()

    async def request(self, method: str, target: str, headers: dict[str, str], body: bytes) -> HttpAnswer:
        """Send one request and read its whole answer; raises ``CutOffError``."""
        fields = {**headers, "Content-Length": str(len(body))}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        try:
            self._writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await self._writer.drain()
        except ConnectionError as error:
            raise CutOffError(f"sending: {error!r}") from error
        return await self._read_answer()

    async def _read_answer(self) -> HttpAnswer:
        status = 0
        try:
            text = (await self._reader.readuntil(HEAD_END)).decode("latin-1")
            first, *lines = text.split("\r\n")[:-2]
            status = int(first.split(" ")[1])
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            return HttpAnswer(status, headers, await self._read_body(headers))
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            raise CutOffError(repr(error), status) from error

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "") != "chunked":
            return await self._reader.readexactly(int(headers.get("content-length", "0")))
        chunks: list[bytes] = []
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            chunks.append((await self._reader.readexactly(size + 2))[:-2])
        await self._reader.readuntil(b"\r\n")
        return b"".join(chunks)
