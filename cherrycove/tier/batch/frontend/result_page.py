"""Renders the JSON pages of results that clients read."""

from __future__ import annotations

import json

from cherrycove.tier.protocol.batch_pb2 import ReadReply, ResultEntry

MAX_PAGE_BYTES = 1_000_000
PAGE_ENVELOPE_BYTES = 200  # size allowed for the part of a page outside its results


def render_page(reply: ReadReply, cursor: int) -> bytes:
    """Render one page of the results in ``reply``, which start at position ``cursor``.

    The page holds as many results as fit into ``MAX_PAGE_BYTES``, but at least one if there is any.
    ``nextPageToken`` is the cursor of the next read.
    """
    entries: list[bytes] = []
    size = PAGE_ENVELOPE_BYTES
    for result in reply.results:
        entry = _render_result(result)
        size += len(entry) + 1
        if entries and size > MAX_PAGE_BYTES:
            break
        entries.append(entry)
    head = b'{"total":%d,"nextPageToken":%d,"results":[' % (reply.total, cursor + len(entries))
    return head + b",".join(entries) + b"]}"


def _render_result(result: ResultEntry) -> bytes:
    entry = {
        "instanceId": result.item_id,
        "state": "completed" if result.completed else "dead_lettered",
        "message": result.text.decode("utf-8", "replace"),
    }
    return json.dumps(entry, ensure_ascii=False, separators=(",", ":")).encode()
