"""Simulates a network: links with delays, losses and cuts, and calls over them.

Calls are serialized to bytes. Messages on a cut link are delivered after the cut ends, as with TCP, unless
the connection is closed earlier. A process that has ended resets connections; a machine without power does
not answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import attrs
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, HandlerTable, OutgoingCall, ReplyT, RequestT
from cherrycove.tier.simulation.control.loop import Incarnation, VirtualLoop

CONNECT_TIMEOUT_S = 0.5
DELAY_S = (0.0003, 0.004)  # one way
RETRANSMIT_S = 0.25  # added delay of a lost packet, doubled for each further loss
MAX_RETRANSMITS = 3
LATE_SHARE = 0.5  # of the requests that timed out during a cut, which are still delivered after it


@attrs.define
class NetworkConditions:
    """Describes how all links behave at present; shares are between 0 and 1."""

    loss: float = 0.0  # share of messages that are lost and retransmitted
    resets: float = 0.0  # share of calls whose connection is reset in transit
    misdelivered: float = 0.0  # share of calls that receive the reply to another call


@attrs.define(eq=False)
class Endpoint(HandlerTable):
    """The server of one process. ``identity`` is its member id, "" if it serves calls for any member."""

    incarnation: Incarnation
    identity: str = ""
    process: Any = None  # set if the endpoint is its interface for operators or clients


class Network:
    """Connects hosts by links, with endpoints by address (host:port); ``powered`` hosts have power."""

    def __init__(self, loop: VirtualLoop, random: Random) -> None:
        self.loop = loop
        self._random = random
        self.conditions = NetworkConditions()
        self.powered: set[str] = set()
        self._endpoints: dict[str, Endpoint] = {}
        self._cuts: dict[tuple[str, str], int] = {}  # number of cuts by directed link
        self._delayed: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._connected: set[tuple[Incarnation, str]] = set()  # open connections: caller and address

    # Links

    def cut(self, links: set[tuple[str, str]]) -> None:
        """Cut directed links, each from host to host; each cut must be healed once."""
        for link in links:
            self._cuts[link] = self._cuts.get(link, 0) + 1

    def heal(self, links: set[tuple[str, str]]) -> None:
        """End one cut of each link; delayed messages are delivered soon after the last one."""
        for link in sorted(links):
            left = self._cuts.get(link, 0) - 1
            if left > 0:
                self._cuts[link] = left
                continue
            self._cuts.pop(link, None)
            for deliver in self._delayed.pop(link, ()):
                self.loop.call_in(None, self._random.uniform(0.01, 0.6), deliver)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from ``source`` to ``target`` is cut."""
        return (source, target) in self._cuts

    def draw_misdelivery(self) -> bool:
        """Return whether the next reply is replaced by the reply to another call."""
        return self.conditions.misdelivered > 0 and self._random.random() < self.conditions.misdelivered

    def open(self, endpoint: Endpoint, address: str) -> None:
        """Serve ``address`` by ``endpoint``, which replaces an earlier one."""
        self._endpoints[address] = endpoint

    def endpoint(self, address: str) -> Endpoint | None:
        """Return the endpoint of ``address``; None if its process has ended."""
        endpoint = self._endpoints.get(address)
        return endpoint if endpoint is not None and not endpoint.incarnation.ended else None

    def _delay(self) -> float:
        delay = self._random.uniform(*DELAY_S)
        retransmit_s = RETRANSMIT_S
        for _ in range(MAX_RETRANSMITS):
            if self._random.random() >= self.conditions.loss:
                break
            delay += retransmit_s
            retransmit_s *= 2
        return delay

    def transmit(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` when a message has crossed the link, after the cut if the link is cut."""

        def arrive() -> None:
            if self.is_cut(source, target):
                self._delayed.setdefault((source, target), []).append(deliver)
            else:
                deliver()

        if source == target:
            self.loop.call_in(None, self._random.uniform(0.0001, 0.0005), deliver)
        else:
            self.loop.call_in(None, self._delay(), arrive)

    # Calls

    async def exchange(
        self,
        source: str,
        incarnation: Incarnation,
        address: str,
        serve: Callable[[Endpoint], Awaitable[Any]],
        timeout_s: float,
    ) -> Result[Any, Failure]:
        """Send a request of ``incarnation`` at host ``source`` to the process that serves ``address``.

        ``serve`` runs in that process, and its result is returned. Fails with UNREACHABLE if nothing was sent
        or the connection was refused, and with UNCERTAIN if the request may have run.
        """
        target = address.rpartition(":")[0]
        connection = (incarnation, address)
        if not self._is_connectable(source, target, connection):
            self._connected.discard(connection)
            await asyncio.sleep(min(CONNECT_TIMEOUT_S, timeout_s))
            return Err(Failure(ErrorKind.UNREACHABLE, f"{address}: no connection"))
        self._connected.add(connection)
        answer: asyncio.Future[Result[Any, Failure]] = self.loop.create_future()
        call = _Call(self, source, target, address, serve, answer)
        self.transmit(source, target, call.arrive)
        if self._random.random() < self.conditions.resets:
            self.loop.call_in(incarnation, self._random.uniform(0.0, 0.02), call.reset)
        done, _ = await asyncio.wait([answer], timeout=timeout_s)
        if not done:
            call.is_abandoned = self._random.random() >= LATE_SHARE
        result = answer.result() if done else _timed_out(address)
        if isinstance(result, Err):
            self._connected.discard(connection)
        return result

    def _is_connectable(self, source: str, target: str, connection: tuple[Incarnation, str]) -> bool:
        """Return whether a request can be sent.

        The target needs power, and a new connection needs the links in both directions.
        """
        if target not in self.powered:
            return False
        is_blocked = self.is_cut(source, target) or self.is_cut(target, source)
        return connection in self._connected or not is_blocked


def _timed_out(address: str) -> Result[Any, Failure]:
    return Err(Failure(ErrorKind.UNCERTAIN, f"{address}: no answer in time"))


class _Call:
    """One request in flight and its reply."""

    def __init__(
        self,
        network: Network,
        source: str,
        target: str,
        address: str,
        serve: Callable[[Endpoint], Awaitable[Any]],
        answer: asyncio.Future[Any],
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._address = address
        self._serve = serve
        self._answer = answer
        self.is_abandoned = False

    def arrive(self) -> None:
        network = self._network
        if self.is_abandoned or self._target not in network.powered:
            return
        endpoint = network.endpoint(self._address)
        if endpoint is None:
            self._reply(Err(Failure(ErrorKind.UNREACHABLE, f"{self._address}: refused")))
            return
        network.loop.spawn(endpoint.incarnation, self._run(endpoint))

    async def _run(self, endpoint: Endpoint) -> None:
        outcome = await self._serve(endpoint)
        self._reply(Ok(outcome))

    def _reply(self, result: Result[Any, Failure]) -> None:
        self._network.transmit(self._target, self._source, lambda: self._finish(result))

    def _finish(self, result: Result[Any, Failure]) -> None:
        if not self._answer.done():
            self._answer.set_result(result)

    def reset(self) -> None:
        self._finish(Err(Failure(ErrorKind.UNCERTAIN, f"{self._address}: connection reset")))


class Client(Caller):
    """Sends the internal calls of one process."""

    def __init__(self, network: Network, host: str, incarnation: Incarnation) -> None:
        self._network = network
        self._host = host
        self._incarnation = incarnation
        self._earlier_replies: dict[str, bytes] = {}  # by address; may be delivered again

    async def send(self, call: OutgoingCall[RequestT, ReplyT]) -> Result[ReplyT, Failure]:
        """Send ``call`` once, as ``Caller`` describes."""
        body = call.request.SerializeToString()

        async def serve(endpoint: Endpoint) -> Result[bytes, Failure]:
            return await _serve(endpoint, call.method.name, body, call.receiver)

        outcome = await self._network.exchange(
            self._host, self._incarnation, call.address, serve, call.timeout_s
        )
        if isinstance(outcome, Err):
            return outcome
        answer: Result[bytes, Failure] = outcome.ok_value
        if isinstance(answer, Err):
            return answer
        misdelivered = self._earlier_replies.get(call.address)
        if misdelivered is not None and self._network.draw_misdelivery():
            return self.receive_misdelivered(misdelivered, call.method.reply_type)
        self._earlier_replies[call.address] = answer.ok_value
        return Ok(call.method.reply_type.FromString(answer.ok_value))

    def receive_misdelivered(self, _body: bytes, _reply_type: type[ReplyT]) -> Result[ReplyT, Failure]:
        """Reject the reply to another call with its connection, as ``protocol.rpc`` does by call number."""
        return Err(Failure(ErrorKind.UNCERTAIN, "received the reply to another call"))


async def _serve(endpoint: Endpoint, name: str, body: bytes, receiver: str) -> Result[bytes, Failure]:
    if receiver and endpoint.identity and receiver != endpoint.identity:
        return Err(Failure(ErrorKind.MISDIRECTED, f"meant for {receiver}"))
    return await endpoint.serve(name, body)
