"""What a machine asks its runtime to do: writes, messages, commands to apply."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.frozen
class WriteHardState:
    """Store the promise, behind all earlier writes."""

    ticket: int
    hard_state: HardState


@attrs.frozen
class WriteEntries:
    """Append the entries; the first one replaces what stands at its index and behind."""

    ticket: int
    entries: list[Entry]


@attrs.frozen
class WriteSnapshot:
    """Store the snapshot in place of the log up to its index, and ``tail`` behind it."""

    ticket: int
    snapshot: Snapshot
    tail: list[Entry]
    required: bool  # it came from the primary, and later entries need it; else it may be skipped


Write = WriteHardState | WriteEntries | WriteSnapshot


@attrs.frozen
class OutgoingMessage:
    """A message to one replica."""

    receiver: MemberIdentity
    message: Message


@attrs.define
class Effects:
    """Everything that came out of the machine since effects were taken last. Writes are done in order."""

    writes: list[Write] = attrs.field(factory=list)
    messages: list[OutgoingMessage] = attrs.field(factory=list)
    restore: Snapshot | None = None  # to be restored before ``committed`` is applied
    committed: list[Entry] = attrs.field(factory=list)
    changed: bool = False  # role, epoch, primary or members
