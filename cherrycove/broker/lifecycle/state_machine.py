"""The state machine of a broker process beside another of the same broker, and its resource budget by state.

Pure: no I/O and no clock. Two processes together never have more than one alone. A third has to wait until
one has ended: with three, none could know what the others use.

    starting --serving_started--> in service --successor_serving--> handed over --successor_gone--> in service
                                      any --shutdown_started--> shutting down

The predecessor is the process that this one replaces, the successor the one that replaces it.
tests/test_stages.py explores all that can happen to two processes and a third.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SHARED_FRACTION = 0.5  # of a broker's budgets, for each of two processes
RESERVED_DESCRIPTORS = 40  # listeners, the loop, discovery, 8 operators, 16 accepted and not yet counted
PROCESS_MB = 30  # of a process without bodies, in service for a while
MIN_BODIES_MB = 3  # for bodies, whatever the limit


class Budget(NamedTuple):
    """What a process may use in its present state."""

    fraction: float  # of plan limits and of the capacity of nodes in slow start
    client_connections: int  # descriptors for connections of clients
    node_connections: int  # descriptors for connections to nodes
    body_bytes: int  # in bodies and answers
    open_requests: int  # beyond which further requests are rejected
    uses_tier: bool  # whether this process exchanges capacity with the other brokers


@dataclass(slots=True)
class LifecycleState:
    """The state of one process; the coordinator owns it. The methods that return None or bool are events."""

    sockets: int  # descriptors that the platform allows a broker
    memory_mb: float
    is_accepting: bool = False  # clients
    has_predecessor: bool = False  # one that was in service before is alive
    has_successor: bool = False  # one that has asked for the handover is alive
    has_handed_over: bool = False  # the successor accepts clients, this process no more
    is_ending: bool = False
    announced: int = 0  # processes that have announced themselves and not asked for the handover yet
    predecessor_open_requests: int | None = None  # as last reported

    def predecessor_found(self) -> None:
        """Record that a predecessor has granted the handover."""
        self.has_predecessor = True

    def serving_started(self) -> None:
        """Record that this process accepts clients."""
        self.is_accepting = True

    def can_be_succeeded(self) -> bool:
        """Return whether a handover may be granted now; otherwise the other process has to ask again."""
        return self.is_alone

    def successor_found(self) -> None:
        """Record a successor; before the grant is sent, so that two never use more than one may."""
        self.has_successor = True

    def successor_serving(self) -> bool:
        """Record that the successor accepts clients; return whether this process has to stop accepting now.

        The message may come twice, and only the first has an effect.
        """
        if self.has_handed_over or self.is_ending or not self.has_successor:
            return False
        self.has_handed_over, self.is_accepting = True, False
        return True

    def successor_gone(self) -> bool:
        """Record the successor's end; return whether this process has to accept clients again.

        One that is shutting down does not: it was ordered to end.
        """
        self.has_successor = False
        if not self.has_handed_over or self.is_ending:
            return False
        self.has_handed_over, self.is_accepting = False, True
        return True

    def predecessor_gone(self) -> None:
        """Record the predecessor's end."""
        self.has_predecessor, self.predecessor_open_requests = False, None

    def predecessor_reported(self, open_requests: int) -> None:
        """Record how many requests are open at the predecessor."""
        if self.has_predecessor:
            self.predecessor_open_requests = open_requests

    def shutdown_started(self) -> None:
        """Record the order to end."""
        self.is_ending = True

    @property
    def is_alone(self) -> bool:
        """Whether no other process of this broker is known to be alive."""
        return not (self.has_predecessor or self.has_successor)

    @property
    def is_snapshot_writer(self) -> bool:
        """Whether this process is the one that writes the warm-restart file.

        Its last write says that nothing was sent after it, which no process beside a successor can say.
        """
        return self.is_accepting and not (self.is_ending and self.has_successor)

    def budget(self) -> Budget:
        """Return what this process may use in its present state."""
        client_connections, node_connections = self._descriptors()
        return Budget(
            1.0 if self.is_alone else SHARED_FRACTION,
            client_connections,
            node_connections,
            self._body_bytes(),
            self._open_requests(),
            self.is_alone and not self.is_ending,
        )

    def _descriptors(self) -> tuple[int, int]:
        """Return the descriptors for clients and for nodes.

        Beside another process a part stays free, since clients move from one to the other and a process
        without a free descriptor accepts nobody for a second.
        """
        if self.is_alone:
            free = self.sockets - RESERVED_DESCRIPTORS
            return free * 6 // 10, free * 4 // 10
        free = self.sockets - 2 * RESERVED_DESCRIPTORS
        return free * 4 // 10, free * 2 // 10

    def _body_bytes(self) -> int:
        if self.is_alone:
            free_mb = (self.memory_mb - PROCESS_MB) / 2
        else:
            free_mb = (self.memory_mb - 2 * PROCESS_MB) / 4
        return int(max(free_mb, MIN_BODIES_MB) * 1e6)

    def _open_requests(self) -> int:
        """Return the limit of open requests.

        Requests open in either process occupy connections of the same clients. Limited each by itself, the
        two would occupy all connections together.
        """
        limit = self.sockets // 4  # clients have a third of the descriptors at most
        if self.has_handed_over or self.announced:
            return limit // 2
        if self.is_alone:
            return limit
        elsewhere = self.predecessor_open_requests
        if elsewhere is None:
            elsewhere = limit // 2
        return max(limit - elsewhere, limit // 2)
