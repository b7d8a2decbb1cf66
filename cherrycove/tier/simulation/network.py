"""Simulates a network between replicas that loses, duplicates, delays and reorders messages."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.effects import OutgoingMessage
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.simulation.events import EventQueue
from cherrycove.tier.simulation.replica import Replica

MIN_DELAY_S = 0.0005

MachineAction = Callable[[ReplicaMachine], None]


@attrs.define
class NetworkConditions:
    """Describes how all links behave at present; shares are of all messages."""

    delay_s: float = 0.003  # maximum for a message that is not slow
    slow_share: float = 0.05  # of messages that take up to slow_s
    slow_s: float = 0.4
    loss: float = 0.03
    duplicated: float = 0.03


class SimulatedNetwork:
    """Delivers messages between the replicas of one world. A message that arrives over a cut link is lost.

    ``cuts`` contains the directed links that are cut, as addresses of sender and receiver.
    """

    def __init__(
        self,
        random: Random,
        events: EventQueue,
        find_replica: Callable[[str], Replica | None],
        handle: Callable[[Replica, int, MachineAction], None],
    ) -> None:
        """Create the network.

        ``find_replica`` finds a replica by address; ``handle`` runs an action on an incarnation of a replica.
        """
        self._random = random
        self._events = events
        self._find_replica = find_replica
        self._handle = handle
        self.conditions = NetworkConditions()
        self.cuts: set[tuple[str, str]] = set()

    def heal_address(self, address: str) -> None:
        """Heal all links of ``address``."""
        self.cuts = {link for link in self.cuts if address not in link}

    def send(self, sender: MemberIdentity, outgoing: OutgoingMessage) -> None:
        """Send a message, which is lost or arrives once or twice after a random delay."""
        conditions, random = self.conditions, self._random
        transmissions = 2 if random.random() < conditions.duplicated else 1
        for _ in range(transmissions):
            if random.random() < conditions.loss:
                continue
            delay_s = random.uniform(MIN_DELAY_S, conditions.delay_s)
            if random.random() < conditions.slow_share:
                delay_s = random.uniform(0.0, conditions.slow_s)
            self._events.after(delay_s, partial(self._arrive, sender, outgoing.receiver, outgoing.message))

    def _arrive(self, sender: MemberIdentity, receiver: MemberIdentity, message: Message) -> None:
        if (sender.address, receiver.address) in self.cuts:
            return
        replica = self._find_replica(receiver.address)
        if replica is None:
            return
        if replica.identity.member_id == receiver.member_id:
            self._handle(replica, replica.incarnation, partial(self._deliver, sender, message))
        elif replica.is_running and (receiver.address, sender.address) not in self.cuts:
            delay_s = self._random.uniform(MIN_DELAY_S, self.conditions.delay_s)
            self._events.after(delay_s, partial(self._reject_misdirected, sender, receiver.member_id))

    def _deliver(self, sender: MemberIdentity, message: Message, machine: ReplicaMachine) -> None:
        without_node_name = MemberIdentity(sender.member_id, "", sender.address)
        machine.receive(without_node_name, message, self._events.now)

    def _reject_misdirected(self, sender: MemberIdentity, member_id: str) -> None:
        """Notify ``sender`` that the address of ``member_id`` now has another disk."""
        replica = self._find_replica(sender.address)
        if replica is not None and replica.identity.member_id == sender.member_id:
            self._handle(
                replica,
                replica.incarnation,
                lambda machine: machine.record_disk_replaced(member_id, self._events.now),
            )
