"""The stages of a process's life beside another of the same broker, and what it may use in each.

It owns the states and the sums. It must never do I/O or read a clock, and never let two processes together
have more than one alone. A third has to wait until there is one: with three, none of them could know what the
others have.

    starting --serving--> in service --heir_serves--> handed over --heir_gone--> in service
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

    part: float  # of plan limits and of cold nodes' room
    clients: int  # descriptors for their connections
    nodes: int  # and for those to nodes
    bytes: int  # held by bodies and answers
    places: int  # requests open before others find no way in
    talks: bool  # whether it is the one that talks to the tier


@dataclass(slots=True)
class Life:
    """One process's. Each method but ``budget`` is told what has happened."""

    sockets: int  # descriptors that the platform allows a broker
    memory_mb: float
    accepts: bool = False  # clients
    elder: bool = False  # another process lives that was there before
    heir: bool = False  # another process lives that has asked for this one's place
    handed: bool = False  # the heir accepts, this one no more
    ending: bool = False
    coming: int = 0  # processes that have announced themselves and not asked yet
    beside: int | None = None  # requests open at the elder, as last told

    def met(self) -> None:
        """This one has asked an elder for its place, and got it."""
        self.elder = True

    def serving(self) -> None:
        """It accepts clients."""
        self.accepts = True

    def may_be_followed(self) -> bool:
        """Whether another may ask for its place now; else that one has to ask again."""
        return not (self.elder or self.heir)

    def followed(self) -> None:
        """Another has asked. Guard: from before the answer on, so that the two never have more than one."""
        self.heir = True

    def heir_serves(self) -> bool:
        """The heir accepts. True: this one has to stop, now. Guard: told twice, it stops once."""
        if self.handed or self.ending or not self.heir:
            return False
        self.handed, self.accepts = True, False
        return True

    def heir_gone(self) -> bool:
        """True: this one has to accept again. Guard: one that ends has been told that nobody needs it."""
        self.heir = False
        if not self.handed or self.ending:
            return False
        self.handed, self.accepts = False, True
        return True

    def elder_gone(self) -> None:
        self.elder, self.beside = False, None

    def elder_holds(self, requests: int) -> None:
        if self.elder:
            self.beside = requests

    def end(self) -> None:
        self.ending = True

    @property
    def alone(self) -> bool:
        return not (self.elder or self.heir)

    @property
    def keeps(self) -> bool:
        """Whether it is the one that writes what the broker remembers."""
        # Guard: the last write says that nothing was sent after it; beside an heir nobody can say so.
        return self.accepts and not (self.ending and self.heir)

    def budget(self) -> Budget:
        clients, nodes = self._descriptors()
        return Budget(
            1.0 if self.alone else SHARED,
            clients,
            nodes,
            self._bytes(),
            self._places(),
            self.alone and not self.ending,
        )

    def _descriptors(self) -> tuple[int, int]:
        """While another process lives, clients move from one to the other. Guard: with no descriptor left,
        nobody is accepted for a second."""
        left = self.sockets - RESERVED if self.alone else self.sockets - 2 * RESERVED
        return (left * 6 // 10, left * 4 // 10) if self.alone else (left * 4 // 10, left * 2 // 10)

    def _bytes(self) -> int:
        left = (self.memory_mb - OWN_MB) / 2 if self.alone else (self.memory_mb - 2 * OWN_MB) / 4
        return int(max(left, LEAST_MB) * 1e6)

    def _places(self) -> int:
        """Guard: requests open in either process hold places of the same clients. Bounded each by itself, the
        two held them all together, and for others no connection was left."""
        most = self.sockets // 4  # clients hold a third of the descriptors at most
        if self.handed or self.coming:
            return most // 2
        if self.alone:
            return most
        return max(most - (most // 2 if self.beside is None else self.beside), most // 2)
