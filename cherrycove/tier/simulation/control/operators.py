"""Simulates operators, with concurrent orders, lost replies and repeated orders.

A reply is checked as the controller sends it, whether it reaches the operator or not.
"""

from __future__ import annotations

import asyncio
import json
from random import Random

from result import Err

from cherrycove.tier.simulation.control.deployment import (
    ACKNOWLEDGE_S,
    CONTACT_S,
    CONTROL_PORT,
    OPERATOR_HOST,
)
from cherrycove.tier.simulation.control.history import FINAL_REJECTIONS, Change, configuration_digest
from cherrycove.tier.simulation.control.loop import Incarnation
from cherrycove.tier.simulation.control.network import Endpoint
from cherrycove.tier.simulation.control.operator_orders import (
    Order,
    OrderKind,
    Reply,
    Request,
    Workload,
    document,
    invalidate,
    read_order,
    retire_order,
    retire_state_order,
)
from cherrycove.tier.simulation.control.processes import ControllerProcess
from cherrycove.tier.simulation.control.world import World

REQUEST_TIMEOUT_S = 1.0  # after which the order is sent to another controller
ORDER_TIMEOUT_S = 20.0
MAX_REDIRECTS = 2
BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)
MAX_IN_FLIGHT = 8
RESENDABLE_ORDERS = 64  # number of the newest orders that may be sent again
RETIRE_POLL_S = 0.3
RETRIED_STATUSES = (408, 429)  # in addition to all from 500 on


class Operators:
    """Runs all operators of one world, which start no order while ``active`` is false.

    ``answered`` counts the orders that got a definite reply.
    """

    def __init__(self, world: World, workload: Workload) -> None:
        self._environment = world.environment
        self._cluster = world.cluster
        self._invariants = world.invariants
        self._history = world.environment.history
        self._workload = workload
        self._random = Random(world.environment.random.random())
        self.incarnation = Incarnation("operators")
        self._sent: list[Order] = []
        self._in_flight = 0
        self._newest_version = 0  # newest one that an operator has seen
        self._definite_answers: dict[Order, int] = {}  # number sent by controllers, including lost ones
        self.active = True
        self.answered = 0

    def start(self) -> None:
        """Start a task for each operator."""
        for _ in range(self._workload.operators):
            self._environment.loop.spawn(self.incarnation, self._run_operator())

    async def _run_operator(self) -> None:
        random = self._random
        while True:
            await asyncio.sleep(random.uniform(0.0, 2 * self._workload.pause_s))
            if not self.active or self._in_flight >= MAX_IN_FLIGHT:
                continue
            order = self._choose_order()
            times = 2 if random.random() < self._workload.duplicated_share else 1
            for _ in range(times):
                self._environment.loop.spawn(self.incarnation, self.send(order))

    def _choose_order(self) -> Order:
        random, workload = self._random, self._workload
        chance = random.random()
        if chance < workload.reads_share:
            return read_order()
        if chance < workload.reads_share + workload.resent_share and self._sent:
            return random.choice(self._sent)
        order = self._new_change()
        self._sent = [*self._sent, order][-RESENDABLE_ORDERS:]
        return order

    def _new_change(self) -> Order:
        random, workload = self._random, self._workload
        base = self._newest_version
        if random.random() < workload.stale_share and base:
            base = max(0, base - random.randint(1, 3))
        version = max(base + random.randint(1, 3), 1)
        body = document(version, random, random.randint(*workload.document_bytes))
        is_valid = random.random() >= workload.invalid_share
        encoded = json.dumps(body).encode() if is_valid else invalidate(body, random)
        request = Request("PUT", "/api/configuration", encoded, {"If-Match": f'"{base}"'})
        change = Change(version, base, configuration_digest(encoded) or b"")
        return Order(OrderKind.CHANGE, request, change, is_valid)

    async def retire(self, node: str) -> None:
        """Order the machine ``node`` to retire, and poll the state until it has retired."""
        reply = await self.send(retire_order(node))
        if reply is None or reply.status != 200:
            return
        while node not in self._history.retired:
            await asyncio.sleep(RETIRE_POLL_S)
            await self.send(retire_state_order(node))

    # Sending

    async def send(self, order: Order, timeout_s: float = ORDER_TIMEOUT_S) -> Reply | None:
        """Send ``order`` until it has a definite reply; return None if there is none within ``timeout_s``."""
        self._in_flight += 1
        try:
            reply = await self._send_repeatedly(order, timeout_s)
        finally:
            self._in_flight -= 1
        if reply is not None:
            self.answered += 1
        return reply

    async def _send_repeatedly(self, order: Order, timeout_s: float) -> Reply | None:
        began = self._environment.now
        definite_answers = self._definite_answers.get(order, 0)
        attempts = 0
        while self._environment.now - began < timeout_s:
            reply = await self._attempt(order)
            if reply is not None:
                return reply
            if self._definite_answers.get(order, 0) == definite_answers:
                self._check_delay(began)
            backoff_s = BACKOFF_S[min(attempts, len(BACKOFF_S) - 1)]
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            attempts += 1
        return None

    def _check_delay(self, began: float) -> None:
        """Check that an order is answered within ACKNOWLEDGE_S without faults."""
        waited_s = self._environment.now - began
        faultless_s = min(self._environment.fault_budget.faultless_s() - CONTACT_S, waited_s)
        detail = f"an order got no definite reply in {faultless_s:.2f} s without faults"
        self._history.require(faultless_s <= ACKNOWLEDGE_S, detail)

    async def _attempt(self, order: Order) -> Reply | None:
        """Send ``order`` to a random controller and follow redirects; return None if it must be retried."""
        hosts = [machine.host for machine in self._cluster.machines]
        host = self._random.choice(hosts)
        for _ in range(MAX_REDIRECTS + 1):
            reply = await self._ask(host, order)
            if reply is None or reply.status in RETRIED_STATUSES or reply.status >= 500:
                self._history.note(f"{host} {order.kind.value} {reply and reply.status}")
                return None
            if reply.status != 307:
                self._learn_version(order, reply)
                return reply
            self._history.note(f"{host} redirects to {reply.location}")
            host = reply.location.partition("://")[2].partition("/")[0].rpartition(":")[0]
        return None

    def _learn_version(self, order: Order, reply: Reply) -> None:
        if reply.status != 200:
            return
        if order.kind is OrderKind.READ:
            self._newest_version = max(self._newest_version, int(json.loads(reply.body)["version"]))
        elif order.change is not None:
            self._newest_version = max(self._newest_version, order.change.version)

    async def _ask(self, host: str, order: Order) -> Reply | None:
        async def serve(endpoint: Endpoint) -> Reply | None:
            return await self._serve(endpoint, order)

        outcome = await self._environment.network.exchange(
            OPERATOR_HOST, self.incarnation, f"{host}:{CONTROL_PORT}", serve, REQUEST_TIMEOUT_S
        )
        if isinstance(outcome, Err) or self._random.random() < self._workload.lost_answers_share:
            return None
        reply: Reply | None = outcome.ok_value
        return reply

    # In the controller's process

    async def _serve(self, endpoint: Endpoint, order: Order) -> Reply | None:
        """Run ``order`` at the controller, and check the reply as it is sent."""
        process = endpoint.process
        if not isinstance(process, ControllerProcess):
            return None
        min_version = self._history.newest_version
        response = await process.controller.operator_api.answer(order.request)  # type: ignore[arg-type]
        body = response.body if isinstance(response.body, bytes) else b""
        reply = Reply(response.status, response.headers.get("Location", ""), body)
        if reply.status == 200 or reply.status in FINAL_REJECTIONS:
            self._definite_answers[order] = self._definite_answers.get(order, 0) + 1
        if reply.status == 200:
            self._check_success(process, order, reply, min_version)
        elif reply.status in FINAL_REJECTIONS:
            self._check_rejection(process, order, reply.status, min_version)
        return reply

    def _check_success(
        self, process: ControllerProcess, order: Order, reply: Reply, min_version: int
    ) -> None:
        name = process.incarnation.name
        if order.kind is OrderKind.CHANGE and order.change is not None:
            self._history.require(order.is_valid, f"{name} confirmed an invalid configuration")
            self._invariants.acknowledged(process, order.change)
            return
        self._invariants.check_authority(process, "answered a read")
        if order.kind is OrderKind.READ:
            version = int(json.loads(reply.body)["version"])
            self._history.read(name, version, configuration_digest(reply.body), min_version)
        elif order.kind is OrderKind.RETIRE_STATE and json.loads(reply.body)["state"] == "completed":
            self._invariants.retired(process, order.request.match_info["node"])

    def _check_rejection(
        self, process: ControllerProcess, order: Order, status: int, min_version: int
    ) -> None:
        name = process.incarnation.name
        self._invariants.check_authority(process, f"answered {status}")
        if order.kind is OrderKind.CHANGE:
            if order.change is not None and order.is_valid:
                self._history.reject(name, order.change, status)
        elif order.kind is OrderKind.RETIRE:
            self._invariants.retirement_rejected(process, order.request.match_info["node"], status)
        elif order.kind is OrderKind.READ and status == 404:
            self._history.require(
                min_version == 0, f"{name} answered 404 to a read after version {min_version} was confirmed"
            )
