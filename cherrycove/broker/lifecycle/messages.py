"""Codec of the messages between two processes of one broker, and of the maintenance file: JSON objects.

A message is one line. The input was written by another process, or lay in a directory for temporary files, so
each parser checks its structure and raises ``HandoverError``.
"""

from __future__ import annotations

import json
from typing import Any

from cherrycove.broker.core import Maintenance, Member
from cherrycove.scheduling.interface import NodeState

MAX_NODES_OUT = 256  # the most nodes that may be out of service for maintenance at a time
Message = dict[str, Any]


class HandoverError(ValueError):
    """A message of another process, or the maintenance file, is malformed; the message says why."""


def pack_member(member: Member) -> list[Any]:
    """Encode an entry of the node list; ``since_ms`` is a wall-clock time in milliseconds."""
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
    """Decode an entry of the node list; raise HandoverError if it is malformed."""
    try:
        name, address, shard, zone, weight, since_ms, state = raw
        member = Member(name, address, shard, zone, float(weight), float(since_ms), NodeState(state))
    except (TypeError, ValueError) as error:
        raise HandoverError("an entry of the node list is malformed") from error
    has_strings = isinstance(name, str) and name and isinstance(address, str)
    if not (has_strings and type(shard) is int and type(zone) is int):
        raise HandoverError("an entry of the node list is malformed")
    return member


def pack_maintenance(state: Maintenance) -> Message:
    """Encode the maintenance state; its times are in wall-clock milliseconds."""
    return {"out": dict(state.out), "back": {name: list(times) for name, times in state.back.items()}}


def parse_maintenance(raw: Any) -> Maintenance:
    """Decode the maintenance state; raise HandoverError if it is malformed or has too many nodes out."""
    try:
        out = {str(name): float(since) for name, since in raw["out"].items()}
        back = {str(name): (float(since), float(at)) for name, (since, at) in raw["back"].items()}
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise HandoverError("the maintenance state is malformed") from error
    if len(out) > MAX_NODES_OUT:
        raise HandoverError(f"more than {MAX_NODES_OUT} nodes are out of service")
    return Maintenance(out, back)


def parse_message(line: bytes) -> Message:
    """Decode one line; raise HandoverError if it is not a JSON object."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise HandoverError("the message is not valid JSON") from error
    if not isinstance(message, dict):
        raise HandoverError("the message is not a JSON object")
    return message
