"""Defines what the call handlers and the periodic work of a store's batch service share."""

from __future__ import annotations

import attrs

from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.epoch_leases import Clocks, EpochLeases
from cherrycove.tier.batch.store.job_capacity import JobCapacity
from cherrycove.tier.batch.store.proposals import ResultRecorder
from cherrycove.tier.replication.interface import Group


@attrs.frozen(eq=False)
class StoreContext:
    """Holds the components of one batch service, which ``BatchStoreService`` owns."""

    group: Group
    state: JobsState  # changed only by the group
    leases: EpochLeases
    capacity: JobCapacity
    recorder: ResultRecorder
    clocks: Clocks
