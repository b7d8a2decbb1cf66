"""The document that ``status`` prints, built from a controller's reply, and its form as text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerEntry, Replica, StoreGroup
from cherrycove.tier.protocol.keeper_pb2 import RetireOrder, StatusReply

PROXY_PROGRAM = "proxy"


@attrs.frozen
class ReplicaDocument:
    """Describes a member of a replicated group."""

    node: str
    member_id: str
    address: str  # host:port of its internal calls
    zone: str

    @staticmethod
    def of(replica: Replica) -> ReplicaDocument:
        """Return the document of a replica."""
        return ReplicaDocument(
            node=replica.node_name,
            member_id=replica.member_id,
            address=replica.address,
            zone=replica.zone,
        )


@attrs.frozen
class StoreGroupDocument:
    """Describes the store group as the controllers have recorded it."""

    initial: list[ReplicaDocument]  # the first members of the group; empty until it is formed
    retiring: list[str]  # node names, including those whose retirement is completed

    @staticmethod
    def of(group: StoreGroup) -> StoreGroupDocument:
        """Return the document of a store group."""
        return StoreGroupDocument(
            initial=[ReplicaDocument.of(member) for member in group.initial],
            retiring=list(group.retiring),
        )


@attrs.frozen
class RetireOrderDocument:
    """Describes an operator's order to retire a storage machine."""

    node: str
    state: str  # "active" or "completed"

    @staticmethod
    def of(order: RetireOrder) -> RetireOrderDocument:
        """Return the document of an order."""
        return RetireOrderDocument(order.node_name, "completed" if order.completed else "active")


@attrs.frozen
class ProcessDocument:
    """Describes a running process as it announced itself."""

    node: str
    program: str
    ip: str
    zone: str
    incarnation: str
    member_id: str
    group_primary: bool
    group_epoch: int
    configuration_version: int
    leaving: bool

    @staticmethod
    def of(process: Announcement) -> ProcessDocument:
        """Return the document of an announced process."""
        return ProcessDocument(
            node=process.node_name,
            program=process.program,
            ip=process.ip,
            zone=process.zone,
            incarnation=process.incarnation,
            member_id=process.member_id,
            group_primary=process.group_primary,
            group_epoch=process.group_epoch,
            configuration_version=process.configuration_version,
            leaving=process.leaving,
        )


@attrs.frozen
class BrokerDocument:
    """Describes a model broker from the platform's list."""

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool

    @staticmethod
    def of(broker: BrokerEntry) -> BrokerDocument:
        """Return the document of a broker."""
        return BrokerDocument(
            instance_id=broker.instance_id,
            service=broker.service,
            address=broker.address,
            zone=broker.zone,
            slots=broker.capacity_slots,
            draining=broker.draining,
        )


@attrs.frozen
class StatusDocument:
    """Describes the state of the tier that one controller has recorded."""

    answered_by: str
    confirmed: bool  # whether the controller is the primary and holds a valid lease
    epoch: int
    primary: str
    keepers: list[ReplicaDocument]
    configuration_version: int
    store_group: StoreGroupDocument
    retire_orders: list[RetireOrderDocument]
    processes: list[ProcessDocument]  # by program, then node
    brokers: list[BrokerDocument]

    @staticmethod
    def of(reply: StatusReply) -> StatusDocument:
        """Return the document of a reply."""
        processes = sorted(reply.announcements, key=lambda process: (process.program, process.node_name))
        return StatusDocument(
            answered_by=reply.node_name,
            confirmed=reply.confirmed,
            epoch=reply.epoch,
            primary=reply.primary,
            keepers=[ReplicaDocument.of(member) for member in reply.members],
            configuration_version=reply.configuration_version,
            store_group=StoreGroupDocument.of(reply.store_group),
            retire_orders=[RetireOrderDocument.of(order) for order in reply.retire_orders],
            processes=[ProcessDocument.of(process) for process in processes],
            brokers=[BrokerDocument.of(broker) for broker in reply.brokers.brokers],
        )

    def lines(self) -> list[str]:
        """Return the document as lines of text."""
        confirmation = "confirmed" if self.confirmed else "not confirmed"
        return [
            f"epoch {self.epoch}, primary {self.primary or 'unknown'} ({confirmation}), "
            f"answered by {self.answered_by}",
            f"configuration version {self.configuration_version}",
            f"keepers: {_node_names(self.keepers)}",
            f"initial stores: {_node_names(self.store_group.initial)}",
            *(f"retire {order.node}: {order.state}" for order in self.retire_orders),
            *(_process_line(process) for process in self.processes),
            *_broker_lines(self.brokers),
        ]


def _node_names(replicas: Sequence[ReplicaDocument]) -> str:
    return ", ".join(replica.node or replica.address for replica in replicas) or "none"


def _process_line(process: ProcessDocument) -> str:
    notes = []
    if process.program == PROXY_PROGRAM:
        notes.append(f"configuration {process.configuration_version}")
    if process.group_primary:
        notes.append(f"primary of epoch {process.group_epoch}")
    if process.leaving:
        notes.append("leaving")
    return f"{process.program} {process.node} {process.ip} {process.zone}: {', '.join(notes) or 'alive'}"


def _broker_lines(brokers: Sequence[BrokerDocument]) -> list[str]:
    counts = Counter(broker.service for broker in brokers)
    draining = Counter(broker.service for broker in brokers if broker.draining)
    return [
        f"brokers of {service}: {count}, {draining[service]} draining"
        for service, count in sorted(counts.items())
    ]
