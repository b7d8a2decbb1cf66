"""Operators as the deployment's page has them: several orders in flight, answers lost, orders sent again."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from enum import Enum
from random import Random
from typing import Any

import attrs
from multidict import CIMultiDict
from result import Err

from cherrycove.tier.simulation.control.deployment import (
    ACKNOWLEDGE_S,
    BATCH_ROUTE,
    CONTACT_S,
    CONTROL_PORT,
    OPERATOR_HOST,
)
from cherrycove.tier.simulation.control.history import FINAL_REFUSALS, Change, digest_of
from cherrycove.tier.simulation.control.loop import Life
from cherrycove.tier.simulation.control.network import Endpoint
from cherrycove.tier.simulation.control.processes import ControllerProcess
from cherrycove.tier.simulation.control.world import World

TRY_S = 1.0  # without an answer for so long, the next keeper is asked
GIVE_UP_S = 20.0
REDIRECTS = 2
PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8)
IN_FLIGHT = 8
KEPT_ORDERS = 64
RETIRE_POLL_S = 0.3


class Request:
    """As much of an HTTP request as the operator's interface reads."""

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        node: str = "",
    ) -> None:
        self.method = method
        self.path = self.raw_path = path
        self.headers = CIMultiDict(headers or {})
        self.match_info = {"node": node}
        self._body = body

    async def read(self) -> bytes:
        return self._body


@attrs.frozen
class Reply:
    status: int
    location: str
    body: bytes


class Kind(Enum):
    CHANGE = "change"
    READ = "read"
    RETIRE = "retire"
    RETIRE_STATE = "retire_state"


@attrs.frozen(eq=False)
class Order:
    """One call of an operator, sent until it has a clear answer."""

    kind: Kind
    request: Request
    change: Change | None = None
    valid: bool = True


@attrs.frozen(kw_only=True)
class Habits:
    """How busy and how rude the operators of a world are."""

    operators: int = 3
    pause_s: float = 0.25  # between the orders of one operator, on average
    document_bytes: tuple[int, int] = (4_000, 64_000)
    lost_answers: float = 0.05
    again: float = 0.15  # share of orders that were sent before
    twice: float = 0.1  # share of orders sent to two keepers at once
    bad: float = 0.08
    reads: float = 0.2
    stale: float = 0.1  # share of changes on top of an old version


_ROUTE = {
    "name": "r",
    "hostname": "a.example",
    "pathPrefix": "/a/",
    "routeKind": "idempotent",
    "timeoutMs": 3000,
    "service": "s",
}


_BATCH = {
    "name": BATCH_ROUTE,
    "hostname": "b.example",
    "pathPrefix": "/b/",
    "routeKind": "batch",
    "service": "s",
    "maxAttempts": 3,
}


def document(version: int, random: Random, size: int) -> dict[str, Any]:
    """A valid configuration of about ``size`` bytes; no two are equal."""
    note = random.randbytes(max(8, size // 2)).hex()
    return {"version": version, "routes": [_ROUTE, _BATCH], "services": [{"name": "s"}], "note": note}


def spoil(body: dict[str, Any], random: Random) -> bytes:
    """An invalid configuration made of a valid one."""
    route = dict(_ROUTE)
    fault = random.randrange(5)
    if fault == 0:
        return json.dumps(body).encode()[:-3]
    if fault == 1:
        route["timeoutMs"] = 0
    elif fault == 2:
        route["service"] = "nobody"
    elif fault == 3:
        route["trafficSplit"] = [{"service": "s", "weight": 0}]
    routes = [route, route] if fault == 4 else [route]
    return json.dumps({**body, "routes": routes}).encode()


class Operators:
    """All operators of one world. Each is a task; they share what a person would: nothing but the keepers."""

    def __init__(self, world: World, habits: Habits) -> None:
        self._environment = world.environment
        self._cluster = world.cluster
        self._invariants = world.invariants
        self._history = world.environment.history
        self._habits = habits
        self._random = Random(world.environment.random.random())
        self.life = Life("operators")
        self._sent: list[Order] = []
        self._in_flight = 0
        self._known = 0  # newest version that an operator has seen
        self._clear_answers: dict[Order, int] = {}  # that keepers gave, also those lost on the way
        self.active = True
        self.answered = 0
        self.unanswered = 0

    def start(self) -> None:
        for _ in range(self._habits.operators):
            self._environment.loop.spawn(self.life, self._work())

    async def _work(self) -> None:
        random = self._random
        while True:
            await asyncio.sleep(random.uniform(0.0, 2 * self._habits.pause_s))
            if not self.active or self._in_flight >= IN_FLIGHT:
                continue
            order = self._choose()
            times = 2 if random.random() < self._habits.twice else 1
            for _ in range(times):
                self._environment.loop.spawn(self.life, self.send(order))

    # Orders

    def _choose(self) -> Order:
        random, habits = self._random, self._habits
        chance = random.random()
        if chance < habits.reads:
            return self.read_order()
        if chance < habits.reads + habits.again and self._sent:
            return random.choice(self._sent)
        order = self._change()
        self._sent = [*self._sent, order][-KEPT_ORDERS:]
        return order

    def read_order(self) -> Order:
        return Order(Kind.READ, Request("GET", "/api/configuration"))

    def _change(self) -> Order:
        random, habits = self._random, self._habits
        base = self._known
        if random.random() < habits.stale and base:
            base = max(0, base - random.randint(1, 3))
        version = max(base + random.randint(1, 3), 1)
        body = document(version, random, random.randint(*habits.document_bytes))
        valid = random.random() >= habits.bad
        encoded = json.dumps(body).encode() if valid else spoil(body, random)
        request = Request("PUT", "/api/configuration", encoded, {"If-Match": f'"{base}"'})
        change = Change(version, base, digest_of(encoded) or b"")
        return Order(Kind.CHANGE, request, change, valid)

    def retire_order(self, node: str) -> Order:
        return Order(Kind.RETIRE, Request("POST", f"/api/retire/{node}", b"{}", node=node))

    def retire_state(self, node: str) -> Order:
        return Order(Kind.RETIRE_STATE, Request("GET", f"/api/retire/{node}", node=node))

    async def retire(self, node: str) -> None:
        """Order ``node`` to be emptied and ask until it is."""
        reply = await self.send(self.retire_order(node))
        if reply is None or reply.status != 200:
            return
        while node not in self._history.retired:
            await asyncio.sleep(RETIRE_POLL_S)
            await self.send(self.retire_state(node))

    # Sending

    async def send(self, order: Order, give_up_s: float = GIVE_UP_S) -> Reply | None:
        """The clear answer to ``order``, or None."""
        self._in_flight += 1
        began = self._environment.now
        clear = self._clear_answers.get(order, 0)
        tries = 0
        try:
            while self._environment.now - began < give_up_s:
                reply = await self._try(order)
                if reply is not None:
                    self.answered += 1
                    return reply
                if self._clear_answers.get(order, 0) == clear:
                    self._judge_delay(began)
                await asyncio.sleep(PAUSES_S[min(tries, len(PAUSES_S) - 1)] * self._random.uniform(0.5, 1.0))
                tries += 1
            self.unanswered += 1
            return None
        finally:
            self._in_flight -= 1

    def _judge_delay(self, began: float) -> None:
        """An order is answered within acknowledgeMs of calm."""
        waited = self._environment.now - began
        calm = min(self._environment.fault_budget.faultless_s() - CONTACT_S, waited)
        detail = f"an order has no answer after {calm:.2f} s of calm"
        self._history.require(calm <= ACKNOWLEDGE_S, detail)

    async def _try(self, order: Order) -> Reply | None:
        """One round: a keeper, and whom it points to."""
        hosts = [machine.host for machine in self._cluster.machines]
        host = self._random.choice(hosts)
        for _ in range(REDIRECTS + 1):
            reply = await self._ask(host, order)
            if reply is None or reply.status in (408, 429) or reply.status >= 500:
                self._history.note(f"{host} {order.kind.value} {reply and reply.status}")
                return None
            if reply.status != 307:
                self._learn(order, reply)
                return reply
            self._history.note(f"{host} points to {reply.location}")
            host = reply.location.partition("://")[2].partition("/")[0].rpartition(":")[0]
        return None

    def _learn(self, order: Order, reply: Reply) -> None:
        if reply.status != 200:
            return
        if order.kind is Kind.READ:
            self._known = max(self._known, int(json.loads(reply.body)["version"]))
        elif order.change is not None:
            self._known = max(self._known, order.change.version)

    async def _ask(self, host: str, order: Order) -> Reply | None:
        async def serve(endpoint: Endpoint) -> Reply | None:
            return await self._serve(endpoint, order)

        outcome = await self._environment.network.exchange(
            OPERATOR_HOST, self.life, f"{host}:{CONTROL_PORT}", serve, TRY_S
        )
        if isinstance(outcome, Err) or self._random.random() < self._habits.lost_answers:
            return None
        reply: Reply | None = outcome.ok_value
        return reply

    # At the keeper

    async def _serve(self, endpoint: Endpoint, order: Order) -> Reply | None:
        """Run at the keeper; what leaves it is judged there."""
        process = endpoint.process
        if not isinstance(process, ControllerProcess):
            return None
        floor = self._history.newest_version
        response = await process.controller.operator_api.answer(order.request)  # type: ignore[arg-type]
        body = response.body if isinstance(response.body, bytes) else b""
        reply = Reply(response.status, response.headers.get("Location", ""), body)
        if reply.status == 200 or reply.status in FINAL_REFUSALS:
            self._clear_answers[order] = self._clear_answers.get(order, 0) + 1
        self._judge(process, order, reply, floor)
        return reply

    def _judge(self, process: ControllerProcess, order: Order, reply: Reply, floor: int) -> None:
        history, invariants, name = self._history, self._invariants, process.life.name
        if reply.status in FINAL_REFUSALS:
            invariants.check_authority(process, f"answered {reply.status}")
        if order.kind is Kind.CHANGE and order.change is not None:
            if reply.status == 200:
                history.require(order.valid, f"{name} confirmed an invalid configuration")
                invariants.acknowledged(process, order.change)
            elif reply.status in FINAL_REFUSALS and order.valid:
                history.refuse(name, order.change, reply.status)
        elif reply.status == 200:
            invariants.check_authority(process, "answered a read")
            if order.kind is Kind.READ:
                version = int(json.loads(reply.body)["version"])
                history.read(name, version, digest_of(reply.body), floor)
            elif order.kind is Kind.RETIRE_STATE and json.loads(reply.body)["state"] == "completed":
                invariants.retired(process, order.request.match_info["node"])
        elif order.kind is Kind.RETIRE and reply.status in FINAL_REFUSALS:
            invariants.retirement_refused(process, order.request.match_info["node"], reply.status)
        elif reply.status == 404 and order.kind is Kind.READ:
            history.require(floor == 0, f"{name} knows no configuration, after {floor} was confirmed")
