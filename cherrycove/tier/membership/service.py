"""Runs the membership state machine of one process: datagrams, timers and anti-entropy calls."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.membership.effects import Effect, MemberChanged, SendDatagram, StartExchange
from cherrycove.tier.membership.errors import InvalidMessageError
from cherrycove.tier.membership.machine import SwimMachine
from cherrycove.tier.membership.members import Member, MemberState, MemberStatus
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.membership_methods import COMPARE, MERGE
from cherrycove.tier.protocol.membership_pb2 import (
    CompareReply,
    CompareRequest,
    Datagram,
    MergeReply,
    MergeRequest,
)
from cherrycove.tier.settings import Settings

CALL_TIMEOUT_S = 1.0
SEED_PROGRAM = "keeper"  # the controller, which runs at the addresses of ``seedNodes``

Reply = TypeVar("Reply")

_log = logging.getLogger(__name__)


class MembershipService:
    """Maintains the membership list of one process of the tier.

    Owned by the process, which starts and stops it; it owns the socket, the timer and the tasks of its
    exchanges. Before ``start`` and after ``stop`` the only member is the local one, and calls of peers are
    answered as unavailable. Lost datagrams and failed calls are not reported: the protocol sends again.
    """

    def __init__(
        self,
        settings: Settings,
        program: str,
        process_id: str,
        server: CallRegistry,
        client: Caller,
        rng: random.Random,
    ) -> None:
        """Register the anti-entropy calls at ``server``; ``process_id`` must be new at each start."""
        self._settings = settings
        self._client = client
        self._rng = rng
        self._local = Member(
            node_name=settings.node_name,
            program=program,
            ip=settings.ip_address,
            zone=settings.zone,
            region=settings.region,
            process_id=process_id,
            incarnation=time.time_ns() // 1_000_000,  # ms; above that of the previous process of this name
        )
        self._machine: SwimMachine | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._exchanges: dict[str, asyncio.Task[None]] = {}  # by the address of the peer
        self._listeners: list[Callable[[], None]] = []
        server.register(COMPARE, self._handle_compare)
        server.register(MERGE, self._handle_merge)

    async def start(self) -> None:
        """Listen for datagrams and begin to join; raises OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._receive),
            local_addr=_socket_address(self._address_of(self._local)),
        )
        seeds = tuple(self._settings.peer_address(ip, SEED_PROGRAM) for ip in self._settings.seed_ips())
        parameters = SwimParameters(period_s=self._settings.heartbeat_interval_ms / 1000.0)
        self._machine = SwimMachine(self._local, parameters, seeds, self._address_of, self._rng, loop.time())
        self._arm_timer()

    async def stop(self, *, leave: bool) -> None:
        """Stop; with ``leave``, notify some members that this process shuts down."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        machine, self._machine = self._machine, None
        if machine is not None and leave:
            self._carry_out(machine.leave(asyncio.get_running_loop().time()))
        tasks = list(self._exchanges.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def members(self) -> tuple[Member, ...]:
        """Return the processes that the local list has as running, including the local one."""
        return self._machine.running_members() if self._machine is not None else (self._local,)

    def statuses(self) -> tuple[MemberStatus, ...]:
        """Return every remembered process with its state; empty while the service is not running."""
        return self._machine.statuses() if self._machine is not None else ()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register ``listener``, which is called after each change of ``members``."""
        self._listeners.append(listener)

    # Datagrams

    def _receive(self, data: bytes, source: str) -> None:
        if self._machine is None:
            return
        now = asyncio.get_running_loop().time()
        try:
            effects = self._machine.receive(now, source, Datagram.FromString(data))
        except (DecodeError, InvalidMessageError):
            host = source.rpartition(":")[0]
            _log.debug("datagram_invalid", extra={"source": host, "bytes": len(data)})
            return
        self._carry_out(effects)

    # Timer and effects

    def _arm_timer(self) -> None:
        """Schedule the next tick; an earlier timer is kept, since an early tick does nothing."""
        if self._machine is None:
            return
        due_at = self._machine.next_wakeup()
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_at, self._tick)

    def _tick(self) -> None:
        if self._machine is not None:
            self._timer = None
            self._carry_out(self._machine.tick(asyncio.get_running_loop().time()))

    def _carry_out(self, effects: list[Effect]) -> None:
        membership_changes = []
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, StartExchange):
                self._start_exchange(effect.address)
            elif effect.alters_running_processes:
                membership_changes.append(effect)
                _log_change(effect)
        self._arm_timer()
        if membership_changes:
            self._notify_listeners()

    def _send(self, effect: SendDatagram) -> None:
        if self._transport is not None:
            self._transport.sendto(effect.datagram.SerializeToString(), _socket_address(effect.address))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    # Anti-entropy

    def _start_exchange(self, address: str) -> None:
        if address in self._exchanges:
            return
        task = asyncio.get_running_loop().create_task(self._run_exchange(address))
        self._exchanges[address] = task
        task.add_done_callback(lambda _: self._exchanges.pop(address, None))

    async def _run_exchange(self, address: str) -> None:
        machine = self._machine
        if machine is None:
            return
        now = asyncio.get_running_loop().time
        request = machine.anti_entropy.compare_request()
        reply = await self._client.call(address, COMPARE, request, CALL_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        try:
            merge = machine.anti_entropy.handle_compare_reply(reply.ok_value, now())
        except InvalidMessageError:
            _log.debug("exchange_invalid", extra={"source": address})
            return
        self._carry_out(machine.finish_exchange(now()))
        if merge is not None:
            await self._client.call(address, MERGE, merge, CALL_TIMEOUT_S)

    async def _handle_compare(self, request: CompareRequest) -> Result[CompareReply, Failure]:
        return self._handle(lambda machine, now: machine.anti_entropy.handle_compare(request, now))

    async def _handle_merge(self, request: MergeRequest) -> Result[MergeReply, Failure]:
        return self._handle(lambda machine, now: machine.anti_entropy.handle_merge(request, now))

    def _handle(self, handler: Callable[[SwimMachine, float], Reply]) -> Result[Reply, Failure]:
        if self._machine is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, "membership is not running"))
        now = asyncio.get_running_loop().time()
        try:
            reply = handler(self._machine, now)
        except InvalidMessageError as error:
            return Err(Failure(ErrorKind.INVALID, str(error)))
        self._carry_out(self._machine.finish_exchange(now))
        return Ok(reply)

    def _address_of(self, member: Member) -> str:
        return self._settings.peer_address(member.ip, member.program)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes each datagram with its source (host:port) to ``receive``."""

    def __init__(self, receive: Callable[[bytes, str], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._receive(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore that no process listens at an address; the time-out of the probe detects it too."""


def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _log_change(change: MemberChanged) -> None:
    member = change.current.member
    details = {
        "member": member.node_name,
        "member_program": member.program,
        "ip": member.ip,
        "incarnation": member.process_id,
    }
    _log.info(_event_name(change), extra=details)


def _event_name(change: MemberChanged) -> str:
    """Return the log event of a change to the set of running processes."""
    if change.is_join:
        return "member_joined"
    if change.current.state is MemberState.LEFT:
        return "member_left"
    if change.current.state is MemberState.DEAD:
        return "member_dead"
    return "member_restarted"
