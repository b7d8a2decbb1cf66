"""The internal call between the replicas of one group."""

from __future__ import annotations

from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.replication_pb2 import Batch


def replicate(group: str) -> RpcMethod[Batch, Batch]:
    """Return the call that carries messages between the replicas of the group named ``group``."""
    return RpcMethod(f"replicate/{group}", Batch, Batch)
