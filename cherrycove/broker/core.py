"""The broker's core: requests, attempts, endings and final answers, whatever wire they travel on.

It owns the one decision module of the process, its clock, its timers and its batches, and gives the fronts a
facade in blocking style: ``pick`` the next step of a request, ``report`` how an attempt ended, ``tick``. It
is the only place that sees the module's events and actions, the only one that turns an ``Ending`` into
an ``Outcome``, and the one that sees to it that each request gets exactly one final answer before its client
gives up. It must never open a socket, know a header or a frame, decide where or when a request is sent, or
hold back an answer the module has given.
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

# Guard: a machine busy with others can hold this process up for tens of ms, and an answer that goes out after
# the client's deadline is a request lost. What these give away are answers too late to be worth much.
MARGIN = 0.050  # s before the client's deadline at which the module's budget ends, but
MARGIN_PART = 0.1  # no more than this part of what the client waits: many wait hardly longer than MARGIN
LAST_RESORT = 0.5  # part of the margin that is left when the core answers by itself, the module being silent
NO_BOUND = 1 << 30  # requests
DECISION_TICKS = 5  # that the module has in any case


class Ending(Enum):
    """Every way in which an attempt and the connection that carried it can end."""

    SERVED = "served"  # the node's whole answer has come
    NODE_ERROR = "node error"  # the node answered that it failed
    TURNED_AWAY = "turned away"  # the node vouches that it did not run the request
    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMEOUT = "connect timeout"  # the connection never came up, or no place in the pool came free
    BROKEN_UNSENT = "broken unsent"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke after that, or nobody can tell
    CUT_SHORT = "cut short"  # it broke within the answer
    SPOILT = "spoilt"  # the node answered, but with what cannot be read or cannot be told whole
    TIMED_OUT = "timed out"  # written whole, no whole answer in time
    CLIENT_BROKE = "client broke off"  # what the client sent of a long body is not all of it
    EXPIRED = "expired unsent"  # called off, or out of time, before its last byte was written
    GIVEN_UP = "given up"  # the module called the attempt off, or the client has gone
    NOT_STARTED = "not started"  # nothing was sent: the request was over, or the node has no address
    NOT_ITS = "not its to serve"  # the node vouches that it did not run it: over, or of another shard


OUTCOMES: Mapping[Ending, api.Outcome] = {
    Ending.SERVED: api.Outcome.SERVED,
    Ending.NODE_ERROR: api.Outcome.ERROR,
    Ending.TURNED_AWAY: api.Outcome.FULL,
    Ending.CONNECT_REFUSED: api.Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMEOUT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN_UNSENT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN: api.Outcome.RESET,
    Ending.CUT_SHORT: api.Outcome.RESET,
    # Guard: it may have run, but the node is there: to rest it would hold up all that waits for its shard.
    Ending.SPOILT: api.Outcome.ERROR,
    Ending.TIMED_OUT: api.Outcome.TIMEOUT,
    # Guard: it never ran, and it is no evidence against the node: the request's own time was too short.
    Ending.EXPIRED: api.Outcome.MOOT,
    Ending.GIVEN_UP: api.Outcome.CANCELLED,
    # Guard: a part of it is with the node, and only the node knows what it makes of that.
    Ending.CLIENT_BROKE: api.Outcome.CANCELLED,
    Ending.NOT_STARTED: api.Outcome.MOOT,
    # Guard: it tells nothing of the node's load. As a full queue it rested a node that served all others.
    Ending.NOT_ITS: api.Outcome.MOOT,
}


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the list, as any source of lists tells it."""

    name: str
    address: str
    shard: int
    zone: int = 0
    weight: float = 1.0
    since_ms: float = 0.0  # Unix time of its last start; 0: long ago
    state: api.NodeState = api.NodeState.UP


@dataclass(frozen=True, slots=True)
class NodeList:
    version: int
    full: bool  # otherwise only what has changed
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Who is out by the operators' word, and who is back but not known by discovery to have restarted."""

    out: Mapping[str, float] = field(default_factory=dict)  # by name: the start discovery had told before
    back: Mapping[str, tuple[float, float]] = field(default_factory=dict)  # that start, and its return

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
        """What holds for a node of which discovery told this."""
        since, returned = self.back.get(told.name, (nan, 0.0))
        if since == told.since_ms:
            # Guard: it was restarted while out, and discovery may be seconds late to say so.
            told = replace(told, since_ms=returned)
        if told.name in self.out and told.state is api.NodeState.UP:
            return replace(told, state=api.NodeState.DRAINING)
        return told


@dataclass(slots=True, eq=False)
class Request:
    """What the core must know of a request. What it carries is the backend's business."""

    cls: int
    plan: int
    volume: str
    units: float
    shard: int | None
    hosts: int
    deadline: float  # on the core's clock: when the client stops waiting
    key: str | None = None
    repeat: bool = False
    upload: bool = False  # its last byte is still to come; its deadline counts from then on
    id: str = ""  # by which its client knows it
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
    wait: float = 0.0  # s that the broker waits for the answer
    life: str = ""  # the node's name and start: another life of it does not know what this one was told
    written: bool = False  # the last byte may have left this machine
    begun: bool = False  # so may a part of a long body
    on_written: Callable[[Attempt], None] | None = None
    scope: asyncio.Timeout | None = None
    given_up: bool = False
    reported: bool = False
    why: api.Reason | None = None
    took: float = 0.0  # s, once it has ended
    ending: Ending | None = None
    write_by: float = inf  # by then the last byte has left, or the attempt is called off

    def wrote(self) -> None:
        """Called by the backend once the last byte may have left."""
        if not self.written:
            self.written = True
            if self.on_written is not None:
                self.on_written(self)


@dataclass(frozen=True, slots=True)
class Reply:
    """How an attempt ended, and what the node sent along."""

    ending: Ending
    body: bytes = b""
    kind: str = ""  # the media type of the body, where the wire has one
    use: float | None = None  # the volume's use in a finished period, in usual rates
    elsewhere: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)
    relay: Callable[[], Awaitable[Ending]] | None = None  # passes on a long answer, whose start body is


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"  # a new try does no harm
    FAILED = "failed"  # no claim on whether it took effect


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    reply: Reply | None = None
    retry_after: float = 0.0
    cause: Ending | None = None  # how the last attempt ended, if there was one
    why: api.Reason | None = None  # the module's
    own: Own = Own.NOTHING  # the core's, where the module had no part in it


@dataclass(slots=True, eq=False)
class Ended:
    """A request that is over, or open still, as a recorder is told of it. Times are the core's clock's."""

    came: float
    at: float
    verdict: Verdict | None  # None: its client left, or it is open
    own: Own = Own.NOTHING
    why: api.Reason | None = None
    request: Request | None = None  # None: a front answered it by itself; then these say what is known of it
    tries: list[Attempt] = field(default_factory=list)
    first: str = ""  # the id of the try that it is a client's retry of
    rivals: int = 0
    id: str = ""
    volume: str = ""
    front: str = "http"
    cls: int | None = None


class Recorder(Protocol):
    """Is told of every request once, when it is over."""

    def came(self, request: Request, now: float) -> tuple[str, int]:
        """A marked retry: the id of its first try, and how many it could be."""

    def ended(self, ended: Ended) -> None: ...


@dataclass(frozen=True, slots=True)
class Figures:
    """What operators read of a broker, as it is now."""

    answers: Mapping[str, Mapping[Verdict, int]]  # by class, since the start
    tries: int  # attempts written whole
    open: int  # requests
    known: int  # nodes in the list
    skipped: int  # nodes of these that get nothing now


class Backend(Protocol):
    """One request on one wire: carries out an attempt. Cancelled, it must close the connection it used."""

    async def attempt(self, attempt: Attempt) -> Reply: ...


@dataclass(slots=True, eq=False)
class _Ticket:
    id: int
    request: Request
    wait: float  # s that its client waits
    margin: float  # s before its deadline at which its budget ends
    limit: asyncio.Timeout | None = None
    waiter: asyncio.Future[Attempt | Answer] | None = None
    step: Attempt | Answer | None = None  # given before anybody waited for it
    attempts: int = 0
    current: Attempt | None = None
    cause: Ending | None = None
    over: bool = False  # it has its answer, or its client has gone; kept until the module has been told
    came: float = 0.0
    tries: list[Attempt] = field(default_factory=list)
    first: tuple[str, int] = ("", 0)


class Core:
    """The facade over the decision module, for one event loop."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.endings: Counter[Ending] = Counter()
        self._answers = {cls.name: dict.fromkeys(Verdict, 0) for cls in settings.classes}
        self._tries = 0
        self.version: int | None = None  # of the node list; None: none has been told yet
        self.recorder: Recorder | None = None
        self.lists = 0  # how often the list has changed
        self._ask_room: Callable[[str, float], None] = lambda node, units: None
        self.on_list: Callable[[NodeList], None] | None = None  # told of each list from the source itself
        self.silent = False  # whether the source of the node list has stopped to answer
        self.watching = asyncio.Event()  # set whenever the module asks for the list's changes
        self._scheduler = Scheduler(settings, seed)
        self._loop = asyncio.get_running_loop()
        # Guard: one fixed step between the clocks. A node's start must not seem to move with the wall clock.
        self._unix_offset = time.time() - self._loop.time()
        self._events: list[api.Event] = []
        self._wake: asyncio.TimerHandle | None = None
        self._places = RequestLimit(NO_BOUND)
        self._told = NO_BOUND  # places, as the module knows them
        self._last_tick = -inf
        self._tickets: dict[int, _Ticket] = {}
        self._over: list[int] = []  # tickets to forget once the next batch has told the module
        self._open = 0
        self._serial = 0
        self._members: dict[str, Member] = {}  # as told, whoever is out
        self.maintenance = Maintenance()
        self._given_up: float | None = None  # since then whatever comes is answered at once
        self._idle = asyncio.Event()
        self._idle.set()

    # What the fronts use.

    async def serve(self, request: Request, backend: Backend) -> Answer:
        """Take a request to its one final answer. Cancelled, the client has gone and nothing is owed."""
        # Guard: the module takes the longest wait it has seen in a class for that of a first try. One client
        # that claims to wait longer than the class allows would make all others look like late retries.
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
        # Guard: a client's late retry may bring less time than the last resort takes; the module decides.
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
                # Guard: a module without a word, or a loop that ran late, must leave no client unanswered.
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
        """A front has answered a request of this class by itself: it is not one that the core could take."""
        if cls is not None:
            self._answers[self.settings.classes[cls].name][verdict] += 1
        if self.recorder is not None:
            now = self._loop.time()
            self.recorder.ended(Ended(now, now, verdict, own, id=id, volume=volume, front=front, cls=cls))

    def find(self, id: str) -> list[Ended]:
        """The open requests of this id."""
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
        """The next step of a request: an attempt to carry out, or its final refusal or failure."""
        if ticket.step is None:
            ticket.waiter = self._loop.create_future()
            try:
                return await ticket.waiter
            finally:
                ticket.waiter = None
        step, ticket.step = ticket.step, None
        return step

    def report(self, attempt: Attempt, reply: Reply) -> None:
        """How an attempt ended; each is reported once."""
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
        """Hand the module what has happened since the last tick and carry out what it says."""
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
            # Guard: the requests concerned fail at their deadlines; the broker goes on serving the others.
            log.exception("module.failed", events=len(events))
        for number in over:
            del self._tickets[number]

    def update(self, news: NodeList, restored: bool = False) -> None:
        """Take in a node list, or changes of it, as its source told them."""
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
        """Call off what is not on its way to a node by the end of the grace within which sends to one that
        drains, or has gone, have to cease.

        Guard: an attempt may wait for its connection for longer than that, having been handed out before.
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
        """From now on these nodes are out, and those back."""
        before, self.maintenance = self.maintenance, state
        changed = [m for m in self._members.values() if before.joined(m) != state.joined(m)]
        if changed:
            self._tell(self.version or 0, api.ListKind.CHANGES, changed)
            self._hurry()

    def share(self, part: float, sent: Mapping[str, float] | None = None) -> None:
        """This process is one of several that count as one broker; what the others sent to nodes of late."""
        self._push(api.BudgetShare(part, sent or {}))

    def bound(self, places: int) -> None:
        """How many requests may be open before the wire has no place for others, while this is in time."""
        self._places.most = self._told = places
        self._push(api.OpenRequestLimit(places))

    def pool_room(self, part: float, ask: Callable[[str, float], None]) -> None:
        """This part of what cold nodes bear is lent among the brokers; ``ask`` is called with the name of a
        node and the units for which room is wanted, as often as the module likes."""
        self._ask_room = ask
        self._push(api.CapacityPool(part))

    def room_lent(self, node: str, units: float, time: float) -> None:
        """Room that another broker has lent, to be used within that time (s)."""
        self._push(api.CapacityLoan(node, units, time))

    def started(self, member: Member) -> float | None:
        """When a node last started, on the loop's clock; None: long ago."""
        return self._clock(member.since_ms)

    def sent(self) -> dict[str, float]:
        return self._scheduler.sent()

    def remember(self) -> api.RestartState:
        """What the next process of this broker may take up, on the loop's clock."""
        return self._scheduler.remember()

    def recall(self, told: api.RestartState) -> None:
        """What an earlier process of this broker left."""
        self._push(told)

    def list_unavailable(self) -> None:
        self.silent = True
        self._push(api.NodeListFailure())

    def restrain(self, member: Member) -> None:
        """Give a node no new work, on another's word than that of the list's source."""
        if member.name in self._members and member.state is not api.NodeState.UP and self.version is not None:
            self._take_in(NodeList(self.version, False, (member,)), api.ListKind.CHANGES)

    @property
    def members(self) -> tuple[Member, ...]:
        """The list as told."""
        return tuple(self._members.values())

    @property
    def ready(self) -> bool:
        """Whether there is a node to send to."""
        return any(
            self.maintenance.joined(member).state is api.NodeState.UP for member in self._members.values()
        )

    @property
    def open_requests(self) -> int:
        return self._open

    def give_up(self) -> None:
        """Answer whatever is open, and whatever still comes, at once: the process ends. What already flows
        to its client goes on."""
        self._given_up = self._loop.time()
        for ticket in self._tickets.values():
            if ticket.limit is not None and not ticket.limit.expired():
                ticket.limit.reschedule(self._given_up)

    async def idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()

    # Between the facade and the module.

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
        # An attempt handed out in the moment the client left was never carried out, and still gets its end.
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
        """Into the next batch. Batches are a tick apart, so that a burst costs the module one call."""
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
                # No deployment of ours lets the module probe: settings say so, and it asks for none.
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
        member = self._members.get(node)  # none: it has gone, and no longer has an address
        number = ticket.attempts if ticket else 0
        expires = min(ticket.request.deadline - ticket.margin if ticket else now, now + (timeout or inf))
        if ticket is not None and ticket.request.upload:
            expires = inf  # the client's time has not begun; the backend sees to it that the body moves on
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
            # Guard: the client left while this was decided, or the list never told where the node is.
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
