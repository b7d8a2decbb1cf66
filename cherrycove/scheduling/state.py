"""What a scheduler remembers of requests, volumes and nodes: records and counters, without decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

from cherrycove.scheduling.interface import Code, Node, Plan, RequestClass
from cherrycove.scheduling.retry_safety import PossibleRun

REFILL_PERIOD_S = (
    1.0  # s between joint refills of credits, and the window of statistics behind each L (design)
)


class SlidingWindowSum:
    """The sum of the amounts added within a span of time (s) that ends now. Times must not go back."""

    def __init__(self, span: float) -> None:
        self._span = span
        self._added: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at this time (s)."""
        self.total(now)
        self._added.append((now, amount))
        self._total += amount

    def total(self, now: float) -> float:
        """Return the sum of what was added within the span."""
        while self._added and self._added[0][0] < now - self._span:
            self._total -= self._added.popleft()[1]
        if not self._added:
            self._total = 0.0  # no rounding error is carried on
        return self._total

    def last(self) -> float:
        """Return when the newest amount was added; -inf: there is none."""
        return self._added[-1][0] if self._added else -inf

    def clear(self) -> None:
        """Forget all amounts."""
        self._added.clear()
        self._total = 0.0

    def next_expiry(self, now: float) -> float:
        """Return when the oldest amount leaves the span; without any, when one added now would."""
        return (self._added[0][0] if self._added else now) + self._span


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its arrival until its final answer and the end of its last attempt.

    It waits for its key's turn, in its volume's lane for credit, in its node's queue, or for a retry; or an
    attempt of it is out.
    """

    id: int
    cls: RequestClass
    volume: Volume
    units: float
    relative_size: float  # its units against the usual, at least 1
    shard: int | None
    key: str | None
    due: float  # arrival plus latency target
    end: float  # when it must be answered at the latest
    budget: float = 0.0  # from its last byte
    upload: bool = False  # its last byte is still to come
    node: NodeQueue | None = None
    place: str = ""  # where it waits: "lane" for credit, "queue" or nowhere
    queued_at: float = 0.0
    ticket: int = -1  # its entry in the node's queue
    attempts: int = 0
    sent_at: float = 0.0
    in_flight: bool = False
    counted: bool = False  # its attempt counts as out at the node
    done: bool = False
    is_new_object: bool = False  # a new object, which any node may take
    possible_run: PossibleRun | None = None  # its first attempt that may have run
    key_rests_until: float = 0.0  # until then no other request with its key may run
    admitted: bool = False  # its key's turn has come
    waits_turn: bool = False  # another one with its key came before it
    why: Code = Code.CREDIT  # what let it into its node's queue

    def obstacle(self, node: NodeQueue, *, is_cold: bool) -> Code:
        """Return what keeps the request from its node, where it waits now."""
        if node.shard is not None and node.id is None:
            return node.absence_reason
        if self.place == "lane":
            return Code.OVER_LIMIT if self.volume.credits > 0 else Code.NO_CREDIT
        if node.failures:
            return Code.NODE_RESTS
        if self.place == "queue":
            return Code.NODE_COLD if is_cold else Code.NODE_BUSY
        if self.attempts:
            return Code.NO_TIME
        return Code.TURN if self.waits_turn and not self.admitted else Code.NODE_SLOW

    def wait_for_credit(self, node: NodeQueue) -> None:
        """Append the request to its volume's lane for this node's shard."""
        self.admitted = True
        self.node, self.place, node.lanes[self.volume.name] = node, "lane", self.volume
        self.volume.lanes.setdefault(self.shard, deque()).append(self)

    def wait_at(self, node: NodeQueue, now: float) -> None:
        """Put the request into the node's queue."""
        self.node, self.place, self.queued_at = node, "queue", now
        self.volume.pending += 0.0 if self.attempts else self.units
        node.waiting += 1
        node.window.arrivals += 1
        self.ticket = node.serial = node.serial + 1
        heappush(node.queue, (self.due, self.ticket, self))

    def leave(self) -> None:
        """Take the request out of the lane or queue in which it waits, if it does."""
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
    """A volume's credits, the store of its plan's limit, and its requests that wait for credit.

    Created with its first request, forgotten some time after its last. Units are those of
    ``interface.RequestArrival``.
    """

    name: str
    plan: Plan
    refill_units: float  # units of credit at a refill
    limit_filled_at: float
    hosts: int = 1  # through which its requests come
    limit: float = 0.0  # units a second of the limit that are this host's, 0: none
    burst: float = 0.0
    limit_store: float = 0.0  # units that the limit still lets through
    pending: float = 0.0  # units released to a node's queue and not sent yet
    credits: float = 0.0
    reserve_shortfall: float = 0.0  # units a refill by which the meter saw it under its reserve,
    use_reported_at: float = -inf  # and when
    last_request_at: float = -inf  # when a request of it last came
    epoch: int = -1  # the refill that its credits come from
    wake_scheduled: bool = False
    lanes: dict[int | None, deque[Request]] = field(default_factory=dict)  # its first-in queue, by shard

    def share(self, now: float, part: float) -> None:
        """Use only this part of the scheduler's even part of the limit from now on."""
        if self.limit:
            self.level(now)
        self.limit, self.burst = self.plan.limit / self.hosts * part, self.plan.burst / self.hosts * part

    def level(self, now: float) -> float:
        """Return the units in the limit's store, which fills at the limit's rate up to the burst."""
        self.limit_store = min(self.burst, self.limit_store + (now - self.limit_filled_at) * self.limit)
        self.limit_filled_at = now
        return self.limit_store

    def idle(self, since: float) -> bool:
        """Whether no request has come since then and none waits."""
        return self.last_request_at < since and not (self.lanes or self.wake_scheduled) and self.pending <= 0

    def take(self, now: float, units: float) -> None:
        """Take units of a request that is sent out of the limit's store."""
        self.limit_store = self.level(now) - units


def percentile(values: list[float], part: float) -> float:
    """Return the value below which this part (0 to 1) of the values lies; there must be one."""
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


@dataclass(slots=True, eq=False)
class Window:
    """A node's statistics since its threshold was last set."""

    max_in_flight: int = 0
    arrivals: int = 0
    new_due: int = 0  # arrivals that are also due before the window ends
    served: int = 0
    waits: dict[str, deque[float]] = field(default_factory=dict)  # by class, of those sent last
    latencies: dict[str, list[float]] = field(default_factory=dict)  # by class, of those served

    def mean_wait(self, cls: str) -> float:
        """Return the mean time (s) in the queue of the requests of a class that were sent last."""
        waits = self.waits.get(cls)
        return sum(waits) / len(waits) if waits else 0.0


@dataclass(slots=True, eq=False)
class NodeQueue:
    """The node that holds a shard: its queue in order of deadline, its threshold L and what is known of it.

    There is one for each shard ever seen, whichever node holds it; one without a shard, where new objects
    wait for credit.
    """

    shard: int | None
    threshold: float  # L
    recent: SlidingWindowSum  # units sent within the span of the rule on cold nodes
    served: SlidingWindowSum  # and served
    id: str | None = None  # None: no node takes work for this shard now
    absence_reason: Code = Code.NO_NODE  # why, while there is none
    zone: int = 0
    started: float | None = None
    cold_from: float = -inf
    incarnation: int = 0  # counts the nodes and starts seen for this shard
    overload: bool = False
    queue: list[tuple[float, int, Request]] = field(default_factory=list)
    waiting: int = 0  # in the queue
    lanes: dict[str, Volume] = field(default_factory=dict)  # volumes with requests that wait for credit
    in_flight: int = 0
    mean_latency_s: float = 0.0  # recent mean latency of what was served
    last_served_at: float = -inf  # when that was last seen
    backoff_until: float = -inf
    failures: int = 0  # in a row, of the kind that shows nobody answers
    loan_units: float = 0.0  # units of capacity at a cold node that others have lent,
    loan_until: float = -inf  # until then
    next_loan_request_at: float = -inf  # when a loan may be asked for again
    draw_window: int = -1  # of the rule on cold nodes, since its start
    ticket_until: float = -inf  # until then one request may go, whatever its units
    window: Window = field(default_factory=Window)
    serial: int = 0  # of entries in the queue

    def has_waiting(self) -> bool:
        """Whether a request waits in the queue; entries of requests that have left are dropped."""
        while self.queue and not self._waits(self.queue[0]):
            heappop(self.queue)
        return bool(self.queue)

    def waiting_requests(self) -> list[Request]:
        """Return the requests that wait in the queue, in no order of use."""
        return [entry[2] for entry in self.queue if self._waits(entry)]

    def _waits(self, entry: tuple[float, int, Request]) -> bool:
        _, ticket, request = entry
        return request.place == "queue" and request.ticket == ticket and request.node is self

    def begin(self, entry: Node, cold_from: float, threshold: float) -> None:
        """Another node, or a new start of it: nothing that was known holds any longer."""
        self.id, self.zone, self.started, self.cold_from = entry.id, entry.zone, entry.started, cold_from
        self.incarnation += 1
        self.in_flight, self.failures, self.backoff_until = 0, 0, -inf
        self.mean_latency_s, self.last_served_at, self.draw_window, self.ticket_until = 0.0, -inf, -1, -inf
        self.loan_units, self.loan_until, self.next_loan_request_at = 0.0, -inf, -inf
        self.served.clear()
        self.window = Window()
        self.threshold, self.overload = threshold, False

    def borrow(self, units: float, now: float, time: float) -> None:
        """Take a loan of units at this node for ``time`` (s), in place of what is left of the last one."""
        self.loan_units, self.loan_until, self.next_loan_request_at = units, now + time, now

    def count_sent(self, now: float, units: float, *, works: bool = True) -> None:
        """Count an attempt that is sent; ``works``: the node can begin with it, so that it counts as out."""
        self.in_flight += works
        self.window.max_in_flight = max(self.window.max_in_flight, self.in_flight)
        self.recent.add(now, units)

    def summary(self) -> str:
        """Return the node's figures for the report: shard, L with marks, out, queued, volumes that wait."""
        marks = "!" * self.overload + "?" * (self.failures > 0) + "-" * (self.id is None)
        return f"{self.shard}:{self.threshold:.1f}{marks}/{self.in_flight}/{self.waiting}/{len(self.lanes)}"
