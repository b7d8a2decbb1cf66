"""Internal calls over HTTP, by aiohttp on both sides. How they are written stands in ``_rpc_wire``.

A reply belongs to its call by name, not by its position on a connection: a call carries the incarnation of
its caller and its number in that incarnation (``X-Call``) and, where it is meant for one member only, that
member's id (``X-Receiver``). The reply repeats both. What does not repeat them is no reply to this call: it
is dropped with its connection. A server that is not the receiver rejects the call without running it.

A call is sent once. One that gets no reply is UNREACHABLE if no connection came up, which proves that nothing
was sent, and UNCERTAIN in all other cases: it may have run.
"""

from __future__ import annotations

from cherrycove.tier.protocol._rpc_client import RpcClient
from cherrycove.tier.protocol._rpc_server import RpcServer

__all__ = ["RpcClient", "RpcServer"]
