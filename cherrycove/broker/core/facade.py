"""The core's interface for the servers and the rest of the broker's process.

A server awaits ``serve`` for each request, which returns the final answer before the client's deadline. This
module must never open a socket, depend on headers or frames, decide where or when a request is sent, or delay
an answer that the scheduler has given.
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
from cherrycove.scheduling.retry_safety import may_refuse

log = Log("cherrycove.core")

MIN_DECISION_TICKS = 5  # ticks that the scheduler has for a decision in any case


class Core:
    """The facade over the scheduler, for one event loop. Owned by the broker.

    If the scheduler raises, the exception is logged, and the affected requests fail at their deadlines.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        # Called with each update from the list's source.
        self.on_node_list: Callable[[NodeList], None] | None = None
        self.source_unreachable = False  # whether the source of the node list is unreachable
        self.watch_requested = asyncio.Event()  # set whenever the scheduler asks for changes of the list
        self._loop = asyncio.get_running_loop()
        self._driver = SchedulerDriver(settings, seed, self.tick, self._run_action)
        self._nodes = NodeTable(self._loop.time())
        self._counters = Counters(settings)
        self._requests = RequestTable(self._driver, self._nodes, self._counters)
        self._borrow_capacity: Callable[[str, float], None] = _borrow_nothing
        self._expired_at: float | None = None  # since then new requests are rejected immediately

    # Requests.

    async def serve(self, request: Request, backend: Backend) -> Answer:
        """Serve a request and return its final answer.

        Cancelling the call means that the client has disconnected.
        """
        # The scheduler assumes that the longest wait seen in a class is that of requests that are no retries.
        # One client that claims to wait longer than the class allows would make all others look like late
        # retries.
        allowed = self._loop.time() + self.settings.classes[request.cls].deadline
        request.deadline = min(request.deadline, allowed)
        if self._expired_at is not None:
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
        """Record a request that a server rejected without calling ``serve``."""
        if cls is not None:
            self._counters.count_answer(cls, verdict)
        if self.recorder is not None:
            now = self._loop.time()
            self.recorder.record(
                RequestSummary(now, now, verdict, local_code, id=id, volume=volume, front=front, cls=cls)
            )

    def find(self, id: str) -> list[RequestSummary]:
        """Return summaries of the requests in flight with this client-assigned id."""
        return self._requests.find(id)

    def expire_requests(self) -> None:
        """Answer all requests in flight immediately, and reject new ones, since the process is ending.

        Responses that are being streamed continue.
        """
        self._expired_at = self._loop.time()
        self._requests.expire_all(self._expired_at)

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
        """The number of requests accepted ("taken"), and of requests by how they ended, since the start."""
        return self._counters.counts

    @property
    def endings(self) -> Mapping[Ending, int]:
        """The number of attempts by how they ended, since the start."""
        return self._counters.endings

    @property
    def recorder(self) -> Recorder | None:
        """The recorder that receives every request once it has ended; None: nothing is recorded."""
        return self._requests.recorder

    @recorder.setter
    def recorder(self, recorder: Recorder | None) -> None:
        self._requests.recorder = recorder

    def metrics(self) -> Metrics:
        """Return the metrics for operators."""
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
        """The version of the node list; None: none was received yet."""
        return self._nodes.version

    @property
    def list_updates(self) -> int:
        """The number of updates applied to the node list."""
        return self._nodes.update_count

    @property
    def maintenance(self) -> Maintenance:
        """The maintenance state set by operators."""
        return self._nodes.maintenance

    @property
    def members(self) -> tuple[Member, ...]:
        """The node list as reported, without maintenance applied."""
        return tuple(self._nodes.members.values())

    @property
    def ready(self) -> bool:
        """Whether any node is up and not under maintenance."""
        return self._nodes.any_up()

    def update(self, update: NodeList, *, restored: bool = False) -> None:
        """Apply a node list or changes to it; ``restored``: the list is one that an earlier process saved."""
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
        """Send no new requests to a node that another broker, not the list's source, reports as not up."""
        is_listed = member.name in self._nodes.members and self.version is not None
        if is_listed and member.state is not api.NodeState.UP:
            self._apply(NodeList(self.version or 0, False, (member,)), api.ListKind.CHANGES)

    def set_maintenance(self, state: Maintenance) -> None:
        """Replace the maintenance state and update the scheduler for the nodes it changes."""
        changed = self._nodes.set_maintenance(state)
        if changed:
            self._notify_scheduler(self.version or 0, api.ListKind.CHANGES, changed)

    def node_started_at(self, member: Member) -> float | None:
        """Return when a node last started, on the event loop's clock; None if that is unknown."""
        return self._nodes.loop_time(member.since_ms)

    # The scheduler's budget, capacity and state.

    def set_budget_share(self, fraction: float, sent: Mapping[str, float] | None = None) -> None:
        """Use this fraction of the broker's budget.

        ``sent`` holds the units that the broker's other processes sent recently, by node name.
        """
        self._driver.push(api.BudgetShare(fraction, sent or {}))

    def limit_open_requests(self, max_requests: int) -> None:
        """Limit the requests in flight, so that the servers have connections left for other clients."""
        self._driver.limit_open_requests(max_requests)

    def pool_capacity(self, fraction: float, borrow: Callable[[str, float], None]) -> None:
        """Pool this fraction of the capacity of nodes in slow start among the brokers.

        ``borrow`` is called with a node's name and the units wanted, each time the scheduler asks for them.
        """
        self._borrow_capacity = borrow
        self._driver.push(api.CapacityPool(fraction))

    def use_loan(self, node: str, units: float, valid_s: float) -> None:
        """Use capacity of a node that another broker has lent; the loan expires after ``valid_s``."""
        self._driver.push(api.CapacityLoan(node, units, valid_s))

    def recent_sent_units(self) -> dict[str, float]:
        """Return the units sent recently, by node name."""
        return self._driver.scheduler.recent_sent_units()

    def export_restart_state(self) -> api.RestartState:
        """Return the state for the next process of this broker; times are on the event loop's clock."""
        return self._driver.scheduler.export_restart_state()

    def import_restart_state(self, state: api.RestartState) -> None:
        """Apply the state that an earlier process of this broker saved."""
        self._driver.push(state)

    def tick(self) -> None:
        """Pass the events since the last tick to the scheduler and execute its actions."""
        closed = self._requests.take_closed()
        self._driver.run_batch()
        self._requests.delete(closed)

    # Serving one request.

    async def _serve(self, request: Request, backend: Backend) -> Answer:
        ticket = self._requests.add(request)
        answer: Answer | None = None
        try:
            async with asyncio.timeout_at(self._latest_answer_at(ticket)) as ticket.answer_timeout:
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
            ticket.answer_timeout = None
        if answer.reply is not None and answer.reply.relay is not None:
            return await self._relay(ticket, answer, answer.reply.relay)
        self._requests.finish(ticket, answer)
        return answer

    def _latest_answer_at(self, ticket: Ticket) -> float:
        # A client's late retry may have less time left than ``last_resort_s``; the scheduler still decides.
        return max(
            ticket.request.deadline - ticket.last_resort_s,
            self._loop.time() + MIN_DECISION_TICKS * self.settings.tick,
        )

    def _answer_undecided(self, ticket: Ticket) -> Answer:
        # Each client gets an answer, even without a decision or if the event loop runs late.
        local_code = LocalCode.LAST_RESORT if self._expired_at is None else LocalCode.ENDING
        if local_code is LocalCode.LAST_RESORT:
            log.warning("request.undecided")
        self._report_expired_attempt(ticket)
        self._driver.push(api.ClientDeparture(ticket.id))
        cls = self.settings.classes[ticket.request.cls]
        is_refused = may_refuse(cls, may_have_run=ticket.attempt_count > 0)  # the scheduler's rule
        verdict = Verdict.REFUSED if is_refused else Verdict.FAILED
        return Answer(
            verdict,
            last_ending=ticket.last_ending,
            retry_after=self.settings.retry_advice,
            local_code=local_code,
        )

    def _report_expired_attempt(self, ticket: Ticket) -> None:
        """Report the attempt under way if its own time-out has expired as well.

        If the event loop runs late, both time-outs expire in one iteration. The attempt's is first, but
        asyncio then passes the cancellation on to the outer one, and ``_carry_out`` does not see it.
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

    async def _relay(self, ticket: Ticket, started: Answer, relay: Callable[[], Awaitable[Ending]]) -> Answer:
        answer: Answer | None = None
        try:
            ending = await relay()
            is_complete = ending is Ending.SERVED
            answer = (
                started
                if is_complete
                else Answer(Verdict.FAILED, last_ending=ending, local_code=LocalCode.BROKE_OFF)
            )
        finally:
            self._requests.finish(ticket, answer)
        return answer

    # Events for the scheduler, and its actions.

    def _apply(self, update: NodeList, kind: api.ListKind) -> None:
        self._nodes.apply(update)
        self._notify_scheduler(update.version, kind, update.members)

    def _notify_scheduler(self, version: int, kind: api.ListKind, members: Iterable[Member]) -> None:
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
                # No deployment's settings allow probes, so the scheduler does not ask for any.
                self._driver.push(api.ProbeEnd(node, api.Outcome.NOT_EXECUTED, 0.0))


def _borrow_nothing(_node: str, _units: float) -> None:
    """Ignore the request, since capacity is not pooled."""


def _expired_reply(attempt: Attempt) -> Reply:
    """Return how an attempt ended whose time-out has expired."""
    if not (attempt.written or attempt.body_started):
        return Reply(Ending.EXPIRED)
    return Reply(Ending.GIVEN_UP if attempt.cancelled else Ending.TIMED_OUT)
