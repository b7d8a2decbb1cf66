"""Builds the datagrams of one process and fills them up with updates."""

from __future__ import annotations

from cherrycove.tier.membership.effects import SendDatagram
from cherrycove.tier.membership.members import Member, MemberStatus, SwimParameters
from cherrycove.tier.membership.membership_list import MembershipList
from cherrycove.tier.protocol.membership_pb2 import Ack, Datagram, IndirectPing, Ping, ReceiverView


class Outbox:
    """Datagrams to be sent, in order."""

    def __init__(self, members: MembershipList, parameters: SwimParameters) -> None:
        self._members = members
        self._parameters = parameters
        self._pending: list[SendDatagram] = []

    def take(self) -> list[SendDatagram]:
        """What was sent since the last call."""
        pending = self._pending
        self._pending = []
        return pending

    def ping(self, address: str, believed: MemberStatus | None, sequence: int) -> None:
        """Ping whoever is at ``address``, and tell it what is believed of the member expected there."""
        self._send(address, Datagram(receiver=_view_of(believed), ping=Ping(sequence=sequence)))

    def ack(self, address: str, receiver: Member, sequence: int) -> None:
        believed = self._members.table.get(receiver.key)
        self._send(address, Datagram(receiver=_view_of(believed), ack=Ack(sequence=sequence)))

    def relayed_ack(self, address: str, sequence: int) -> None:
        """Tell a member that the one it asked for has answered."""
        self._send(address, Datagram(ack=Ack(sequence=sequence)))

    def indirect_ping(self, address: str, helper: MemberStatus, target: Member, sequence: int) -> None:
        """Ask ``helper`` to ping ``target``."""
        request = IndirectPing(sequence=sequence, target=target.to_record())
        self._send(address, Datagram(receiver=_view_of(helper), indirect_ping=request))

    def gossip(self, address: str, receiver: MemberStatus) -> None:
        """Send nothing but updates."""
        self._send(address, Datagram(receiver=_view_of(receiver)))

    def _send(self, address: str, datagram: Datagram) -> None:
        datagram.sender.CopyFrom(self._members.local.member.to_record())
        available_bytes = self._parameters.max_datagram_bytes - datagram.ByteSize()
        transmissions = self._parameters.transmissions(self._members.table.running_count)
        datagram.updates.extend(self._members.queue.take(available_bytes, transmissions))
        self._pending.append(SendDatagram(address, datagram))


def _view_of(status: MemberStatus | None) -> ReceiverView | None:
    if status is None:
        return None
    member = status.member
    return ReceiverView(process_id=member.process_id, incarnation=member.incarnation, state=status.state.name)
