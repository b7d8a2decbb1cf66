"""The socket to the other brokers of the tier, and who is believed on it.

It owns the datagram endpoint and joins the lender and the borrower to the core. It must never answer an
address that is not the listed one of the host that it claims to be, send more than one datagram for one that
came, or keep a broker from serving: without it the broker has its split part of each cold node.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.peer_capacity import datagram, room

log = Log("cherrycove.fleet")
OPEN_AGAIN = 1.0  # s after which an address that is in use is tried again
MOST_A_SECOND = 500  # datagrams taken in; a peer that floods costs no more
Address = tuple[str, int]


def worth_it(core: Core) -> bool:
    """Whether hosts are so many that an even part of a cold node's room is too small for a usual request. All
    brokers of a tier come to the same answer: they have the same settings."""
    s = core.settings
    return s.cold_units / s.schedulers < s.usual_units


class Peers(asyncio.DatagramProtocol):
    """One broker's side of the lending."""

    def __init__(self, core: Core, number: int, addresses: Sequence[Address], seed: int) -> None:
        self._core, self._number, self._addresses = core, number, list(addresses)
        self._loop = asyncio.get_running_loop()
        self._life = random.Random(seed).getrandbits(32)
        self._transport: asyncio.DatagramTransport | None = None
        self._opening: asyncio.Task[None] | None = None
        self._again: asyncio.TimerHandle | None = None
        self._lender = room.Lender(core.settings, number, self._loop.time())
        self._borrower = room.Borrower(core.settings.schedulers)
        self._known = -1  # the list that the lender's books are of
        self._names: dict[bytes, str] = {}
        self._second, self._taken = 0, 0
        self.counts: Counter[str] = Counter()
        # Guard: also while there is no socket. A broker that used its whole even part beside what is lent of
        # it would pass what a node bears.
        core.pool_room(room.LENT, self._ask)

    def start(self, listen: Address) -> None:
        self._opening = asyncio.create_task(self.serve(listen))

    async def serve(self, listen: Address) -> None:
        """Borrow from now on, and lend as soon as nothing that an earlier process lent can still be used."""
        if self._transport is not None:
            return
        self._lender = room.Lender(self._core.settings, self._number, self._loop.time())
        self._known = -1
        try:
            self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, local_addr=listen)
        except OSError as error:
            log.warning("fleet.no_socket", why=error)
            self._again = self._loop.call_later(OPEN_AGAIN, self.start, listen)

    def close(self) -> None:
        """Guard: before a successor opens the socket; two processes of a broker would each lend the whole."""
        if self._opening is not None:
            self._opening.cancel()
        if self._again is not None:
            self._again.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._taken = second, 0
        self._taken += 1
        if self._taken > MOST_A_SECOND:
            self.counts["flooded"] += 1
            return
        try:
            message = datagram.parse(data)
        except datagram.DatagramError:
            self.counts["malformed"] += 1
            return
        if message.sender >= len(self._addresses) or self._addresses[message.sender] != address[:2]:
            self.counts["forged"] += 1
            return
        if isinstance(message, datagram.Ask):
            units, wait = self._lend(message.node, message.units)
            self._send(
                message.sender,
                datagram.Loan(self._number, self._life, message.life, message.serial, units, wait),
            )
        elif message.to_life == self._life:
            self._lent(message.sender, message.serial, message.units, message.wait)

    def error_received(self, exc: Exception) -> None:
        self.counts["unreachable"] += 1

    def _know(self) -> None:
        if self._known == self._core.lists:
            return
        self._known = self._core.lists
        starts = {
            room.key(m.name, m.since_ms): (m.name, at)
            for m in self._core.members
            if (at := self._core.started(m)) is not None
        }
        self._names = {node: name for node, (name, _) in starts.items()}
        self._lender.know((node, at) for node, (_, at) in starts.items())

    def _lend(self, node: bytes, units: float) -> tuple[float, float]:
        self._know()
        lent = self._lender.lend(node, units, self._loop.time())
        self.counts["lent" if lent[0] else "denied"] += 1
        return lent

    def _ask(self, name: str, units: float) -> None:
        """The module wants room at this node."""
        self._know()
        member = next((m for m in self._core.members if m.name == name), None)
        if member is None or self._transport is None:
            return
        node = room.key(name, member.since_ms)
        asked = self._borrower.ask(node, self._loop.time())
        if asked is None:
            return
        whom, serial = asked
        self.counts["asked"] += 1
        if whom == self._number:
            self._lent(whom, serial, *self._lend(node, units))
        else:
            self._send(whom, datagram.Ask(self._number, self._life, serial, node, units))

    def _lent(self, whom: int, serial: int, units: float, wait: float) -> None:
        answered = self._borrower.answered(whom, serial, wait, self._loop.time())
        if answered is None:
            self.counts["stale"] += 1
        elif units > 0 and answered[0] in self._names:
            self.counts["borrowed"] += 1
            self._core.room_lent(self._names[answered[0]], units, answered[1])

    def _send(self, whom: int, message: datagram.Ask | datagram.Loan) -> None:
        if self._transport is not None and whom < len(self._addresses):
            self._transport.sendto(datagram.pack(message), self._addresses[whom])
