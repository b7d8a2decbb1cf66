"""One simulated replica: a machine, its disk and a state that is a checksum of all commands applied."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from random import Random

import attrs

from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.disk import BufferedDisk
from cherrycove.tier.storage.entries import Entry, EntryKind

_STATE = struct.Struct("<QI")  # last index, checksum of the commands so far
_CHECKSUM = struct.Struct("<I")
FILLER_BYTES = 12 * 1024  # a state has up to so many bytes beside the two numbers
CHUNK_BYTES = 5000  # of a snapshot in one message: most states need several
KEPT_ENTRIES = 2


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
        return _STATE.pack(self.index, self.checksum) + self._filler()

    def _filler(self) -> bytes:
        """Kilobytes that depend on the state, so that parts of two snapshots don't pass for one."""
        return _CHECKSUM.pack(self.checksum) * (self.checksum % FILLER_BYTES // _CHECKSUM.size)

    @staticmethod
    def decode(data: bytes) -> State:
        state = State(*_STATE.unpack_from(data))
        if data[_STATE.size :] != state._filler():
            raise ValueError("a snapshot was put together from parts that do not belong together")
        return state


@attrs.define(eq=False)
class Replica:
    """A machine of the world; its process and its disk come and go."""

    name: str
    address: str
    zone: str
    disk: BufferedDisk
    machine: ReplicaMachine | None = None
    state: State = State()
    wishes: MembershipRequests = attrs.field(factory=MembershipRequests)
    life: int = 0  # counts starts and ends of the process
    frozen: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)  # events while frozen
    stalled_until: float = 0.0  # no sync ends before
    snapshot_ticket: int = 0
    since_snapshot: int = 0
    identity: MemberIdentity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.replace_disk(self.disk)

    def replace_disk(self, disk: BufferedDisk) -> None:
        """The machine has ``disk`` from now on, and so another identity."""
        self.disk = disk
        self.identity = MemberIdentity(disk.member_id, self.name, self.address, self.zone)

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
            membership_requests=self.wishes,
            retained_entries=KEPT_ENTRIES,
            chunk_bytes=CHUNK_BYTES,
        )
        return self.machine

    def end(self, random: Random) -> None:
        """The process dies; unsynced writes may be lost."""
        self.life += 1
        self.machine = None
        self.frozen = False
        self.deferred.clear()
        self.disk.crash(random)
