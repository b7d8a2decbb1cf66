"""What the brokers of a soak answer, the configuration that clients and operator share, and its versions."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from examples.small_tier import CONFIGURATION_PATH
from examples.tier_client import HOST
from examples.toy_broker import Received, ToyBroker, Wire

EVENTS = 6  # of a stream, and of an item
EVENT_PAUSE_S = 0.03
EVENT_TEXTS = [f"word {number}" for number in range(1, EVENTS + 1)]
WHOLE_STREAM = "".join(f"id: {n}\ndata: {text}\n\n" for n, text in enumerate(EVENT_TEXTS, 1)).encode()
STREAM_PREFIX = "/chat/"
BATCH_PREFIX = "/bundle/"
ONCE_PREFIX = "/once/"  # of a route whose requests must not be repeated
MARK_PREFIX = "/mark-"  # followed by a version and a slash: a route of that version alone
DEADLINE_S = 8.0
SLOTS = 64


async def answer_slowly(wire: Wire, request: Received) -> None:
    """A stream with pauses; an echo for the routes that are not streams."""
    if request.target.startswith((ONCE_PREFIX, MARK_PREFIX)):
        await asyncio.sleep(EVENT_PAUSE_S)
        await wire.answer(request, request.body)
        return
    await wire.stream_head(request)
    for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        await wire.event(number, EVENT_TEXTS[number - 1])
        await asyncio.sleep(EVENT_PAUSE_S)
    await wire.end_stream()


def make_brokers(count: int) -> list[ToyBroker]:
    """Brokers that are not started yet."""
    return [
        ToyBroker(instance_id=f"broker-{number}", slots=SLOTS, script=answer_slowly)
        for number in range(1, count + 1)
    ]


def configuration(version: int) -> bytes:
    """The configuration of ``version``: the examples' routes, one for requests that run once, one mark."""
    document: dict[str, Any] = json.loads(CONFIGURATION_PATH.read_text())
    stream, _ = document["routes"]
    once = {
        **{key: stream[key] for key in ("hostname", "timeoutMs", "targetLatencyMs", "priority", "service")},
        "name": "once",
        "pathPrefix": ONCE_PREFIX,
        "routeKind": "non_idempotent",
        "maxAttempts": 2,
    }
    mark = {**once, "name": "mark", "pathPrefix": f"{MARK_PREFIX}{version}/"}
    stream["timeoutMs"] = 10_000 + version % 7
    (service,) = document["services"]
    service["connectionLimit"] = 1024
    service["engine"]["capacitySlots"] = SLOTS
    return json.dumps({**document, "version": version, "routes": [*document["routes"], once, mark]}).encode()


def headers(request_id: str, deadline_s: float = DEADLINE_S) -> dict[str, str]:
    """The headers of a live request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Model": "m",
        "Token-Usage": "20,8",
        "Prompt-Prefix": "a1:15,b2:5",
    }
