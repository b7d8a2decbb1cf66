"""How much memory a JSON document takes once it is decoded, estimated before it is."""

from __future__ import annotations

CONTAINER_COST_BYTES = 150  # of an array or object, with its place in another one
VALUE_COST_BYTES = 80  # of any other value, with its name


def decoded_cost_bytes(document: bytes) -> int:
    """Return an upper bound, in bytes, of the objects that ``document`` decodes to, besides its own size.

    Counts marks inside texts too, which only makes the estimate larger.
    """
    containers = document.count(b"{") + document.count(b"[")
    return CONTAINER_COST_BYTES * containers + VALUE_COST_BYTES * document.count(b",")
