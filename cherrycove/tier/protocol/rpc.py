"""Internal calls over HTTP, with aiohttp on both sides. ``_rpc_wire`` defines their encoding.

A reply is matched to its call by header fields, not by its position on a connection: a call carries the
incarnation of its caller and its number in that incarnation (``X-Call``) and, if it is addressed to one
member only, that member's id (``X-Receiver``). The reply repeats both. A response that does not repeat them
is dropped together with its connection. A server that is not the receiver rejects the call without running
it.

A call is sent once. Without a reply it fails with UNREACHABLE if no connection was established, which proves
that nothing was sent, and with UNCERTAIN in all other cases, since it may have run.
"""

from __future__ import annotations

from cherrycove.tier.protocol._rpc_client import RpcClient
from cherrycove.tier.protocol._rpc_server import RpcServer

__all__ = ["RpcClient", "RpcServer"]
