"""The broker's core: requests, attempts, endings and final answers, whatever protocol they arrive by.

It owns the scheduler of the process, its clock, its timers and its batches of events, and gives the servers a
facade in blocking style: ``pick`` the next step of a request, ``report`` how an attempt ended, ``tick``. It
is the only place that handles the scheduler's events and actions, the only one that maps an ``Ending`` to
an ``Outcome``, and it ensures that each request gets exactly one final answer before its client's deadline.
It must never open a socket, know a header or a frame, decide where or when a request is sent, or delay an
answer that the scheduler has given.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf, nan
from typing import Protocol

from cherrycove.broker.event_log import Log, bound
from cherrycove.broker.local_codes import Own
from cherrycove.broker.request_limit import RequestLimit
from cherrycove.scheduling import interface as api
from cherrycove.scheduling.scheduler import Scheduler

log = Log("cherrycove.core")

# A busy machine can delay this process for tens of ms, and an answer after the client's deadline is a failed
# request. The margins give away answers that would come too late to have much value.
MARGIN = 0.050  # s between the end of the scheduler's budget and the client's deadline, but
MARGIN_PART = 0.1  # at most this fraction of the client's time: many wait hardly longer than MARGIN
LAST_RESORT = 0.5  # fraction of the margin left when the core answers in place of the scheduler
NO_BOUND = 1 << 30  # requests
DECISION_TICKS = 5  # that the scheduler has in any case


class Ending(Enum):
    """Every way in which an attempt and the connection that carried it can end."""

    SERVED = "served"  # the node's complete response was received
    NODE_ERROR = "node error"  # the node answered that it failed
    TURNED_AWAY = "turned away"  # the node guarantees that it did not run the request
    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMEOUT = "connect timeout"  # not connected in time, or no slot of the pool came free
    BROKEN_UNSENT = "broken unsent"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke after that, or that cannot be told
    CUT_SHORT = "cut short"  # it broke within the response
    SPOILT = "spoilt"  # the response is malformed, or its end cannot be told
    TIMED_OUT = "timed out"  # written completely, no complete response in time
    CLIENT_BROKE = "client broke off"  # the client did not send all of a streamed body
    EXPIRED = "expired unsent"  # cancelled or timed out before its last byte was written
    GIVEN_UP = "given up"  # the scheduler cancelled the attempt, or the client disconnected
    NOT_STARTED = "not started"  # nothing was sent: the request had ended, or the node has no address
    NOT_ITS = "not its to serve"  # the node guarantees that it did not run it: expired, or of another shard


OUTCOMES: Mapping[Ending, api.Outcome] = {
    Ending.SERVED: api.Outcome.SERVED,
    Ending.NODE_ERROR: api.Outcome.ERROR,
    Ending.TURNED_AWAY: api.Outcome.FULL,
    Ending.CONNECT_REFUSED: api.Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMEOUT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN_UNSENT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN: api.Outcome.RESET,
    Ending.CUT_SHORT: api.Outcome.RESET,
    # It may have run, but the node is reachable: to eject it would delay all that waits for its shard.
    Ending.SPOILT: api.Outcome.ERROR,
    Ending.TIMED_OUT: api.Outcome.TIMEOUT,
    # It never ran, and says nothing about the node: the request's own time was too short.
    Ending.EXPIRED: api.Outcome.MOOT,
    Ending.GIVEN_UP: api.Outcome.CANCELLED,
    # The node has a part of it, and only the node knows the effect of that.
    Ending.CLIENT_BROKE: api.Outcome.CANCELLED,
    Ending.NOT_STARTED: api.Outcome.MOOT,
    # It says nothing about the node's load: counted as a full queue, it would eject a healthy node.
    Ending.NOT_ITS: api.Outcome.MOOT,
}


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the node list, from whichever source."""

    name: str
    address: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # Unix time of its last start; 0: unknown, long ago
    state: api.NodeState = api.NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeList:
    version: int
    full: bool  # otherwise only what has changed
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Nodes that operators took out, and nodes put back whose restart discovery does not know yet."""

    out: Mapping[str, float] = field(
        default_factory=dict
    )  # by name: the start that discovery had reported before
    back: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )  # that start, and the time of its return

    def taking_out(self, name: str, since_ms: float) -> Maintenance:
        if name in self.out:
            return self
        return Maintenance({**self.out, name: since_ms}, {k: v for k, v in self.back.items() if k != name})

    def putting_back(self, name: str, returned_ms: float) -> Maintenance:
        if name not in self.out:
            return self
        return Maintenance(
            {k: v for k, v in self.out.items() if k != name},
            {**self.back, name: (self.out[name], returned_ms)},
        )

    def joined(self, told: Member) -> Member:
        """The node as discovery reported it, with maintenance applied."""
        since, returned = self.back.get(told.name, (nan, 0.0))
        if since == told.since_ms:
            # It was restarted while out, and discovery may report that seconds late.
            told = replace(told, since_ms=returned)
        if told.name in self.out and told.state is api.NodeState.UP:
            return replace(told, state=api.NodeState.DRAINING)
        return told


@dataclass(slots=True, eq=False)
class Request:
    """What the core must know of a request; its content is known to the backend alone."""

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    deadline: float  # on the loop's clock: when the client stops waiting
    key: str | None = None
    repeat: bool = False
    upload: bool = False  # its last byte is still to be received; its deadline counts from then on
    id: str = ""  # the client's id of it
    front: str = "http"


@dataclass(slots=True, eq=False)
class Attempt:
    """Permission to send a request to a node, once, until ``expires``."""

    request: int
    number: int
    node: str
    address: str
    expires: float
    began: float
    wait: float = 0.0  # s that the broker waits for the response
    life: str = ""  # the node's incarnation: name and start
    written: bool = False  # the last byte may have been sent
    begun: bool = False  # a part of a streamed body may have been sent
    on_written: Callable[[Attempt], None] | None = None
    scope: asyncio.Timeout | None = None
    given_up: bool = False
    reported: bool = False
    why: api.Reason | None = None
    took: float = 0.0  # s, once it has ended
    ending: Ending | None = None
    write_by: float = inf  # by then the last byte has been sent, or the attempt is cancelled

    def wrote(self) -> None:
        """Called by the backend once the last byte may have left."""
        if not self.written:
            self.written = True
            if self.on_written is not None:
                self.on_written(self)


@dataclass(frozen=True, slots=True)
class Reply:
    """How an attempt ended, and what the node sent."""

    ending: Ending
    body: bytes = b""
    kind: str = ""  # the media type of the body, if the protocol has one
    use: float | None = None  # the volume's use in a finished period, as a multiple of its plan's rate
    elsewhere: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    relay: Callable[[], Awaitable[Ending]] | None = (
        None  # streams the rest of a long response, which begins with body
    )


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"  # it did not run: a retry is safe
    FAILED = "failed"  # it may have taken effect


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    reply: Reply | None = None
    retry_after: float = 0.0
    cause: Ending | None = None  # how the last attempt ended, if there was one
    why: api.Reason | None = None  # the scheduler's
    own: Own = Own.NOTHING  # the core's, if the scheduler had no part in it


@dataclass(slots=True, eq=False)
class Ended:
    """A request that has ended, or is in flight, as a recorder gets it. Times are on the loop's clock."""

    came: float
    at: float
    verdict: Verdict | None  # None: its client disconnected, or it is in flight
    own: Own = Own.NOTHING
    why: api.Reason | None = None
    request: Request | None = None  # None: a server answered it by itself; the fields below identify it
    tries: list[Attempt] = field(default_factory=list)
    first: str = ""  # the id of the request that the client retries
    rivals: int = 0
    id: str = ""
    volume: str = ""
    front: str = "http"
    cls: int | None = None


class Recorder(Protocol):
    """Gets every request once, when it has ended."""

    def came(self, request: Request, now: float) -> tuple[str, int]:
        """A marked retry: the id of the request that it repeats, and how many candidates there were."""

    def ended(self, ended: Ended) -> None: ...


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a broker for its operators."""

    answers: Mapping[str, Mapping[Verdict, int]]  # by class, since the start
    tries: int  # attempts written completely
    open: int  # requests
    known: int  # nodes in the list
    skipped: int  # of these, nodes that get no requests now


class Backend(Protocol):
    """Carries out attempts of one request over one protocol; cancelled, it closes the connection it used."""

    async def attempt(self, attempt: Attempt) -> Reply: ...


@dataclass(slots=True, eq=False)
class _Ticket:
    id: int
    request: Request
    wait: float  # s that its client waits
    margin: float  # s between the end of its budget and its deadline
    limit: asyncio.Timeout | None = None
    waiter: asyncio.Future[Attempt | Answer] | None = None
    step: Attempt | Answer | None = None  # decided before anybody waited for it
    attempts: int = 0
    current: Attempt | None = None
    cause: Ending | None = None
    over: bool = False  # answered, or its client disconnected; kept until the scheduler knows
    came: float = 0.0
    tries: list[Attempt] = field(default_factory=list)
    first: tuple[str, int] = ("", 0)


class Core:
    """The facade over the scheduler, for one event loop.

    The broker owns it. A fault of the scheduler is logged; the requests concerned fail at their deadlines.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.endings: Counter[Ending] = Counter()
        self._answers = {cls.name: dict.fromkeys(Verdict, 0) for cls in settings.classes}
        self._tries = 0
        self.version: int | None = None  # of the node list; None: there is none yet
        self.recorder: Recorder | None = None
        self.lists = 0  # how often the list has changed
        self._ask_room: Callable[[str, float], None] = lambda node, units: None
        self.on_list: Callable[[NodeList], None] | None = None  # called with each list from the source itself
        self.silent = False  # whether the source of the node list is unreachable
        self.watching = asyncio.Event()  # set whenever the scheduler asks for the list's changes
        self._scheduler = Scheduler(settings, seed)
        self._loop = asyncio.get_running_loop()
        # Fixed once: a node's start must not move when the wall clock is adjusted.
        self._unix_offset = time.time() - self._loop.time()
        self._events: list[api.Event] = []
        self._wake: asyncio.TimerHandle | None = None
        self._places = RequestLimit(NO_BOUND)
        self._told = NO_BOUND  # the limit that the scheduler knows
        self._last_tick = -inf
        self._tickets: dict[int, _Ticket] = {}
        self._over: list[int] = []  # tickets to delete after the next batch
        self._open = 0
        self._serial = 0
        self._members: dict[str, Member] = {}  # as reported, without maintenance
        self.maintenance = Maintenance()
        self._given_up: float | None = None  # since then new requests are rejected at once
        self._idle = asyncio.Event()
        self._idle.set()

    # What the servers use.

    async def serve(self, request: Request, backend: Backend) -> Answer:
        """Serve a request up to its one final answer. Cancellation means that the client has disconnected."""
        # The scheduler takes the longest wait seen in a class for that of a first request. One client that
        # claims to wait longer than the class allows would make all others look like late retries.
        allowed = self._loop.time() + self.settings.classes[request.cls].deadline
        request.deadline = min(request.deadline, allowed)
        if self._given_up is not None:
            own = Own.ENDING
            self.turned_away(request.cls, Verdict.REFUSED, own, request.id, request.volume, request.front)
            return Answer(Verdict.REFUSED, retry_after=self.settings.retry_advice, own=own)
        with bound(request=request.id):
            return await self._serve(request, backend)

    async def _serve(self, request: Request, backend: Backend) -> Answer:
        ticket = self._take(request)
        answer: Answer | None = None
        # A client's late retry may have less time left than the last resort; the scheduler still decides.
        latest = max(
            request.deadline - LAST_RESORT * ticket.margin,
            self._loop.time() + DECISION_TICKS * self.settings.tick,
        )
        try:
            async with asyncio.timeout_at(latest) as ticket.limit:
                while answer is None:
                    step = await self.pick(ticket)
                    if isinstance(step, Answer):
                        answer = step
                    else:
                        reply = await self._carry_out(step, backend)
                        self.report(step, reply)
                        if reply.ending is Ending.SERVED:
                            answer = Answer(Verdict.SERVED, reply)
        except TimeoutError:
            if answer is None:
                # Even without a decision, or on a loop that is late, each client gets an answer.
                own = Own.LAST_RESORT if self._given_up is None else Own.ENDING
                if own is Own.LAST_RESORT:
                    log.warning("request.undecided")
                self._push(api.ClientDeparture(ticket.id))
                verdict = Verdict.FAILED if ticket.attempts else Verdict.REFUSED  # nothing of it was sent
                answer = Answer(verdict, cause=ticket.cause, retry_after=self.settings.retry_advice, own=own)
        except BaseException:
            self._finish(ticket, None)
            raise
        finally:
            ticket.limit = None
        try:
            if answer.reply is not None and answer.reply.relay is not None:
                begun, relay, answer = answer, answer.reply.relay, None
                ending = await relay()
                answer = (
                    begun
                    if ending is Ending.SERVED
                    else Answer(Verdict.FAILED, cause=ending, own=Own.BROKE_OFF)
                )
        finally:
            self._finish(ticket, answer)
        return answer

    def turned_away(
        self,
        cls: int | None,
        verdict: Verdict = Verdict.FAILED,
        own: Own = Own.MALFORMED,
        id: str = "",
        volume: str = "",
        front: str = "http",
    ) -> None:
        """Record that a server rejected a request of this class by itself; the core has not served it."""
        if cls is not None:
            self._answers[self.settings.classes[cls].name][verdict] += 1
        if self.recorder is not None:
            now = self._loop.time()
            self.recorder.ended(Ended(now, now, verdict, own, id=id, volume=volume, front=front, cls=cls))

    def find(self, id: str) -> list[Ended]:
        """The requests in flight with this id."""
        now = self._loop.time()
        return [
            Ended(
                ticket.came,
                now,
                None,
                why=None,
                request=ticket.request,
                tries=list(ticket.tries),
                first=ticket.first[0],
                rivals=ticket.first[1],
            )
            for ticket in self._tickets.values()
            if ticket.request.id == id and not ticket.over
        ]

    def figures(self) -> Figures:
        used = self._scheduler.in_use()
        return Figures(
            self._answers,
            self._tries,
            self._open,
            len(self._members),
            sum(name not in used for name in self._members),
        )

    async def pick(self, ticket: _Ticket) -> Attempt | Answer:
        """The next step of a request: an attempt to carry out, or its final rejection or failure."""
        if ticket.step is None:
            ticket.waiter = self._loop.create_future()
            try:
                return await ticket.waiter
            finally:
                ticket.waiter = None
        step, ticket.step = ticket.step, None
        return step

    def report(self, attempt: Attempt, reply: Reply) -> None:
        """Report how an attempt ended; repeated reports are ignored."""
        if attempt.reported:
            return
        attempt.reported = True
        attempt.ending, attempt.took = reply.ending, self._loop.time() - attempt.began
        self.endings[reply.ending] += 1
        ticket = self._tickets.get(attempt.request)
        closed = ticket is None or ticket.over or reply.ending is Ending.SERVED
        if ticket is not None:
            ticket.cause, ticket.current = reply.ending, None
            if ticket.request.upload and ticket.limit is not None and not ticket.limit.expired():
                ticket.limit.reschedule(self._loop.time() + ticket.wait)
        self._push(
            api.AttemptEnd(
                attempt.request,
                attempt.number,
                attempt.node,
                OUTCOMES[reply.ending],
                closed,
                attempt.took,
                reply.use,
                reply.elsewhere,
                reply.load,
            )
        )

    def tick(self) -> None:
        """Pass the events since the last tick to the scheduler and carry out its actions."""
        now = self._loop.time()
        places = self._places.now(now, now - self._wake.when() if self._wake else 0.0)
        self._wake, self._last_tick = None, now
        events, self._events = self._events, []
        if places != self._told:
            self._told = places
            events.append(api.OpenRequestLimit(places))
        over, self._over = self._over, []
        try:
            for action in self._scheduler.handle(now, events):
                self._act(action)
        except Exception:
            # The requests concerned fail at their deadlines; the broker goes on serving the others.
            log.exception("module.failed", events=len(events))
        for number in over:
            del self._tickets[number]

    def update(self, news: NodeList, restored: bool = False) -> None:
        """Apply a node list, or changes of it, from its source; ``restored``: from an earlier process."""
        self.version, self.silent = news.version, False
        kind = api.ListKind.FULL if news.full else api.ListKind.CHANGES
        self._take_in(news, api.ListKind.RESTORED if restored else kind)
        if self.on_list is not None and not restored:
            self.on_list(news)

    def _take_in(self, news: NodeList, kind: api.ListKind) -> None:
        self.lists += 1
        before = {} if news.full else self._members
        self._members = before | {m.name: m for m in news.members if m.state is not api.NodeState.GONE}
        for member in news.members:
            if member.state is api.NodeState.GONE:
                self._members.pop(member.name, None)
        back = {
            name: times
            for name, times in self.maintenance.back.items()
            if name in self._members and self._members[name].since_ms == times[0]
        }
        self.maintenance = replace(self.maintenance, back=back)
        self._tell(news.version, kind, news.members)
        self._hurry()

    def _hurry(self) -> None:
        """Cancel attempts to draining or removed nodes that are not written within the drain grace.

        An attempt that began before may wait for its connection for longer than the grace, within which
        sends to such a node must cease.
        """
        latest = self._loop.time() + self.settings.drain_grace
        for ticket in self._tickets.values():
            attempt = ticket.current
            if attempt is None or attempt.written or attempt.begun or attempt.write_by <= latest:
                continue
            member = self._members.get(attempt.node)
            if member is not None and self.maintenance.joined(member).state is api.NodeState.UP:
                continue
            attempt.write_by = latest
            if attempt.scope is not None and not attempt.scope.expired():
                attempt.scope.reschedule(min(attempt.expires, latest))

    def _tell(self, version: int, kind: api.ListKind, members: Iterable[Member]) -> None:
        self._push(
            api.NodeListUpdate(
                version,
                kind,
                tuple(
                    api.Node(m.name, m.shard, m.zone, m.weight, self._clock(m.since_ms), m.state)
                    for m in map(self.maintenance.joined, members)
                ),
            )
        )

    def maintain(self, state: Maintenance) -> None:
        """Replace the maintenance state and update the scheduler for the nodes it changes."""
        before, self.maintenance = self.maintenance, state
        changed = [m for m in self._members.values() if before.joined(m) != state.joined(m)]
        if changed:
            self._tell(self.version or 0, api.ListKind.CHANGES, changed)
            self._hurry()

    def share(self, part: float, sent: Mapping[str, float] | None = None) -> None:
        """Use this share of the broker's budget; ``sent`` is what its other processes sent recently."""
        self._push(api.BudgetShare(part, sent or {}))

    def bound(self, places: int) -> None:
        """Limit the requests in flight, so that the servers keep connections for others."""
        self._places.most = self._told = places
        self._push(api.OpenRequestLimit(places))

    def pool_room(self, part: float, ask: Callable[[str, float], None]) -> None:
        """Pool this fraction of the capacity of nodes in slow start among the brokers.

        ``ask`` is called with the name of a node and the units wanted, as often as the scheduler likes.
        """
        self._ask_room = ask
        self._push(api.CapacityPool(part))

    def room_lent(self, node: str, units: float, time: float) -> None:
        """Use capacity that another broker has lent, within ``time`` seconds."""
        self._push(api.CapacityLoan(node, units, time))

    def started(self, member: Member) -> float | None:
        """When a node last started, on the loop's clock; None if that is unknown."""
        return self._clock(member.since_ms)

    def sent(self) -> dict[str, float]:
        return self._scheduler.sent()

    def remember(self) -> api.RestartState:
        """The state for the next process of this broker; times are on the loop's clock."""
        return self._scheduler.remember()

    def recall(self, told: api.RestartState) -> None:
        """Apply the state that an earlier process of this broker saved."""
        self._push(told)

    def list_unavailable(self) -> None:
        self.silent = True
        self._push(api.NodeListFailure())

    def restrain(self, member: Member) -> None:
        """Send a node no new requests, on information that is not from the list's source."""
        if member.name in self._members and member.state is not api.NodeState.UP and self.version is not None:
            self._take_in(NodeList(self.version, False, (member,)), api.ListKind.CHANGES)

    @property
    def members(self) -> tuple[Member, ...]:
        """The node list as reported, without maintenance."""
        return tuple(self._members.values())

    @property
    def ready(self) -> bool:
        """Whether any node is up."""
        return any(
            self.maintenance.joined(member).state is api.NodeState.UP for member in self._members.values()
        )

    @property
    def open_requests(self) -> int:
        return self._open

    def give_up(self) -> None:
        """Answer all requests in flight, and reject new ones, at once: the process ends.

        Responses that are being streamed go on.
        """
        self._given_up = self._loop.time()
        for ticket in self._tickets.values():
            if ticket.limit is not None and not ticket.limit.expired():
                ticket.limit.reschedule(self._given_up)

    async def idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    # Between the facade and the scheduler.

    def _clock(self, since_ms: float) -> float | None:
        return since_ms / 1000 - self._unix_offset if since_ms > 0 else None

    def _take(self, request: Request) -> _Ticket:
        self._serial += 1
        wait = max(request.deadline - self._loop.time(), 0.0)
        margin = min(MARGIN, MARGIN_PART * wait)
        ticket = self._tickets[self._serial] = _Ticket(self._serial, request, wait, margin)
        ticket.came = self._loop.time()
        if self.recorder is not None and request.repeat:
            ticket.first = self.recorder.came(request, ticket.came)
        self._open += 1
        self._idle.clear()
        self.counts["taken"] += 1
        self._push(
            api.RequestArrival(
                ticket.id,
                request.cls,
                request.plan,
                request.volume,
                request.units,
                request.shard,
                request.hosts,
                wait - margin,
                request.key,
                request.repeat,
                request.upload,
            )
        )
        return ticket

    def _finish(self, ticket: _Ticket, answer: Answer | None) -> None:
        self._open -= 1
        if not self._open:
            self._idle.set()
        self.counts[answer.verdict.value if answer else "client gone"] += 1
        if answer is not None:
            self._answers[self.settings.classes[ticket.request.cls].name][answer.verdict] += 1
        # An attempt decided as the client disconnected was never carried out; its end is still reported.
        for attempt in (ticket.current, ticket.step):
            if isinstance(attempt, Attempt):
                self.report(attempt, Reply(Ending.GIVEN_UP if attempt.scope else Ending.NOT_STARTED))
        if answer is None:
            self._push(api.ClientDeparture(ticket.id))
        ticket.over = True
        self._over.append(ticket.id)
        if self.recorder is not None:
            own = Own.CLIENT_GONE if answer is None else answer.own
            self.recorder.ended(
                Ended(
                    ticket.came,
                    self._loop.time(),
                    answer.verdict if answer else None,
                    own,
                    answer.why if answer else None,
                    ticket.request,
                    ticket.tries,
                    *ticket.first,
                )
            )

    async def _carry_out(self, attempt: Attempt, backend: Backend) -> Reply:
        try:
            until = min(attempt.expires, attempt.write_by)
            async with asyncio.timeout_at(until if until < inf else None) as attempt.scope:
                with bound(attempt=attempt.number + 1, node=attempt.node):
                    return await backend.attempt(attempt)
        except TimeoutError:
            if not (attempt.written or attempt.begun):
                return Reply(Ending.EXPIRED)
            return Reply(Ending.GIVEN_UP if attempt.given_up else Ending.TIMED_OUT)
        except Exception:
            log.exception("attempt.unforeseen", attempt=attempt.number + 1, node=attempt.node)
            return Reply(Ending.BROKEN)

    def _push(self, event: api.Event) -> None:
        """Add an event to the next batch; batches are a tick apart, so that a burst costs one call."""
        self._events.append(event)
        if self._wake is None:
            when = max(self._last_tick + self.settings.tick, self._loop.time())
            self._wake = self._loop.call_at(when, self.tick)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send(request, node, timeout, why, within):
                self._send(request, node, timeout, why, inf if within is None else within)
            case api.Refuse(request, retry_after, why):
                self._decided(request, Verdict.REFUSED, why, retry_after)
            case api.Fail(request, why):
                self._decided(request, Verdict.FAILED, why)
            case api.Cancel(request, number):
                ticket = self._tickets.get(request)
                attempt = ticket.current if ticket else None
                if attempt and attempt.number == number and attempt.scope and not attempt.scope.expired():
                    attempt.given_up = True
                    attempt.scope.reschedule(self._loop.time())
            case api.SetTimer(token, delay):
                self._loop.call_later(delay, self._push, api.TimerExpiry(token))
            case api.BorrowCapacity(node, units):
                self._ask_room(node, units)
            case api.WatchNodes():
                self.watching.set()
            case api.Report(text):
                log.info("module.state", shards=text)
            case api.Probe(node):
                # No deployment's settings let the scheduler probe, and it asks for none.
                self._push(api.ProbeEnd(node, api.Outcome.MOOT, 0.0))

    def _send(
        self,
        request: int,
        node: str,
        timeout: float | None,
        why: api.Reason | None = None,
        within: float = inf,
    ) -> None:
        ticket, now = self._tickets.get(request), self._loop.time()
        member = self._members.get(node)  # None: it was removed, and has no address
        number = ticket.attempts if ticket else 0
        expires = min(ticket.request.deadline - ticket.margin if ticket else now, now + (timeout or inf))
        if ticket is not None and ticket.request.upload:
            expires = inf  # the client's time has not begun; the backend bounds the time of each chunk
        wait = min(expires - now, ticket.wait if ticket else 0.0)
        life = f"{node}@{member.since_ms if member else 0}"
        attempt = Attempt(
            request,
            number,
            node,
            member.address if member else "",
            expires,
            now,
            wait,
            life,
            on_written=self._written,
            why=why,
            write_by=now + within,
        )
        if ticket is not None:
            ticket.attempts += 1
            if self.recorder is not None:
                ticket.tries.append(attempt)
        if ticket is None or ticket.over or member is None:
            # The client disconnected meanwhile, or the list does not have the node's address.
            self.report(attempt, Reply(Ending.NOT_STARTED))
            return
        ticket.current = attempt
        if ticket.request.upload and ticket.limit is not None and not ticket.limit.expired():
            ticket.limit.reschedule(None)
        self._give(ticket, attempt)

    def _written(self, attempt: Attempt) -> None:
        self._tries += 1
        ticket, now = self._tickets.get(attempt.request), self._loop.time()
        if attempt.write_by < inf and attempt.scope is not None and not attempt.scope.expired():
            attempt.scope.reschedule(attempt.expires)
        if ticket is None or ticket.over or not ticket.request.upload:
            return
        ticket.request.upload, ticket.request.deadline = False, now + ticket.wait
        attempt.began, attempt.expires = now, now + ticket.wait - ticket.margin
        if attempt.scope is not None and not attempt.scope.expired():
            attempt.scope.reschedule(attempt.expires)
        if ticket.limit is not None and not ticket.limit.expired():
            ticket.limit.reschedule(now + ticket.wait - LAST_RESORT * ticket.margin)
        self._push(api.UploadEnd(ticket.id))

    def _decided(
        self, request: int, verdict: Verdict, why: api.Reason | None, retry_after: float = 0.0
    ) -> None:
        ticket = self._tickets.get(request)
        if ticket is not None:
            self._give(ticket, Answer(verdict, retry_after=retry_after, cause=ticket.cause, why=why))

    def _give(self, ticket: _Ticket, step: Attempt | Answer) -> None:
        if ticket.waiter is not None and not ticket.waiter.done():
            ticket.waiter.set_result(step)
        else:
            ticket.step = step
