"""Lending of the capacity of nodes in slow start between brokers. Pure: the caller passes the time.

The capacity of such a node is shared by all brokers. If it were split evenly, the shares of brokers without
requests for the node would be unused. So each node has one lender, the same for all brokers: a host chosen by
a hash of the node's name and start. It lends ``LENT_FRACTION`` of the node's capacity; the rest is split
evenly.

Invariant: the loans that may be used within any window of the limit never exceed ``LENT_FRACTION`` of the
node's capacity at the window's start. The cost: a lender that is down, partitioned or has just started lends
nothing, and only the evenly split rest of its nodes' capacity is used.
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

LENT_FRACTION = 0.8  # fraction of a node's capacity that its lender lends
LOAN_VALID_S = 0.5  # how long a loan may be used
RETRY_S = 0.3  # delay of the next request after one without an answer; doubled each time up to MAX_RETRY_S
MAX_RETRY_S = 4.0
MAX_DOUBLINGS = 8
MIN_INTERVAL_S = 0.02  # between two requests for a node whose lender answers
MAX_WAIT_S = 1.0  # the longest wait that a lender without free capacity asks for
MIN_UNKNOWN_WAIT_S = 1.0  # the shortest wait for an unknown node, or if the lender may not lend yet
MAX_NODES = 1024  # the most nodes for which a lender records loans


@lru_cache(maxsize=4 * MAX_NODES)  # each change of the node list computes the keys of all nodes again
def node_key(name: str, since_ms: float) -> bytes:
    """Return the key of a node's incarnation: eight bytes, the same on every host."""
    return hashlib.blake2b(f"{name}\n{since_ms:.0f}".encode(), digest_size=8).digest()


def lender_of(node: bytes, hosts: int) -> int:
    """Return the index of the host that lends this node's capacity."""
    return int.from_bytes(node, "big") % hosts


def guaranteed_capacity(settings: Settings, age_s: float) -> float:
    """Return the units per window of the limit that a node of this age accepts from all hosts together.

    This is a lower bound: the node's capacity grows at least linearly, and the window may have begun when the
    node was younger.
    """
    return settings.cold_units * capacity_growth(settings, age_s - settings.fall_window - LOAN_VALID_S)


@dataclass(slots=True)
class _NodeLoans:
    started: float
    loans: SlidingWindowSum


class Lender:
    """Grants and records the loans of the nodes whose capacity this host lends."""

    def __init__(self, settings: Settings, number: int, now: float) -> None:
        self._settings, self._number = settings, number
        # The loans of an earlier incarnation of this host are unknown, and may be used until then.
        self._not_before = now + settings.fall_window + LOAN_VALID_S
        self._nodes: dict[bytes, _NodeLoans] = {}

    def set_nodes(self, nodes: Iterable[tuple[bytes, float]]) -> None:
        """Set the nodes, as (key, start) of those whose start is known; capacity of others is not lent."""
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
        """Return the units lent (all that were requested, or 0) and the wait before the next request (s)."""
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
    next_request_at: float = -inf
    unanswered: int = 0  # consecutive requests without an answer


class _Pending(NamedTuple):
    node: bytes
    lender: int
    deadline: float


@dataclass(slots=True)
class Borrower:
    """Decides when to ask which lender. An answer is accepted once, and only for its own request."""

    hosts: int
    _lenders: dict[int, _LenderState] = field(default_factory=dict)
    _nodes: dict[bytes, float] = field(default_factory=dict)  # earliest time of the next request, by node
    _pending: dict[int, _Pending] = field(default_factory=dict)  # by serial
    _serial: int = 0

    def begin_request(self, node: bytes, now: float) -> tuple[int, int] | None:
        """Return the lender to ask and the serial of the new request, or None if it is too early."""
        lender = lender_of(node, self.hosts)
        state = self._lenders.setdefault(lender, _LenderState())
        if now < max(state.next_request_at, self._nodes.get(node, -inf)):
            return None
        for serial in [serial for serial, pending in self._pending.items() if pending.deadline <= now]:
            del self._pending[serial]  # an answer would come too late to be used
        if len(self._nodes) >= MAX_NODES:
            self._nodes = {node: request_at for node, request_at in self._nodes.items() if request_at > now}
        self._serial = (self._serial + 1) & 0xFFFFFFFF
        self._pending[self._serial] = _Pending(node, lender, now + LOAN_VALID_S)
        state.next_request_at = now + min(RETRY_S * 2 ** min(state.unanswered, MAX_DOUBLINGS), MAX_RETRY_S)
        state.unanswered += 1
        return lender, self._serial

    def accept_answer(
        self, lender: int, serial: int, wait_s: float, now: float
    ) -> tuple[bytes, float] | None:
        """Record an answer; return its node, and for how many seconds a loan may be used.

        The validity is counted from the request, which is no later than the lender's record of the loan.
        Return None, and ignore the answer, if it belongs to no pending request or comes from another host.
        """
        pending = self._pending.get(serial)
        if pending is None or pending.lender != lender or pending.deadline <= now:
            return None
        del self._pending[serial]
        state = self._lenders[lender]
        state.unanswered, state.next_request_at = 0, now
        self._nodes[pending.node] = now + max(wait_s, MIN_INTERVAL_S)
        return pending.node, pending.deadline - now
