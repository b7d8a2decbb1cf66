"""The internal calls about the state of the controllers and the members of the store group."""

from __future__ import annotations

from cherrycove.tier.protocol.calls import RpcMethod
from cherrycove.tier.protocol.keeper_pb2 import (
    StatusReply,
    StatusRequest,
    StoreMembersReply,
    StoreMembersRequest,
)

STATUS = RpcMethod("status", StatusRequest, StatusReply)
STORE_MEMBERS = RpcMethod("store-members", StoreMembersRequest, StoreMembersReply)
