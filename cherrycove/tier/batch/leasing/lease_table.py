"""Tracks which unfinished item is leased to which proxy, as soft state of the primary of the store group.

The table is deterministic: callers pass the time (monotonic seconds), and it returns decisions. It is
rebuilt from the replicated jobs at each change of primary. The proxies then announce the items that they
run. Until they had time to do so, items of earlier epochs are not leased, since a proxy may still run them.
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
    """Holds all leases of one epoch of a primary."""

    def __init__(self, epoch: int, now: float, times: LeaseTimes | None = None) -> None:
        """Create the table of ``epoch``, which begins at ``now``."""
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
        """Return how long a lease is valid without renewal."""
        return self._times.lease_s

    # Changes of the jobs

    def add_job(self, job: LeasableJob, *, from_earlier_epoch: bool) -> None:
        """Offer the items of a job; if it is from an earlier epoch, only after the grace period."""
        if self._queue.get(job.job_id) is None:
            self._queue.add(job, self._grace_ends_s if from_earlier_epoch else float("-inf"))

    def resolve(self, key: ItemKey, now: float | None = None) -> None:
        """Remove an item that needs no further run. Pass ``now`` if its duration should be measured."""
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
        """Remove a job that was ended or forgotten, with the leases of its items."""
        queued = self._queue.get(job_id)
        if queued is None:
            return
        for key in queued.unfinished():
            self.resolve(key)
        self._queue.remove(job_id)

    # Requests of the proxies

    def exchange(self, call: LeaseCall, now: float) -> LeaseDecision:
        """Renew the leases of what the caller runs, revoke what it must stop, and grant up to its capacity.

        A request that arrives after a newer one of the same process changes nothing.
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
        """Free an item that its lease holder did not finish. The count of failed attempts never decreases."""
        queued = self._queue.get(key.job_id)
        if queued is None or key.item_id not in queued.job.item_ids:
            return
        self._failed_attempts[key] = max(self._failed_attempts[key], failed_attempts)
        if queued.leased.get(key.item_id) == incarnation:
            self._free(key)

    # Maintenance

    def expire(self, now: float) -> None:
        """Free all items whose lease was not renewed in time."""
        self._free_all(self._holders.expire(now))

    def past_retention(self, now: float) -> list[ItemKey]:
        """Return the unfinished items whose retention time is over, so that they may be dead-lettered."""
        jobs = [queued for queued in self._queue.jobs() if queued.job.retained_until_s <= now]
        return [key for queued in jobs for key in queued.unfinished()]

    def waiting_items(self, job_id: str, now: float) -> list[ItemKey]:
        """Return the items of a job that no proxy runs.

        The list is empty while proxies may still announce items of earlier epochs.
        """
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
        """Return whether the caller may keep running ``key``; an item that is not leased is leased to it."""
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
        for _ in range(min(call.capacity, share, self._remaining_lease_limit())):
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

    def _remaining_lease_limit(self) -> int:
        """Return how many further items may be leased now without taking slots from live requests."""
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
        """Return a leased item to the waiting ones."""
        queued = self._queue[key.job_id]
        self._end_lease(queued, key)
        self._queue.put_back(queued, key.item_id)
