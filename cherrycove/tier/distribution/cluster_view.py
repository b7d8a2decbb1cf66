"""What a process of the tier currently knows from the keepers: typed views, replaced whole at each update."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cherrycove.tier.configuration import Configuration
from cherrycove.tier.protocol.control_pb2 import Announcement, StoreGroup


@attrs.frozen
class Broker:
    """One start of a model broker, as the platform lists it."""

    instance_id: str
    service: str
    address: str  # host:port
    zone: str
    capacity_slots: int
    draining: bool
    warmup_remaining_ms: int = 0
    version: str = ""


@attrs.define
class ClusterView:
    """The newest of every topic. ``configuration`` is None until the first one has come."""

    configuration: Configuration | None = None
    document: bytes = b""  # the configuration as the operator sent it
    brokers: tuple[Broker, ...] = ()
    members: tuple[Announcement, ...] = ()  # processes of the tier that are alive
    store_group: StoreGroup = attrs.field(factory=StoreGroup)
    last_contact: float = float("-inf")  # monotonic s of the last answer from a primary keeper
    primary_address: str = ""  # RPC address of that keeper; empty once it left a pull unanswered
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each update."""
        self._listeners.append(callback)

    def changed(self) -> None:
        for callback in self._listeners:
            callback()

    def proxies(self) -> tuple[Announcement, ...]:
        return tuple(member for member in self.members if member.program == "proxy" and not member.leaving)

    def stores(self) -> tuple[Announcement, ...]:
        return tuple(member for member in self.members if member.program == "store")
