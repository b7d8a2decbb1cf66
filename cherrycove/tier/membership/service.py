"""Runs the membership machine of one process: datagrams, timers, and the calls of the full exchange."""

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
from cherrycove.tier.membership.machine import SwimMachine
from cherrycove.tier.membership.members import Member, MemberState, MemberStatus, SwimParameters
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
SEED_PROGRAM = "keeper"  # the program at the addresses of the operator's list

Reply = TypeVar("Reply")

_log = logging.getLogger(__name__)


class MembershipService(asyncio.DatagramProtocol):
    """Membership of one process of the tier; ``members`` is current between ``start`` and ``stop``."""

    def __init__(
        self,
        settings: Settings,
        program: str,
        incarnation: str,
        server: CallRegistry,
        client: Caller,
        rng: random.Random,
    ) -> None:
        """``incarnation`` is new at each start of the process. Registers its calls at ``server``."""
        self._settings = settings
        self._client = client
        self._rng = rng
        self._local = Member(
            node_name=settings.node_name,
            program=program,
            ip=settings.ip_address,
            zone=settings.zone,
            region=settings.region,
            process_id=incarnation,
            incarnation=time.time_ns() // 1_000_000,  # above that of the former process of this name
        )
        self._machine: SwimMachine | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._exchanges: dict[str, asyncio.Task[None]] = {}
        self._listeners: list[Callable[[], None]] = []
        server.register(COMPARE, self._compare)
        server.register(MERGE, self._merge)

    async def start(self) -> None:
        """Listen for datagrams and begin to join."""
        loop = asyncio.get_running_loop()
        address = self._address_of(self._local)
        host, _, port = address.rpartition(":")
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))
        seeds = tuple(self._settings.peer_address(ip, SEED_PROGRAM) for ip in self._settings.seed_ips())
        parameters = SwimParameters(period_s=self._settings.heartbeat_interval_ms / 1000.0)
        self._machine = SwimMachine(self._local, parameters, seeds, self._address_of, self._rng, loop.time())
        self._arm_timer()

    async def stop(self, leave: bool) -> None:
        """Stop; with ``leave``, others are told that this process ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        machine, self._machine = self._machine, None
        if machine is not None and leave:
            self._perform(machine.leave(asyncio.get_running_loop().time()))
        tasks = list(self._exchanges.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def members(self) -> tuple[Member, ...]:
        """Processes that run as far as known here, this one included."""
        return self._machine.running_members() if self._machine is not None else (self._local,)

    def statuses(self) -> tuple[MemberStatus, ...]:
        """All processes heard of lately with what is believed of them, also those that ended."""
        return self._machine.statuses() if self._machine is not None else ()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of ``members``."""
        self._listeners.append(callback)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Called by the event loop; what is no datagram of the protocol is ignored."""
        if self._machine is None:
            return
        now = asyncio.get_running_loop().time()
        try:
            datagram = Datagram.FromString(data)
            effects = self._machine.receive(now, f"{addr[0]}:{addr[1]}", datagram)
        except (DecodeError, ValueError):
            _log.debug("datagram_invalid", extra={"source": addr[0], "bytes": len(data)})
            return
        self._perform(effects)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there; the probe's time-out tells the same."""

    # Time and effects

    def _arm_timer(self) -> None:
        """Wake up when the machine is due; an earlier timer does no harm."""
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
            self._perform(self._machine.tick(asyncio.get_running_loop().time()))

    def _perform(self, effects: list[Effect]) -> None:
        visible = False
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, StartExchange):
                self._start_exchange(effect.address)
            elif effect.is_visible:
                visible = True
                self._log_change(effect)
        self._arm_timer()
        if visible:
            for listener in self._listeners:
                listener()

    def _send(self, effect: SendDatagram) -> None:
        if self._transport is not None:
            host, _, port = effect.address.rpartition(":")
            self._transport.sendto(effect.datagram.SerializeToString(), (host, int(port)))

    def _log_change(self, change: MemberChanged) -> None:
        member = change.current.member
        details = {
            "member": member.node_name,
            "member_program": member.program,
            "ip": member.ip,
            "incarnation": member.process_id,
        }
        _log.info(_event_of(change), extra=details)

    # Full exchange

    def _start_exchange(self, address: str) -> None:
        if address not in self._exchanges:
            task = asyncio.get_running_loop().create_task(self._run_exchange(address))
            self._exchanges[address] = task
            task.add_done_callback(lambda _: self._exchanges.pop(address, None))

    async def _run_exchange(self, address: str) -> None:
        machine = self._machine
        if machine is None:
            return
        now = asyncio.get_running_loop().time
        request = machine.anti_entropy.compare_request()
        outcome = await self._client.call(address, COMPARE, request, CALL_TIMEOUT_S)
        if isinstance(outcome, Err):
            return
        try:
            merge = machine.anti_entropy.handle_compare_reply(outcome.ok_value, now())
        except ValueError:
            _log.debug("exchange_invalid", extra={"source": address})
            return
        self._perform(machine.finish_exchange(now()))
        if merge is not None:
            await self._client.call(address, MERGE, merge, CALL_TIMEOUT_S)

    async def _compare(self, request: CompareRequest) -> Result[CompareReply, Failure]:
        return self._serve(lambda machine, now: machine.anti_entropy.handle_compare(request, now))

    async def _merge(self, request: MergeRequest) -> Result[MergeReply, Failure]:
        return self._serve(lambda machine, now: machine.anti_entropy.handle_merge(request, now))

    def _serve(self, answer: Callable[[SwimMachine, float], Reply]) -> Result[Reply, Failure]:
        if self._machine is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, "membership is not running"))
        now = asyncio.get_running_loop().time()
        try:
            reply = answer(self._machine, now)
        except ValueError as error:
            return Err(Failure(ErrorKind.INVALID, str(error)))
        self._perform(self._machine.finish_exchange(now))
        return Ok(reply)

    def _address_of(self, member: Member) -> str:
        return self._settings.peer_address(member.ip, member.program)


def _event_of(change: MemberChanged) -> str:
    """The name of a visible change in the log."""
    if change.is_join:
        return "member_joined"
    if change.current.state is MemberState.LEFT:
        return "member_left"
    if change.current.state is MemberState.DEAD:
        return "member_dead"
    return "member_restarted"
