"""Batch jobs of an experiment: one worker for each proxy requests leases from the tier's own lease table."""

from __future__ import annotations

import math
import random

import attrs

from bench.admission.clock import Clock
from bench.admission.network import SERVICE
from bench.admission.outcomes import Outcome
from bench.admission.proxy import Exchange, Proxy, new_request
from bench.admission.site import RequestKind, Site, ZoneTraffic
from bench.admission.traffic import PromptMaker
from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.lease_table import LeaseTable
from cherrycove.tier.batch.leasing.lease_types import RENEWAL_INTERVAL_S, Grant, LeasableJob, LeaseCall
from cherrycove.tier.batch.worker.batch_worker import IDLE_INTERVAL_S, MIN_INTERVAL_S
from cherrycove.tier.dataplane.prompt import Prompt

LEASE_CALL_S = 0.004  # duration of a lease request or of reporting a result, in addition to network delays
RETAINED_S = 1000.0


@attrs.define(eq=False)
class Item:
    """A batch item with the prompt and the number of events that were drawn for it."""

    outcome: Outcome
    prompt: Prompt
    events: int
    due_at: float


@attrs.define(eq=False)
class Worker:
    """The state of the batch worker of one proxy. ``incarnation`` counts the restarts of the proxy."""

    proxy: Proxy
    incarnation: int = 0
    sequence: int = 0
    running: dict[ItemKey, Exchange] = attrs.field(factory=dict)
    has_finished_items: bool = False


class BatchJobs:
    """Owns the batch jobs of a day, the lease table and the batch workers of the proxies."""

    def __init__(
        self, clock: Clock, site: Site, proxies: list[Proxy], prompts: PromptMaker, rng: random.Random
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._clock = clock
        self._site = site
        self._prompts = prompts
        self._rng = rng
        self._table = LeaseTable(1, clock.now)
        self._items: dict[ItemKey, Item] = {}
        self._jobs = 0
        self._workers = [Worker(proxy) for proxy in proxies]
        for worker in self._workers:
            clock.at(rng.random() * IDLE_INTERVAL_S, self._request_leases, worker)

    def submit(self, zone: ZoneTraffic, kind: RequestKind, now: float) -> None:
        """Add a job that a client submits; draws its items and their prompts."""
        self._jobs += 1
        job_id = f"job-{self._jobs}"
        due_at = now + kind.target_s
        ids = [f"item-{number}" for number in range(self._prompts.size(kind.items))]
        for item_id in ids:
            events = self._prompts.size(kind.events)
            prompt = self._prompts.make(kind, events, self._site.engine.stride)
            outcome = Outcome(kind, zone.zone, now)
            self.outcomes.append(outcome)
            self._items[ItemKey(job_id, item_id)] = Item(outcome, prompt, events, due_at)
        job = LeasableJob(job_id, kind.name, due_at, now + RETAINED_S, ids)
        self._table.add_job(job, from_earlier_epoch=False)

    def proxy_killed(self, proxy: Proxy) -> None:
        """Let the leases of a killed proxy expire; its next process is a new incarnation."""
        worker = self._workers[proxy.number]
        worker.incarnation += 1
        worker.running.clear()

    def _request_leases(self, worker: Worker) -> None:
        if not worker.proxy.is_up:
            self._clock.after(IDLE_INTERVAL_S, self._request_leases, worker)
            return
        worker.sequence += 1
        decision = self._table.exchange(self._call(worker), self._clock.now)
        for grant in decision.granted:
            self._clock.after(LEASE_CALL_S, self._start_item, worker, grant, worker.incarnation)
        is_busy = bool(worker.running or decision.granted or decision.waiting)
        self._schedule(worker, RENEWAL_INTERVAL_S if is_busy else IDLE_INTERVAL_S)

    def _schedule(self, worker: Worker, pause_s: float) -> None:
        worker.has_finished_items = False
        token = worker.sequence
        self._clock.after(MIN_INTERVAL_S, self._request_leases_if_finished, worker, token)
        self._clock.after(MIN_INTERVAL_S + pause_s, self._request_leases_if_due, worker, token)

    def _request_leases_if_finished(self, worker: Worker, token: int) -> None:
        if token == worker.sequence and worker.has_finished_items:
            self._request_leases(worker)

    def _request_leases_if_due(self, worker: Worker, token: int) -> None:
        if token == worker.sequence:
            self._request_leases(worker)

    def _call(self, worker: Worker) -> LeaseCall:
        proxy = worker.proxy
        return LeaseCall(
            proxy=f"proxy-{proxy.number}",
            incarnation=f"{proxy.number}/{worker.incarnation}",
            sequence=worker.sequence,
            running=tuple(worker.running),
            capacity=proxy.free_slots(),
            routes=frozenset(kind.name for kind in self._site.kinds if kind.is_batch),
            broker_slots=proxy.scheduler.usable_slots({SERVICE}),
            live_requests=proxy.live_requests(),
            usable_brokers=proxy.scheduler.brokers_for_items({SERVICE}, self._clock.now),
        )

    def _start_item(self, worker: Worker, grant: Grant, incarnation: int) -> None:
        if incarnation != worker.incarnation or not worker.proxy.is_up:
            return
        key = grant.key
        item, now = self._items[key], self._clock.now
        request = new_request(item.outcome, item.outcome.kind.name, item.prompt, now, math.inf, item.due_at)
        request.preferred_broker = grant.broker

        def done() -> None:
            worker.running.pop(key, None)
            worker.has_finished_items = True
            self._clock.after(LEASE_CALL_S, self._resolve, key)
            self._clock.after(LEASE_CALL_S, self._request_leases_soon, worker)

        exchange = Exchange(
            outcome=item.outcome, request=request, events_left=item.events,
            on_rejected=_ignore_rejection, on_failed=_ignore_failure, on_done=done,
        )  # fmt: skip
        worker.running[key] = exchange
        worker.proxy.accept(exchange)

    def _request_leases_soon(self, worker: Worker) -> None:
        """Request leases soon after an item ends, without waiting for the next regular request."""
        if worker.has_finished_items and worker.proxy.is_up:
            token = worker.sequence
            self._clock.after(MIN_INTERVAL_S / 2, self._request_leases_if_finished, worker, token)

    def _resolve(self, key: ItemKey) -> None:
        self._table.resolve(key, self._clock.now)


def _ignore_rejection(_: float) -> None:
    """Do nothing: the proxy resubmits a rejected item itself."""


def _ignore_failure() -> None:
    """Do nothing: the lease of an item at a killed proxy expires."""
