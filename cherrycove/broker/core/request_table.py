"""Tracks the requests in flight, from arrival to the final answer."""

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

# The scheduler's budget ends before the client's deadline. A busy machine can delay this process by tens of
# ms, and a request answered after its deadline counts as failed. The margin costs only answers that would
# come too late to have much value.
MARGIN_S = 0.050
MARGIN_FRACTION = 0.1  # at most, of the client's time: many clients wait little more than MARGIN_S
LAST_RESORT_FRACTION = 0.5  # of the margin: remains when the core answers in place of the scheduler


@dataclass(slots=True, eq=False)
class Ticket:
    """The state of a request in flight."""

    id: int  # the request's number for the scheduler
    request: Request
    client_wait_s: float  # how long the client waits
    margin_s: float  # between the end of the scheduler's budget and the deadline
    answer_timeout: asyncio.Timeout | None = None  # when it expires, the core answers by itself
    waiter: asyncio.Future[Attempt | Answer] | None = None
    step: Attempt | Answer | None = None  # decided while ``next_step`` was not waiting
    attempt_count: int = 0
    current: Attempt | None = None  # the attempt under way
    last_ending: Ending | None = None  # of the latest attempt that ended
    is_closed: bool = False  # answered, or the client disconnected; kept until the scheduler is told
    arrived_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)  # filled for the recorder only
    retry_match: tuple[str, int] = ("", 0)  # id of the request that it retries, number of candidates

    @property
    def last_resort_s(self) -> float:
        """How long before the client's deadline the core answers in place of the scheduler."""
        return LAST_RESORT_FRACTION * self.margin_s


def reschedule(timeout: asyncio.Timeout | None, when: float | None) -> None:
    """Move a time-out to ``when`` on the event loop's clock (None: never), unless it has expired."""
    if timeout is not None and not timeout.expired():
        timeout.reschedule(when)


def answer_margin_s(wait_s: float) -> float:
    """Return how long before the end of a client's time (s) its answer is decided, for its way back."""
    return min(MARGIN_S, MARGIN_FRACTION * wait_s)


class RequestTable:
    """The tickets of requests, until the scheduler knows that they are closed. Owned by the core."""

    def __init__(self, driver: SchedulerDriver, nodes: NodeTable, counters: Counters) -> None:
        self.recorder: Recorder | None = None
        self.open = 0  # number of tickets that are not closed
        self.idle = asyncio.Event()  # set while no request is in flight
        self.idle.set()
        self.tickets: dict[int, Ticket] = {}
        self._driver, self._nodes, self._counters = driver, nodes, counters
        self._loop = asyncio.get_running_loop()
        self._closed_ids: list[int] = []  # ids of tickets to delete after the next batch
        self._last_id = 0

    def add(self, request: Request) -> Ticket:
        """Add a request that has arrived and submit it to the scheduler."""
        self._last_id += 1
        wait = max(request.deadline - self._loop.time(), 0.0)
        ticket = self.tickets[self._last_id] = Ticket(self._last_id, request, wait, answer_margin_s(wait))
        ticket.arrived_at = self._loop.time()
        if self.recorder is not None and request.repeat:
            ticket.retry_match = self.recorder.match_retry(request, ticket.arrived_at)
        self.open += 1
        self.idle.clear()
        self._counters.counts["taken"] += 1
        self._driver.push(_arrival_event(ticket))
        return ticket

    async def next_step(self, ticket: Ticket) -> Attempt | Answer:
        """Wait for a request's next step: an attempt to carry out, or a final rejection or failure."""
        if ticket.step is None:
            ticket.waiter = self._loop.create_future()
            try:
                return await ticket.waiter
            finally:
                ticket.waiter = None
        step, ticket.step = ticket.step, None
        return step

    def report(self, attempt: Attempt, reply: Reply) -> None:
        """Report to the scheduler how an attempt ended; repeated reports are ignored."""
        if attempt.reported:
            return
        attempt.reported = True
        attempt.ending, attempt.duration_s = reply.ending, self._loop.time() - attempt.started_at
        self._counters.endings[reply.ending] += 1
        ticket = self.tickets.get(attempt.request)
        closed = ticket is None or ticket.is_closed or reply.ending is Ending.SERVED
        if ticket is not None:
            ticket.last_ending, ticket.current = reply.ending, None
            if ticket.request.upload:
                reschedule(ticket.answer_timeout, self._loop.time() + ticket.client_wait_s)
        self._driver.push(_attempt_end_event(attempt, reply, closed=closed))

    def finish(self, ticket: Ticket, answer: Answer | None) -> None:
        """Close a request with its answer; None: the client has disconnected."""
        self.open -= 1
        if not self.open:
            self.idle.set()
        self._counters.counts[answer.verdict.value if answer else "client gone"] += 1
        if answer is not None:
            self._counters.count_answer(ticket.request.cls, answer.verdict)
        # An attempt that was decided as the client disconnected was never carried out; report its end too.
        for attempt in (ticket.current, ticket.step):
            if isinstance(attempt, Attempt):
                self.report(attempt, Reply(Ending.GIVEN_UP if attempt.timeout else Ending.NOT_STARTED))
        if answer is None:
            self._driver.push(api.ClientDeparture(ticket.id))
        ticket.is_closed = True
        self._closed_ids.append(ticket.id)
        if self.recorder is not None:
            self.recorder.record(_summary(ticket, answer, self._loop.time()))

    def take_closed(self) -> list[int]:
        """Return the ids of tickets closed since the last call.

        The caller passes them to ``delete`` once the scheduler knows that they are closed.
        """
        closed, self._closed_ids = self._closed_ids, []
        return closed

    def delete(self, closed: list[int]) -> None:
        """Delete the tickets with these ids."""
        for number in closed:
            del self.tickets[number]

    def find(self, id: str) -> list[RequestSummary]:
        """Return summaries of the requests in flight with this client-assigned id."""
        now = self._loop.time()
        return [
            RequestSummary(
                ticket.arrived_at,
                now,
                None,
                request=ticket.request,
                attempts=list(ticket.attempts),
                original_id=ticket.retry_match[0],
                candidates=ticket.retry_match[1],
            )
            for ticket in self.tickets.values()
            if ticket.request.id == id and not ticket.is_closed
        ]

    def expire_all(self, now: float) -> None:
        """Expire the answer time-out of every request whose response is not being streamed."""
        for ticket in self.tickets.values():
            reschedule(ticket.answer_timeout, now)

    def cancel_unwritten(self, latest: float) -> None:
        """Cancel attempts at draining or removed nodes that are not written by ``latest``.

        An attempt that started earlier may wait for a connection for longer than the drain grace period,
        after which nothing may be sent to such a node.
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
        """Start an attempt at a node."""
        ticket = self.tickets.get(action.request)
        member = self._nodes.members.get(action.node)  # None: it was removed, and its address is unknown
        attempt = self._new_attempt(action, ticket, member)
        if ticket is not None:
            ticket.attempt_count += 1
            if self.recorder is not None:
                ticket.attempts.append(attempt)
        if ticket is None or ticket.is_closed or member is None:
            # The client has disconnected, or the node is no longer listed.
            self.report(attempt, Reply(Ending.NOT_STARTED))
            return
        ticket.current = attempt
        if ticket.request.upload:
            reschedule(ticket.answer_timeout, None)
        self.deliver(ticket, attempt)

    def reject(
        self, request: int, verdict: Verdict, why: api.Reason | None, retry_after: float = 0.0
    ) -> None:
        """End a request without a node's reply; ``retry_after`` is in seconds."""
        ticket = self.tickets.get(request)
        if ticket is not None:
            self.deliver(
                ticket, Answer(verdict, retry_after=retry_after, last_ending=ticket.last_ending, why=why)
            )

    def cancel(self, request: int, number: int) -> None:
        """Cancel the attempt with this number if it is under way."""
        ticket = self.tickets.get(request)
        attempt = ticket.current if ticket else None
        if attempt and attempt.number == number and attempt.timeout and not attempt.timeout.expired():
            attempt.cancelled = True
            attempt.timeout.reschedule(self._loop.time())

    def deliver(self, ticket: Ticket, step: Attempt | Answer) -> None:
        """Pass a request's next step to ``next_step``, which may be waiting or called later."""
        if ticket.waiter is not None and not ticket.waiter.done():
            ticket.waiter.set_result(step)
        else:
            ticket.step = step

    def _new_attempt(self, action: api.Send, ticket: Ticket | None, member: Member | None) -> Attempt:
        now = self._loop.time()
        expires = min(
            ticket.request.deadline - ticket.margin_s if ticket else now, now + (action.timeout or inf)
        )
        if ticket is not None and ticket.request.upload:
            expires = inf  # the client's waiting time has not started; the backend limits each chunk's time
        return Attempt(
            action.request,
            ticket.attempt_count if ticket else 0,
            action.node,
            member.address if member else "",
            expires,
            now,
            min(expires - now, ticket.client_wait_s if ticket else 0.0),
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
        if ticket is None or ticket.is_closed or not ticket.request.upload:
            return
        # The upload is complete: the client's waiting time starts now.
        ticket.request.upload, ticket.request.deadline = False, now + ticket.client_wait_s
        attempt.started_at, attempt.expires = now, now + ticket.client_wait_s - ticket.margin_s
        reschedule(attempt.timeout, attempt.expires)
        reschedule(ticket.answer_timeout, now + ticket.client_wait_s - ticket.last_resort_s)
        self._driver.push(api.UploadEnd(ticket.id))


def _arrival_event(ticket: Ticket) -> api.RequestArrival:
    request = ticket.request
    return api.RequestArrival(
        ticket.id,
        request.cls,
        request.plan,
        request.volume,
        request.units,
        request.shard,
        request.hosts,
        ticket.client_wait_s - ticket.margin_s,
        request.key,
        request.repeat,
        request.upload,
    )


def _attempt_end_event(attempt: Attempt, reply: Reply, *, closed: bool) -> api.AttemptEnd:
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


def _summary(ticket: Ticket, answer: Answer | None, now: float) -> RequestSummary:
    return RequestSummary(
        ticket.arrived_at,
        now,
        answer.verdict if answer else None,
        LocalCode.CLIENT_GONE if answer is None else answer.local_code,
        answer.why if answer else None,
        ticket.request,
        ticket.attempts,
        *ticket.retry_match,
    )
