"""Room on cold nodes, lent by one host to the others. No I/O; times are on one clock of the caller's.

What a cold node bears counts over all hosts. Split evenly, it lies unused with the hosts that have nothing
for that node. So each node has one lender, the same for all: a host picked by the node's name and start. It
lends ``LENT`` of what the node bears; the rest stays split. Invariant: what was lent and may be used within
any window of the rule never passes ``LENT`` of what the node bore at the window's start. What is given away
for it: a lender that is down, cut off or has just started lends nothing, and its nodes have the split rest
alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from math import inf

from cherrycove.scheduling.interface import Settings
from cherrycove.scheduling.slow_start import capacity_growth
from cherrycove.scheduling.state import Recent

LENT = 0.8  # part of a cold node's room that its lender has
VALID = 0.5  # s for which a loan may be used
SILENCE = 0.3  # s without an answer after which a lender is asked again, doubling up to
LONG_SILENCE = 4.0
AGAIN = 0.02  # s between two asks to a lender that lends
MOST_NODES = 1024  # that a lender keeps the books of


@lru_cache(maxsize=4 * MOST_NODES)  # a list's change asks for every node's again
def key(name: str, since_ms: float) -> bytes:
    """A node's life in eight bytes, the same at every host."""
    return hashlib.blake2b(f"{name}\n{since_ms:.0f}".encode(), digest_size=8).digest()


def lender(node: bytes, hosts: int) -> int:
    """The number of the host that lends this node's room."""
    return int.from_bytes(node, "big") % hosts


def borne(settings: Settings, age: float) -> float:
    """Units within the rule's window that a node of this age (s) always bears from all hosts together. It
    warms no slower than evenly; the window may have begun when it was that much younger."""
    return settings.cold_units * capacity_growth(settings, age - settings.fall_window - VALID)


@dataclass(slots=True)
class _Book:
    started: float
    loans: Recent


class Lender:
    """The books of the nodes that this host lends the room of."""

    def __init__(self, settings: Settings, number: int, now: float) -> None:
        self._settings, self._number = settings, number
        # Guard: what a former life of this host has lent, nobody here knows.
        self._not_before = now + settings.fall_window + VALID
        self._books: dict[bytes, _Book] = {}

    def know(self, nodes: Iterable[tuple[bytes, float]]) -> None:
        """The nodes of the list that have a start, as (key, time of it); of others nothing is lent."""
        mine = {node: at for node, at in nodes if lender(node, self._settings.schedulers) == self._number}
        for node in [node for node in self._books if node not in mine]:
            del self._books[node]
        for node, at in mine.items():
            if node not in self._books and len(self._books) < MOST_NODES:
                self._books[node] = _Book(at, Recent(self._settings.fall_window + VALID))

    def lend(self, node: bytes, units: float, now: float) -> tuple[float, float]:
        """Units lent (all that were asked for, or 0), and how long to wait before the next ask (s)."""
        book = self._books.get(node)
        if book is None or now < self._not_before:
            return 0.0, max(self._not_before - now, 1.0)
        room = LENT * borne(self._settings, now - book.started)
        if units <= 0 or book.loans.total(now) + units > room:
            return 0.0, min(max(book.loans.next_leaves(now) - now, AGAIN), 1.0)
        book.loans.add(now, units)
        return units, 0.0


@dataclass(slots=True)
class _Peer:
    ask_at: float = -inf
    silent: int = 0  # asks in a row without an answer


@dataclass(slots=True)
class Borrower:
    """When to ask whom. An answer counts once, for the ask it belongs to."""

    hosts: int
    _peers: dict[int, _Peer] = field(default_factory=dict)
    _nodes: dict[bytes, float] = field(default_factory=dict)  # not to be asked for again before then
    _asked: dict[int, tuple[bytes, int, float]] = field(default_factory=dict)  # by serial: node, whom, until
    _serial: int = 0

    def ask(self, node: bytes, now: float) -> tuple[int, int] | None:
        """The host to ask and the serial of the ask, or None: not now."""
        whom = lender(node, self.hosts)
        peer = self._peers.setdefault(whom, _Peer())
        if now < max(peer.ask_at, self._nodes.get(node, -inf)):
            return None
        for serial in [s for s, (_, _, until) in self._asked.items() if until <= now]:
            del self._asked[serial]  # its answer would come too late to count
        if len(self._nodes) >= MOST_NODES:
            self._nodes = {node: at for node, at in self._nodes.items() if at > now}
        self._serial = (self._serial + 1) & 0xFFFFFFFF
        self._asked[self._serial] = node, whom, now + VALID
        peer.ask_at = now + min(SILENCE * 2 ** min(peer.silent, 8), LONG_SILENCE)
        peer.silent += 1
        return whom, self._serial

    def answered(self, whom: int, serial: int, wait: float, now: float) -> tuple[bytes, float] | None:
        """An answer to an ask: its node, and for how long (s) a loan may be used, counted from the ask, which
        is no later than the lender's booking. None: to no open ask, or from another host; it counts not."""
        asked = self._asked.get(serial)
        if asked is None or asked[1] != whom or asked[2] <= now:
            return None
        del self._asked[serial]
        peer = self._peers[whom]
        peer.silent, peer.ask_at = 0, now
        self._nodes[asked[0]] = now + max(wait, AGAIN)
        return asked[0], asked[2] - now
