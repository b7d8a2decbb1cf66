"""An HTTP/1.1 client connection, used until the server closes it."""

from __future__ import annotations

import asyncio

import attrs

HEAD_END = b"\r\n\r\n"
READ_LIMIT_BYTES = 1 << 20


class IncompleteResponseError(Exception):
    """The connection ended before or within a response. ``status`` is 0 if no response head arrived."""

    def __init__(self, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.status = status


@attrs.frozen
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def keeps_connection(self) -> bool:
        """Whether the server keeps the connection open."""
        return self.headers.get("connection", "").lower() != "close"


class HttpConnection:
    """Sends requests one after the other over one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> HttpConnection:
        """Connect to ``address`` (host:port); raises ``OSError`` or ``TimeoutError`` on failure."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            return cls(*await asyncio.open_connection(host, int(port), limit=READ_LIMIT_BYTES))

    @property
    def is_closed(self) -> bool:
        """Whether the server is known to have closed the connection."""
        return self._reader.at_eof()

    def close(self) -> None:
        """Close without waiting."""
        self._writer.close()

    async def request(self, method: str, target: str, headers: dict[str, str], body: bytes) -> HttpResponse:
        """Send one request and read the complete response; raises ``IncompleteResponseError``."""
        fields = {**headers, "Content-Length": str(len(body))}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        try:
            self._writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await self._writer.drain()
        except ConnectionError as error:
            raise IncompleteResponseError(f"sending: {error!r}") from error
        return await self._read_response()

    async def _read_response(self) -> HttpResponse:
        status = 0
        try:
            text = (await self._reader.readuntil(HEAD_END)).decode("latin-1")
            first, *lines = text.split("\r\n")[:-2]
            status = int(first.split(" ")[1])
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            return HttpResponse(status, headers, await self._read_body(headers))
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            raise IncompleteResponseError(repr(error), status) from error

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "") != "chunked":
            return await self._reader.readexactly(int(headers.get("content-length", "0")))
        chunks: list[bytes] = []
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            chunks.append((await self._reader.readexactly(size + 2))[:-2])
        await self._reader.readuntil(b"\r\n")
        return b"".join(chunks)
