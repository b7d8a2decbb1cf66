"""One process takes the place of another: what is done in each stage, and what passes between the two.

It owns the links to the other process and what each stage asks of the parts (core, front, pool, peers). It
must never decide what a stage is (``stages`` does), know a wire, or keep a process from serving: with nobody
to meet it serves alone.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from cherrycove.broker.core import Core, NodeList
from cherrycove.broker.event_log import Log
from cherrycove.broker.lifecycle import handover
from cherrycove.broker.lifecycle.maintenance import MaintenanceController
from cherrycove.broker.lifecycle.state_machine import SHARED, LifecycleState
from cherrycove.broker.warm_restart.figures import UnusableError
from cherrycove.broker.warm_restart.passing import rows_of, take_up

log = Log("cherrycove.life.handover")

RECORD_TIME = 300.0  # s of the record that a successor is handed
PIECE_TIME = 0.01  # s between two pieces of it
RECORD_LEFT = 0.3  # s that the last of it may take, once all that was taken is answered
OPEN_TIME = 0.05  # s between two words to the successor of how many requests are open


class Doors(Protocol):
    """Where clients come in."""

    def listeners(self) -> list[socket.socket]:
        """Those in use."""

    def hand_over(self) -> list[socket.socket]:
        """Stop to accept; what the other process accepts from, should it have to be taken back."""

    async def accept(self, given: list[socket.socket]) -> None:
        """Accept from these again."""

    def resize(self, clients: int, nodes: int, most_bytes: int) -> None:
        """So many descriptors and bytes may be used from now on."""

    def talk(self, now: bool) -> None:
        """Whether this process talks to the tier."""


class Record(Protocol):
    """The record of decisions (cherrycove/broker/decision_log), where there is one."""

    former_lost: int

    def pieces(self, since: float, now: float) -> Iterable[dict[str, object]]: ...

    def take_over(self, piece: dict[str, object], now: float) -> int: ...


class HandoverCoordinator:
    """One process's part of it."""

    def __init__(
        self,
        broker: str,
        core: Core,
        doors: Doors,
        life: LifecycleState,
        place: handover.HandoverEndpoint,
        record: Callable[[], Record | None] = lambda: None,
        remembers: bool = False,
    ) -> None:
        self._remembers = remembers  # whether what was learned is handed over, and taken up
        self._broker, self._core, self._doors, self._record = broker, core, doors, record
        self.life, self.place = life, place
        self.maintenance = MaintenanceController(core, place, self._tell_others)
        self.links: set[handover.Link] = set()
        self._heirs: set[handover.Link] = set()  # of these, to a process that replaces this one
        self._handed: list[socket.socket] = []  # what a successor accepts from, in case it dies
        self._following: set[asyncio.Task[None]] = set()
        self._handing_record: asyncio.Task[None] | None = None
        self._closed = False
        self._pieces = 0  # of the former process's record that have come
        place.on_coming = self.came

    # The start.

    async def meet(self) -> list[socket.socket] | None:
        """Ask the process in service, if there is one, for its place: its listening sockets."""
        await self.place.enter()
        met = await self.place.meet({"hello": 1})
        if met is None:
            return None
        link, state, given = met
        log.info("handover.taking_over")
        self.life.predecessor_found()
        self._take_over(state)
        following = asyncio.create_task(self._follow(link, heir=False))  # it ends with the other process
        self._following.add(following)
        following.add_done_callback(self._following.discard)
        return given

    def _take_over(self, state: handover.Message) -> None:
        try:
            members = tuple(handover.parse_member(raw) for raw in state["members"])
            sent = {str(name): float(units) for name, units in state["sent"].items()}
            self._core.maintain(handover.parse_maintenance(state["maintenance"]))
            if type(state["version"]) is int:
                self._core.update(NodeList(state["version"], True, members), restored=True)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("handover.state_unusable", why=error)
            sent = {}
        self._core.share(SHARED, sent)
        if self._remembers and "memory" in state:
            try:
                take_up(self._core, state["memory"], self._broker, "process", sent_is_told=True)
            except UnusableError as error:
                log.warning("memory.unusable", source="process", why=error)

    async def serving(self) -> None:
        """This process accepts: the former one has to stop."""
        self.life.serving_started()
        for link in list(self.links):
            if not await link.ask({"serving": True}):
                log.warning("handover.unconfirmed", told="serving")
        if self.life.is_alone:
            self.apply()

    async def await_successor(self) -> None:
        await self.place.await_successor(
            self._hand_over, lambda link: self._follow(link, heir=True), self.life.successor_gone
        )

    # What both do.

    def apply(self) -> None:
        """Use from now on what this stage allows. Guard: the processes count as one broker, in the rules and
        in the limits."""
        budget = self.life.budget()
        self._core.share(budget.fraction)
        self._doors.resize(budget.client_connections, budget.node_connections, budget.body_bytes)
        # Guard: one that ends would open the address again that its successor is about to open.
        self._doors.talk(budget.uses_tier)
        self.bound()

    def bound(self) -> None:
        self._core.bound(self.life.budget().open_requests)

    def came(self) -> None:
        """Another process has announced itself, or has asked, died, or had its time."""
        self.life.announced = self.place.coming
        self.bound()

    async def _follow(self, link: handover.Link, heir: bool) -> None:
        """Share with the other process while it lives."""
        self.links.add(link)
        if heir:
            self._heirs.add(link)
        self.apply()
        again = False
        try:
            await link.follow(self._told)
        finally:
            self.links.discard(link)
            self._heirs.discard(link)
            if heir:
                again = self.life.successor_gone()
            else:
                self.life.predecessor_gone()
            self.apply()
        log.info("handover.other_ended")
        if again:
            log.warning("handover.serving_again")
            given, self._handed = self._handed, []
            await self._doors.accept(given)
        if heir and not self._closed:
            # Guard: the one that has gone may have been found in this one's stead; the next found nobody, and
            # served beside this one with a budget of its own.
            await self.await_successor()

    async def _told(self, message: handover.Message) -> None:
        if message.get("serving") and self.life.successor_serving():
            log.info("handover.successor_serves")
            self._handed = self._doors.hand_over()
            self.bound()
            self._tell_open()
            self._handing_record = asyncio.create_task(self._hand_over_record())
        if "why" in message:
            self._take_record(message)
        if type(message.get("open")) is int:
            self.life.predecessor_reported(message["open"])
            self.bound()
        if "maint" in message:
            await self.maintenance.apply(message)

    async def _tell_others(self, message: handover.Message) -> None:
        for link in list(self.links):
            if not await link.ask(message):
                log.warning("handover.unconfirmed", told=message)

    # The process that is replaced.

    def _hand_over(self, hello: handover.Message) -> tuple[handover.Message, list[socket.socket]] | None:
        if not self.life.can_be_succeeded():
            log.info("handover.successor_waits")
            return None
        log.info("handover.successor_started")
        self.life.successor_found()
        self._core.share(self.life.budget().fraction)
        members = [handover.pack_member(member) for member in self._core.members]
        state = {
            "version": self._core.version,
            "members": members,
            "sent": self._core.sent(),
            "maintenance": handover.pack_maintenance(self._core.maintenance),
        }
        if self._remembers:
            state["memory"] = rows_of(self._core, self._broker, whole=True)
        return state, self._handed or self._doors.listeners()

    def _tell_open(self, told: int = -1) -> None:
        """Keep the successor told of what is open here, until either ends."""
        if not (self._heirs and self.life.has_handed_over):
            return
        if self._core.open_requests != told:
            told = self._core.open_requests
            for link in self._heirs:
                link.tell({"open": told})
        asyncio.get_running_loop().call_later(OPEN_TIME, self._tell_open, told)

    async def _hand_over_record(self) -> None:
        """Send the successor what was decided here of late, piece by piece, while this process drains."""
        book, loop = self._record(), asyncio.get_running_loop()
        if book is None:
            return
        since = loop.time() - RECORD_TIME
        for last in (False, True):
            if last:  # what has ended while the others were sent
                await self._core.idle()
            sent_from, number = since, 0
            since = loop.time()
            for number, piece in enumerate(book.pieces(sent_from, loop.time()), 1):
                for link in self._heirs:
                    link.tell({"why": piece, "number": number})
                await asyncio.sleep(PIECE_TIME)
            for link in self._heirs:
                link.tell({"why": None, "number": number})

    def _take_record(self, message: handover.Message) -> None:
        book = self._record()
        if book is None:
            return
        if message["why"] is None:
            missing = message["number"] - self._pieces
            book.former_lost += max(missing, 0) if type(message["number"]) is int else 1
            self._pieces = 0
            return
        self._pieces += 1
        try:
            book.take_over(message["why"], asyncio.get_running_loop().time())
        except (ValueError, TypeError, AttributeError) as error:
            book.former_lost += 1
            log.warning("why.piece_unusable", why=error)

    # The end.

    async def close(self) -> None:
        """All that was taken is answered; the last of the record still goes out."""
        self._closed = True
        if self._handing_record is not None:
            await asyncio.wait((self._handing_record,), timeout=RECORD_LEFT)
            self._handing_record.cancel()
        for link in list(self.links):
            link.close()
        await self.place.close()
        for following in list(self._following):
            following.cancel()
        await asyncio.gather(*self._following, return_exceptions=True)
