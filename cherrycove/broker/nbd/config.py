"""The operator's NBD settings: the listening address, the exports and the addresses of their nodes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from cherrycove.broker.nbd._codec import CommandRequest
from cherrycove.broker.nbd._constants import Command, TransmissionFlag


@dataclass(frozen=True, slots=True)
class Export:
    """A block device that clients may mount.

    ``size`` is in bytes, ``plan`` is an index into ``Settings.plans`` and ``hosts`` the number of brokers
    that the volume's clients use.
    """

    name: str
    volume: str
    shard: int
    plan: int
    size: int
    hosts: int = 1
    read_only: bool = False
    description: str = ""

    def transmission_flags(self, *, structured: bool) -> int:
        """Return the flags that the handshake advertises; DF only if structured replies were negotiated."""
        flags = TransmissionFlag.HAS_FLAGS
        if self.read_only:
            flags |= TransmissionFlag.READ_ONLY
        else:
            flags |= TransmissionFlag.SEND_FLUSH | TransmissionFlag.SEND_TRIM
        if structured:
            flags |= TransmissionFlag.SEND_DF
        return flags


@dataclass(frozen=True, slots=True)
class NbdConfig:
    """The ``[nbd]`` table of the operator's file.

    Attributes:
        listen: host and port for clients.
        exports: the exports by name.
        classes: index into ``Settings.classes`` of each command.
        unit_bytes: payload bytes that cost one unit.
        node_port: port on which nodes serve NBD.
        nodes: host and port by node name, for nodes not reached at their listed host and ``node_port``.
        connections: maximum number of clients served at the same time.
        pipeline: maximum number of commands in flight per client.
    """

    listen: tuple[str, int]
    exports: Mapping[str, Export]
    classes: Mapping[Command, int]
    unit_bytes: int
    node_port: int
    nodes: Mapping[str, tuple[str, int]]
    connections: int = 64
    pipeline: int = 16

    def command_units(self, request: CommandRequest, max_units: float) -> float:
        """Return the cost of a command in units, from 1 to ``max_units``."""
        return min(max(ceil(request.length / self.unit_bytes), 1), max_units)
