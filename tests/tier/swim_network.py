"""A simulated network of membership machines: seeded, with loss, cuts, freezes, kills and restarts."""

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
DELAY_S = (0.0005, 0.003)
MAX_DATAGRAM_BYTES = 1200


def ip_of(name: str) -> str:
    """The address of the machine ``name``."""
    number = zlib.crc32(name.encode())
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def address_of(member: Member) -> str:
    return f"{member.ip}:7700"


@attrs.define
class Process:
    name: str
    machine: SwimMachine
    frozen: bool = False
    held: list[Callable[[], None]] = attrs.field(factory=list)  # what a frozen process finds when it wakes
    changes: list[tuple[float, MemberChanged]] = attrs.field(factory=list)
    timer: float = float("inf")
    sent_bytes: int = 0


class Network:
    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.processes: dict[str, Process] = {}  # by address, running ones only
        self.cuts: set[tuple[str, str]] = set()  # from name, to name
        self._starts = itertools.count(1)
        self._counter: int | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    # Processes

    def start(self, name: str, seeds: Iterable[str] = ("n0", "n1", "n2"), ip: str | None = None) -> Process:
        start = next(self._starts)
        own = Member(
            node_name=name,
            program="proxy",
            ip=ip or ip_of(name),
            zone="z",
            region="r",
            process_id=f"p{start}",
            incarnation=start if self._counter is None else self._counter,
        )
        seed_addresses = tuple(f"{ip_of(seed)}:7700" for seed in seeds)
        rng = random.Random(self.rng.random())
        machine = SwimMachine(
            own, SwimParameters(period_s=PERIOD_S), seed_addresses, address_of, rng, self.now
        )
        process = Process(name, machine)
        self.processes[address_of(own)] = process
        self._arm(process)
        return process

    def start_counter_at(self, counter: int) -> None:
        """Give later starts this incarnation counter, whatever the former ones had."""
        self._counter = counter

    def start_many(self, count: int) -> list[Process]:
        return [self.start(f"n{index}") for index in range(count)]

    def kill(self, process: Process) -> None:
        del self.processes[address_of(process.machine.local_member)]

    def leave(self, process: Process) -> None:
        self._perform(process, process.machine.leave(self.now))
        self.kill(process)

    def freeze(self, process: Process) -> None:
        process.frozen = True

    def wake(self, process: Process) -> None:
        process.frozen = False
        held, process.held = process.held, []
        for action in held:
            action()

    def cut(self, sources: Iterable[Process], targets: Iterable[Process]) -> None:
        """Nothing passes from ``sources`` to ``targets`` any more."""
        targets = list(targets)
        self.cuts |= {(source.name, target.name) for source in sources for target in targets}

    def heal(self) -> None:
        self.cuts.clear()

    # Time

    def run(self, periods: float) -> None:
        end = self.now + periods * PERIOD_S
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], periods: float) -> float:
        """Periods that passed until ``condition`` held, of at most ``periods``."""
        begin = self.now
        while not condition():
            if self.now - begin > periods * PERIOD_S:
                raise AssertionError(f"not within {periods} periods")
            self.run(0.1)
        return (self.now - begin) / PERIOD_S

    # What is seen

    def converged(self, without: Iterable[str] = ()) -> bool:
        """Every running process knows exactly the running processes, and by their present incarnations."""
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
        """Processes that declared ``name`` dead or left after ``since``."""
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

    # Inside

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _arm(self, process: Process) -> None:
        due_at = max(process.machine.next_wakeup(), self.now)
        if due_at < process.timer:
            process.timer = due_at
            self._at(due_at, lambda: self._tick(process, due_at))

    def _tick(self, process: Process, due_at: float) -> None:
        if self._suspended(process, lambda: self._tick(process, due_at)) or due_at != process.timer:
            return
        process.timer = float("inf")
        self._perform(process, process.machine.tick(self.now))

    def _suspended(self, process: Process, action: Callable[[], None]) -> bool:
        if self.processes.get(address_of(process.machine.local_member)) is not process:
            return True
        if process.frozen:
            process.held.append(action)
        return process.frozen

    def _perform(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, MemberChanged):
                process.changes.append((self.now, effect))
            elif isinstance(effect, SendDatagram):
                self._send(process, effect)
            else:
                self._later(partial(self._exchange, process, effect.address))
        self._arm(process)

    def _send(self, process: Process, effect: SendDatagram) -> None:
        data = effect.datagram.SerializeToString()
        assert len(data) <= MAX_DATAGRAM_BYTES
        process.sent_bytes += len(data)
        if self.rng.random() < self.loss:
            return
        source = address_of(process.machine.local_member)
        self._later(lambda: self._deliver(process, source, effect.address, data))

    def _later(self, action: Callable[[], None]) -> None:
        self._at(self.now + self.rng.uniform(*DELAY_S), action)

    def _deliver(self, sender: Process, source: str, address: str, data: bytes) -> None:
        target = self.processes.get(address)
        if target is None or (sender.name, target.name) in self.cuts:
            return
        if not self._suspended(target, lambda: self._deliver(sender, source, address, data)):
            self._perform(target, target.machine.receive(self.now, source, Datagram.FromString(data)))

    def _exchange(self, caller: Process, address: str) -> None:
        """Both calls at once; they need both directions."""
        callee = self.processes.get(address)
        alive = self.processes.get(address_of(caller.machine.local_member)) is caller
        if callee is None or not alive or caller.frozen or callee.frozen:
            return
        if {(caller.name, callee.name), (callee.name, caller.name)} & self.cuts:
            return
        request = caller.machine.anti_entropy.compare_request()
        reply = callee.machine.anti_entropy.handle_compare(request, self.now)
        caller.sent_bytes += request.ByteSize()
        callee.sent_bytes += reply.ByteSize()
        merge = caller.machine.anti_entropy.handle_compare_reply(reply, self.now)
        if merge is not None:
            caller.sent_bytes += merge.ByteSize()
            callee.machine.anti_entropy.handle_merge(merge, self.now)
        self._perform(callee, callee.machine.finish_exchange(self.now))
        self._perform(caller, caller.machine.finish_exchange(self.now))
