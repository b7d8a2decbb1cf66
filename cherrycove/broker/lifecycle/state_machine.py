"""The stages of a process's life beside another of the same broker, and what it may use in each.

It owns the states and the sums. It must never do I/O or read a clock, and never let two processes together
have more than one alone. A third has to wait until there is one: with three, none of them could know what the
others have.

    starting --serving--> in service --successor_serving--> handed over --successor_gone--> in service
                              any --end--> ending

An *elder* is the process that this one replaces, an *heir* the one that replaces it. tests/test_stages.py
plays all that can happen to two processes and a third.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SHARED = 0.5  # the part of a broker's budgets that a process has while another one lives
RESERVED = 40  # descriptors: listeners, the loop, discovery, 8 operators, 16 accepted and not yet counted
OWN_MB = 30  # of a process without bodies, in service for a while
LEAST_MB = 3  # for bodies, whatever the limit


class Budget(NamedTuple):
    """What a process may use now."""

    fraction: float  # of plan limits and of cold nodes' room
    client_connections: int  # descriptors for their connections
    node_connections: int  # and for those to nodes
    body_bytes: int  # held by bodies and answers
    open_requests: int  # requests open before others find no way in
    uses_tier: bool  # whether it is the one that talks to the tier


@dataclass(slots=True)
class LifecycleState:
    """One process's. Each method but ``budget`` is told what has happened."""

    sockets: int  # descriptors that the platform allows a broker
    memory_mb: float
    is_accepting: bool = False  # clients
    has_predecessor: bool = False  # another process lives that was there before
    has_successor: bool = False  # another process lives that has asked for this one's place
    has_handed_over: bool = False  # the heir accepts, this one no more
    is_ending: bool = False
    announced: int = 0  # processes that have announced themselves and not asked yet
    predecessor_open_requests: int | None = None  # requests open at the elder, as last told

    def predecessor_found(self) -> None:
        """This one has asked an elder for its place, and got it."""
        self.has_predecessor = True

    def serving_started(self) -> None:
        """It accepts clients."""
        self.is_accepting = True

    def can_be_succeeded(self) -> bool:
        """Whether another may ask for its place now; else that one has to ask again."""
        return not (self.has_predecessor or self.has_successor)

    def successor_found(self) -> None:
        """Another has asked. Guard: from before the answer on, so that the two never have more than one."""
        self.has_successor = True

    def successor_serving(self) -> bool:
        """The heir accepts. True: this one has to stop, now. Guard: told twice, it stops once."""
        if self.has_handed_over or self.is_ending or not self.has_successor:
            return False
        self.has_handed_over, self.is_accepting = True, False
        return True

    def successor_gone(self) -> bool:
        """True: this one has to accept again. Guard: one that ends has been told that nobody needs it."""
        self.has_successor = False
        if not self.has_handed_over or self.is_ending:
            return False
        self.has_handed_over, self.is_accepting = False, True
        return True

    def predecessor_gone(self) -> None:
        self.has_predecessor, self.predecessor_open_requests = False, None

    def predecessor_reported(self, requests: int) -> None:
        if self.has_predecessor:
            self.predecessor_open_requests = requests

    def shutdown_started(self) -> None:
        self.is_ending = True

    @property
    def is_alone(self) -> bool:
        return not (self.has_predecessor or self.has_successor)

    @property
    def is_state_writer(self) -> bool:
        """Whether it is the one that writes what the broker remembers."""
        # Guard: the last write says that nothing was sent after it; beside an heir nobody can say so.
        return self.is_accepting and not (self.is_ending and self.has_successor)

    def budget(self) -> Budget:
        clients, nodes = self._descriptors()
        return Budget(
            1.0 if self.is_alone else SHARED,
            clients,
            nodes,
            self._bytes(),
            self._places(),
            self.is_alone and not self.is_ending,
        )

    def _descriptors(self) -> tuple[int, int]:
        """While another process lives, clients move from one to the other. Guard: with no descriptor left,
        nobody is accepted for a second."""
        left = self.sockets - RESERVED if self.is_alone else self.sockets - 2 * RESERVED
        return (left * 6 // 10, left * 4 // 10) if self.is_alone else (left * 4 // 10, left * 2 // 10)

    def _bytes(self) -> int:
        left = (self.memory_mb - OWN_MB) / 2 if self.is_alone else (self.memory_mb - 2 * OWN_MB) / 4
        return int(max(left, LEAST_MB) * 1e6)

    def _places(self) -> int:
        """Guard: requests open in either process hold places of the same clients. Bounded each by itself, the
        two held them all together, and for others no connection was left."""
        most = self.sockets // 4  # clients hold a third of the descriptors at most
        if self.has_handed_over or self.announced:
            return most // 2
        if self.is_alone:
            return most
        return max(
            most - (most // 2 if self.predecessor_open_requests is None else self.predecessor_open_requests),
            most // 2,
        )
