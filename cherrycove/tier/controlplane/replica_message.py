"""Converts a member of a replicated group to its protobuf message."""

from __future__ import annotations

from cherrycove.tier.protocol.control_pb2 import Replica
from cherrycove.tier.replication.interface import MemberIdentity


def replica_message(member: MemberIdentity) -> Replica:
    """Return the message that identifies ``member``."""
    return Replica(
        member_id=member.member_id, node_name=member.node_name, address=member.address, zone=member.zone
    )
