"""The requests in flight, from their arrival to their one final answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import inf

from cherrycove.broker.core.driver import SchedulerDriver
from cherrycove.broker.core.endings import OUTCOMES, Ending
from cherrycove.broker.core.metrics import Counters, Recorder, RequestSummary
from cherrycove.broker.core.nodes import Member, NodeTable
from cherrycove.broker.core.requests import Answer, Attempt, Reply, Request, Verdict
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling import interface as api

# A busy machine can delay this process for tens of ms, and an answer after the client's deadline is a failed
# request. The margins give away answers that would come too late to have much value.
MARGIN_S = 0.050  # between the end of the scheduler's budget and the client's deadline, but
MARGIN_FRACTION = 0.1  # at most this fraction of the client's time: many wait hardly longer than MARGIN_S
LAST_RESORT_FRACTION = 0.5  # of the margin that is left when the core answers in place of the scheduler


@dataclass(slots=True, eq=False)
class Ticket:
    """A request in flight: the attempt that is under way, and the next step once it is decided."""

    id: int
    request: Request
    wait: float  # s that its client waits
    margin: float  # s between the end of its budget and its deadline
    limit: asyncio.Timeout | None = None
    waiter: asyncio.Future[Attempt | Answer] | None = None
    step: Attempt | Answer | None = None  # decided before anybody waited for it
    attempts: int = 0
    current: Attempt | None = None
    last_ending: Ending | None = None
    over: bool = False  # answered, or its client disconnected; kept until the scheduler knows
    came: float = 0.0
    tries: list[Attempt] = field(default_factory=list)
    first: tuple[str, int] = ("", 0)

    @property
    def last_resort_s(self) -> float:
        """How long before the client's deadline the core answers in place of the scheduler."""
        return LAST_RESORT_FRACTION * self.margin


def reschedule(timeout: asyncio.Timeout | None, when: float | None) -> None:
    """Move a time-out to this time of the loop's clock, None for never, unless it has expired."""
    if timeout is not None and not timeout.expired():
        timeout.reschedule(when)


class RequestTable:
    """Tickets by number, until the scheduler knows that the request is over. The core owns it."""

    def __init__(self, driver: SchedulerDriver, nodes: NodeTable, counters: Counters) -> None:
        self.recorder: Recorder | None = None
        self.open = 0  # tickets that are not over
        self.idle = asyncio.Event()  # set while no request is in flight
        self.idle.set()
        self.tickets: dict[int, Ticket] = {}
        self._driver, self._nodes, self._counters = driver, nodes, counters
        self._loop = asyncio.get_running_loop()
        self._over: list[int] = []  # tickets to delete after the next batch
        self._serial = 0

    def add(self, request: Request) -> Ticket:
        """Add a request that has arrived, and submit it to the scheduler."""
        self._serial += 1
        wait = max(request.deadline - self._loop.time(), 0.0)
        margin = min(MARGIN_S, MARGIN_FRACTION * wait)
        ticket = self.tickets[self._serial] = Ticket(self._serial, request, wait, margin)
        ticket.came = self._loop.time()
        if self.recorder is not None and request.repeat:
            ticket.first = self.recorder.match_retry(request, ticket.came)
        self.open += 1
        self.idle.clear()
        self._counters.counts["taken"] += 1
        self._driver.push(_arrival(ticket))
        return ticket

    async def next_step(self, ticket: Ticket) -> Attempt | Answer:
        """Wait for a request's next step: an attempt to carry out, or its final rejection or failure."""
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
        attempt.ending, attempt.duration_s = reply.ending, self._loop.time() - attempt.started_at
        self._counters.endings[reply.ending] += 1
        ticket = self.tickets.get(attempt.request)
        closed = ticket is None or ticket.over or reply.ending is Ending.SERVED
        if ticket is not None:
            ticket.last_ending, ticket.current = reply.ending, None
            if ticket.request.upload:
                reschedule(ticket.limit, self._loop.time() + ticket.wait)
        self._driver.push(_attempt_end(attempt, reply, closed=closed))

    def finish(self, ticket: Ticket, answer: Answer | None) -> None:
        """End a request with its answer; None: its client has disconnected."""
        self.open -= 1
        if not self.open:
            self.idle.set()
        self._counters.counts[answer.verdict.value if answer else "client gone"] += 1
        if answer is not None:
            self._counters.count_answer(ticket.request.cls, answer.verdict)
        # An attempt decided as the client disconnected was never carried out; its end is still reported.
        for attempt in (ticket.current, ticket.step):
            if isinstance(attempt, Attempt):
                self.report(attempt, Reply(Ending.GIVEN_UP if attempt.timeout else Ending.NOT_STARTED))
        if answer is None:
            self._driver.push(api.ClientDeparture(ticket.id))
        ticket.over = True
        self._over.append(ticket.id)
        if self.recorder is not None:
            self.recorder.record(_ended(ticket, answer, self._loop.time()))

    def take_over(self) -> list[int]:
        """Return the tickets that are over and not taken yet; ``forget`` them once the scheduler knows."""
        over, self._over = self._over, []
        return over

    def forget(self, over: list[int]) -> None:
        """Delete these tickets."""
        for number in over:
            del self.tickets[number]

    def find(self, id: str) -> list[RequestSummary]:
        """Return the requests in flight with this id of their client."""
        now = self._loop.time()
        return [
            RequestSummary(
                ticket.came,
                now,
                None,
                request=ticket.request,
                attempts=list(ticket.tries),
                original_id=ticket.first[0],
                candidates=ticket.first[1],
            )
            for ticket in self.tickets.values()
            if ticket.request.id == id and not ticket.over
        ]

    def expire_all(self, now: float) -> None:
        """Let the time of every request end now, unless its response is being streamed."""
        for ticket in self.tickets.values():
            reschedule(ticket.limit, now)

    def cancel_unwritten(self, latest: float) -> None:
        """Cancel attempts to draining or removed nodes that are not written by ``latest``.

        An attempt that began before may wait for its connection for longer than the drain grace, within which
        sends to such a node must cease.
        """
        for ticket in self.tickets.values():
            attempt = ticket.current
            if attempt is None or attempt.written or attempt.body_started or attempt.write_by <= latest:
                continue
            if self._nodes.is_up(attempt.node):
                continue
            attempt.write_by = latest
            reschedule(attempt.timeout, min(attempt.expires, latest))

    # The scheduler's actions.

    def send(self, action: api.Send) -> None:
        """Start an attempt of a request at a node."""
        ticket = self.tickets.get(action.request)
        member = self._nodes.members.get(action.node)  # None: it was removed, and has no address
        attempt = self._new_attempt(action, ticket, member)
        if ticket is not None:
            ticket.attempts += 1
            if self.recorder is not None:
                ticket.tries.append(attempt)
        if ticket is None or ticket.over or member is None:
            # The client disconnected meanwhile, or the list does not have the node's address.
            self.report(attempt, Reply(Ending.NOT_STARTED))
            return
        ticket.current = attempt
        if ticket.request.upload:
            reschedule(ticket.limit, None)
        self.deliver(ticket, attempt)

    def reject(
        self, request: int, verdict: Verdict, why: api.Reason | None, retry_after: float = 0.0
    ) -> None:
        """End a request without a reply of a node; ``retry_after`` is in s."""
        ticket = self.tickets.get(request)
        if ticket is not None:
            self.deliver(
                ticket, Answer(verdict, retry_after=retry_after, last_ending=ticket.last_ending, why=why)
            )

    def cancel(self, request: int, number: int) -> None:
        """Cancel the attempt of this number, if it is under way."""
        ticket = self.tickets.get(request)
        attempt = ticket.current if ticket else None
        if attempt and attempt.number == number and attempt.timeout and not attempt.timeout.expired():
            attempt.cancelled = True
            attempt.timeout.reschedule(self._loop.time())

    def deliver(self, ticket: Ticket, step: Attempt | Answer) -> None:
        """Give a request its next step, now or when ``next_step`` is called."""
        if ticket.waiter is not None and not ticket.waiter.done():
            ticket.waiter.set_result(step)
        else:
            ticket.step = step

    def _new_attempt(self, action: api.Send, ticket: Ticket | None, member: Member | None) -> Attempt:
        now = self._loop.time()
        expires = min(
            ticket.request.deadline - ticket.margin if ticket else now, now + (action.timeout or inf)
        )
        if ticket is not None and ticket.request.upload:
            expires = inf  # the client's time has not begun; the backend bounds the time of each chunk
        return Attempt(
            action.request,
            ticket.attempts if ticket else 0,
            action.node,
            member.address if member else "",
            expires,
            now,
            min(expires - now, ticket.wait if ticket else 0.0),
            f"{action.node}@{member.since_ms if member else 0}",
            on_written=self._on_written,
            why=action.why,
            write_by=now + (inf if action.write_within is None else action.write_within),
        )

    def _on_written(self, attempt: Attempt) -> None:
        self._counters.attempts_written += 1
        ticket, now = self.tickets.get(attempt.request), self._loop.time()
        if attempt.write_by < inf:
            reschedule(attempt.timeout, attempt.expires)
        if ticket is None or ticket.over or not ticket.request.upload:
            return
        # The client has sent all of its upload: its time begins.
        ticket.request.upload, ticket.request.deadline = False, now + ticket.wait
        attempt.started_at, attempt.expires = now, now + ticket.wait - ticket.margin
        reschedule(attempt.timeout, attempt.expires)
        reschedule(ticket.limit, now + ticket.wait - ticket.last_resort_s)
        self._driver.push(api.UploadEnd(ticket.id))


def _arrival(ticket: Ticket) -> api.RequestArrival:
    request = ticket.request
    return api.RequestArrival(
        ticket.id,
        request.cls,
        request.plan,
        request.volume,
        request.units,
        request.shard,
        request.hosts,
        ticket.wait - ticket.margin,
        request.key,
        request.repeat,
        request.upload,
    )


def _attempt_end(attempt: Attempt, reply: Reply, *, closed: bool) -> api.AttemptEnd:
    return api.AttemptEnd(
        attempt.request,
        attempt.number,
        attempt.node,
        OUTCOMES[reply.ending],
        closed,
        attempt.duration_s,
        reply.use,
        reply.elsewhere,
        reply.load,
    )


def _ended(ticket: Ticket, answer: Answer | None, now: float) -> RequestSummary:
    return RequestSummary(
        ticket.came,
        now,
        answer.verdict if answer else None,
        LocalCode.CLIENT_GONE if answer is None else answer.local_code,
        answer.why if answer else None,
        ticket.request,
        ticket.tries,
        *ticket.first,
    )
