"""Defines the inputs and outputs of the lease table. Points in time are monotonic seconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey

RENEWAL_INTERVAL_S = 0.25  # interval between the lease requests of a busy proxy


@attrs.frozen
class LeaseTimes:
    """Holds the durations that apply to leases, in seconds."""

    lease_s: float = 1.5  # an item is free again after this time without renewal
    # Time that proxies have after a change of primary to announce what they run.
    grace_s: float = 4 * RENEWAL_INTERVAL_S


@attrs.frozen
class LeasableJob:
    """Describes one job as far as leasing needs it."""

    job_id: str
    route: str
    due_at_s: float  # time at which its completion target is reached
    retained_until_s: float  # time after which its items may be dead-lettered
    item_ids: Sequence[str]  # unfinished items, in order


@attrs.frozen
class LeaseCall:
    """Holds one lease request of a proxy."""

    proxy: str
    incarnation: str  # id of the proxy's process, new at each start
    sequence: int  # increases with each request of an incarnation
    running: Sequence[ItemKey]
    capacity: int  # number of further items that the proxy could start now
    routes: frozenset[str]  # batch routes in the proxy's current configuration
    broker_slots: int = 0  # total slots of all brokers that the proxy could use; 0 if not reported
    live_requests: int = 0  # pending and in-flight requests at the proxy
    usable_brokers: Mapping[str, int] = attrs.field(factory=dict)  # slots by id of the connected brokers


@attrs.frozen
class Grant:
    """Describes one item that is leased to the caller."""

    key: ItemKey
    due_at_s: float
    retained_until_s: float
    failed_attempts: int
    broker: str = ""  # instance id of the broker that should run it; if empty, the caller chooses


@attrs.frozen
class LeaseDecision:
    """Holds the answer to one lease request."""

    granted: Sequence[Grant] = ()
    revoked: Sequence[ItemKey] = ()  # items that the caller runs and must stop
    waiting: int = 0  # items that are not leased
