"""Which unfinished item is leased to which proxy: soft state of the primary of the store group.

A pure machine: time comes in as an argument (monotonic seconds) and decisions go out. It is built anew at
each change of primary from the replicated jobs. What the proxies run at that time they announce again; until
they had the time to do so, items of earlier epochs are not leased, since a proxy may still run them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.leasing.grant_policy import GrantOrder, fair_share
from cherrycove.tier.batch.leasing.item_durations import ItemDurations
from cherrycove.tier.batch.leasing.job_queue import JobQueue, QueuedJob
from cherrycove.tier.batch.leasing.lease_holders import LeaseHolder, LeaseHolders
from cherrycove.tier.batch.leasing.lease_types import (
    Grant,
    LeasableJob,
    LeaseCall,
    LeaseDecision,
    LeaseTimes,
)
from cherrycove.tier.batch.leasing.placement import Placements


class LeaseTable:
    """All leases of one epoch of a primary."""

    def __init__(self, epoch: int, now: float, times: LeaseTimes | None = None) -> None:
        """Leases of ``epoch``, which begins ``now``."""
        self.epoch = epoch
        self._times = times or LeaseTimes()
        self._grace_ends_s = now + self._times.grace_s
        self._queue = JobQueue()
        self._holders = LeaseHolders(self._times.lease_s)
        self._failed_attempts: Counter[ItemKey] = Counter()
        self._grant_order = GrantOrder()
        self._durations = ItemDurations()
        self._placements = Placements()

    @property
    def lease_s(self) -> float:
        """For how long a lease is valid without renewal."""
        return self._times.lease_s

    # Changes of the jobs

    def add_job(self, job: LeasableJob, *, from_earlier_epoch: bool) -> None:
        """Offer the items of a job; those from an earlier epoch only once the grace time is over."""
        if self._queue.get(job.job_id) is None:
            self._queue.add(job, self._grace_ends_s if from_earlier_epoch else float("-inf"))

    def resolve(self, key: ItemKey, now: float | None = None) -> None:
        """An item has its result. ``now`` is given where the result tells how long items take."""
        queued = self._queue.get(key.job_id)
        if queued is None:
            return
        granted_at_s = queued.granted_at_s.get(key.item_id)
        if now is not None and granted_at_s is not None:
            self._durations.add(now - granted_at_s)
        self._queue.take(queued, key.item_id)
        self._end_lease(queued, key)
        self._failed_attempts.pop(key, None)

    def remove_job(self, job_id: str) -> None:
        """A job was ended or forgotten; its items are leased no more."""
        queued = self._queue.get(job_id)
        if queued is None:
            return
        for key in queued.unfinished():
            self.resolve(key)
        self._queue.remove(job_id)

    # Requests of the proxies

    def exchange(self, call: LeaseCall, now: float) -> LeaseDecision:
        """Renew what the caller runs, revoke what it must stop, and lease more up to its capacity.

        A request that a newer one has overtaken changes nothing.
        """
        self.expire(now)
        holder = self._renew_holder(call, now)
        if holder is None:
            return LeaseDecision(waiting=self._queue.waiting_count)
        self._free_all(holder.items - set(call.running))
        revoked = [key for key in call.running if not self._renew(call.incarnation, holder, key)]
        granted = list(self._grant(call, holder, now))
        return LeaseDecision(granted, revoked, self._queue.waiting_count)

    def release(self, incarnation: str, key: ItemKey, failed_attempts: int) -> None:
        """The lease holder did not finish an item; counts of failed attempts never go down."""
        queued = self._queue.get(key.job_id)
        if queued is None or key.item_id not in queued.job.item_ids:
            return
        self._failed_attempts[key] = max(self._failed_attempts[key], failed_attempts)
        if queued.leased.get(key.item_id) == incarnation:
            self._free(key)

    # Maintenance

    def expire(self, now: float) -> None:
        """Free everything that was not renewed in time."""
        self._free_all(self._holders.expire(now))

    def past_retention(self, now: float) -> list[ItemKey]:
        """Unfinished items that may be given up."""
        jobs = [queued for queued in self._queue.jobs() if queued.job.retained_until_s <= now]
        return [key for queued in jobs for key in queued.unfinished()]

    def waiting_items(self, job_id: str, now: float) -> list[ItemKey]:
        """Items of a job that nobody runs; none while proxies may still announce items of earlier epochs."""
        queued = self._queue.get(job_id)
        if queued is None or queued.available_from_s > now:
            return []
        return [ItemKey(job_id, item_id) for item_id in queued.waiting]

    # Leases

    def _renew_holder(self, call: LeaseCall, now: float) -> LeaseHolder | None:
        if self._holders.is_superseded(call):
            return None
        self._free_all(self._holders.make_current(call))
        return self._holders.renew(call, now)

    def _renew(self, incarnation: str, holder: LeaseHolder, key: ItemKey) -> bool:
        """Whether the caller may keep running ``key``, which is leased to it or to nobody."""
        queued = self._queue.get(key.job_id)
        if queued is None:
            return False
        if queued.leased.get(key.item_id) == incarnation:
            return True
        if not self._queue.take(queued, key.item_id):
            return False
        queued.leased[key.item_id] = incarnation
        holder.items.add(key)
        return True

    def _grant(self, call: LeaseCall, holder: LeaseHolder, now: float) -> Iterator[Grant]:
        share = fair_share(self._queue.waiting_count, self._holders.count_with_capacity())
        in_time, overdue = self._queue.offers(now + self._durations.mean_s, call.routes, now)
        placement = self._placements.begin(call.usable_brokers)
        for _ in range(min(call.capacity, share, self._room())):
            key = self._grant_order.next_item(in_time, overdue)
            if key is None:
                return
            broker = placement.place(key)
            queued = self._queue[key.job_id]
            self._queue.take(queued, key.item_id)
            queued.leased[key.item_id] = call.incarnation
            queued.granted_at_s[key.item_id] = now
            holder.items.add(key)
            job = queued.job
            yield Grant(key, job.due_at_s, job.retained_until_s, self._failed_attempts[key], broker)

    def _room(self) -> int:
        """How many further items may be leased now, beside the live requests."""
        limit = self._holders.lease_limit()
        return self._queue.waiting_count if limit is None else max(limit - self._holders.count_items(), 0)

    def _end_lease(self, queued: QueuedJob, key: ItemKey) -> None:
        incarnation = queued.leased.pop(key.item_id, None)
        queued.granted_at_s.pop(key.item_id, None)
        self._placements.remove(key)
        if incarnation is not None:
            self._holders.release(incarnation, key)

    def _free_all(self, keys: Iterable[ItemKey]) -> None:
        for key in keys:
            self._free(key)

    def _free(self, key: ItemKey) -> None:
        """Let a leased item wait again."""
        queued = self._queue[key.job_id]
        self._end_lease(queued, key)
        self._queue.put_back(queued, key.item_id)
