"""What goes into the lease table and comes out of it. Points in time are monotonic seconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey

RENEWAL_INTERVAL_S = 0.25  # between two lease requests of a busy proxy


@attrs.frozen
class LeaseTimes:
    """Durations of leases, in seconds."""

    lease_s: float = 1.5  # without renewal an item is free again after this
    grace_s: float = (
        4 * RENEWAL_INTERVAL_S
    )  # after a change of primary, for proxies to announce what they run


@attrs.frozen
class LeasableJob:
    """What leasing must know of one job."""

    job_id: str
    route: str
    due_at_s: float  # completion target
    retained_until_s: float  # items may be given up afterwards
    item_ids: Sequence[str]  # unfinished, in order


@attrs.frozen
class LeaseCall:
    """One lease request of a proxy."""

    proxy: str
    incarnation: str  # of its process; new at each start
    sequence: int  # rises with each request of an incarnation
    running: Sequence[ItemKey]
    capacity: int  # how many further items the proxy could start now
    routes: frozenset[str]  # batch routes in force at the proxy
    broker_slots: int = 0  # of all brokers that the proxy could send items to; 0: not told
    live_requests: int = 0  # pending and in flight at the proxy
    usable_brokers: Mapping[str, int] = attrs.field(factory=dict)  # slots by id, of those with a connection


@attrs.frozen
class Grant:
    """One item leased to the caller."""

    key: ItemKey
    due_at_s: float
    retained_until_s: float
    failed_attempts: int
    broker: str = ""  # instance id at which it should run; empty: the caller chooses


@attrs.frozen
class LeaseDecision:
    """The answer to one lease request."""

    granted: Sequence[Grant] = ()
    revoked: Sequence[ItemKey] = ()  # of those that the caller runs: it must stop them
    waiting: int = 0  # items leased to nobody
