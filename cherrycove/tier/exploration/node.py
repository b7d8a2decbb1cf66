"""One replica in an exploration as a value: its machine, its disk and its writes that are not synced."""

from __future__ import annotations

from random import Random

import attrs

from cherrycove.tier.exploration.copying import canonical, copy_graph, digest
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

CHUNK_BYTES = 1  # of a snapshot in one message, so that one comes in several chunks
RETAINED_ENTRIES = 0  # before a snapshot, so that whoever lacks one of them needs the snapshot


@attrs.frozen
class Disk:
    """The durable state of a replica."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def base_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without one."""
        return self.snapshot.index if self.snapshot is not None else 0

    def holds(self, index: int, epoch: int) -> bool:
        """Whether the entry of ``epoch`` at ``index`` is here, as itself or in a snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def after(self, write: Write) -> Disk:
        """Return the disk after ``write``."""
        if isinstance(write, WriteHardState):
            return attrs.evolve(self, hard_state=write.hard_state)
        if isinstance(write, WriteEntries):
            return attrs.evolve(self, entries=self._joined(write.entries))
        return attrs.evolve(self, snapshot=write.snapshot, entries=tuple(write.tail))

    def _joined(self, added: list[Entry]) -> tuple[Entry, ...]:
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
        """Read ``size`` bytes of the state in the snapshot of entry ``index``; empty if it is not there."""
        snapshot = self.disk.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state.read(offset, size, encoded=encoded)


class FixedIncarnation(Random):
    """In place of randomness: time-outs without jitter, and an incarnation with the number that is given."""

    def __init__(self, incarnation: int) -> None:
        super().__init__(incarnation)
        self._incarnation = incarnation

    def random(self) -> float:
        """Return 0, so that there is no jitter."""
        return 0.0

    def getrandbits(self, _bits: int, /) -> int:
        """Return the incarnation."""
        return self._incarnation


@attrs.define(eq=False)
class Process:
    """A running replica. Copied before every event, and never changed afterwards."""

    machine: ReplicaMachine
    membership_requests: MembershipRequests
    reader: DiskReader

    def copied(self) -> Process:
        """Return a copy that shares nothing that changes."""
        copied: Process = copy_graph(self, {})
        return copied


@attrs.frozen(eq=False)
class Node:
    """A machine of the deployment with its disk; ``process`` is None while it is down."""

    identity: MemberIdentity
    disk: Disk
    incarnations: int = 0  # starts of a process on this disk
    process: Process | None = None
    unsynced: tuple[Write, ...] = ()  # writes that are not durable yet
    number: int = -1  # equal nodes are one object with one number
    is_primary: bool = False
    epoch: int = 0

    def content_digest(self) -> bytes:
        """Return a digest that is equal for nodes that behave alike."""
        return digest(canonical((self.identity, self.disk, self.incarnations, self.process, self.unsynced)))

    def numbered(self, number: int) -> Node:
        """Return the node with its number, its role and its epoch."""
        machine = self.process.machine if self.process is not None else None
        is_primary = machine is not None and machine.role is Role.PRIMARY
        epoch = machine.epoch if machine is not None else self.disk.hard_state.epoch
        return attrs.evolve(self, number=number, is_primary=is_primary, epoch=epoch)

    def started(self, faults: int, timing: Timing, now: float) -> Node:
        """Return the node with a new process, recovered from the disk, with its first effects."""
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

    def stopped(self, kept: int) -> Node:
        """Return the node without a process; the first ``kept`` of the writes in progress are durable."""
        disk = self.disk
        for write in self.unsynced[:kept]:
            disk = disk.after(write)
        return attrs.evolve(self, process=None, unsynced=(), disk=disk)
