"""Holds the state that a process of the tier has received from the controllers."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.configuration import Configuration
from cherrycove.tier.program_names import PROXY_PROGRAM, STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, StoreGroup


@attrs.frozen
class Broker:
    """Represents one incarnation of a model broker, as listed by the platform."""

    instance_id: str
    service: str
    address: str  # host:port
    zone: str
    capacity_slots: int  # number of requests that it runs concurrently
    draining: bool
    warmup_remaining_ms: int = 0
    version: str = ""


@attrs.define
class ClusterView:
    """Holds the newest value of every topic received by this process.

    Each process has one. Only its ``puller.Puller`` writes it; all other code in the event loop reads it. An
    update replaces the whole value of a topic. The view starts empty and is not persisted.
    """

    configuration: Configuration | None = None  # None until the first one is received
    document: bytes = b""  # the configuration as the operator sent it
    brokers: tuple[Broker, ...] = ()
    members: tuple[Announcement, ...] = ()  # processes of the tier that are alive
    store_group: StoreGroup = attrs.field(factory=StoreGroup)
    last_contact: float = float("-inf")  # monotonic time in s of the last reply from a primary controller
    primary_address: str = ""  # RPC address of that controller; empty after a failed pull from it
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register ``callback``, which is called after each update."""
        self._listeners.append(callback)

    def notify_listeners(self) -> None:
        """Call all listeners; the writer of the view calls this after each update."""
        for callback in self._listeners:
            callback()

    def proxies(self) -> tuple[Announcement, ...]:
        """Return the proxies that are alive and not shutting down."""
        return tuple(
            member for member in self.members if member.program == PROXY_PROGRAM and not member.leaving
        )

    def stores(self) -> tuple[Announcement, ...]:
        """Return the stores that are alive, including those that are shutting down."""
        return tuple(member for member in self.members if member.program == STORE_PROGRAM)
