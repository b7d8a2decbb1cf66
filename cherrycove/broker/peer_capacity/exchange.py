"""The UDP socket to the other brokers of the tier; it connects lender and borrower with the core."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from cherrycove.broker.core import Core
from cherrycove.broker.event_log import Log
from cherrycove.broker.peer_capacity import datagram, lending

log = Log("cherrycove.fleet")
SOCKET_RETRY_S = 1.0  # time until an address that is in use is tried again
MAX_DATAGRAMS_PER_S = 500  # datagrams beyond this are dropped unread, which bounds the cost of a flood
Address = tuple[str, int]


def is_lending_useful(core: Core) -> bool:
    """Return whether an even share of the capacity of a node in slow start is too small for a usual request.

    All brokers of a tier come to the same result because they have the same settings.
    """
    settings = core.settings
    return settings.cold_units / settings.schedulers < settings.usual_units


class CapacityExchange(asyncio.DatagramProtocol):
    """One broker's part in the lending.

    The broker's process owns it, and opens it while no other process of the broker runs. Datagrams are
    answered only if they come from the configured address of their claimed sender, each with at most one
    datagram. Without a socket the broker uses only its fixed share of each node's capacity.

    Args:
        core: the core that requests loans and receives them.
        number: the index of this host in ``addresses``.
        addresses: the addresses of all hosts.
        seed: seed of the random incarnation number.
    """

    def __init__(self, core: Core, number: int, addresses: Sequence[Address], seed: int) -> None:
        self._core, self._number, self._addresses = core, number, list(addresses)
        self._loop = asyncio.get_running_loop()
        self._incarnation = random.Random(seed).getrandbits(32)
        self._transport: asyncio.DatagramTransport | None = None
        self._opening: asyncio.Task[None] | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._lender = lending.Lender(core.settings, number, self._loop.time())
        self._borrower = lending.Borrower(core.settings.schedulers)
        self._applied_list_update = -1  # the list update that the lender has received last
        self._names: dict[bytes, str] = {}  # by node key
        self._second, self._received = 0, 0
        self.counts: Counter[str] = Counter()
        # This applies without a socket, too: a broker that used its whole even share, a part of which is lent
        # to others, would let the total exceed the node's capacity.
        core.pool_capacity(lending.LENT_FRACTION, self._borrow)

    def start(self, listen: Address) -> None:
        """Open the socket in the background; see ``serve``."""
        self._opening = asyncio.create_task(self.serve(listen))

    async def serve(self, listen: Address) -> None:
        """Start borrowing now, and lending once no loan of an earlier process can be used any more."""
        if self._transport is not None:
            return
        self._lender = lending.Lender(self._core.settings, self._number, self._loop.time())
        self._applied_list_update = -1
        try:
            self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, local_addr=listen)
        except OSError as error:
            log.warning("fleet.no_socket", why=error)
            self._retry = self._loop.call_later(SOCKET_RETRY_S, self.start, listen)

    def close(self) -> None:
        """Close the socket.

        This must happen before a successor opens it: two processes would lend the same capacity twice.
        """
        if self._opening is not None:
            self._opening.cancel()
        if self._retry is not None:
            self._retry.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Handle a datagram of a known peer; drop and count malformed, forged and excess ones."""
        if self._exceeds_datagram_limit():
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
        if isinstance(message, datagram.LoanRequest):
            self._answer(message)
        elif message.to_incarnation == self._incarnation:
            self._receive_loan(message.sender, message.serial, message.units, message.wait_s)

    def _exceeds_datagram_limit(self) -> bool:
        """Count a datagram; return whether it exceeds the limit for the current second."""
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._received = second, 0
        self._received += 1
        return self._received > MAX_DATAGRAMS_PER_S

    def error_received(self, _error: Exception) -> None:
        """Count a datagram that did not reach its host."""
        self.counts["unreachable"] += 1

    def _update_nodes(self) -> None:
        """Pass the nodes of the current list to the lender if the list has changed."""
        if self._applied_list_update == self._core.list_updates:
            return
        self._applied_list_update = self._core.list_updates
        starts = {
            lending.node_key(member.name, member.since_ms): (member.name, started)
            for member in self._core.members
            if (started := self._core.node_started_at(member)) is not None
        }
        self._names = {node: name for node, (name, _) in starts.items()}
        self._lender.set_nodes((node, started) for node, (_, started) in starts.items())

    def _answer(self, request: datagram.LoanRequest) -> None:
        units, wait_s = self._lend(request.node, request.units)
        loan = datagram.Loan(
            self._number, self._incarnation, request.incarnation, request.serial, units, wait_s
        )
        self._send(request.sender, loan)

    def _lend(self, node: bytes, units: float) -> tuple[float, float]:
        self._update_nodes()
        lent, wait_s = self._lender.lend(node, units, self._loop.time())
        self.counts["lent" if lent else "denied"] += 1
        return lent, wait_s

    def _borrow(self, name: str, units: float) -> None:
        """Ask the lender of this node for capacity; the scheduler calls this when it needs some."""
        self._update_nodes()
        member = next((member for member in self._core.members if member.name == name), None)
        if member is None or self._transport is None:
            return
        node = lending.node_key(name, member.since_ms)
        request = self._borrower.begin_request(node, self._loop.time())
        if request is None:
            return
        lender, serial = request
        self.counts["asked"] += 1
        if lender == self._number:
            self._receive_loan(lender, serial, *self._lend(node, units))
        else:
            self._send(lender, datagram.LoanRequest(self._number, self._incarnation, serial, node, units))

    def _receive_loan(self, lender: int, serial: int, units: float, wait_s: float) -> None:
        accepted = self._borrower.accept_answer(lender, serial, wait_s, self._loop.time())
        if accepted is None:
            self.counts["stale"] += 1
            return
        node, valid_s = accepted
        if units > 0 and node in self._names:
            self.counts["borrowed"] += 1
            self._core.use_loan(self._names[node], units, valid_s)

    def _send(self, host: int, message: datagram.LoanRequest | datagram.Loan) -> None:
        if self._transport is not None and host < len(self._addresses):
            self._transport.sendto(datagram.pack(message), self._addresses[host])
