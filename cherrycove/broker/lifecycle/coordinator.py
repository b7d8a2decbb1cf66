"""Drives a handover: applies each state of the lifecycle to the broker, and exchanges messages.

``state_machine`` decides states and budgets, and ``handover`` implements the handover protocol. No failure
here prevents a process from serving: without a predecessor it serves alone.
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

LOG_WINDOW_S = 300.0  # a successor receives the records of the decision log of this last period
LOG_CHUNK_INTERVAL_S = 0.01
LOG_CLOSE_TIMEOUT_S = 0.3  # the longest wait for the last chunks, once all accepted requests are answered
OPEN_REQUESTS_INTERVAL_S = 0.05  # interval at which the number of open requests is reported


class ClientListeners(Protocol):
    """The broker's servers and limits, as far as a handover changes them."""

    def listeners(self) -> list[socket.socket]:
        """Return the listening sockets in use."""

    def hand_over(self) -> list[socket.socket]:
        """Stop accepting; return the listening sockets, in case this process has to accept again."""

    async def accept(self, given: list[socket.socket]) -> None:
        """Accept from these sockets again."""

    async def accept_also(self, given: list[socket.socket]) -> None:
        """Accept from these sockets in addition to the own ones; ``listeners`` does not return them."""

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        """Apply new limits: descriptors for clients and for nodes, bytes of bodies and answers."""

    def set_capacity_exchange(self, enabled: bool) -> None:
        """Start or stop the exchange of capacity with the other brokers."""


class DecisionLog(Protocol):
    """The decision log (cherrycove/broker/decision_log), if it is enabled."""

    lost_chunks: int  # number of chunks of the predecessor's log that did not arrive or were malformed

    def export_chunks(self, since: float, now: float) -> Iterable[dict[str, object]]:
        """Return the records since the time ``since``, in chunks that ``import_chunk`` accepts."""

    def import_chunk(self, chunk: dict[str, object], now: float) -> int:
        """Add a chunk of the predecessor's log; return the number of its records."""


class HandoverCoordinator:
    """Runs one process's part in a handover, as successor and later as predecessor. The broker owns it.

    If the other process dies at any step, this one continues alone: a successor serves with the whole budget,
    and a predecessor accepts clients again unless it is shutting down.

    Args:
        broker: the broker's name.
        core: receives budgets, node list and maintenance state.
        listeners: the broker's servers and their limits.
        lifecycle: the state of this process.
        endpoint: this process's side of the handover protocol.
        decision_log: returns the decision log, or None if it is disabled.
        transfers_snapshot: whether what was learned about nodes and volumes is handed over and applied.
    """

    def __init__(
        self,
        broker: str,
        core: Core,
        listeners: ClientListeners,
        lifecycle: LifecycleState,
        endpoint: HandoverEndpoint,
        decision_log: Callable[[], DecisionLog | None] = lambda: None,
        *,
        transfers_snapshot: bool = False,
    ) -> None:
        self._transfers_snapshot = transfers_snapshot
        self._broker, self._core = broker, core
        self._listeners, self._decision_log = listeners, decision_log
        self.lifecycle, self.endpoint = lifecycle, endpoint
        self.maintenance = MaintenanceController(core, endpoint, self._notify_other_processes)
        self.links: set[Link] = set()
        self._successors: set[Link] = set()  # the subset of ``links`` that lead to a successor
        self._handed_over_listeners: list[socket.socket] = []  # accepted from again if the successor dies
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._sending_log: asyncio.Task[None] | None = None
        self._closed = False
        self._chunks_received = 0  # chunks of the predecessor's decision log in the present transfer
        endpoint.on_announcements_changed = self.announcements_changed

    # The successor's side.

    async def request_handover(self) -> list[socket.socket] | None:
        """Request the handover; return the predecessor's listening sockets, or None without a handover."""
        await self.endpoint.acquire_start_lock()
        takeover = await self.endpoint.request_handover({"hello": 1}, self._predecessor_stalled)
        if takeover is None:
            return None
        log.info("handover.taking_over")
        self.lifecycle.predecessor_found()
        self._apply_state(takeover.state)
        self._track(asyncio.create_task(self._run_link(takeover.link, is_successor=False)))
        return takeover.listeners

    def _predecessor_stalled(self, pending: PendingTakeover) -> None:
        """Share the budgets with a predecessor that is alive but does not answer, until it answers or ends.

        Meanwhile this process serves from its own sockets, since it has to serve within 6 s of its start.
        """
        self.lifecycle.predecessor_found()
        self.apply_budget()
        self._track(asyncio.create_task(self._await_stalled(pending)))

    async def _await_stalled(self, pending: PendingTakeover) -> None:
        try:
            takeover = await pending
        except BusyError:
            takeover = None  # the other process has a successor already, which it takes to be in service
        if takeover is None:
            self.lifecycle.predecessor_gone()
            self.apply_budget()
            log.info("handover.other_ended")
            return
        log.info("handover.taking_over")
        self._apply_state(takeover.state)
        # The predecessor's sockets share the address: connections that queue there have to be accepted here
        # once the predecessor stops accepting.
        await self._listeners.accept_also(takeover.listeners)
        self._track(asyncio.create_task(self._run_link(takeover.link, is_successor=False)))
        if self.lifecycle.is_accepting:
            await self._report_serving(takeover.link)

    def _track(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a task that ends with the predecessor; ``close`` cancels it otherwise."""
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _apply_state(self, state: Message) -> None:
        """Apply the predecessor's state, as far as it is well-formed."""
        try:
            members = tuple(parse_member(raw) for raw in state["members"])
            sent = {str(name): float(units) for name, units in state["sent"].items()}
            self._core.set_maintenance(parse_maintenance(state["maintenance"]))
            if type(state["version"]) is int:
                self._core.update(NodeList(state["version"], True, members), restored=True)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("handover.state_unusable", why=error)
            sent = {}
        self._core.set_budget_share(SHARED_FRACTION, sent)
        if self._transfers_snapshot and "memory" in state:
            try:
                restore_snapshot(self._core, state["memory"], self._broker, "process", sent_is_known=True)
            except UnusableError as error:
                log.warning("memory.unusable", source="process", why=error)

    async def report_serving(self) -> None:
        """Record that this process accepts clients, and tell the predecessor to stop accepting."""
        self.lifecycle.serving_started()
        for link in list(self.links):
            await self._report_serving(link)
        if self.lifecycle.is_alone:
            self.apply_budget()

    async def _report_serving(self, link: Link) -> None:
        if not await link.request({"serving": True}):
            log.warning("handover.unconfirmed", told="serving")

    async def await_successor(self) -> None:
        """Listen for the next process, and release the start lock."""
        await self.endpoint.await_successor(
            self._grant, lambda link: self._run_link(link, is_successor=True), self.lifecycle.successor_gone
        )

    def _receive_log_chunk(self, message: Message) -> None:
        decision_log = self._decision_log()
        if decision_log is None:
            return
        if message["why"] is None:  # end of a transfer; ``number`` is the count of its chunks
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

    # Both sides.

    def apply_budget(self) -> None:
        """Apply the budget of the present state, in which two processes share that of one broker."""
        budget = self.lifecycle.budget()
        self._core.set_budget_share(budget.fraction)
        self._listeners.resize(budget.client_connections, budget.node_connections, budget.body_bytes)
        # A process that is shutting down must not bind the address of the exchange again, because its
        # successor is about to.
        self._listeners.set_capacity_exchange(budget.exchanges_capacity)
        self.apply_request_limit()

    def apply_request_limit(self) -> None:
        """Apply the limit of open requests that the present state allows."""
        self._core.limit_open_requests(self.lifecycle.budget().open_requests)

    def announcements_changed(self) -> None:
        """Record the number of announced processes, and apply the resulting limit of open requests."""
        self.lifecycle.announced_processes = self.endpoint.announcement_count
        self.apply_request_limit()

    async def _run_link(self, link: Link, *, is_successor: bool) -> None:
        """Exchange messages with the other process until its link closes, then adapt to its end."""
        self.links.add(link)
        if is_successor:
            self._successors.add(link)
        self.apply_budget()
        accepts_again = False
        try:
            await link.run(self._receive)
        finally:
            self.links.discard(link)
            self._successors.discard(link)
            if is_successor:
                accepts_again = self.lifecycle.successor_gone()
            else:
                self.lifecycle.predecessor_gone()
            self.apply_budget()
        log.info("handover.other_ended")
        if accepts_again:
            await self._accept_again()
        if is_successor and not self._closed:
            # The successor may have replaced this process's socket file. The next process would then find no
            # predecessor, and serve in parallel to this one with a whole budget.
            await self.await_successor()

    async def _accept_again(self) -> None:
        log.warning("handover.serving_again")
        listeners, self._handed_over_listeners = self._handed_over_listeners, []
        await self._listeners.accept(listeners)

    async def _receive(self, message: Message) -> None:
        if message.get("serving") and self.lifecycle.successor_serving():
            self._stop_accepting()
        if "why" in message:
            self._receive_log_chunk(message)
        if type(message.get("open")) is int:
            self.lifecycle.predecessor_reported(message["open"])
            self.apply_request_limit()
        if "maint" in message:
            await self.maintenance.apply(message)

    async def _notify_other_processes(self, message: Message) -> None:
        for link in list(self.links):
            if not await link.request(message):
                log.warning("handover.unconfirmed", told=message)

    # The predecessor's side.

    def _grant(self, _hello: Message) -> Grant | None:
        """Return what to hand over to a successor, or None if it has to request the handover again."""
        if not self.lifecycle.can_grant_handover():
            log.info("handover.successor_waits")
            return None
        log.info("handover.successor_started")
        self.lifecycle.successor_found()
        self._core.set_budget_share(self.lifecycle.budget().fraction)
        state = {
            "version": self._core.version,
            "members": [pack_member(member) for member in self._core.members],
            "sent": self._core.recent_sent_units(),
            "maintenance": pack_maintenance(self._core.maintenance),
        }
        if self._transfers_snapshot:
            state["memory"] = take_snapshot(self._core, self._broker, whole=True)
        return Grant(state, self._handed_over_listeners or self._listeners.listeners())

    def _stop_accepting(self) -> None:
        log.info("handover.successor_serves")
        self._handed_over_listeners = self._listeners.hand_over()
        self.apply_request_limit()
        self._report_open_requests()
        self._sending_log = asyncio.create_task(self._send_log())

    def _report_open_requests(self, reported: int = -1) -> None:
        """Report the number of open requests to the successor when it has changed, until either process ends.

        ``reported`` is the number in the last report.
        """
        if not (self._successors and self.lifecycle.has_handed_over):
            return
        if self._core.open_requests != reported:
            reported = self._core.open_requests
            for link in self._successors:
                link.send({"open": reported})
        asyncio.get_running_loop().call_later(OPEN_REQUESTS_INTERVAL_S, self._report_open_requests, reported)

    async def _send_log(self) -> None:
        """Send the recent decision log and, once no request is open, the records added meanwhile."""
        decision_log, loop = self._decision_log(), asyncio.get_running_loop()
        if decision_log is None:
            return
        started = loop.time()
        await self._send_log_chunks(decision_log.export_chunks(started - LOG_WINDOW_S, started))
        await self._core.wait_idle()
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

    # Shutdown.

    async def close(self) -> None:
        """Send the rest of the decision log and close the links; called once all requests are answered."""
        self._closed = True
        if self._sending_log is not None:
            await asyncio.wait((self._sending_log,), timeout=LOG_CLOSE_TIMEOUT_S)
            self._sending_log.cancel()
        for link in list(self.links):
            link.close()
        await self.endpoint.close()
        for task in list(self._background_tasks):
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
