"""The internal calls with which two processes exchange their complete member tables."""

from __future__ import annotations

from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.membership_pb2 import CompareReply, CompareRequest, MergeReply, MergeRequest

COMPARE = RpcMethod("membership.compare", CompareRequest, CompareReply)
MERGE = RpcMethod("membership.merge", MergeRequest, MergeReply)
