"""Members and their states, with the codec of the protocol's records."""

from __future__ import annotations

import socket
from enum import IntEnum
from typing import NamedTuple

import attrs

from cherrycove.tier.membership.errors import InvalidMessageError
from cherrycove.tier.protocol.membership_pb2 import MemberRecord, ReceiverView, Update
from cherrycove.tier.settings import PORT_OFFSETS

INCARNATION_LIMIT = 1 << 62  # far above any real incarnation, so that a member can always raise its own


class MemberState(IntEnum):
    """The state of a member; at one incarnation, a higher value overrides a lower one (SWIM, section 4.2).

    The values are those of ``State`` on the wire.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # SWIM's "faulty", disseminated by its "confirm" messages
    LEFT = 3  # the member notified others that it shuts down

    @property
    def is_running(self) -> bool:
        """Whether a member in this state counts as a running process."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)

    @staticmethod
    def from_wire(value: int) -> MemberState:
        """Return the state with this value on the wire; raises InvalidMessageError for an unknown one."""
        try:
            return MemberState(value)
        except ValueError as error:
            raise InvalidMessageError(f"{value} is no state of a member") from error


class MemberKey(NamedTuple):
    """Identifies a member by its name, which stays the same when its process restarts."""

    node_name: str
    program: str


@attrs.frozen(kw_only=True)
class Member:
    """Describes one process of the tier, with the values that the process itself announces."""

    node_name: str
    program: str
    ip: str
    zone: str
    region: str
    process_id: str  # new at each start of the process
    incarnation: int  # raised only by the member itself (SWIM, section 4.2)
    key: MemberKey = attrs.field(init=False, eq=False, repr=False)

    @key.default
    def _make_key(self) -> MemberKey:
        return MemberKey(self.node_name, self.program)

    @property
    def precedence(self) -> tuple[int, str]:
        """The sort key of descriptions of one member: the one with the higher value is newer.

        The process id only decides between two processes that have the same incarnation.
        """
        return self.incarnation, self.process_id

    def to_record(self) -> MemberRecord:
        """Return the record in which this member is sent."""
        return MemberRecord(
            node_name=self.node_name,
            program=self.program,
            ip=self.ip,
            zone=self.zone,
            region=self.region,
            process_id=self.process_id,
            incarnation=self.incarnation,
        )

    @staticmethod
    def from_record(record: MemberRecord) -> Member:
        """Return the member that a record of a message describes.

        Raises InvalidMessageError if no process of the tier sends such a record.
        """
        if not (record.node_name and record.process_id and record.program in PORT_OFFSETS):
            raise InvalidMessageError("a member needs a name, a process id and a known program")
        check_incarnation(record.incarnation)
        _check_ip(record.ip)
        return Member(
            node_name=record.node_name,
            program=record.program,
            ip=record.ip,
            zone=record.zone,
            region=record.region,
            process_id=record.process_id,
            incarnation=record.incarnation,
        )


def check_incarnation(incarnation: int) -> None:
    """Raise InvalidMessageError for an incarnation that no correct member can reach."""
    if incarnation >= INCARNATION_LIMIT:
        raise InvalidMessageError(f"incarnation {incarnation} is too high")


def _check_ip(ip: str) -> None:
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError) as error:  # ValueError: a null character
        raise InvalidMessageError(f"{ip!r} is no IPv4 address") from error


@attrs.frozen
class MemberStatus:
    """Combines a member with the state in which some process has recorded it."""

    member: Member
    state: MemberState

    @property
    def precedence(self) -> tuple[int, str, int]:
        """The sort key of statuses of one member: a higher value overrides a lower one."""
        return *self.member.precedence, self.state

    def to_update(self) -> Update:
        """Return this status as an update to piggyback on datagrams."""
        return Update(member=self.member.to_record(), state=self.state.name)

    @staticmethod
    def from_update(update: Update) -> MemberStatus:
        """Return the status in an update; raises InvalidMessageError for an invalid one."""
        return MemberStatus(Member.from_record(update.member), MemberState.from_wire(update.state))

    def to_receiver_view(self) -> ReceiverView:
        """Return this status in the form that datagrams to the member itself carry."""
        return ReceiverView(
            process_id=self.member.process_id,
            incarnation=self.member.incarnation,
            state=self.state.name,
        )
