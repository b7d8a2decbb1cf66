"""Drives a handover: applies each state of the lifecycle to the broker, and exchanges messages.

``state_machine`` decides the states and the budgets, ``handover`` how two processes meet. Nothing here keeps
a process from serving: with nobody to meet it serves alone.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle.handover import BusyError, Grant, HandoverEndpoint, PendingTakeover
from cherrycove.broker.lifecycle.link import Link
from cherrycove.broker.lifecycle.maintenance import MaintenanceController
from cherrycove.broker.lifecycle.messages import (
    Message,
    pack_maintenance,
    pack_member,
    parse_maintenance,
    parse_member,
)
from cherrycove.broker.lifecycle.state_machine import SHARED_FRACTION, LifecycleState
from cherrycove.broker.warm_restart.restore import restore_snapshot, take_snapshot
from cherrycove.broker.warm_restart.snapshot import UnusableError

log = Log("cherrycove.life.handover")

LOG_WINDOW_S = 300.0  # of the decision log that a successor receives
LOG_CHUNK_INTERVAL_S = 0.01
LOG_CLOSE_TIMEOUT_S = 0.3  # for the last of it, once all accepted requests are answered
OPEN_REQUESTS_INTERVAL_S = 0.05  # between two reports of how many requests are open


class ClientListeners(Protocol):
    """The parts of the broker whose sockets and limits a handover changes."""

    def listeners(self) -> list[socket.socket]:
        """Return the listening sockets in use."""

    def hand_over(self) -> list[socket.socket]:
        """Stop accepting; return the sockets, for the case that this process has to accept again."""

    async def accept(self, given: list[socket.socket]) -> None:
        """Accept from these sockets again."""

    async def accept_also(self, given: list[socket.socket]) -> None:
        """Accept from these sockets beside the own ones; ``listeners`` does not name them."""

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        """Apply new limits: descriptors for clients and for nodes, bytes of bodies and answers."""

    def talk(self, now: bool) -> None:
        """Start or stop the exchange of capacity with the other brokers."""


class DecisionLog(Protocol):
    """The decision log (cherrycove/broker/decision_log), if it is enabled."""

    lost_chunks: int  # chunks of the predecessor's log that did not arrive or were malformed

    def export_chunks(self, since: float, now: float) -> Iterable[dict[str, object]]:
        """Return the records since then in chunks that ``import_chunk`` accepts."""

    def import_chunk(self, chunk: dict[str, object], now: float) -> int:
        """Add a chunk of the predecessor's log; return the number of records."""


class HandoverCoordinator:
    """One process's part in a handover, as successor and later as predecessor. The broker owns it.

    If the other process dies at any step, this one goes on alone: a successor serves with the whole budget, a
    predecessor accepts clients again unless it is shutting down.

    Args:
        broker: the broker's name.
        core: receives budgets, node list and maintenance state.
        listeners: see ``ClientListeners``.
        life: the state of this process.
        endpoint: the broker's directory.
        decision_log: returns the decision log, or None if it is disabled.
        remembers: whether what was learned about nodes and volumes is handed over and applied.
    """

    def __init__(
        self,
        broker: str,
        core: Core,
        listeners: ClientListeners,
        life: LifecycleState,
        endpoint: HandoverEndpoint,
        decision_log: Callable[[], DecisionLog | None] = lambda: None,
        *,
        remembers: bool = False,
    ) -> None:
        self._remembers = remembers
        self._broker, self._core = broker, core
        self._listeners, self._decision_log = listeners, decision_log
        self.life, self.endpoint = life, endpoint
        self.maintenance = MaintenanceController(core, endpoint, self._send_to_peers)
        self.links: set[Link] = set()
        self._successors: set[Link] = set()  # of these, the links to a successor
        self._handed_over: list[socket.socket] = []  # sockets that a successor accepts from, should it die
        self._following: set[asyncio.Task[None]] = set()
        self._sending_log: asyncio.Task[None] | None = None
        self._closed = False
        self._chunks_received = 0  # of the predecessor's decision log
        endpoint.on_coming = self.announcements_changed

    # As successor.

    async def meet(self) -> list[socket.socket] | None:
        """Ask the process in service for the handover; return its listening sockets, None without one."""
        await self.endpoint.enter()
        takeover = await self.endpoint.meet({"hello": 1}, self._predecessor_stalled)
        if takeover is None:
            return None
        log.info("handover.taking_over")
        self.life.predecessor_found()
        self._take_over(takeover.state)
        self._own(asyncio.create_task(self._follow(takeover.link, is_successor=False)))
        return takeover.listeners

    def _predecessor_stalled(self, pending: PendingTakeover) -> None:
        """Share the budgets with a process that is alive but does not answer, until it does or ends.

        This process serves meanwhile, from sockets of its own: it has to within 6 s of its start.
        """
        self.life.predecessor_found()
        self.apply_budget()
        self._own(asyncio.create_task(self._await_stalled(pending)))

    async def _await_stalled(self, pending: PendingTakeover) -> None:
        try:
            takeover = await pending
        except BusyError:
            takeover = None  # it has another beside it, which it takes for the one in service
        if takeover is None:
            self.life.predecessor_gone()
            self.apply_budget()
            log.info("handover.other_ended")
            return
        log.info("handover.taking_over")
        self._take_over(takeover.state)
        # The predecessor's sockets share the address: what it stops to accept has to be accepted here.
        await self._listeners.accept_also(takeover.listeners)
        self._own(asyncio.create_task(self._follow(takeover.link, is_successor=False)))
        if self.life.is_accepting:
            await self._announce_serving(takeover.link)

    def _own(self, task: asyncio.Task[None]) -> None:
        """Keep a task that ends with the predecessor's process, or with this one."""
        self._following.add(task)
        task.add_done_callback(self._following.discard)

    def _take_over(self, state: Message) -> None:
        """Apply the predecessor's state, as far as it is usable."""
        try:
            members = tuple(parse_member(raw) for raw in state["members"])
            sent = {str(name): float(units) for name, units in state["sent"].items()}
            self._core.maintain(parse_maintenance(state["maintenance"]))
            if type(state["version"]) is int:
                self._core.update(NodeList(state["version"], True, members), restored=True)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("handover.state_unusable", why=error)
            sent = {}
        self._core.set_budget_share(SHARED_FRACTION, sent)
        if self._remembers and "memory" in state:
            try:
                restore_snapshot(self._core, state["memory"], self._broker, "process", sent_is_known=True)
            except UnusableError as error:
                log.warning("memory.unusable", source="process", why=error)

    async def serving(self) -> None:
        """Record that this process accepts clients, and have the predecessor stop."""
        self.life.serving_started()
        for link in list(self.links):
            await self._announce_serving(link)
        if self.life.is_alone:
            self.apply_budget()

    async def _announce_serving(self, link: Link) -> None:
        if not await link.request({"serving": True}):
            log.warning("handover.unconfirmed", told="serving")

    async def await_successor(self) -> None:
        """Listen for the next process."""
        await self.endpoint.await_successor(
            self._grant, lambda link: self._follow(link, is_successor=True), self.life.successor_gone
        )

    def _receive_log_chunk(self, message: Message) -> None:
        decision_log = self._decision_log()
        if decision_log is None:
            return
        if message["why"] is None:  # the end of a transfer, with the number of its chunks
            missing = message["number"] - self._chunks_received
            decision_log.lost_chunks += max(missing, 0) if type(message["number"]) is int else 1
            self._chunks_received = 0
            return
        self._chunks_received += 1
        try:
            decision_log.import_chunk(message["why"], asyncio.get_running_loop().time())
        except (ValueError, TypeError, AttributeError) as error:
            decision_log.lost_chunks += 1
            log.warning("why.piece_unusable", why=error)

    # As either.

    def apply_budget(self) -> None:
        """Apply the budget of the present state: two processes count as one broker."""
        budget = self.life.budget()
        self._core.set_budget_share(budget.fraction)
        self._listeners.resize(budget.client_connections, budget.node_connections, budget.body_bytes)
        # A process that ends must not open the address of the exchange again: its successor is about to.
        self._listeners.talk(budget.uses_tier)
        self.apply_request_limit()

    def apply_request_limit(self) -> None:
        """Apply the limit of open requests of the present state."""
        self._core.limit_open_requests(self.life.budget().open_requests)

    def announcements_changed(self) -> None:
        """Count the processes that have announced themselves, and apply the limit of open requests."""
        self.life.announced = self.endpoint.coming
        self.apply_request_limit()

    async def _follow(self, link: Link, *, is_successor: bool) -> None:
        """Exchange messages with the other process while it lives."""
        self.links.add(link)
        if is_successor:
            self._successors.add(link)
        self.apply_budget()
        accepts_again = False
        try:
            await link.follow(self._receive)
        finally:
            self.links.discard(link)
            self._successors.discard(link)
            if is_successor:
                accepts_again = self.life.successor_gone()
            else:
                self.life.predecessor_gone()
            self.apply_budget()
        log.info("handover.other_ended")
        if accepts_again:
            await self._accept_again()
        if is_successor and not self._closed:
            # The successor may have taken this process's name: the next would find nobody, and serve beside
            # this one with a budget of its own.
            await self.await_successor()

    async def _accept_again(self) -> None:
        log.warning("handover.serving_again")
        listeners, self._handed_over = self._handed_over, []
        await self._listeners.accept(listeners)

    async def _receive(self, message: Message) -> None:
        if message.get("serving") and self.life.successor_serving():
            self._stop_accepting()
        if "why" in message:
            self._receive_log_chunk(message)
        if type(message.get("open")) is int:
            self.life.predecessor_reported(message["open"])
            self.apply_request_limit()
        if "maint" in message:
            await self.maintenance.apply(message)

    async def _send_to_peers(self, message: Message) -> None:
        for link in list(self.links):
            if not await link.request(message):
                log.warning("handover.unconfirmed", told=message)

    # As predecessor.

    def _grant(self, _hello: Message) -> Grant | None:
        """Return what a successor receives, None if it has to ask again."""
        if not self.life.can_be_succeeded():
            log.info("handover.successor_waits")
            return None
        log.info("handover.successor_started")
        self.life.successor_found()
        self._core.set_budget_share(self.life.budget().fraction)
        state = {
            "version": self._core.version,
            "members": [pack_member(member) for member in self._core.members],
            "sent": self._core.sent(),
            "maintenance": pack_maintenance(self._core.maintenance),
        }
        if self._remembers:
            state["memory"] = take_snapshot(self._core, self._broker, whole=True)
        return Grant(state, self._handed_over or self._listeners.listeners())

    def _stop_accepting(self) -> None:
        log.info("handover.successor_serves")
        self._handed_over = self._listeners.hand_over()
        self.apply_request_limit()
        self._report_open_requests()
        self._sending_log = asyncio.create_task(self._send_log())

    def _report_open_requests(self, reported: int = -1) -> None:
        """Report the number of open requests to the successor whenever it has changed, until either ends."""
        if not (self._successors and self.life.has_handed_over):
            return
        if self._core.open_requests != reported:
            reported = self._core.open_requests
            for link in self._successors:
                link.send({"open": reported})
        asyncio.get_running_loop().call_later(OPEN_REQUESTS_INTERVAL_S, self._report_open_requests, reported)

    async def _send_log(self) -> None:
        """Send the recent decision log, and, once no request is open, what was added meanwhile."""
        decision_log, loop = self._decision_log(), asyncio.get_running_loop()
        if decision_log is None:
            return
        started = loop.time()
        await self._send_log_chunks(decision_log.export_chunks(started - LOG_WINDOW_S, started))
        await self._core.idle()
        await self._send_log_chunks(decision_log.export_chunks(started, loop.time()))

    async def _send_log_chunks(self, chunks: Iterable[dict[str, object]]) -> None:
        number = 0
        for number, chunk in enumerate(chunks, 1):
            self._send_to_successors({"why": chunk, "number": number})
            await asyncio.sleep(LOG_CHUNK_INTERVAL_S)
        self._send_to_successors({"why": None, "number": number})

    def _send_to_successors(self, message: Message) -> None:
        for link in self._successors:
            link.send(message)

    # The end.

    async def close(self) -> None:
        """Close the links, once all accepted requests are answered; the last of the log is still sent."""
        self._closed = True
        if self._sending_log is not None:
            await asyncio.wait((self._sending_log,), timeout=LOG_CLOSE_TIMEOUT_S)
            self._sending_log.cancel()
        for link in list(self.links):
            link.close()
        await self.endpoint.close()
        for following in list(self._following):
            following.cancel()
        await asyncio.gather(*self._following, return_exceptions=True)
