"""Members, their states and the parameters of the protocol."""

from __future__ import annotations

import math
import socket
from enum import IntEnum
from typing import NamedTuple

import attrs

from cherrycove.tier.protocol.membership_pb2 import MemberRecord, Update
from cherrycove.tier.settings import PORT_OFFSETS

INCARNATION_LIMIT = 1 << 62  # far above any counter; keeps room to raise it


class MemberState(IntEnum):
    """What is believed of a member; at one incarnation, a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_running(self) -> bool:
        """Whether a member in this state counts as a process that runs."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberKey(NamedTuple):
    """The name of a member, which it keeps over restarts."""

    node_name: str
    program: str


@attrs.frozen(kw_only=True)
class Member:
    """One process of the tier, as it describes itself."""

    node_name: str
    program: str
    ip: str
    zone: str
    region: str
    process_id: str  # new at each start of the process
    incarnation: int  # raised by the member itself
    key: MemberKey = attrs.field(init=False, eq=False, repr=False)

    @key.default
    def _make_key(self) -> MemberKey:
        return MemberKey(self.node_name, self.program)

    @property
    def precedence(self) -> tuple[int, str]:
        """A higher value is newer. The process id only decides between equal counters of two starts."""
        return self.incarnation, self.process_id

    def to_record(self) -> MemberRecord:
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
        """The member in a message; ``ValueError`` if no process of the tier describes itself so."""
        if not (record.node_name and record.process_id and record.program in PORT_OFFSETS):
            raise ValueError("a member needs a name, a process id and a known program")
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
    """``ValueError`` for a counter that no member reaches."""
    if incarnation >= INCARNATION_LIMIT:
        raise ValueError(f"incarnation {incarnation} is too high")


def _check_ip(ip: str) -> None:
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except OSError as error:
        raise ValueError(f"{ip!r} is no IPv4 address") from error


@attrs.frozen
class MemberStatus:
    """A member and what is believed of it."""

    member: Member
    state: MemberState

    @property
    def precedence(self) -> tuple[int, str, int]:
        return *self.member.precedence, self.state

    def to_update(self) -> Update:
        return Update(member=self.member.to_record(), state=self.state.name)

    @staticmethod
    def from_update(update: Update) -> MemberStatus:
        return MemberStatus(Member.from_record(update.member), MemberState(update.state))


@attrs.frozen(kw_only=True)
class SwimParameters:
    """Times of the protocol, as multiples of its period, and counts."""

    period_s: float
    direct_timeout_periods: float = 0.15  # until a silent member is probed through others
    retry_periods: float = 0.1  # between further tries, direct and through others
    probe_timeout_periods: float = 0.5  # until a silent member is suspected
    suspicion_periods: float = 1.0  # times log10 of the number of members
    reported_death_periods: float = 1.0  # suspicion of a member that somebody else has declared dead
    verification_periods: float = 0.25  # between the pings of a suspected member
    stall_periods: float = 0.25  # a timer later than this tells that this process itself stood still
    seed_contact_periods: float = 0.2  # between calls to the seeds while no other member is known
    tombstone_periods: float = 120.0  # how long dead members are remembered, and looked for
    exchange_periods: float = 2.0  # shortest time between full exchanges
    quiet_exchange_periods: float = 25.0  # longest time between full exchanges
    gossip_periods: float = 0.25  # between datagrams that only carry updates, while there are any
    gossip_members: int = 3  # receivers of each of these
    indirect_members: int = 3  # members asked for an indirect probe
    verifying_members: int = 8  # members that ping a suspected one besides its first accuser
    contacts_per_period: int = 3  # pings of unknown seeds and dead members, by all members together
    verifications_per_batch: int = 10
    leave_notified_members: int = 6  # members told directly that this one leaves
    retransmission_factor: float = 3.0  # times log2 of the number of members
    min_transmissions: int = 10
    max_datagram_bytes: int = 1150

    def suspicion_s(self, members: int) -> float:
        """How long a member may take to refute a suspicion."""
        return self.suspicion_periods * max(1.0, math.log10(max(members, 1))) * self.period_s

    def transmissions(self, members: int) -> int:
        """How often an update is sent on."""
        return max(self.min_transmissions, math.ceil(self.retransmission_factor * math.log2(members + 1)))
