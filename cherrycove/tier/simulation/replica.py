"""One simulated replica: a replica machine, its disk, and a state machine that is a checksum of commands."""

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
RETAINED_ENTRIES = 2


@attrs.frozen
class State:
    """State of the simulated state machine: the last index, and a checksum of the commands up to it."""

    index: int = 0
    checksum: int = 0

    def applied(self, entry: Entry) -> State:
        """Return the state after ``entry``."""
        if entry.kind is not EntryKind.COMMAND:
            return State(entry.index, self.checksum)
        return State(entry.index, zlib.crc32(entry.payload, self.checksum))

    def encode(self) -> bytes:
        """Return the state in a snapshot."""
        return _STATE.pack(self.index, self.checksum) + self._filler()

    def _filler(self) -> bytes:
        """Return bytes that depend on the state, so that chunks of two snapshots don't pass for one."""
        return _CHECKSUM.pack(self.checksum) * (self.checksum % FILLER_BYTES // _CHECKSUM.size)

    @staticmethod
    def decode(data: bytes) -> State:
        """Read the state from a snapshot; raises ``ValueError`` if chunks of several were mixed."""
        state = State(*_STATE.unpack_from(data))
        if data[_STATE.size :] != state._filler():
            raise ValueError("a snapshot has chunks of several snapshots")
        return state


@attrs.define(eq=False)
class Replica:
    """A machine of the world, with the process on it; process and disk come and go.

    ``machine`` is None while the process is not running; ``deferred`` events wait while it is frozen.
    """

    name: str
    address: str
    zone: str
    disk: BufferedDisk
    machine: ReplicaMachine | None = None
    state: State = State()
    membership_requests: MembershipRequests = attrs.field(factory=MembershipRequests)
    incarnation: int = 0  # counts starts and ends of the process
    is_frozen: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)  # events that came while it is frozen
    stalled_until: float = 0.0  # no sync ends before
    snapshot_ticket: int = 0
    entries_since_snapshot: int = 0
    identity: MemberIdentity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.replace_disk(self.disk)

    def replace_disk(self, disk: BufferedDisk) -> None:
        """Give the machine ``disk``, and so another identity."""
        self.disk = disk
        self.identity = MemberIdentity(disk.member_id, self.name, self.address, self.zone)

    @property
    def is_running(self) -> bool:
        """Whether the process is there and not frozen."""
        return self.machine is not None and not self.is_frozen

    def start(self, faults: int, random: Random, now: float) -> ReplicaMachine:
        """Start the process on what the disk has."""
        self.incarnation += 1
        self.state = State()
        self.snapshot_ticket = 0
        self.entries_since_snapshot = 0
        self.machine = ReplicaMachine(
            self.identity,
            faults,
            self.disk.recovered(),
            self.disk,
            random,
            now,
            membership_requests=self.membership_requests,
            retained_entries=RETAINED_ENTRIES,
            chunk_bytes=CHUNK_BYTES,
        )
        return self.machine

    def end(self, random: Random) -> None:
        """Kill the process; writes that were not synced may be lost."""
        self.incarnation += 1
        self.machine = None
        self.is_frozen = False
        self.deferred.clear()
        self.disk.crash(random)
