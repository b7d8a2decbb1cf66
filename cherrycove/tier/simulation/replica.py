"""One simulated replica: a machine, its disk and a state that is a checksum of all commands applied."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from random import Random

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.recruiting import Wishes
from cherrycove.tier.simulation.disk import SimulatedDisk
from cherrycove.tier.storage.entries import Entry, EntryKind

_STATE = struct.Struct("<QI")  # last index, checksum of the commands so far


@attrs.frozen
class State:
    """What the simulated state machine holds."""

    index: int = 0
    checksum: int = 0

    def applied(self, entry: Entry) -> State:
        if entry.kind is not EntryKind.COMMAND:
            return State(entry.index, self.checksum)
        return State(entry.index, zlib.crc32(entry.payload, self.checksum))

    def encode(self) -> bytes:
        return _STATE.pack(self.index, self.checksum)

    @staticmethod
    def decode(data: bytes) -> State:
        return State(*_STATE.unpack(data))


@attrs.define(eq=False)
class Replica:
    """A place in the world; its process and its disk come and go."""

    address: str
    zone: str
    disk: SimulatedDisk
    machine: ReplicaMachine | None = None
    state: State = State()
    wishes: Wishes = attrs.field(factory=Wishes)
    life: int = 0  # counts starts and ends of the process
    frozen: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)  # events while frozen
    stalled_until: float = 0.0  # no sync ends before
    snapshot_ticket: int = 0
    since_snapshot: int = 0

    @property
    def identity(self) -> MemberIdentity:
        return MemberIdentity(self.disk.member_id, self.address, self.address, self.zone)

    @property
    def running(self) -> bool:
        return self.machine is not None and not self.frozen

    def start(self, faults: int, random: Random, now: float) -> ReplicaMachine:
        self.life += 1
        self.state = State()
        self.snapshot_ticket = 0
        self.since_snapshot = 0
        self.machine = ReplicaMachine(
            self.identity,
            faults,
            self.disk.recovered(),
            self.disk,
            random,
            now,
            wishes=self.wishes,
            kept_entries=2,
        )
        return self.machine

    def end(self, random: Random) -> None:
        """The process dies; unsynced writes may be lost."""
        self.life += 1
        self.machine = None
        self.frozen = False
        self.deferred.clear()
        self.disk.stop(random)
