"""The internal call by which processes of the tier pull what the controllers distribute."""

from __future__ import annotations

from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.control_pb2 import PullReply, PullRequest

PULL = RpcMethod("pull", PullRequest, PullReply)
