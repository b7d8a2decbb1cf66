"""Which unfinished item is leased to which proxy: soft state of the primary of the store group.

A pure machine: time comes in as an argument (monotonic seconds) and decisions go out. It is built anew at
each change of primary from the replicated jobs; what ran before is announced again by the proxies that run
it. Until they had the time to do so, items of older terms are not leased.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.item_durations import ItemDurations

RENEWAL_INTERVAL_S = 0.25  # between two lease requests of a busy proxy
OVERDUE_SHARE = 4  # one grant in so many goes to items that will miss their target while others wait too
SUPERSEDED_KEPT = 8  # earlier incarnations remembered for each proxy


@attrs.frozen
class LeaseTimes:
    """Durations of leases, in seconds."""

    lease_s: float = 1.5  # without renewal an item is free again after this
    grace_s: float = 4 * RENEWAL_INTERVAL_S  # after a change of primary, for announcing what runs


@attrs.frozen
class LeasableJob:
    """What leasing must know of one job."""

    job_id: str
    route: str
    due: float  # completion target
    retained_until: float  # items may be given up afterwards
    item_ids: Sequence[str]  # unfinished, in order


@attrs.frozen
class LeaseCall:
    """One lease request of a proxy."""

    proxy: str
    incarnation: str
    sequence: int
    running: Sequence[ItemKey]
    capacity: int
    routes: frozenset[str]


@attrs.frozen
class Grant:
    """One item leased to the caller."""

    key: ItemKey
    due: float
    retained_until: float
    failed_attempts: int


@attrs.frozen
class LeaseDecision:
    """The answer to one lease request."""

    granted: Sequence[Grant] = ()
    revoked: Sequence[ItemKey] = ()
    waiting: int = 0  # items leased to nobody


@attrs.define
class _Job:
    terms: LeasableJob
    available_from: float
    waiting: dict[str, None]  # item ids leased to nobody, in order
    leased: dict[str, str] = attrs.field(factory=dict)  # item id -> incarnation
    granted_at: dict[str, float] = attrs.field(factory=dict)  # of leased items granted in this term


@attrs.define
class _Holder:
    """One process of a proxy, with all that is leased to it."""

    proxy: str
    expires: float
    sequence: int
    capacity: int
    items: set[ItemKey] = attrs.field(factory=set)


class LeaseTable:
    """All leases of one term of a primary."""

    def __init__(self, epoch: int, now: float, times: LeaseTimes | None = None) -> None:
        self.epoch = epoch
        self._times = times or LeaseTimes()
        self._grace_ends = now + self._times.grace_s
        self._jobs: dict[str, _Job] = {}
        self._order: list[tuple[float, str]] = []  # (due, job id) of jobs with waiting items
        self._holders: dict[str, _Holder] = {}  # by incarnation
        self._present: dict[str, str] = {}  # proxy -> its present incarnation
        self._superseded: dict[str, list[str]] = {}  # proxy -> earlier incarnations
        self._failed: Counter[ItemKey] = Counter()  # answers of 500
        self._waiting = 0
        self._grants = 0
        self._run_times = ItemDurations()

    # Changes of the jobs

    def add_job(self, terms: LeasableJob, *, from_earlier_epoch: bool) -> None:
        """Offer the items of a job; those of an earlier term only once the grace time is over."""
        if terms.job_id in self._jobs:
            return
        available = self._grace_ends if from_earlier_epoch else float("-inf")
        job = _Job(terms, available, dict.fromkeys(terms.item_ids))
        self._jobs[terms.job_id] = job
        self._waiting += len(job.waiting)
        if job.waiting:
            insort(self._order, (terms.due, terms.job_id))

    def resolve(self, key: ItemKey, now: float | None = None) -> None:
        """An item has its result; it came ``now``, where that tells how long items run."""
        job = self._jobs.get(key.job_id)
        if job is None:
            return
        granted_at = job.granted_at.get(key.item_id)
        if now is not None and granted_at is not None:
            self._run_times.add(now - granted_at)
        self._take(job, key.item_id)
        self._unlease(job, key)
        self._failed.pop(key, None)

    def remove_job(self, job_id: str) -> None:
        """A job was ended or forgotten; its items are leased no more."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        for item_id in [*job.waiting, *job.leased]:
            self.resolve(ItemKey(job_id, item_id))
        del self._jobs[job_id]

    # Proxies

    def exchange(self, call: LeaseCall, now: float) -> LeaseDecision:
        """Renew what the caller runs, revoke what it must stop, and lease more up to its capacity."""
        self.expire(now)
        holder = self._holder(call, now)
        if holder is None:
            return LeaseDecision(waiting=self._waiting)
        running = set(call.running)
        for key in holder.items - running:
            self._free(key)
        revoked = [key for key in call.running if not self._renew(call.incarnation, holder, key)]
        granted = list(self._grant(call, holder, now))
        return LeaseDecision(granted, revoked, self._waiting)

    def release(self, incarnation: str, key: ItemKey, failed_attempts: int) -> None:
        """The holder did not finish an item; counts of failures never go down."""
        job = self._jobs.get(key.job_id)
        if job is None or key.item_id not in job.terms.item_ids:
            return
        self._failed[key] = max(self._failed[key], failed_attempts)
        if job.leased.get(key.item_id) == incarnation:
            self._free(key)

    def expire(self, now: float) -> None:
        """Free everything that was not renewed in time."""
        for incarnation in [name for name, holder in self._holders.items() if holder.expires <= now]:
            self._drop_holder(incarnation)

    def past_retention(self, now: float) -> list[ItemKey]:
        """Unfinished items that may be given up."""
        jobs = [job for job in self._jobs.values() if job.terms.retained_until <= now]
        return [ItemKey(job.terms.job_id, item_id) for job in jobs for item_id in [*job.waiting, *job.leased]]

    def waiting_items(self, job_id: str, now: float) -> list[ItemKey]:
        """Items of a job that nobody runs; none until those of an earlier term could be announced."""
        job = self._jobs.get(job_id)
        if job is None or job.available_from > now:
            return []
        return [ItemKey(job_id, item_id) for item_id in job.waiting]

    # Holders

    def _holder(self, call: LeaseCall, now: float) -> _Holder | None:
        """The caller's record, renewed; None for a request that a newer one has overtaken."""
        if not self._is_present(call):
            return None
        holder = self._holders.get(call.incarnation)
        if holder is None:
            holder = _Holder(call.proxy, now, -1, 0)
            self._holders[call.incarnation] = holder
        if call.sequence <= holder.sequence:
            return None
        holder.sequence = call.sequence
        holder.expires = now + self._times.lease_s
        holder.capacity = call.capacity
        return holder

    def _is_present(self, call: LeaseCall) -> bool:
        """Whether the caller is the present process of its proxy; one that was not heard yet becomes it, and
        what the one before held is free.

        A late request, which a cut held up, may so put an earlier process in the place of the present one.
        The present one takes its place back when the lease of the earlier one has ended."""
        present = self._present.get(call.proxy)
        if call.incarnation == present:
            return True
        earlier = self._superseded.setdefault(call.proxy, [])
        if call.incarnation in earlier:
            if present in self._holders:
                return False
            earlier.remove(call.incarnation)
        if present is not None:
            earlier.append(present)
            del earlier[:-SUPERSEDED_KEPT]
            if present in self._holders:
                self._drop_holder(present)
        self._present[call.proxy] = call.incarnation
        return True

    def _drop_holder(self, incarnation: str) -> None:
        holder = self._holders[incarnation]
        for key in list(holder.items):
            self._free(key)
        del self._holders[incarnation]

    # Items

    def _renew(self, incarnation: str, holder: _Holder, key: ItemKey) -> bool:
        """Whether the caller may keep running ``key``."""
        job = self._jobs.get(key.job_id)
        if job is None:
            return False
        if job.leased.get(key.item_id) == incarnation:
            return True
        if not self._take(job, key.item_id):
            return False
        job.leased[key.item_id] = incarnation
        holder.items.add(key)
        return True

    def _grant(self, call: LeaseCall, holder: _Holder, now: float) -> Iterator[Grant]:
        remaining = min(call.capacity, self._fair_part())
        if remaining <= 0 or not self._order:
            return
        start = bisect_left(self._order, (now + self._run_times.mean_s, ""))
        in_time = self._offers(self._order[start:], call.routes, now)
        overdue = self._offers(self._order[:start], call.routes, now)
        for _ in range(remaining):
            self._grants += 1
            first, second = (overdue, in_time) if self._grants % OVERDUE_SHARE == 0 else (in_time, overdue)
            key = next(first, None) or next(second, None)
            if key is None:
                return
            job = self._jobs[key.job_id]
            self._take(job, key.item_id)
            job.leased[key.item_id] = call.incarnation
            job.granted_at[key.item_id] = now
            holder.items.add(key)
            yield Grant(key, job.terms.due, job.terms.retained_until, self._failed[key])

    def _fair_part(self) -> int:
        """At most so many items for one request, so that all proxies with room get work."""
        proxies = sum(holder.capacity > 0 for holder in self._holders.values())
        return -(-self._waiting // max(proxies, 1))

    def _offers(
        self, jobs: Iterable[tuple[float, str]], routes: frozenset[str], now: float
    ) -> Iterator[ItemKey]:
        """Waiting items of ``jobs`` that the caller could run, each given out at most once."""
        for _, job_id in jobs:
            job = self._jobs[job_id]
            if job.available_from > now or job.terms.route not in routes:
                continue
            for item_id in list(job.waiting):
                yield ItemKey(job_id, item_id)

    def _take(self, job: _Job, item_id: str) -> bool:
        """Remove an item from those that wait; whether it waited."""
        if item_id not in job.waiting:
            return False
        del job.waiting[item_id]
        self._waiting -= 1
        if not job.waiting:
            self._order.remove((job.terms.due, job.terms.job_id))
        return True

    def _unlease(self, job: _Job, key: ItemKey) -> None:
        incarnation = job.leased.pop(key.item_id, None)
        job.granted_at.pop(key.item_id, None)
        holder = self._holders.get(incarnation) if incarnation is not None else None
        if holder is not None:
            holder.items.discard(key)

    def _free(self, key: ItemKey) -> None:
        """A leased item waits again."""
        job = self._jobs[key.job_id]
        self._unlease(job, key)
        if not job.waiting:
            insort(self._order, (job.terms.due, job.terms.job_id))
        job.waiting[key.item_id] = None
        self._waiting += 1
