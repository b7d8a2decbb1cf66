"""The facade that the servers and the rest of the broker's process use.

It gives the servers an interface in blocking style: ``serve`` a request up to its one final answer, before
its client's deadline. It must never open a socket, know a header or a frame, decide where or when a request
is sent, or delay an answer that the scheduler has given.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from math import inf

from cherrycove.broker.core.driver import SchedulerDriver
from cherrycove.broker.core.endings import Ending
from cherrycove.broker.core.metrics import Counters, Metrics, Recorder, RequestSummary
from cherrycove.broker.core.nodes import Maintenance, Member, NodeList, NodeTable
from cherrycove.broker.core.request_table import RequestTable, Ticket
from cherrycove.broker.core.requests import Answer, Attempt, Backend, Reply, Request, Verdict
from cherrycove.broker.event_log import Log, bound
from cherrycove.broker.local_codes import LocalCode
from cherrycove.scheduling import interface as api

log = Log("cherrycove.core")

DECISION_TICKS = 5  # that the scheduler has in any case


class Core:
    """The facade over the scheduler, for one event loop.

    The broker owns it. A fault of the scheduler is logged; the requests concerned fail at their deadlines.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.on_node_list: Callable[[NodeList], None] | None = (
            None  # called with each list from the source itself
        )
        self.source_unreachable = False  # whether the source of the node list is unreachable
        self.watch_requested = asyncio.Event()  # set whenever the scheduler asks for the list's changes
        self._loop = asyncio.get_running_loop()
        self._driver = SchedulerDriver(settings, seed, self.tick, self._run_action)
        self._nodes = NodeTable(self._loop.time())
        self._counters = Counters(settings)
        self._requests = RequestTable(self._driver, self._nodes, self._counters)
        self._borrow_capacity: Callable[[str, float], None] = _borrow_nothing
        self._given_up: float | None = None  # since then new requests are rejected at once

    # Requests.

    async def serve(self, request: Request, backend: Backend) -> Answer:
        """Serve a request up to its one final answer. Cancellation means that the client has disconnected."""
        # The scheduler takes the longest wait seen in a class for that of a first request. One client that
        # claims to wait longer than the class allows would make all others look like late retries.
        allowed = self._loop.time() + self.settings.classes[request.cls].deadline
        request.deadline = min(request.deadline, allowed)
        if self._given_up is not None:
            local_code = LocalCode.ENDING
            self.record_rejection(
                request.cls, Verdict.REFUSED, local_code, request.id, request.volume, request.front
            )
            return Answer(Verdict.REFUSED, retry_after=self.settings.retry_advice, local_code=local_code)
        with bound(request=request.id):
            return await self._serve(request, backend)

    def record_rejection(
        self,
        cls: int | None,
        verdict: Verdict = Verdict.FAILED,
        local_code: LocalCode = LocalCode.MALFORMED,
        id: str = "",
        volume: str = "",
        front: str = "http",
    ) -> None:
        """Record that a server rejected a request of this class by itself; the core has not served it."""
        if cls is not None:
            self._counters.count_answer(cls, verdict)
        if self.recorder is not None:
            now = self._loop.time()
            self.recorder.record(
                RequestSummary(now, now, verdict, local_code, id=id, volume=volume, front=front, cls=cls)
            )

    def find(self, id: str) -> list[RequestSummary]:
        """Return the requests in flight with this id."""
        return self._requests.find(id)

    def expire_requests(self) -> None:
        """Answer all requests in flight, and reject new ones, at once: the process ends.

        Responses that are being streamed go on.
        """
        self._given_up = self._loop.time()
        self._requests.expire_all(self._given_up)

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._requests.idle.wait()

    @property
    def open_requests(self) -> int:
        """The number of requests in flight."""
        return self._requests.open

    # Metrics and records.

    @property
    def counts(self) -> Mapping[str, int]:
        """The requests taken, and how they ended, since the start."""
        return self._counters.counts

    @property
    def endings(self) -> Mapping[Ending, int]:
        """How attempts ended, since the start."""
        return self._counters.endings

    @property
    def recorder(self) -> Recorder | None:
        """What gets every request once, when it has ended; None: nothing is recorded."""
        return self._requests.recorder

    @recorder.setter
    def recorder(self, recorder: Recorder | None) -> None:
        self._requests.recorder = recorder

    def metrics(self) -> Metrics:
        """Return the figures for operators."""
        members, used = self._nodes.members, self._driver.scheduler.accepting_nodes()
        return Metrics(
            self._counters.answers,
            self._counters.attempts_written,
            self._requests.open,
            len(members),
            sum(name not in used for name in members),
        )

    # The node list.

    @property
    def version(self) -> int | None:
        """The version of the node list; None: there is none yet."""
        return self._nodes.version

    @property
    def list_updates(self) -> int:
        """How often the node list has changed."""
        return self._nodes.updates

    @property
    def maintenance(self) -> Maintenance:
        """The nodes that operators took out or put back."""
        return self._nodes.maintenance

    @property
    def members(self) -> tuple[Member, ...]:
        """The node list as reported, without maintenance."""
        return tuple(self._nodes.members.values())

    @property
    def ready(self) -> bool:
        """Whether any node is up."""
        return self._nodes.any_up()

    def update(self, update: NodeList, *, restored: bool = False) -> None:
        """Apply a node list, or changes of it, from its source; ``restored``: from an earlier process."""
        self._nodes.version, self.source_unreachable = update.version, False
        kind = api.ListKind.FULL if update.full else api.ListKind.CHANGES
        self._apply(update, api.ListKind.RESTORED if restored else kind)
        if self.on_node_list is not None and not restored:
            self.on_node_list(update)

    def list_unavailable(self) -> None:
        """Record that the source of the node list is unreachable."""
        self.source_unreachable = True
        self._driver.push(api.NodeListFailure())

    def drain_node(self, member: Member) -> None:
        """Send a node no new requests, on information that is not from the list's source."""
        is_listed = member.name in self._nodes.members and self.version is not None
        if is_listed and member.state is not api.NodeState.UP:
            self._apply(NodeList(self.version or 0, False, (member,)), api.ListKind.CHANGES)

    def set_maintenance(self, state: Maintenance) -> None:
        """Replace the maintenance state and update the scheduler for the nodes it changes."""
        changed = self._nodes.set_maintenance(state)
        if changed:
            self._pass_on(self.version or 0, api.ListKind.CHANGES, changed)

    def node_started_at(self, member: Member) -> float | None:
        """Return when a node last started, on the loop's clock; None if that is unknown."""
        return self._nodes.loop_time(member.since_ms)

    # The scheduler's budget, capacity and state.

    def set_budget_share(self, fraction: float, sent: Mapping[str, float] | None = None) -> None:
        """Use this share of the broker's budget; ``sent`` is what its other processes sent recently."""
        self._driver.push(api.BudgetShare(fraction, sent or {}))

    def limit_open_requests(self, most: int) -> None:
        """Limit the requests in flight, so that the servers keep connections for others."""
        self._driver.limit_open_requests(most)

    def pool_capacity(self, fraction: float, ask: Callable[[str, float], None]) -> None:
        """Pool this fraction of the capacity of nodes in slow start among the brokers.

        ``ask`` is called with the name of a node and the units wanted, as often as the scheduler likes.
        """
        self._borrow_capacity = ask
        self._driver.push(api.CapacityPool(fraction))

    def use_loan(self, node: str, units: float, valid_s: float) -> None:
        """Use capacity that another broker has lent, within ``valid_s``."""
        self._driver.push(api.CapacityLoan(node, units, valid_s))

    def recent_sent_units(self) -> dict[str, float]:
        """Return the units sent recently, by the node's name."""
        return self._driver.scheduler.recent_sent_units()

    def export_restart_state(self) -> api.RestartState:
        """Return the state for the next process of this broker; times are on the loop's clock."""
        return self._driver.scheduler.export_restart_state()

    def import_restart_state(self, state: api.RestartState) -> None:
        """Apply the state that an earlier process of this broker saved."""
        self._driver.push(state)

    def tick(self) -> None:
        """Pass the events since the last tick to the scheduler and carry out its actions."""
        over = self._requests.take_over()
        self._driver.run_batch()
        self._requests.forget(over)

    # Serving one request.

    async def _serve(self, request: Request, backend: Backend) -> Answer:
        ticket = self._requests.add(request)
        answer: Answer | None = None
        try:
            async with asyncio.timeout_at(self._latest_answer_at(ticket)) as ticket.limit:
                while answer is None:
                    step = await self._requests.next_step(ticket)
                    if isinstance(step, Answer):
                        answer = step
                        continue
                    reply = await self._carry_out(step, backend)
                    self._requests.report(step, reply)
                    if reply.ending is Ending.SERVED:
                        answer = Answer(Verdict.SERVED, reply)
        except TimeoutError:
            answer = answer or self._answer_undecided(ticket)
        except BaseException:
            self._requests.finish(ticket, None)
            raise
        finally:
            ticket.limit = None
        if answer.reply is not None and answer.reply.relay is not None:
            return await self._relay(ticket, answer, answer.reply.relay)
        self._requests.finish(ticket, answer)
        return answer

    def _latest_answer_at(self, ticket: Ticket) -> float:
        # A client's late retry may have less time left than the last resort; the scheduler still decides.
        return max(
            ticket.request.deadline - ticket.last_resort_s,
            self._loop.time() + DECISION_TICKS * self.settings.tick,
        )

    def _answer_undecided(self, ticket: Ticket) -> Answer:
        # Even without a decision, or on a loop that is late, each client gets an answer.
        local_code = LocalCode.LAST_RESORT if self._given_up is None else LocalCode.ENDING
        if local_code is LocalCode.LAST_RESORT:
            log.warning("request.undecided")
        self._report_expired_attempt(ticket)
        self._driver.push(api.ClientDeparture(ticket.id))
        verdict = Verdict.FAILED if ticket.attempts else Verdict.REFUSED  # nothing of it was sent
        return Answer(
            verdict,
            last_ending=ticket.last_ending,
            retry_after=self.settings.retry_advice,
            local_code=local_code,
        )

    def _report_expired_attempt(self, ticket: Ticket) -> None:
        """Report the attempt that is under way if its local_code time-out has passed as well.

        On a loop that is late both time-outs pass in one turn. The attempt's comes first, but asyncio then
        passes the cancellation on to the outer one, and ``_carry_out`` does not see it.
        """
        attempt = ticket.current
        if attempt is not None and attempt.timeout is not None and attempt.timeout.expired():
            self._requests.report(attempt, _expired_reply(attempt))

    async def _carry_out(self, attempt: Attempt, backend: Backend) -> Reply:
        try:
            until = min(attempt.expires, attempt.write_by)
            async with asyncio.timeout_at(until if until < inf else None) as attempt.timeout:
                with bound(attempt=attempt.number + 1, node=attempt.node):
                    return await backend.attempt(attempt)
        except TimeoutError:
            return _expired_reply(attempt)
        except Exception:
            log.exception("attempt.unforeseen", attempt=attempt.number + 1, node=attempt.node)
            return Reply(Ending.BROKEN)

    async def _relay(self, ticket: Ticket, begun: Answer, relay: Callable[[], Awaitable[Ending]]) -> Answer:
        answer: Answer | None = None
        try:
            ending = await relay()
            is_complete = ending is Ending.SERVED
            answer = (
                begun
                if is_complete
                else Answer(Verdict.FAILED, last_ending=ending, local_code=LocalCode.BROKE_OFF)
            )
        finally:
            self._requests.finish(ticket, answer)
        return answer

    # Between the facade and the scheduler.

    def _apply(self, update: NodeList, kind: api.ListKind) -> None:
        self._nodes.apply(update)
        self._pass_on(update.version, kind, update.members)

    def _pass_on(self, version: int, kind: api.ListKind, members: Iterable[Member]) -> None:
        self._driver.push(self._nodes.scheduler_update(version, kind, members))
        self._requests.cancel_unwritten(self._loop.time() + self.settings.drain_grace)

    def _run_action(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._requests.send(action)
            case api.Refuse(request, retry_after, why):
                self._requests.reject(request, Verdict.REFUSED, why, retry_after)
            case api.Fail(request, why):
                self._requests.reject(request, Verdict.FAILED, why)
            case api.Cancel(request, number):
                self._requests.cancel(request, number)
            case api.SetTimer(token, delay):
                self._driver.push_later(delay, api.TimerExpiry(token))
            case api.BorrowCapacity(node, units):
                self._borrow_capacity(node, units)
            case api.WatchNodes():
                self.watch_requested.set()
            case api.Report(text):
                log.info("module.state", shards=text)
            case api.Probe(node):
                # No deployment's settings let the scheduler probe, and it asks for none.
                self._driver.push(api.ProbeEnd(node, api.Outcome.NOT_EXECUTED, 0.0))


def _borrow_nothing(_node: str, _units: float) -> None:
    """Borrow no capacity: it is not pooled."""


def _expired_reply(attempt: Attempt) -> Reply:
    """How an attempt ended whose time-out has passed."""
    if not (attempt.written or attempt.body_started):
        return Reply(Ending.EXPIRED)
    return Reply(Ending.GIVEN_UP if attempt.cancelled else Ending.TIMED_OUT)
