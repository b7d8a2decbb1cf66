"""What the operator sets for NBD: the listening address, the exports and where their nodes are reached."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from cherrycove.broker.nbd._codec import CommandRequest
from cherrycove.broker.nbd._constants import Command, TransmissionFlag


@dataclass(frozen=True, slots=True)
class Export:
    """A block device that clients may mount.

    ``size`` is bytes, ``plan`` an index into ``Settings.plans``, ``hosts`` the number of brokers that the
    volume's clients use.
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
        """What the handshake advertises; DF only where structured replies were negotiated."""
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
        exports: by name.
        classes: index into ``Settings.classes`` of each command.
        unit_bytes: payload that costs one unit.
        node_port: port at which nodes serve NBD.
        nodes: host and port by node, where they differ from the listed host and ``node_port``.
        connections: clients served at the same time.
        pipeline: commands in flight for one client.
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
        """The cost of a command in units, from 1 to ``max_units``."""
        return min(max(ceil(request.length / self.unit_bytes), 1), max_units)
