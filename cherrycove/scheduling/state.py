"""Records and counters of requests, volumes and nodes. They make no decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

from cherrycove.scheduling.interface import Code, Node, Plan, RequestClass
from cherrycove.scheduling.retry_safety import PossibleRun

REFILL_PERIOD_S = 1.0  # between credit refills; also the statistics window for each L (from the design)


class SlidingWindowSum:
    """The sum of the amounts added within the last ``span`` seconds. Times must not decrease."""

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
        """Return the sum of the amounts within the span."""
        while self._added and self._added[0][0] < now - self._span:
            self._total -= self._added.popleft()[1]
        if not self._added:
            self._total = 0.0  # discards accumulated rounding errors
        return self._total

    def last(self) -> float:
        """Return when the newest amount was added; -inf if there is none."""
        return self._added[-1][0] if self._added else -inf

    def clear(self) -> None:
        """Forget all amounts."""
        self._added.clear()
        self._total = 0.0

    def next_expiry(self, now: float) -> float:
        """Return when the oldest amount expires; without amounts, when one added now would."""
        return (self._added[0][0] if self._added else now) + self._span


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its arrival until its final answer and the end of its last attempt.

    It is either in flight, or waits: for earlier requests with its key, in a lane of its volume for credit,
    in its node's queue, or for a retry.
    """

    id: int
    cls: RequestClass
    volume: Volume
    units: float
    relative_size: float  # its units divided by the usual units, at least 1
    shard: int | None
    key: str | None
    arrived: float
    due: float  # arrival plus latency target
    deadline: float  # latest time for its final answer
    budget: float = 0.0  # s that the client waits, counted from the request's last byte
    upload: bool = False  # its last byte has not arrived yet
    node: NodeQueue | None = None
    place: str = ""  # where it waits: "lane" (credit), "queue" (its node) or "" (neither)
    queued_at: float = 0.0
    entry_serial: int = -1  # serial of its entry in the node's queue; older entries are stale
    attempts: int = 0
    sent_at: float = 0.0
    in_flight: bool = False
    counted_in_flight: bool = False  # its attempt is included in ``NodeQueue.in_flight``
    done: bool = False
    is_new_object: bool = False  # any node may store it
    possible_run: PossibleRun | None = None  # first attempt that may have been executed
    key_blocked_until: float = 0.0  # no other request with its key may run before this time
    admitted: bool = False  # no earlier request with its key blocks it
    waits_turn: bool = False  # another request with its key arrived earlier
    release_code: Code = Code.CREDIT  # why it was moved to its node's queue

    def waiting_code(self, node: NodeQueue, *, is_cold: bool) -> Code:
        """Return the code of the condition that the request currently waits for."""
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
        """Append the request to its volume's lane for its shard; ``node`` holds that shard."""
        self.admitted = True
        self.node, self.place, node.lanes[self.volume.name] = node, "lane", self.volume
        self.volume.lanes.setdefault(self.shard, deque()).append(self)

    def wait_at(self, node: NodeQueue, now: float) -> None:
        """Put the request into the node's queue."""
        self.node, self.place, self.queued_at = node, "queue", now
        self.volume.queued_units += 0.0 if self.attempts else self.units
        node.waiting += 1
        node.window.arrivals += 1
        self.entry_serial = node.last_entry_serial = node.last_entry_serial + 1
        heappush(node.queue, (self.due, self.entry_serial, self))

    def leave(self) -> None:
        """Remove the request from the lane or queue in which it waits, if any."""
        node, volume = self.node, self.volume
        if self.place == "lane" and node is not None:
            lane = volume.lanes[self.shard]
            lane.remove(self)
            if not lane:
                del volume.lanes[self.shard], node.lanes[volume.name]
        elif self.place == "queue" and node is not None:
            node.waiting -= 1
            volume.queued_units -= 0.0 if self.attempts else self.units
        self.place = ""


@dataclass(slots=True, eq=False)
class Volume:
    """A volume's credits, the token bucket of its plan's limit, and its requests that wait for credit.

    Created with its first request and removed some time after its last. Units are those of
    ``interface.RequestArrival``.
    """

    name: str
    plan: Plan
    refill_units: float  # units of credit added by a refill
    bucket_filled_at: float
    hosts: int = 1  # number of hosts that receive its requests
    limit: float = 0.0  # this host's part of the limit, units/s; 0: no limit
    burst: float = 0.0
    bucket_units: float = 0.0  # units in the token bucket of the limit
    queued_units: float = 0.0  # units moved to a node's queue and not sent yet
    credits: float = 0.0
    reserve_shortfall: float = 0.0  # units per refill by which its metered use is below its reserve
    use_reported_at: float = -inf  # when the meter last reported its use
    last_request_at: float = -inf  # arrival time of its latest request
    epoch: int = -1  # number of the refill that its credits include
    wake_scheduled: bool = False
    # FIFO queues of requests that wait for credit, by shard.
    lanes: dict[int | None, deque[Request]] = field(default_factory=dict)

    def set_limit_fraction(self, now: float, part: float) -> None:
        """Set which part of this scheduler's even part of the limit may be used from now on."""
        if self.limit:
            self.bucket_level(now)
        self.limit, self.burst = self.plan.limit / self.hosts * part, self.plan.burst / self.hosts * part

    def bucket_level(self, now: float) -> float:
        """Return the units in the token bucket, which fills at the limit's rate up to the burst."""
        self.bucket_units = min(self.burst, self.bucket_units + (now - self.bucket_filled_at) * self.limit)
        self.bucket_filled_at = now
        return self.bucket_units

    def is_idle_since(self, since: float) -> bool:
        """Return whether no request has arrived since then and none waits."""
        return (
            self.last_request_at < since
            and not (self.lanes or self.wake_scheduled)
            and self.queued_units <= 0
        )

    def take_from_bucket(self, now: float, units: float) -> None:
        """Take the units of a request that is sent from the token bucket, which may drop below 0."""
        self.bucket_units = self.bucket_level(now) - units


def percentile(values: list[float], part: float) -> float:
    """Return the percentile ``part`` (0 to 1) of the values, of which there must be at least one."""
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


@dataclass(slots=True, eq=False)
class Window:
    """A node's statistics since its threshold was last updated."""

    max_in_flight: int = 0
    arrivals: int = 0
    new_due: int = 0  # arrivals that are also due before the window ends
    served: int = 0
    # Time in the queue (s), by class, of the latest sends.
    waits: dict[str, deque[float]] = field(default_factory=dict)
    latencies: dict[str, list[float]] = field(default_factory=dict)  # s, by class, of served requests

    def mean_wait(self, cls: str) -> float:
        """Return the mean time (s) in the queue of the latest sends of a class; 0 if there are none."""
        waits = self.waits.get(cls)
        return sum(waits) / len(waits) if waits else 0.0


@dataclass(slots=True, eq=False)
class NodeQueue:
    """The node that holds a shard: its earliest-deadline-first queue, its threshold L and its health.

    There is one for each shard ever seen, whichever node holds it, and one without a shard, in which new
    objects wait for credit.
    """

    shard: int | None
    threshold: float  # L, the concurrency limit
    sent_window: SlidingWindowSum  # units sent within ``Settings.fall_window``
    served_window: SlidingWindowSum  # units served within it
    id: str | None = None  # None: no node accepts requests for this shard now
    absence_reason: Code = Code.NO_NODE  # why ``id`` is None
    zone: int = 0
    started: float | None = None
    cold_from: float = -inf
    incarnation: int = 0  # number of nodes and node starts seen for this shard
    overload: bool = False
    queue: list[tuple[float, int, Request]] = field(default_factory=list)
    waiting: int = 0  # requests in the queue
    lanes: dict[str, Volume] = field(default_factory=dict)  # volumes with requests that wait for credit
    in_flight: int = 0
    mean_latency_s: float = 0.0  # recent mean latency of served requests
    last_served_at: float = -inf  # time of the latest served answer
    backoff_until: float = -inf
    failures: int = 0  # consecutive failures that show that the node does not answer
    loan_units: float = 0.0  # units of capacity at a cold node that other schedulers have lent
    loan_until: float = -inf  # when the loan expires
    next_loan_request_at: float = -inf  # when a loan may be requested again
    draw_window: int = -1  # slow-start window, counted from the node's start, of the latest random draw
    permit_until: float = -inf  # until then one request of any size may be sent
    window: Window = field(default_factory=Window)
    last_entry_serial: int = 0  # serial of the newest queue entry

    def has_waiting(self) -> bool:
        """Return whether a request waits in the queue; drop stale entries at its head."""
        while self.queue and not self._waits(self.queue[0]):
            heappop(self.queue)
        return bool(self.queue)

    def waiting_requests(self) -> list[Request]:
        """Return the requests that wait in the queue, in unspecified order."""
        return [entry[2] for entry in self.queue if self._waits(entry)]

    def _waits(self, entry: tuple[float, int, Request]) -> bool:
        _, entry_serial, request = entry
        return request.place == "queue" and request.entry_serial == entry_serial and request.node is self

    def begin(self, entry: Node, cold_from: float, threshold: float) -> None:
        """Reset all statistics for another node, or for a new start of the same one."""
        self.id, self.zone, self.started, self.cold_from = entry.id, entry.zone, entry.started, cold_from
        self.incarnation += 1
        self.in_flight, self.failures, self.backoff_until = 0, 0, -inf
        self.mean_latency_s, self.last_served_at, self.draw_window, self.permit_until = 0.0, -inf, -1, -inf
        self.loan_units, self.loan_until, self.next_loan_request_at = 0.0, -inf, -inf
        self.served_window.clear()
        self.window = Window()
        self.threshold, self.overload = threshold, False

    def set_loan(self, units: float, now: float, time: float) -> None:
        """Set a loan of units at this node for ``time`` (s), which replaces the rest of the previous one."""
        self.loan_units, self.loan_until, self.next_loan_request_at = units, now + time, now

    def count_sent(self, now: float, units: float, *, works: bool = True) -> None:
        """Count an attempt that is sent; it counts as in flight if ``works``: the node can start it."""
        self.in_flight += works
        self.window.max_in_flight = max(self.window.max_in_flight, self.in_flight)
        self.sent_window.add(now, units)

    def summary(self) -> str:
        """Return the figures for the report: shard, L with marks, in flight, queued, volumes that wait."""
        marks = "!" * self.overload + "?" * (self.failures > 0) + "-" * (self.id is None)
        return f"{self.shard}:{self.threshold:.1f}{marks}/{self.in_flight}/{self.waiting}/{len(self.lanes)}"
