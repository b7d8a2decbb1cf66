"""The internal call with which processes of the tier pull topics from the controllers."""

from __future__ import annotations

from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.control_pb2 import PullReply, PullRequest

PULL = RpcMethod("pull", PullRequest, PullReply)
