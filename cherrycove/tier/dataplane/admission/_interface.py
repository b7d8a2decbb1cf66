"""Requests, events and actions exchanged by the data plane and admission. Times are monotonic seconds."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf

import attrs

from cherrycove.scheduling.state import Request
from cherrycove.tier.configuration import Configuration
from cherrycove.tier.dataplane.prompt import NO_PROMPT, Prompt
from cherrycove.tier.distribution.cluster_view import Broker


class PendingCause(Enum):
    """Why a live request became pending instead of being sent to a broker at once."""

    NO_BROKER = "no_broker"  # no broker could run the request
    EJECTED = "ejected"  # all capable brokers are ejected, or excluded by the request's earlier attempts
    NO_CONNECTION = "no_connection"  # this proxy uses all connections that it may have to these brokers
    NO_SLOT = "no_slot"  # all known slots are taken, or the concurrency limit is reached


class RejectionReason(Enum):
    """Why a request is rejected without an attempt."""

    FORECAST = "forecast"  # the forecast latency exceeds the time that its client has left
    NO_BROKER = "no_broker"  # the same, and no broker that could run the request is reachable
    NOT_CONFIGURED = "not_configured"  # the route is unknown here, or no broker can run the batch item


@attrs.define(eq=False, kw_only=True)
class AdmissionRequest:
    """One live request or batch item; the same object is used for all of its attempts.

    The data plane creates and owns it; admission fills in the fields below ``is_batch``. It is *pending* from
    ``request_arrived`` until an action names it, and *in flight* from ``StartAttempt`` until
    ``attempt_ended``.
    """

    route: str
    service: str
    arrived_at: float
    target_latency_s: float  # from arrival to first event; a response within it has its full value
    deadline: float  # time by which it must have been answered
    silence_limit_s: float = inf  # after that long without an event the client of a stream gives it up
    prompt: Prompt = NO_PROMPT
    is_batch: bool = False
    due_at: float = inf  # batch item: set by the caller; live request: arrival plus target latency
    preferred_broker: str = ""  # instance id at which the stores placed a batch item; empty: any
    # Sort key among pending live requests, smallest first: the route's priority, then the due time.
    queue_key: tuple[int, float] = (0, inf)
    attempts: int = 0  # attempts started, including those that a broker rejected
    queued_at: float = 0.0  # when it last became pending
    queue_entry: Request | None = None  # entry of a live request in the queue of its route or of a broker
    pending_cause: PendingCause | None = None  # of a live request; None: it was sent without waiting
    uncached_tokens: int = 0  # prompt tokens that the broker of the last attempt probably had to process
    uncached_shared_tokens: int = 0  # the part of them that belongs to shared segments
    excluded_until: dict[str, float] = attrs.field(factory=dict)  # by instance id, after failed attempts

    @property
    def first_event_due_by(self) -> float:
        """When the client gives up, unless the response has begun."""
        return min(self.deadline, self.arrived_at + self.silence_limit_s)

    def is_eligible_at(self, instance_id: str, now: float) -> bool:
        """Whether the request's earlier attempts allow another one at this broker."""
        return self.excluded_until.get(instance_id, -inf) <= now


class AttemptOutcome(Enum):
    """How an attempt ended, in the distinctions that admission uses."""

    SERVED = "served"
    REJECTED = "rejected"  # the broker had no free slot and did not run the request
    UNREACHABLE = "unreachable"  # no connection was established
    MISDIRECTED = "misdirected"  # another broker listens at the address
    VERSION_MISMATCH = "version_mismatch"  # 421 to a request with Expect-Version: model weights may differ
    INCOMPLETE = "incomplete"  # the connection was closed or reset early, or the response was malformed
    STALLED = "stalled"  # nothing was received within the stall timeout
    CANCELLED = "cancelled"  # the client disconnected, or the deadline passed


@attrs.frozen(kw_only=True)
class ClusterSnapshot:
    """Event: the part of the proxy's view of the cluster that admission needs."""

    configuration: Configuration | None
    brokers: tuple[Broker, ...]
    proxies: int  # proxies alive, including this one
    arrivals_per_s: Mapping[str, float]  # by route name, summed over all proxies


@attrs.frozen
class StartAttempt:
    """Action: sends the request to this broker now."""

    request: AdmissionRequest
    instance_id: str


@attrs.frozen
class Reject:
    """Action: answers the request without an attempt, since none would succeed in time."""

    request: AdmissionRequest
    retry_after_s: float
    reason: RejectionReason = RejectionReason.NOT_CONFIGURED


@attrs.frozen
class CancelStalledAttempt:
    """Action: allows the attempt of the request to be cancelled, since its broker has stalled."""

    request: AdmissionRequest


Action = StartAttempt | Reject | CancelStalledAttempt
