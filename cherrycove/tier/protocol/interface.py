"""What the planes need of internal calls: making them and serving them.

The planes depend on these protocols and not on a transport. ``rpc.py`` has the one over HTTP; a simulated
network can stand in for it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from google.protobuf.message import Message
from result import Result

from cherrycove.tier.errors import Failure

Reply = TypeVar("Reply", bound=Message)
Handler = Callable[[Any], Awaitable[Result[Any, Failure]]]


class Caller(Protocol):
    """Makes internal calls."""

    async def call(
        self,
        address: str,
        name: str,
        message: Message,
        reply_type: type[Reply],
        timeout_s: float,
        receiver: str = "",
    ) -> Result[Reply, Failure]:
        """One call to ``address`` (host:port), sent once, answered within ``timeout_s`` seconds or failed.

        ``receiver`` is the member id that the call is meant for; whoever else is at the address refuses it
        without running it. Empty: it is meant for whoever is there. A failure that is not ``certain`` may
        have run.
        """


class CallRegistry(Protocol):
    """Takes the handlers of internal calls."""

    def register(self, name: str, request_type: type[Message], handler: Handler) -> None:
        """``handler`` takes a message of ``request_type`` and returns a Result of a reply message."""
