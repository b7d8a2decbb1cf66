"""In-memory log of one replica: the entries after a snapshot and the commit index."""

from __future__ import annotations

from collections.abc import Sequence

from cherrycove.tier.replication.membership import IndexedMembership, Membership, decode_members
from cherrycove.tier.storage.entries import Entry, EntryKind

#: Entries covered by a snapshot that stay in memory, so that backups with a small lag need no snapshot.
RETAINED_ENTRIES = 256
RETAINED_BYTES = 1024 * 1024


class ReplicatedLog:
    """Holds the entries ``base_index + 1`` to ``last_index``; those up to ``commit_index`` never change.

    Owned by ``ReplicaCore`` for the lifetime of the process. Of the entries up to ``base_index``, only the
    resulting state and the membership in force at that index are kept. This object is not durable: the core
    emits each change as a write, and a restarted process rebuilds the log from disk.
    """

    def __init__(
        self, base_index: int = 0, base_epoch: int = 0, membership: Membership | None = None
    ) -> None:
        self.base_index = base_index
        self.base_epoch = base_epoch
        self.commit_index = base_index
        self._entries: list[Entry] = []
        self._memberships = [IndexedMembership(base_index, membership or Membership())]

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, or ``base_index`` if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_epoch(self) -> int:
        """Return the epoch of the entry at ``last_index``."""
        return self._entries[-1].epoch if self._entries else self.base_epoch

    def epoch_at(self, index: int) -> int | None:
        """Return the epoch of the entry at ``index``; None if it is not in memory."""
        if index == self.base_index:
            return self.base_epoch
        position = index - self.base_index - 1
        return self._entries[position].epoch if 0 <= position < len(self._entries) else None

    def append(self, entries: Sequence[Entry]) -> None:
        """Append ``entries``, which must leave no gap; existing entries from the first index on are removed.

        A membership is in force as soon as its entry is appended (Raft, section 6).
        """
        self._truncate(entries[0].index)
        self._entries.extend(entries)
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._memberships.append(IndexedMembership(entry.index, decode_members(entry.payload)))

    def _truncate(self, index: int) -> None:
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1].index >= index and len(self._memberships) > 1:
            self._memberships.pop()

    def commit_to(self, index: int) -> list[Entry]:
        """Raise ``commit_index`` to ``index``; return the newly committed entries."""
        committed = self.entries(self.commit_index + 1, index)
        self.commit_index = index
        return committed

    def entries(self, first: int, last: int) -> list[Entry]:
        """Return the entries ``first`` to ``last``, both inclusive."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def entries_within(self, first: int, max_bytes: int) -> list[Entry]:
        """Return entries from ``first`` on: at most ``max_bytes`` in total, but at least one if any exist."""
        start = first - self.base_index - 1
        end = start
        size_bytes = 0
        while end < len(self._entries):
            entry_bytes = self._entries[end].size_bytes
            if end > start and size_bytes + entry_bytes > max_bytes:
                break
            size_bytes += entry_bytes
            end += 1
        return self._entries[start:end]

    def membership_at(self, index: int) -> IndexedMembership:
        """Return the membership in force at ``index``."""
        return next((at for at in reversed(self._memberships) if at.index <= index), self._memberships[0])

    @property
    def newest_membership(self) -> IndexedMembership:
        """Return the membership in force at the end of the log, committed or not."""
        return self._memberships[-1]

    def compact(self, index: int, retained_entries: int = RETAINED_ENTRIES) -> None:
        """Drop entries up to ``index``, except the last ``retained_entries`` or RETAINED_BYTES of them.

        Whichever limit is reached first applies.
        """
        base = index
        size_bytes = 0
        while base > self.base_index and index - base < retained_entries and size_bytes < RETAINED_BYTES:
            size_bytes += self._entries[base - self.base_index - 1].size_bytes
            base -= 1
        if base <= self.base_index:
            return
        at_base = IndexedMembership(base, self.membership_at(base).membership)
        self._memberships = [at_base] + [at for at in self._memberships if at.index > base]
        self.base_epoch = self.epoch_at(base) or 0
        del self._entries[: base - self.base_index]
        self.base_index = base

    def reset(self, base_index: int, base_epoch: int, membership: Membership) -> None:
        """Replace the log with a snapshot of the entries up to ``base_index``, which are all committed."""
        self.base_index = base_index
        self.base_epoch = base_epoch
        self.commit_index = base_index
        self._entries.clear()
        self._memberships = [IndexedMembership(base_index, membership)]
