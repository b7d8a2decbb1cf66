"""What a scheduler remembers: plain records and counters. It decides nothing."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from typing import Any

from cherrycove.scheduling.interface import Code, ListKind, Node, NodesListed, NodeState, Plan, RequestClass
from cherrycove.scheduling.retry_safety import Ran

PERIOD = 1.0  # s between joint refills of credits, and the window of statistics behind each L (design)


class Agenda:
    """Tasks by their time; those of one time in the order they were set."""

    def __init__(self) -> None:
        self._tasks: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._serial = 0

    def at(self, when: float, task: Callable[[Any], None], subject: Any = None) -> None:
        self._serial += 1
        heappush(self._tasks, (when, self._serial, task, subject))

    def next(self) -> float:
        return self._tasks[0][0] if self._tasks else inf

    def run(self, now: float) -> None:
        """Carry out what is due, also what the tasks themselves set for now."""
        while self.next() <= now:
            _, _, task, subject = heappop(self._tasks)
            task(subject)


class Recent:
    """The sum of what was added within a span of time that ends now."""

    def __init__(self, span: float) -> None:
        self._span = span
        self._added: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        self.total(now)
        self._added.append((now, amount))
        self._total += amount

    def total(self, now: float) -> float:
        while self._added and self._added[0][0] < now - self._span:
            self._total -= self._added.popleft()[1]
        if not self._added:
            self._total = 0.0  # no rounding is carried on
        return self._total

    def last(self) -> float:
        """When the newest amount was added; -inf: there is none."""
        return self._added[-1][0] if self._added else -inf

    def clear(self) -> None:
        self._added.clear()
        self._total = 0.0

    def next_leaves(self, now: float) -> float:
        """When the oldest amount leaves the span."""
        return (self._added[0][0] if self._added else now) + self._span


@dataclass(slots=True, eq=False)
class Request:
    id: int
    cls: RequestClass
    volume: Volume
    units: float
    heavy: float  # its units against the usual, at least 1
    shard: int | None
    key: str | None
    due: float  # arrival plus aim
    end: float  # when it must be answered at the latest
    budget: float = 0.0  # from its last byte
    upload: bool = False  # its last byte is still to come
    node: NodeQueue | None = None
    place: str = ""  # where it waits: "lane" for credit, "queue" or nowhere
    queued_at: float = 0.0
    ticket: int = -1  # its entry in the node's queue
    attempts: int = 0
    sent_at: float = 0.0
    out: bool = False
    counted: bool = False  # its attempt counts as out at the node
    done: bool = False
    fresh: bool = False  # a new object, which any node may take
    ran: Ran | None = None  # its first attempt that may have run
    rest_until: float = 0.0  # until then its key rests, once it is over
    admitted: bool = False  # its key's turn has come
    waits_turn: bool = False  # another one with its key came before it
    why: Code = Code.CREDIT  # what let it into its node's queue

    def held_by(self, node: NodeQueue, cold: bool) -> Code:
        """What keeps it from its node, where it stands now."""
        if node.shard is not None and node.id is None:
            return node.lost
        if self.place == "lane":
            return Code.OVER_LIMIT if self.volume.credits > 0 else Code.NO_CREDIT
        if node.failures:
            return Code.NODE_RESTS
        if self.place == "queue":
            return Code.NODE_COLD if cold else Code.NODE_BUSY
        if self.attempts:
            return Code.NO_TIME
        return Code.TURN if self.waits_turn and not self.admitted else Code.NODE_SLOW

    def wait_for_credit(self, node: NodeQueue) -> None:
        self.admitted = True
        self.node, self.place, node.lanes[self.volume.name] = node, "lane", self.volume
        self.volume.lanes.setdefault(self.shard, deque()).append(self)

    def wait_at(self, node: NodeQueue, now: float) -> None:
        self.node, self.place, self.queued_at = node, "queue", now
        self.volume.pending += 0.0 if self.attempts else self.units
        node.waiting += 1
        node.window.arrivals += 1
        self.ticket = node.serial = node.serial + 1
        heappush(node.queue, (self.due, self.ticket, self))

    def leave(self) -> None:
        """Out of the place where it waits."""
        node, volume = self.node, self.volume
        if self.place == "lane" and node is not None:
            lane = volume.lanes[self.shard]
            lane.remove(self)
            if not lane:
                del volume.lanes[self.shard], node.lanes[volume.name]
        elif self.place == "queue" and node is not None:
            node.waiting -= 1
            volume.pending -= 0.0 if self.attempts else self.units
        self.place = ""


@dataclass(slots=True, eq=False)
class Volume:
    name: str
    plan: Plan
    full: float  # units of credit at a refill
    filled_at: float
    hosts: int = 1  # through which its requests come
    limit: float = 0.0  # units a second of the limit that are this host's, 0: none
    burst: float = 0.0
    store: float = 0.0  # units that the limit still lets through
    pending: float = 0.0  # units released to a node's queue and not sent yet
    credits: float = 0.0
    short: float = 0.0  # units a refill by which the meter saw it under its reserve,
    told: float = -inf  # and when
    asked_at: float = -inf  # when a request of it last came
    epoch: int = -1  # the refill that its credits come from
    waking: bool = False
    lanes: dict[int | None, deque[Request]] = field(default_factory=dict)  # its first-in queue, by shard

    def share(self, now: float, part: float) -> None:
        """From now on this part of what the limit leaves to this host may be used."""
        if self.limit:
            self.level(now)
        self.limit, self.burst = self.plan.limit / self.hosts * part, self.plan.burst / self.hosts * part

    def level(self, now: float) -> float:
        """What the limit's store holds: it fills at the limit's rate, up to the burst."""
        self.store = min(self.burst, self.store + (now - self.filled_at) * self.limit)
        self.filled_at = now
        return self.store

    def idle(self, since: float) -> bool:
        """Whether nothing was asked of it since then and nothing of it waits."""
        return self.asked_at < since and not (self.lanes or self.waking) and self.pending <= 0

    def take(self, now: float, units: float) -> None:
        self.store = self.level(now) - units


class Members:
    """The node list as last told."""

    def __init__(self) -> None:
        self._nodes: dict[str, Node] = {}

    def apply(self, event: NodesListed) -> dict[int, Node]:
        """Take in the news; which node is up for each shard, the later started one of two."""
        before = self._nodes if event.kind is ListKind.CHANGES else {}
        after = before | {node.id: node for node in event.nodes}
        self._nodes = {name: node for name, node in after.items() if node.state is not NodeState.GONE}
        by_start = sorted(self._nodes.values(), key=lambda node: node.started or -inf)
        return {node.shard: node for node in by_start if node.state is NodeState.UP}

    def lost(self, shard: int | None) -> Code:
        """Why no node takes work for this shard."""
        drains = any(n.shard == shard and n.state is NodeState.DRAINING for n in self._nodes.values())
        return Code.DRAINED if drains else Code.NO_NODE


def percentile(values: list[float], part: float) -> float:
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


@dataclass(slots=True, eq=False)
class Window:
    """A node's statistics since the last setting of its threshold."""

    most_out: int = 0
    arrivals: int = 0
    new_due: int = 0  # arrivals that are also due before the window ends
    served: int = 0
    waits: dict[str, deque[float]] = field(default_factory=dict)  # by class, of those sent last
    latencies: dict[str, list[float]] = field(default_factory=dict)  # by class, of those served

    def mean_wait(self, cls: str) -> float:
        waits = self.waits.get(cls)
        return sum(waits) / len(waits) if waits else 0.0


@dataclass(slots=True, eq=False)
class NodeQueue:
    """The node that holds a shard: its queue, its threshold and what is known of it."""

    shard: int | None
    threshold: float  # L
    recent: Recent  # units sent within the span of the rule on cold nodes
    served: Recent  # and served
    id: str | None = None  # None: no node takes work for this shard now
    lost: Code = Code.NO_NODE  # why, while there is none
    zone: int = 0
    started: float | None = None
    cold_from: float = -inf
    life: int = 0  # counts the nodes and starts seen for this shard
    overload: bool = False
    queue: list[tuple[float, int, Request]] = field(default_factory=list)
    waiting: int = 0  # in the queue
    lanes: dict[str, Volume] = field(default_factory=dict)  # volumes with requests that wait for credit
    out: int = 0
    service: float = 0.0  # recent mean latency of what was served
    heard: float = -inf  # when that was last seen
    resting_until: float = -inf
    failures: int = 0  # in a row, of the kind that shows nobody answers
    lent: float = 0.0  # units of room on a cold node that others have lent,
    lent_until: float = -inf  # until then
    ask_at: float = -inf  # when room may be asked for again
    slot: int = -1  # of the rule on cold nodes, since its start
    ticket_until: float = -inf  # until then one request may go, whatever its units
    window: Window = field(default_factory=Window)
    serial: int = 0  # of entries in the queue

    def head(self) -> bool:
        """Whether a request waits in the queue; entries of those that have left are dropped."""
        while self.queue and not self._waits(self.queue[0]):
            heappop(self.queue)
        return bool(self.queue)

    def held(self) -> list[Request]:
        return [entry[2] for entry in self.queue if self._waits(entry)]

    def _waits(self, entry: tuple[float, int, Request]) -> bool:
        _, ticket, request = entry
        return request.place == "queue" and request.ticket == ticket and request.node is self

    def begin(self, entry: Node, cold_from: float, threshold: float) -> None:
        """A new life: nothing of the former one holds."""
        self.id, self.zone, self.started, self.cold_from = entry.id, entry.zone, entry.started, cold_from
        self.life += 1
        self.out, self.failures, self.resting_until = 0, 0, -inf
        self.service, self.heard, self.slot, self.ticket_until = 0.0, -inf, -1, -inf
        self.lent, self.lent_until, self.ask_at = 0.0, -inf, -inf
        self.served.clear()
        self.window = Window()
        self.threshold, self.overload = threshold, False

    def borrow(self, units: float, now: float, time: float) -> None:
        """Others lend room on this node; a further loan takes the place of what is left of the last one."""
        self.lent, self.lent_until, self.ask_at = units, now + time, now

    def count_sent(self, now: float, units: float, works: bool = True) -> None:
        self.out += works
        self.window.most_out = max(self.window.most_out, self.out)
        self.recent.add(now, units)

    def summary(self) -> str:
        marks = "!" * self.overload + "?" * (self.failures > 0) + "-" * (self.id is None)
        return f"{self.shard}:{self.threshold:.1f}{marks}/{self.out}/{self.waiting}/{len(self.lanes)}"
