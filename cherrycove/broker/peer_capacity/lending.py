"""Capacity of nodes in slow start, lent by one broker to the others. Pure: the caller tells the time.

The capacity of such a node counts over all brokers. Split evenly, it lies unused with those that have nothing
for the node. So each node has one lender, the same for all: a host picked by a hash of the node's name and
start. It lends ``LENT_FRACTION`` of the node's capacity; the rest stays split.

Invariant: what was lent and may be used within any window of the limit never passes ``LENT_FRACTION`` of the
node's capacity at the window's start. The price: a lender that is down, partitioned or has just started lends
nothing, and of its nodes the split rest alone is used.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from math import inf
from typing import NamedTuple

from cherrycove.scheduling.interface import Settings
from cherrycove.scheduling.slow_start import capacity_growth
from cherrycove.scheduling.state import SlidingWindowSum

LENT_FRACTION = 0.8  # of a node's capacity
LOAN_VALID_S = 0.5  # for which a loan may be used
RETRY_S = 0.3  # without an answer, after which a lender is asked again; doubles up to
MAX_RETRY_S = 4.0
MAX_DOUBLINGS = 8
MIN_INTERVAL_S = 0.02  # between two requests to a lender that answers
MAX_WAIT_S = 1.0  # that a lender without free capacity names
MIN_UNKNOWN_WAIT_S = 1.0  # that a lender names that lends nothing of the node, or nothing yet
MAX_NODES = 1024  # whose loans a lender records


@lru_cache(maxsize=4 * MAX_NODES)  # each change of the node list asks for all of them again
def node_key(name: str, since_ms: float) -> bytes:
    """Return the key of a node's incarnation: eight bytes, the same at every host."""
    return hashlib.blake2b(f"{name}\n{since_ms:.0f}".encode(), digest_size=8).digest()


def lender_of(node: bytes, hosts: int) -> int:
    """Return the number of the host that lends this node's capacity."""
    return int.from_bytes(node, "big") % hosts


def guaranteed_capacity(settings: Settings, age_s: float) -> float:
    """Return the units within the limit's window that a node of this age takes from all hosts together.

    A lower bound: the node warms no slower than evenly, and the window may have begun when it was younger.
    """
    return settings.cold_units * capacity_growth(settings, age_s - settings.fall_window - LOAN_VALID_S)


@dataclass(slots=True)
class _NodeLoans:
    started: float
    loans: SlidingWindowSum


class Lender:
    """The loans of the nodes whose capacity this host lends."""

    def __init__(self, settings: Settings, number: int, now: float) -> None:
        self._settings, self._number = settings, number
        # What a former incarnation of this host has lent is unknown, and may be used until then.
        self._not_before = now + settings.fall_window + LOAN_VALID_S
        self._nodes: dict[bytes, _NodeLoans] = {}

    def set_nodes(self, nodes: Iterable[tuple[bytes, float]]) -> None:
        """Apply the node list, as (key, start) of the nodes that have a start; of others nothing is lent."""
        hosts = self._settings.schedulers
        own = {node: started for node, started in nodes if lender_of(node, hosts) == self._number}
        for node in [node for node in self._nodes if node not in own]:
            del self._nodes[node]
        for node, started in own.items():
            if node not in self._nodes and len(self._nodes) < MAX_NODES:
                self._nodes[node] = _NodeLoans(
                    started, SlidingWindowSum(self._settings.fall_window + LOAN_VALID_S)
                )

    def lend(self, node: bytes, units: float, now: float) -> tuple[float, float]:
        """Return the units lent (all that were asked for, or 0), and the wait before the next request (s)."""
        known = self._nodes.get(node)
        if known is None or now < self._not_before:
            return 0.0, max(self._not_before - now, MIN_UNKNOWN_WAIT_S)
        capacity = LENT_FRACTION * guaranteed_capacity(self._settings, now - known.started)
        if units <= 0 or known.loans.total(now) + units > capacity:
            return 0.0, min(max(known.loans.next_expiry(now) - now, MIN_INTERVAL_S), MAX_WAIT_S)
        known.loans.add(now, units)
        return units, 0.0


@dataclass(slots=True)
class _LenderState:
    ask_at: float = -inf
    unanswered: int = 0  # requests in a row


class _Pending(NamedTuple):
    node: bytes
    lender: int
    deadline: float


@dataclass(slots=True)
class Borrower:
    """Decides when to ask which lender. An answer counts once, for the request that it belongs to."""

    hosts: int
    _lenders: dict[int, _LenderState] = field(default_factory=dict)
    _nodes: dict[bytes, float] = field(default_factory=dict)  # not to be asked for again before then
    _pending: dict[int, _Pending] = field(default_factory=dict)  # by serial
    _serial: int = 0

    def begin_request(self, node: bytes, now: float) -> tuple[int, int] | None:
        """Return the lender to ask and the serial of the request, or None if it is too early."""
        lender = lender_of(node, self.hosts)
        state = self._lenders.setdefault(lender, _LenderState())
        if now < max(state.ask_at, self._nodes.get(node, -inf)):
            return None
        for serial in [serial for serial, pending in self._pending.items() if pending.deadline <= now]:
            del self._pending[serial]  # its answer would come too late to count
        if len(self._nodes) >= MAX_NODES:
            self._nodes = {node: ask_at for node, ask_at in self._nodes.items() if ask_at > now}
        self._serial = (self._serial + 1) & 0xFFFFFFFF
        self._pending[self._serial] = _Pending(node, lender, now + LOAN_VALID_S)
        state.ask_at = now + min(RETRY_S * 2 ** min(state.unanswered, MAX_DOUBLINGS), MAX_RETRY_S)
        state.unanswered += 1
        return lender, self._serial

    def accept_answer(
        self, lender: int, serial: int, wait_s: float, now: float
    ) -> tuple[bytes, float] | None:
        """Record an answer; return its node, and for how long (s) a loan may be used.

        The time counts from the request, which is no later than the lender's record of the loan. None if the
        answer belongs to no pending request, or comes from another host: it does not count.
        """
        pending = self._pending.get(serial)
        if pending is None or pending.lender != lender or pending.deadline <= now:
            return None
        del self._pending[serial]
        state = self._lenders[lender]
        state.unanswered, state.ask_at = 0, now
        self._nodes[pending.node] = now + max(wait_s, MIN_INTERVAL_S)
        return pending.node, pending.deadline - now
