"""Builds the datagrams of one process and piggybacks updates on them."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from cherrycove.tier.membership.effects import SendDatagram
from cherrycove.tier.membership.members import Member, MemberStatus
from cherrycove.tier.membership.membership_list import MembershipList
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.membership_pb2 import Ack, Datagram, IndirectPing, Ping


def sample(rng: random.Random, statuses: Sequence[MemberStatus], count: int) -> list[MemberStatus]:
    """Return ``count`` different members at random, or all of them if there are fewer."""
    return rng.sample(statuses, min(count, len(statuses)))


class Outbox:
    """Collects the datagrams to send and numbers the pings, so that acks can be matched to them.

    Owned by the ``SwimMachine``, which empties it after each event. Every datagram to a known
    member, except a relayed ack, carries the state in which the sender has that member.
    """

    def __init__(
        self, members: MembershipList, parameters: SwimParameters, address_of: Callable[[Member], str]
    ) -> None:
        self._members = members
        self._parameters = parameters
        self._address_of = address_of
        self._sequence = 0
        self._pending: list[SendDatagram] = []

    def take(self) -> list[SendDatagram]:
        """Return the datagrams built since the last call, in order, and clear them."""
        pending = self._pending
        self._pending = []
        return pending

    def address_of(self, member: Member) -> str:
        """Return the address (host:port) at which a member takes both datagrams and internal calls."""
        return self._address_of(member)

    def next_sequence(self) -> int:
        """Return a new sequence number for a ping of this process."""
        self._sequence += 1
        return self._sequence

    def ping(self, receiver: MemberStatus, sequence: int) -> None:
        """Ping a member (SWIM, section 3.1)."""
        datagram = Datagram(receiver=receiver.to_receiver_view(), ping=Ping(sequence=sequence))
        self._send(self.address_of(receiver.member), datagram)

    def ping_address(self, address: str, sequence: int) -> None:
        """Ping whichever process listens at ``address`` (host:port)."""
        self._send(address, Datagram(ping=Ping(sequence=sequence)))

    def ack(self, address: str, receiver: Member, sequence: int) -> None:
        """Answer a ping of ``receiver`` that came from ``address``."""
        known = self._members.table.get(receiver.key)
        view = known.to_receiver_view() if known is not None else None
        self._send(address, Datagram(receiver=view, ack=Ack(sequence=sequence)))

    def relayed_ack(self, address: str, sequence: int) -> None:
        """Answer an indirect ping whose target has answered this process (SWIM, section 3.1)."""
        self._send(address, Datagram(ack=Ack(sequence=sequence)))

    def indirect_ping(self, relay: MemberStatus, target: Member, sequence: int) -> None:
        """Ask ``relay`` to ping ``target``; this is SWIM's ping-req (section 3.1)."""
        request = IndirectPing(sequence=sequence, target=target.to_record())
        datagram = Datagram(receiver=relay.to_receiver_view(), indirect_ping=request)
        self._send(self.address_of(relay.member), datagram)

    def gossip(self, receiver: MemberStatus) -> None:
        """Send a datagram that carries only updates."""
        self._send(self.address_of(receiver.member), Datagram(receiver=receiver.to_receiver_view()))

    def _send(self, address: str, datagram: Datagram) -> None:
        datagram.sender.CopyFrom(self._members.local.member.to_record())
        available_bytes = self._parameters.max_datagram_bytes - datagram.ByteSize()
        max_transmissions = self._parameters.transmissions(self._members.table.running_count)
        datagram.updates.extend(self._members.queue.take(available_bytes, max_transmissions))
        self._pending.append(SendDatagram(address, datagram))
