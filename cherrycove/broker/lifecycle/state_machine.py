"""The state machine of a broker process during a handover, and the resource budget of each state.

Pure: no I/O and no clock. Two processes together never use more than one process alone may use. A third has
to wait until one of them has ended: with three, none could know what the others use.

    starting --serving_started--> in service --successor_serving--> handed over --successor_gone--> in service
                                      any --shutdown_started--> shutting down

The predecessor is the process that this one replaces, the successor the one that replaces it.
tests/test_lifecycle_exploration.py explores all reachable states of two overlapping processes and a third.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SHARED_FRACTION = 0.5  # each of two processes gets this fraction of the broker's budgets
# For listeners, the event loop, discovery, 8 operators, and 16 connections accepted but not yet counted.
RESERVED_DESCRIPTORS = 40
PROCESS_MB = 30  # memory of a process that has been in service for a while, without bodies
MIN_BODIES_MB = 3  # granted for bodies however low the memory limit is


class Budget(NamedTuple):
    """The resources that a process may use in its present state."""

    fraction: float  # share of plan limits and of the capacity of nodes in slow start
    client_connections: int  # descriptors for connections of clients
    node_connections: int  # descriptors for connections to nodes
    body_bytes: int  # memory for bodies of requests and answers
    open_requests: int  # limit beyond which further requests are rejected
    exchanges_capacity: bool  # whether this process exchanges capacity with the other brokers


@dataclass(slots=True)
class LifecycleState:
    """The state of one process; the coordinator owns it.

    All methods record events, except ``can_grant_handover``, ``budget`` and the properties.
    """

    max_descriptors: int  # file descriptors that the platform allows a broker
    memory_mb: float  # memory that the platform allows a broker
    is_accepting: bool = False  # this process accepts clients
    has_predecessor: bool = False  # the process that was in service before this one is alive
    has_successor: bool = False  # a process that has requested the handover is alive
    has_handed_over: bool = False  # the successor accepts clients, and this process no longer does
    is_shutting_down: bool = False
    announced_processes: int = 0  # announced, but have not requested the handover yet
    predecessor_open_requests: int | None = None  # as last reported by the predecessor

    def predecessor_found(self) -> None:
        """Record that a predecessor has granted the handover."""
        self.has_predecessor = True

    def serving_started(self) -> None:
        """Record that this process accepts clients."""
        self.is_accepting = True

    def can_grant_handover(self) -> bool:
        """Return whether a handover may be granted now; otherwise the other process has to retry."""
        return self.is_alone

    def successor_found(self) -> None:
        """Record a successor.

        Called before the grant is sent, so that the two processes never use more than one may.
        """
        self.has_successor = True

    def successor_serving(self) -> bool:
        """Record that the successor accepts clients; return whether this process has to stop accepting now.

        The message may arrive twice; only the first one has an effect.
        """
        if self.has_handed_over or self.is_shutting_down or not self.has_successor:
            return False
        self.has_handed_over, self.is_accepting = True, False
        return True

    def successor_gone(self) -> bool:
        """Record that the successor has ended; return whether this process has to accept clients again.

        A process that is shutting down does not accept again: it was ordered to end.
        """
        self.has_successor = False
        if not self.has_handed_over or self.is_shutting_down:
            return False
        self.has_handed_over, self.is_accepting = False, True
        return True

    def predecessor_gone(self) -> None:
        """Record that the predecessor has ended."""
        self.has_predecessor, self.predecessor_open_requests = False, None

    def predecessor_reported(self, open_requests: int) -> None:
        """Record how many requests are open at the predecessor."""
        if self.has_predecessor:
            self.predecessor_open_requests = open_requests

    def shutdown_started(self) -> None:
        """Record that this process was ordered to shut down."""
        self.is_shutting_down = True

    @property
    def is_alone(self) -> bool:
        """Whether no other process of this broker is known to be alive."""
        return not (self.has_predecessor or self.has_successor)

    @property
    def is_snapshot_writer(self) -> bool:
        """Whether this process is the one that writes the warm-restart file.

        The last write at a shutdown states that nothing was sent to nodes after it, which no process can
        state while its successor is alive.
        """
        return self.is_accepting and not (self.is_shutting_down and self.has_successor)

    def budget(self) -> Budget:
        """Return the resources that this process may use in its present state."""
        client_connections, node_connections = self._descriptors()
        return Budget(
            1.0 if self.is_alone else SHARED_FRACTION,
            client_connections,
            node_connections,
            self._body_bytes(),
            self._open_requests(),
            self.is_alone and not self.is_shutting_down,
        )

    def _descriptors(self) -> tuple[int, int]:
        """Return the descriptors for clients and for nodes.

        With two processes some descriptors stay free, since clients move from one process to the other and a
        process without a free descriptor accepts no connection for a second.
        """
        if self.is_alone:
            free = self.max_descriptors - RESERVED_DESCRIPTORS
            return free * 6 // 10, free * 4 // 10
        free = self.max_descriptors - 2 * RESERVED_DESCRIPTORS
        return free * 4 // 10, free * 2 // 10

    def _body_bytes(self) -> int:
        if self.is_alone:
            free_mb = (self.memory_mb - PROCESS_MB) / 2
        else:
            free_mb = (self.memory_mb - 2 * PROCESS_MB) / 4
        return int(max(free_mb, MIN_BODIES_MB) * 1e6)

    def _open_requests(self) -> int:
        """Return the limit of open requests.

        Requests open in either process occupy connections of the same clients. With independent limits, the
        two processes together would occupy all connections.
        """
        limit = self.max_descriptors // 4  # clients use at most a third of the descriptors
        if self.has_handed_over or self.announced_processes:
            return limit // 2
        if self.is_alone:
            return limit
        predecessor_open = self.predecessor_open_requests
        if predecessor_open is None:
            predecessor_open = limit // 2
        return max(limit - predecessor_open, limit // 2)
