"""Immutable representation of one replica: its process, its disk and its writes that are not synced."""

from __future__ import annotations

from random import Random

import attrs

from cherrycove.tier.exploration.copying import canonical_form, copy_graph, digest
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.effects import Write, WriteEntries, WriteHardState
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.replica_storage import RecoveredState
from cherrycove.tier.storage.snapshots import Snapshot

CHUNK_BYTES = 1  # bytes of a snapshot per message; small, so that a snapshot takes several chunks
RETAINED_ENTRIES = 0  # none before a snapshot, so that a replica that lacks one needs the snapshot


@attrs.frozen
class Disk:
    """Represents the durable state of a replica."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def base_index(self) -> int:
        """Return the index of the last entry in the snapshot; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot is not None else 0

    def holds(self, index: int, epoch: int) -> bool:
        """Return whether the entry of ``epoch`` at ``index`` is stored, in the log or in the snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def with_write(self, write: Write) -> Disk:
        """Return the disk with ``write`` applied."""
        if isinstance(write, WriteHardState):
            return attrs.evolve(self, hard_state=write.hard_state)
        if isinstance(write, WriteEntries):
            return attrs.evolve(self, entries=self._with_entries(write.entries))
        return attrs.evolve(self, snapshot=write.snapshot, entries=tuple(write.tail))

    def _with_entries(self, added: list[Entry]) -> tuple[Entry, ...]:
        entries = list(self.entries)
        for entry in added:
            position = entry.index - self.base_index - 1
            if position >= 0:
                entries[position:] = [entry]
        return tuple(entries)


@attrs.define(eq=False)
class DiskReader:
    """Reads the stored snapshot for the machine (``SnapshotSource``)."""

    disk: Disk

    def read_state(self, index: int, offset: int, size: int, *, encoded: bool = False) -> bytes:
        """Read ``size`` bytes of the state in the snapshot of entry ``index``; empty if it is not stored."""
        snapshot = self.disk.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state.read(offset, size, encoded=encoded)


class FixedIncarnation(Random):
    """Replaces the random generator: time-outs have no jitter, and the incarnation is the given number."""

    def __init__(self, incarnation: int) -> None:
        super().__init__(incarnation)
        self._incarnation = incarnation

    def random(self) -> float:
        """Return 0, which disables jitter."""
        return 0.0

    def getrandbits(self, _bits: int, /) -> int:
        """Return the number of the incarnation."""
        return self._incarnation


@attrs.define(eq=False)
class Process:
    """Represents a running replica; it is copied before each event, and the original is never changed."""

    machine: ReplicaMachine
    membership_requests: MembershipRequests
    reader: DiskReader

    def copy(self) -> Process:
        """Return a copy that shares no mutable objects with this process."""
        copy: Process = copy_graph(self, {})
        return copy


@attrs.frozen(eq=False)
class Node:
    """Represents a host with its disk; ``process`` is None while the replica is down."""

    identity: MemberIdentity
    disk: Disk
    incarnations: int = 0  # number of process starts on this disk
    process: Process | None = None
    unsynced: tuple[Write, ...] = ()  # writes that are not durable yet
    number: int = -1  # set when the node is interned: equal nodes are one object with one number
    is_primary: bool = False
    epoch: int = 0

    def content_digest(self) -> bytes:
        """Return a digest that is equal for nodes that behave alike."""
        return digest(
            canonical_form((self.identity, self.disk, self.incarnations, self.process, self.unsynced))
        )

    def numbered(self, number: int) -> Node:
        """Return the node with ``number`` and with its role and epoch filled in."""
        machine = self.process.machine if self.process is not None else None
        is_primary = machine is not None and machine.role is Role.PRIMARY
        epoch = machine.epoch if machine is not None else self.disk.hard_state.epoch
        return attrs.evolve(self, number=number, is_primary=is_primary, epoch=epoch)

    def started(self, faults: int, timing: Timing, now: float) -> Node:
        """Return the node with a new process recovered from the disk; its first effects are not taken yet."""
        recovered = RecoveredState(self.disk.hard_state, self.disk.snapshot, list(self.disk.entries))
        reader = DiskReader(self.disk)
        membership_requests = MembershipRequests()
        machine = ReplicaMachine(
            self.identity,
            faults,
            recovered,
            reader,
            FixedIncarnation(self.incarnations + 1),
            now,
            timing=timing,
            membership_requests=membership_requests,
            retained_entries=RETAINED_ENTRIES,
            chunk_bytes=CHUNK_BYTES,
        )
        return attrs.evolve(
            self, incarnations=self.incarnations + 1, process=Process(machine, membership_requests, reader)
        )

    def stopped(self, durable_writes: int) -> Node:
        """Return the node after a crash that left the first ``durable_writes`` unsynced writes durable."""
        disk = self.disk
        for write in self.unsynced[:durable_writes]:
            disk = disk.with_write(write)
        return attrs.evolve(self, process=None, unsynced=(), disk=disk)
