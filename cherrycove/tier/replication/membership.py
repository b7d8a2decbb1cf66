"""Group membership as stored in log entries: types and encoding.

A members entry carries the complete list of members and of excluded disks (message ``MemberList`` of
``replication.proto``), so the newest such entry alone determines the membership.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from cherrycove.tier.protocol.replication_pb2 import Member, MemberList
from cherrycove.tier.replication.interface import MemberIdentity

#: Maximum number of excluded ids in a members entry, the newest ones; see ``Membership.excluding``.
MAX_EXCLUDED = 512

Members = tuple[MemberIdentity, ...]


@attrs.frozen
class Membership:
    """Holds the members of the group and the disks that must never be added again.

    ``excluded`` holds member ids in the order in which they were excluded.
    """

    members: Members = ()
    excluded: tuple[str, ...] = ()

    def excluding(self, member_ids: Iterable[str]) -> tuple[str, ...]:
        """Return ``excluded`` followed by ``member_ids``, without the oldest ids beyond MAX_EXCLUDED.

        An id matters only while its process may still be offered as a standby, that is, until the retired
        host is switched off. The limit is far above the number of hosts that are between the request to
        retire and that moment, and it keeps an entry below about 20 KB.
        """
        fresh = [member_id for member_id in member_ids if member_id not in self.excluded]
        return (*self.excluded, *dict.fromkeys(fresh))[-MAX_EXCLUDED:]


@attrs.frozen
class IndexedMembership:
    """A membership with the log index from which it is in force."""

    index: int
    membership: Membership

    @property
    def members(self) -> Members:
        """Return the members, without the excluded ids."""
        return self.membership.members


def member_to_message(member: MemberIdentity) -> Member:
    """Encode one member for a message or a members entry."""
    return Member(
        member_id=member.member_id, node_name=member.node_name, address=member.address, zone=member.zone
    )


def member_from_message(member: Member) -> MemberIdentity:
    """Decode one member of a message or a members entry."""
    return MemberIdentity(member.member_id, member.node_name, member.address, member.zone)


def encode_members(members: Sequence[MemberIdentity], excluded: Sequence[str] = ()) -> bytes:
    """Encode the payload of a members entry.

    The bytes do not depend on the order of ``members``: all initial members must write the same entry.
    """
    ordered = sorted(members, key=lambda member: member.member_id)
    message = MemberList(members=[member_to_message(member) for member in ordered], excluded=excluded)
    return message.SerializeToString(deterministic=True)


def decode_members(data: bytes) -> Membership:
    """Decode the payload of a members entry; raises protobuf's ``DecodeError`` if it is invalid."""
    message = MemberList.FromString(data)
    members = tuple(member_from_message(member) for member in message.members)
    return Membership(members, tuple(message.excluded))
