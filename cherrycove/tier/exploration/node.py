"""One replica in an exploration: its machine, its disk and its unfinished writes, as a value."""

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

CHUNK_BYTES = 1  # of a snapshot in one message, so that one comes in parts
KEPT_ENTRIES = 0  # before a snapshot, so that whoever lacks one of them needs the snapshot


@attrs.frozen
class Disk:
    """What is durable."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def base_index(self) -> int:
        return self.snapshot.index if self.snapshot is not None else 0

    def holds(self, index: int, epoch: int) -> bool:
        """Whether the entry of ``epoch`` at ``index`` is here, as itself or in a snapshot."""
        position = index - self.base_index - 1
        if position < 0:
            return True
        return position < len(self.entries) and self.entries[position].epoch == epoch

    def after(self, write: Write) -> Disk:
        """With ``write`` done."""
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

    def read_state(self, index: int, offset: int, size: int) -> bytes:
        snapshot = self.disk.snapshot
        if snapshot is None or snapshot.index != index:
            return b""
        return snapshot.state[offset : offset + size]


class NamedLife(Random):
    """No chance at all: time-outs have no jitter, and the life is the number that is given."""

    def __init__(self, life: int) -> None:
        super().__init__(life)
        self._life = life

    def random(self) -> float:
        return 0.0

    def getrandbits(self, bits: int, /) -> int:
        return self._life


@attrs.define(eq=False)
class Process:
    """A running replica. Copied before every event, and never changed afterwards."""

    machine: ReplicaMachine
    wishes: MembershipRequests
    reader: DiskReader

    def copied(self) -> Process:
        copied: Process = copy_graph(self, {})
        return copied


@attrs.frozen(eq=False)
class Node:
    """A machine of the deployment with its disk; ``process`` is None while it is down."""

    identity: MemberIdentity
    disk: Disk
    lives: int = 0  # starts of a process on this disk
    process: Process | None = None
    waiting: tuple[Write, ...] = ()  # handed out and not durable
    number: int = -1  # equal nodes are one object with one number
    leads: bool = False
    epoch: int = 0

    def content_digest(self) -> bytes:
        """Equal for nodes that behave alike."""
        return digest(canonical((self.identity, self.disk, self.lives, self.process, self.waiting)))

    def sealed(self, number: int) -> Node:
        """With its number, and what is asked of it often."""
        machine = self.process.machine if self.process is not None else None
        leads = machine is not None and machine.role is Role.PRIMARY
        epoch = machine.epoch if machine is not None else self.disk.hard_state.epoch
        return attrs.evolve(self, number=number, leads=leads, epoch=epoch)

    def started(self, faults: int, timing: Timing, now: float) -> Node:
        """With a new process that has recovered from the disk; its first effects are not taken yet."""
        recovered = RecoveredState(self.disk.hard_state, self.disk.snapshot, list(self.disk.entries))
        reader = DiskReader(self.disk)
        wishes = MembershipRequests()
        machine = ReplicaMachine(
            self.identity,
            faults,
            recovered,
            reader,
            NamedLife(self.lives + 1),
            now,
            timing=timing,
            membership_requests=wishes,
            retained_entries=KEPT_ENTRIES,
            chunk_bytes=CHUNK_BYTES,
        )
        return attrs.evolve(self, lives=self.lives + 1, process=Process(machine, wishes, reader))

    def stopped(self, kept: int) -> Node:
        """Without a process; the first ``kept`` of the unfinished writes have reached the disk."""
        disk = self.disk
        for write in self.waiting[:kept]:
            disk = disk.after(write)
        return attrs.evolve(self, process=None, waiting=(), disk=disk)
