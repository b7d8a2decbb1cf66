"""A client of the tier for a stream or a batch job; it opens a new connection for each call."""

from __future__ import annotations

import base64
import json
import secrets
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs

from examples.small_tier import TierError, until

HOST = "tier.example"  # hostname of the routes in tier-configuration.json
CALL_TIMEOUT_S = 15.0
WAIT_MS = 1000  # time for which the server may hold a read of results open
EVENT_END = b"\n\n"


def new_id() -> str:
    """Return a random id, as clients assign to each attempt and each item."""
    return secrets.token_hex(8)


@attrs.frozen
class StreamEvent:
    id: int
    data: str


@attrs.define
class Stream:
    """The response to a streaming request, read event by event."""

    status: int
    signed: bool  # whether it carries a broker's signature
    _response: aiohttp.ClientResponse

    async def next(self) -> StreamEvent | None:
        """Return the next event; None at the end of the stream. Raises ``TierError`` if it is truncated."""
        try:
            text = await self._response.content.readuntil(EVENT_END)
        except aiohttp.ClientPayloadError as error:
            raise TierError(f"the stream was truncated: {error}") from error
        if not text:
            return None
        fields = dict(line.split(": ", 1) for line in text.decode().strip().split("\n"))
        return StreamEvent(int(fields["id"]), fields["data"])

    async def rest(self) -> list[StreamEvent]:
        """Return all remaining events of the stream."""
        events = []
        while (event := await self.next()) is not None:
            events.append(event)
        return events


@asynccontextmanager
async def open_stream(frontend: str, path: str = "/chat/1") -> AsyncIterator[Stream]:
    """Send one streaming request to the proxy at ``frontend``."""
    headers = {"Host": HOST, "Request-Id": new_id(), "Deadline-Ms": "10000", "Model": "m",
               "Token-Usage": "20,8", "Prompt-Prefix": "a1:15,b2:5"}  # fmt: skip
    async with (
        _session() as session,
        session.post(f"http://{frontend}{path}", data=b"a prompt", headers=headers) as response,
    ):
        yield Stream(response.status, "Response-Signature" in response.headers, response)


async def submit(frontend: str, job_id: str, item_ids: Sequence[str], path: str = "/bundle/") -> None:
    """Submit a batch job; retries after 503 and 504 until it is accepted."""
    body = json.dumps({"requests": [batch_item(item_id, path) for item_id in item_ids]})

    async def is_accepted() -> bool:
        status, text = await _call("POST", f"http://{frontend}{path}{job_id}", {"Request-Id": job_id}, body)
        if status not in (202, 503, 504):
            raise TierError(f"submit: status {status} {text}")
        return status == 202

    await until("the batch job is accepted", is_accepted)


def batch_item(item_id: str, path: str = "/bundle/") -> dict[str, Any]:
    """Return an item of a batch job in the form of a submission."""
    return {
        "instanceId": item_id,
        "path": f"{path}{item_id}",
        "headers": {"Model": "m", "Token-Usage": "20,8", "Prompt-Prefix": f"a1:15,{item_id}:5"},
        "body": base64.b64encode(item_id.encode()).decode(),
        "tokens": 28,
    }


async def results(frontend: str, job_id: str) -> list[dict[str, str]]:
    """Return all results of a job in order; waits until every item has one."""
    received: list[dict[str, str]] = []

    async def is_complete() -> bool:
        url = f"http://{frontend}/api/lots/{job_id}?pageCursor={len(received)}"
        status, text = await _call("GET", url, {"Wait-Ms": str(WAIT_MS)})
        if status != 200:
            return False
        page = json.loads(text)
        received.extend(page["results"])
        return len(received) >= int(page["total"])

    await until("every item has a result", is_complete)
    return received


async def end(frontend: str, job_id: str) -> None:
    """Delete a job."""
    status, text = await _call("DELETE", f"http://{frontend}/api/lots/{job_id}", {})
    if status != 200:
        raise TierError(f"delete of the job: status {status} {text}")


async def _call(method: str, url: str, headers: dict[str, str], body: str | None = None) -> tuple[int, str]:
    """Return the status and text of a response; 503 with the error if there was none."""
    try:
        async with (
            _session() as session,
            session.request(method, url, data=body, headers={"Host": HOST, **headers}) as response,
        ):
            return response.status, await response.text()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 503, str(error)


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
