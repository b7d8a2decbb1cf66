"""Simulates one replica: a replica machine, its disk, and a state machine that checksums commands."""

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
FILLER_BYTES = 12 * 1024  # upper bound of the filler that follows the two numbers in an encoded state
CHUNK_BYTES = 5000  # of a snapshot in one message, so that most states take several chunks
RETAINED_ENTRIES = 2


@attrs.frozen
class State:
    """Holds the state of the simulated state machine: last index, and checksum of the commands up to it."""

    index: int = 0
    checksum: int = 0

    def applied(self, entry: Entry) -> State:
        """Return the state after applying ``entry``."""
        if entry.kind is not EntryKind.COMMAND:
            return State(entry.index, self.checksum)
        return State(entry.index, zlib.crc32(entry.payload, self.checksum))

    def encode(self) -> bytes:
        """Return the state as the bytes of a snapshot."""
        return _STATE.pack(self.index, self.checksum) + self._filler()

    def _filler(self) -> bytes:
        """Return bytes that depend on the state, so that mixed chunks of two snapshots are detected."""
        return _CHECKSUM.pack(self.checksum) * (self.checksum % FILLER_BYTES // _CHECKSUM.size)

    @staticmethod
    def decode(data: bytes) -> State:
        """Decode the state from a snapshot; raises ``ValueError`` if it mixes chunks of several snapshots."""
        state = State(*_STATE.unpack_from(data))
        if data[_STATE.size :] != state._filler():
            raise ValueError("snapshot mixes chunks of several snapshots")
        return state


@attrs.define(eq=False)
class Replica:
    """A simulated host with its process and disk; process and disk may be replaced.

    ``machine`` is the replica machine, None while the process is not running. Events that arrive while the
    process is frozen are kept in ``deferred``.
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
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    stalled_until: float = 0.0  # no sync completes earlier
    snapshot_ticket: int = 0
    entries_since_snapshot: int = 0
    identity: MemberIdentity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.replace_disk(self.disk)

    def replace_disk(self, disk: BufferedDisk) -> None:
        """Replace the disk by ``disk``, whose member id becomes part of the identity."""
        self.disk = disk
        self.identity = MemberIdentity(disk.member_id, self.name, self.address, self.zone)

    @property
    def is_running(self) -> bool:
        """Return whether the process is running and not frozen."""
        return self.machine is not None and not self.is_frozen

    def start(self, faults: int, random: Random, now: float) -> ReplicaMachine:
        """Start the process from the durable state on the disk."""
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
