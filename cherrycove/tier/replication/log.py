"""The log of one replica in memory: the entries behind a base, with the member lists that they hold."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from cherrycove.tier.protocol.replication_pb2 import Member, MemberList
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.storage.entries import Entry, EntryKind

KEPT_ENTRIES = 256  # kept in memory before a snapshot, for backups that lag a little
KEPT_BYTES = 1024 * 1024
EXCLUDED_LIMIT = 512  # ids kept in a list, the newest; see ``Membership.excluding``

Members = tuple[MemberIdentity, ...]


@attrs.frozen
class Membership:
    """What a members entry says: who is in the group, and which disks must never be taken in again."""

    members: Members = ()
    excluded: tuple[str, ...] = ()  # member ids, in the order of their exclusion

    def excluding(self, member_ids: Iterable[str]) -> tuple[str, ...]:
        """``excluded`` with ``member_ids`` behind, but for the oldest beyond EXCLUDED_LIMIT.

        An id matters only as long as its process may still be offered as a standby, that is until the
        retired machine is switched off. The limit is far above the number of machines that can be between
        their order to retire and that moment, and it keeps a list below some twenty kilobytes."""
        fresh = [member_id for member_id in member_ids if member_id not in self.excluded]
        return (*self.excluded, *dict.fromkeys(fresh))[-EXCLUDED_LIMIT:]


def to_message(member: MemberIdentity) -> Member:
    return Member(
        member_id=member.member_id, node_name=member.node_name, address=member.address, zone=member.zone
    )


def from_message(member: Member) -> MemberIdentity:
    return MemberIdentity(member.member_id, member.node_name, member.address, member.zone)


def encode_members(members: Sequence[MemberIdentity], excluded: Sequence[str] = ()) -> bytes:
    ordered = sorted(members, key=lambda member: member.member_id)
    message = MemberList(members=[to_message(member) for member in ordered], excluded=excluded)
    return message.SerializeToString(deterministic=True)


def decode_members(data: bytes) -> Membership:
    message = MemberList.FromString(data)
    return Membership(tuple(from_message(member) for member in message.members), tuple(message.excluded))


@attrs.frozen
class IndexedMembership:
    """A member list and an index from which it is in force."""

    index: int
    membership: Membership

    @property
    def members(self) -> Members:
        return self.membership.members


class ReplicatedLog:
    """Entries ``base_index + 1`` to ``last_index``."""

    def __init__(
        self, base_index: int = 0, base_epoch: int = 0, membership: Membership | None = None
    ) -> None:
        self.base_index = base_index
        self.base_epoch = base_epoch
        self._entries: list[Entry] = []
        self._lists = [IndexedMembership(base_index, membership or Membership())]

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_epoch(self) -> int:
        return self._entries[-1].epoch if self._entries else self.base_epoch

    def epoch_at(self, index: int) -> int | None:
        """Epoch of the entry at ``index``; None where it is not in memory."""
        if index == self.base_index:
            return self.base_epoch
        position = index - self.base_index - 1
        return self._entries[position].epoch if 0 <= position < len(self._entries) else None

    def append(self, entries: Sequence[Entry]) -> None:
        """Add ``entries``, without a gap; those already there from the first one's index on are dropped."""
        self._truncate(entries[0].index)
        self._entries.extend(entries)
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._lists.append(IndexedMembership(entry.index, decode_members(entry.payload)))

    def _truncate(self, index: int) -> None:
        del self._entries[index - self.base_index - 1 :]
        while self._lists[-1].index >= index and len(self._lists) > 1:
            self._lists.pop()

    def entries(self, first: int, last: int) -> list[Entry]:
        """Entries ``first`` to ``last``, both included."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def bounded(self, first: int, limit_bytes: int) -> list[Entry]:
        """Entries from ``first`` on, at least one if there is one, of about ``limit_bytes`` at most."""
        position = first - self.base_index - 1
        end = position
        size = 0
        while end < len(self._entries) and (
            end == position or size + self._entries[end].size_bytes <= limit_bytes
        ):
            size += self._entries[end].size_bytes
            end += 1
        return self._entries[position:end]

    def members_at(self, index: int) -> IndexedMembership:
        """The list in force at ``index``."""
        return next((at for at in reversed(self._lists) if at.index <= index), self._lists[0])

    @property
    def newest_members(self) -> IndexedMembership:
        return self._lists[-1]

    def compact(self, index: int, retained_entries: int = KEPT_ENTRIES) -> None:
        """Forget entries up to ``index``, but for the last ``retained_entries`` of them."""
        base = index
        size = 0
        while base > self.base_index and index - base < retained_entries and size < KEPT_BYTES:
            size += self._entries[base - self.base_index - 1].size_bytes
            base -= 1
        if base <= self.base_index:
            return
        kept = IndexedMembership(base, self.members_at(base).membership)
        self._lists = [kept] + [at for at in self._lists if at.index > base]
        self.base_epoch = self.epoch_at(base) or 0
        del self._entries[: base - self.base_index]
        self.base_index = base
