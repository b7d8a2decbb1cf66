"""What a process of the tier currently knows from the controllers: typed, replaced at each update."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.configuration import Configuration
from cherrycove.tier.program_names import PROXY_PROGRAM, STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, StoreGroup


@attrs.frozen
class Broker:
    """One incarnation of a model broker, as the platform lists it."""

    instance_id: str
    service: str
    address: str  # host:port
    zone: str
    capacity_slots: int  # requests that it runs at the same time
    draining: bool
    warmup_remaining_ms: int = 0
    version: str = ""


@attrs.define
class ClusterView:
    """The newest value of every topic that reached this process.

    One per process, written by its ``puller.Puller`` alone and read by all else in the event loop. It starts
    empty, and is not kept over a restart.
    """

    configuration: Configuration | None = None  # None until the first one was received
    document: bytes = b""  # the configuration as the operator sent it
    brokers: tuple[Broker, ...] = ()
    members: tuple[Announcement, ...] = ()  # processes of the tier that are alive
    store_group: StoreGroup = attrs.field(factory=StoreGroup)
    last_contact: float = float("-inf")  # monotonic time in s of the last answer from a primary controller
    primary_address: str = ""  # RPC address of that controller; empty once a pull from it failed
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each update."""
        self._listeners.append(callback)

    def changed(self) -> None:
        """Call the listeners, after an update."""
        for callback in self._listeners:
            callback()

    def proxies(self) -> tuple[Announcement, ...]:
        """Proxies that are alive and not shutting down."""
        return tuple(
            member for member in self.members if member.program == PROXY_PROGRAM and not member.leaving
        )

    def stores(self) -> tuple[Announcement, ...]:
        """Stores that are alive, also those that are shutting down."""
        return tuple(member for member in self.members if member.program == STORE_PROGRAM)
