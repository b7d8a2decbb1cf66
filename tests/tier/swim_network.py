"""A seeded simulation of a network of SwimMachines, with loss, partitions, pauses, kills and restarts."""

from __future__ import annotations

import heapq
import itertools
import random
import zlib
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from cherrycove.tier.membership.effects import Effect, MemberChanged, SendDatagram
from cherrycove.tier.membership.machine import SwimMachine
from cherrycove.tier.membership.members import Member, MemberState
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.membership_pb2 import Datagram

PERIOD_S = 1.0
DELAY_RANGE_S = (0.0005, 0.003)
MAX_DATAGRAM_BYTES = 1200


def ip_of(name: str) -> str:
    """Return the IP address of the host ``name``."""
    number = zlib.crc32(name.encode())
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def address_of(member: Member) -> str:
    return f"{member.ip}:7700"


@attrs.define
class Process:
    name: str
    machine: SwimMachine
    is_paused: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)  # timers and messages to handle on resume
    changes: list[tuple[float, MemberChanged]] = attrs.field(factory=list)
    timer_at: float = float("inf")
    sent_bytes: int = 0


class Network:
    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.processes: dict[str, Process] = {}  # running processes by address
        self.blocked_links: set[tuple[str, str]] = set()  # names of sender and receiver
        self._start_numbers = itertools.count(1)
        self._next_incarnation: int | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()  # keep simultaneous events in order

    # Processes

    def start(self, name: str, seeds: Iterable[str] = ("n0", "n1", "n2"), ip: str | None = None) -> Process:
        start_number = next(self._start_numbers)
        local = Member(
            node_name=name,
            program="proxy",
            ip=ip or ip_of(name),
            zone="z",
            region="r",
            process_id=f"p{start_number}",
            incarnation=start_number if self._next_incarnation is None else self._next_incarnation,
        )
        seed_addresses = tuple(f"{ip_of(seed)}:7700" for seed in seeds)
        rng = random.Random(self.rng.random())
        machine = SwimMachine(
            local, SwimParameters(period_s=PERIOD_S), seed_addresses, address_of, rng, self.now
        )
        process = Process(name, machine)
        self.processes[address_of(local)] = process
        self._schedule_tick(process)
        return process

    def set_next_incarnation(self, incarnation: int) -> None:
        """Start later processes with this incarnation, even if earlier ones had a higher one."""
        self._next_incarnation = incarnation

    def start_many(self, count: int) -> list[Process]:
        return [self.start(f"n{index}") for index in range(count)]

    def kill(self, process: Process) -> None:
        del self.processes[address_of(process.machine.local_member)]

    def leave(self, process: Process) -> None:
        self._carry_out(process, process.machine.leave(self.now))
        self.kill(process)

    def pause(self, process: Process) -> None:
        process.is_paused = True

    def resume(self, process: Process) -> None:
        process.is_paused = False
        deferred, process.deferred = process.deferred, []
        for action in deferred:
            action()

    def block(self, sources: Iterable[Process], targets: Iterable[Process]) -> None:
        """Drop everything that ``sources`` send to ``targets`` until ``heal``."""
        targets = list(targets)
        self.blocked_links |= {(source.name, target.name) for source in sources for target in targets}

    def heal(self) -> None:
        self.blocked_links.clear()

    # Time

    def run(self, periods: float) -> None:
        end = self.now + periods * PERIOD_S
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], periods: float) -> float:
        """Run until ``condition`` holds, for at most ``periods``; return the periods that passed."""
        begin = self.now
        while not condition():
            if self.now - begin > periods * PERIOD_S:
                raise AssertionError(f"condition not met within {periods} periods")
            self.run(0.1)
        return (self.now - begin) / PERIOD_S

    # Observations

    def converged(self, without: Iterable[str] = ()) -> bool:
        """Return whether the members of every running process are exactly the running processes."""
        absent = set(without)
        actual = {
            (process.name, process.machine.local_member.process_id)
            for process in self.processes.values()
            if process.name not in absent
        }
        return all(
            {(member.node_name, member.process_id) for member in process.machine.running_members()} == actual
            for process in self.processes.values()
            if process.name not in absent
        )

    def ended(self, name: str, since: float = 0.0) -> list[str]:
        """Return the processes that recorded ``name`` as dead or left at or after ``since``."""
        return [
            process.name
            for process in self.processes.values()
            for at, change in process.changes
            if change.current.member.node_name == name and not change.current.state.is_running and at >= since
        ]

    def declared_dead(self, since: float = 0.0) -> set[str]:
        return {
            change.current.member.node_name
            for process in self.processes.values()
            for at, change in process.changes
            if change.current.state is MemberState.DEAD and at >= since
        }

    # Events

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def _schedule_tick(self, process: Process) -> None:
        due_at = max(process.machine.next_wakeup(), self.now)
        if due_at < process.timer_at:
            process.timer_at = due_at
            self._schedule(due_at, lambda: self._tick(process, due_at))

    def _tick(self, process: Process, due_at: float) -> None:
        if self._drop_or_defer(process, lambda: self._tick(process, due_at)) or due_at != process.timer_at:
            return
        process.timer_at = float("inf")
        self._carry_out(process, process.machine.tick(self.now))

    def _drop_or_defer(self, process: Process, action: Callable[[], None]) -> bool:
        """Return whether ``process`` has ended or is paused; if it is paused, defer ``action``."""
        if self.processes.get(address_of(process.machine.local_member)) is not process:
            return True
        if process.is_paused:
            process.deferred.append(action)
        return process.is_paused

    def _carry_out(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, MemberChanged):
                process.changes.append((self.now, effect))
            elif isinstance(effect, SendDatagram):
                self._send(process, effect)
            else:
                self._schedule_arrival(partial(self._exchange, process, effect.address))
        self._schedule_tick(process)

    def _send(self, process: Process, effect: SendDatagram) -> None:
        data = effect.datagram.SerializeToString()
        assert len(data) <= MAX_DATAGRAM_BYTES
        process.sent_bytes += len(data)
        if self.rng.random() < self.loss:
            return
        source = address_of(process.machine.local_member)
        self._schedule_arrival(lambda: self._deliver(process, source, effect.address, data))

    def _schedule_arrival(self, action: Callable[[], None]) -> None:
        self._schedule(self.now + self.rng.uniform(*DELAY_RANGE_S), action)

    def _deliver(self, sender: Process, source: str, address: str, data: bytes) -> None:
        target = self.processes.get(address)
        if target is None or (sender.name, target.name) in self.blocked_links:
            return
        if not self._drop_or_defer(target, lambda: self._deliver(sender, source, address, data)):
            self._carry_out(target, target.machine.receive(self.now, source, Datagram.FromString(data)))

    def _exchange(self, caller: Process, address: str) -> None:
        """Make both calls of an exchange at once; neither direction may be blocked."""
        callee = self.processes.get(address)
        alive = self.processes.get(address_of(caller.machine.local_member)) is caller
        if callee is None or not alive or caller.is_paused or callee.is_paused:
            return
        if {(caller.name, callee.name), (callee.name, caller.name)} & self.blocked_links:
            return
        request = caller.machine.anti_entropy.compare_request()
        reply = callee.machine.anti_entropy.handle_compare(request, self.now)
        caller.sent_bytes += request.ByteSize()
        callee.sent_bytes += reply.ByteSize()
        merge = caller.machine.anti_entropy.handle_compare_reply(reply, self.now)
        if merge is not None:
            caller.sent_bytes += merge.ByteSize()
            callee.machine.anti_entropy.handle_merge(merge, self.now)
        self._carry_out(callee, callee.machine.finish_exchange(self.now))
        self._carry_out(caller, caller.machine.finish_exchange(self.now))
