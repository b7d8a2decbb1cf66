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
    """Store epoch, vote and commit index. ``ticket`` numbers the writes of a machine in order."""

    ticket: int
    hard_state: HardState


@attrs.frozen
class WriteEntries:
    """Append the entries; the first one replaces the entry at its index and all after it."""

    ticket: int
    entries: list[Entry]


@attrs.frozen
class WriteSnapshot:
    """Store the snapshot in place of the log up to its index, followed by ``tail``.

    A ``required`` snapshot came from the primary, and later entries need it; any other may be skipped when
    the disk has no space for it.
    """

    ticket: int
    snapshot: Snapshot
    tail: list[Entry]
    required: bool


Write = WriteHardState | WriteEntries | WriteSnapshot


@attrs.frozen
class OutgoingMessage:
    """A message to one replica. It may be lost, duplicated or reordered."""

    receiver: MemberIdentity
    message: Message


@attrs.define
class Effects:
    """Everything that a machine asked for since its effects were taken last.

    The runtime hands ``writes`` to the writer in order, restores ``restore`` before it applies ``committed``,
    and sends ``messages`` at once: none of them needs a write that is not yet durable. ``changed`` means that
    role, epoch, primary or members are not what they were.
    """

    writes: list[Write] = attrs.field(factory=list)
    messages: list[OutgoingMessage] = attrs.field(factory=list)
    restore: Snapshot | None = None
    committed: list[Entry] = attrs.field(factory=list)
    changed: bool = False
