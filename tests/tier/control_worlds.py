"""Helpers for tests of simulated worlds: sends a configuration change until it is acknowledged."""

from __future__ import annotations

import json
from random import Random

from cherrycove.tier.simulation.control.history import Change, configuration_digest
from cherrycove.tier.simulation.control.operator_orders import Order, OrderKind, Reply, Request, document
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.world import World

STEP_S = 0.02
DOCUMENT_BYTES = 4_000


def acknowledge_change(world: World, operators: Operators, version: int, random: Random) -> bytes:
    """Send a change to ``version`` based on the version before; return its body once it is acknowledged."""
    body = json.dumps(document(version, random, DOCUMENT_BYTES)).encode()
    request = Request("PUT", "/api/configuration", body, {"If-Match": f'"{version - 1}"'})
    change = Change(version, version - 1, configuration_digest(body) or b"")
    replies: list[Reply | None] = []

    async def send() -> None:
        replies.append(await operators.send(Order(OrderKind.CHANGE, request, change)))

    world.environment.loop.spawn(operators.incarnation, send())
    while not replies:
        world.run_until(world.now + STEP_S)
    assert replies[0] is not None and replies[0].status == 200
    return body
