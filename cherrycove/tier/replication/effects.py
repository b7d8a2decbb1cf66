"""Outputs of a replica machine that its runtime executes: writes, messages and entries to apply."""

from __future__ import annotations

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.snapshots import Snapshot


@attrs.frozen
class WriteHardState:
    """Requests a write of epoch, vote and commit index.

    ``ticket`` numbers the writes of a replica machine consecutively.
    """

    ticket: int
    hard_state: HardState


@attrs.frozen
class WriteEntries:
    """Requests that the entries are appended; the first replaces the entry at its index and all after it."""

    ticket: int
    entries: list[Entry]


@attrs.frozen
class WriteSnapshot:
    """Requests that the log is replaced with the snapshot and the entries after it, ``tail``.

    A ``required`` snapshot came from the primary, and later entries depend on it; any other may be skipped if
    the disk has no space for it.
    """

    ticket: int
    snapshot: Snapshot
    tail: list[Entry]
    required: bool


Write = WriteHardState | WriteEntries | WriteSnapshot


@attrs.frozen
class OutgoingMessage:
    """A message to one replica; the network may lose, duplicate or reorder it."""

    receiver: MemberIdentity
    message: Message


@attrs.define
class Effects:
    """Collects the outputs of a replica machine since ``take_effects`` was last called.

    The runtime submits ``writes`` to the writer in order, restores ``restore`` before it applies
    ``committed``, and sends ``messages`` at once: none of them depends on a write that is not yet durable.
    ``changed`` is set if the role, the epoch, the primary or the members changed.
    """

    writes: list[Write] = attrs.field(factory=list)
    messages: list[OutgoingMessage] = attrs.field(factory=list)
    restore: Snapshot | None = None
    committed: list[Entry] = attrs.field(factory=list)
    changed: bool = False
