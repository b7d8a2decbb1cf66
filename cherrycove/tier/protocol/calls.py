"""Interfaces to make and serve internal calls between processes of the tier.

Other packages depend on ``Caller`` and ``CallRegistry`` and not on a transport. ``rpc`` implements the
transport over HTTP; tests can replace it by a simulated network. The calls themselves are defined in the
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
    """An internal call: its name on the wire and the message types of its request and reply."""

    name: str
    request_type: type[RequestT]
    reply_type: type[ReplyT]


@attrs.frozen
class OutgoingCall(Generic[RequestT, ReplyT]):
    """The arguments of one call; see ``Caller.call``."""

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
        """Make a call to ``address`` (host:port); it is sent once and fails after ``timeout_s`` seconds.

        ``receiver`` is the member id that the call is addressed to; any other member at the address rejects
        it with MISDIRECTED without running it. If it is empty, any member accepts the call. If the call
        fails, it may nevertheless have run unless the failure's ``had_no_effect`` is true.
        """
        return await self.send(OutgoingCall(address, method, request, timeout_s, receiver))

    @abstractmethod
    async def send(self, call: OutgoingCall[RequestT, ReplyT]) -> Result[ReplyT, Failure]:
        """Send ``call`` once and return its result; see the method ``call``."""


class CallRegistry(Protocol):
    """Registers the handlers of internal calls."""

    def register(self, method: RpcMethod[RequestT, ReplyT], handler: Handler[RequestT, ReplyT]) -> None:
        """Serve ``method`` with ``handler``, replacing any previous handler of the same name."""


@attrs.define(eq=False)
class HandlerTable:
    """The handlers of one server by the name of their call; implements ``CallRegistry``."""

    _handlers: dict[str, tuple[RpcMethod[Any, Any], Handler[Any, Any]]] = attrs.field(
        factory=dict, init=False
    )

    def register(self, method: RpcMethod[RequestT, ReplyT], handler: Handler[RequestT, ReplyT]) -> None:
        """Serve ``method`` with ``handler``, replacing any previous handler of the same name."""
        self._handlers[method.name] = (method, handler)

    def is_registered(self, name: str) -> bool:
        """Return whether calls with this name are served."""
        return name in self._handlers

    def handler(self, method: RpcMethod[RequestT, ReplyT]) -> Handler[RequestT, ReplyT]:
        """Return the handler of ``method``; raises ``KeyError`` if there is none."""
        return self._handlers[method.name][1]

    async def serve(self, name: str, request: bytes) -> Result[bytes, Failure]:
        """Run the handler of ``name`` for a serialized request, and serialize its reply.

        Fails with UNAVAILABLE if the name has no handler, and with INVALID if the request cannot be decoded.
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
