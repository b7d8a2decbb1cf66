"""Internal calls between processes of the tier: what a call is, how it is made and how it is served.

The planes depend on ``Caller`` and ``CallRegistry`` and not on a transport. ``rpc`` has the transport over
HTTP; a simulated network can stand in for it. The calls themselves are listed in the
``*_methods`` modules, one for each ``.proto`` file.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, Generic, Protocol, TypeVar

import attrs
from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure

RequestT = TypeVar("RequestT", bound=Message)
ReplyT = TypeVar("ReplyT", bound=Message)

Handler = Callable[[RequestT], Awaitable[Result[ReplyT, Failure]]]


@attrs.frozen
class RpcMethod(Generic[RequestT, ReplyT]):
    """One kind of internal call: its name on the wire, and the messages of its request and its reply."""

    name: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]


@attrs.frozen
class OutgoingCall(Generic[RequestT, ReplyT]):
    """One call to be sent; see ``Caller.call``."""

    address: str
    method: RpcMethod[RequestT, ReplyT]
    request: RequestT
    timeout_s: float
    receiver: str = ""


class Caller(ABC):
    """Makes internal calls. A transport implements ``send``."""

    async def call(
        self,
        address: str,
        method: RpcMethod[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
        receiver: str = "",
    ) -> Result[ReplyT, Failure]:
        """One call to ``address`` (host:port), sent once, answered within ``timeout_s`` seconds or failed.

        ``receiver`` is the member id that the call is meant for; whoever else is at the address rejects it
        as MISDIRECTED without running it. Empty: it is meant for whoever is there. A failure for which
        ``had_no_effect`` is false may have run.
        """
        return await self.send(OutgoingCall(address, method, request, timeout_s, receiver))

    @abstractmethod
    async def send(self, call: OutgoingCall[RequestT, ReplyT]) -> Result[ReplyT, Failure]:
        """Send ``call`` once and await its outcome, as ``call`` describes."""


class CallRegistry(Protocol):
    """Takes the handlers of internal calls."""

    def register(self, method: RpcMethod[RequestT, ReplyT], handler: Handler[RequestT, ReplyT]) -> None:
        """Serve ``method`` by ``handler``, in place of any earlier handler of that name."""


@attrs.define(eq=False)
class HandlerTable:
    """The handlers that one server has, by the name of their call; implements ``CallRegistry``."""

    _handlers: dict[str, tuple[RpcMethod[Any, Any], Handler[Any, Any]]] = attrs.field(
        factory=dict, init=False
    )

    def register(self, method: RpcMethod[RequestT, ReplyT], handler: Handler[RequestT, ReplyT]) -> None:
        """Serve ``method`` by ``handler``, in place of any earlier handler of that name."""
        self._handlers[method.name] = (method, handler)

    def is_registered(self, name: str) -> bool:
        """Whether calls of this name are served."""
        return name in self._handlers

    def handler(self, method: RpcMethod[RequestT, ReplyT]) -> Handler[RequestT, ReplyT]:
        """The handler of ``method``; ``KeyError`` if it has none."""
        return self._handlers[method.name][1]

    async def serve(self, name: str, request: bytes) -> Result[bytes, Failure]:
        """Run the handler of ``name`` for a serialized request, and serialize its reply.

        A name without a handler fails as UNAVAILABLE, a request that is not of the method's type as INVALID.
        """
        registered = self._handlers.get(name)
        if registered is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"no call {name!r}"))
        method, handler = registered
        try:
            message = method.request_type.FromString(request)
        except DecodeError as error:
            return Err(Failure(ErrorKind.INVALID, f"{name}: {error}"))
        outcome = await handler(message)
        return outcome if isinstance(outcome, Err) else Ok(outcome.ok_value.SerializeToString())
