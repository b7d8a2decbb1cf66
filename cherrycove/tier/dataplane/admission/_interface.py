"""Requests, events and actions between the data plane and admission. Times are monotonic seconds."""

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
    """Why a live request became pending instead of starting an attempt at once."""

    NO_BROKER = "no_broker"  # no broker could run it
    EJECTED = "ejected"  # those that could are ejected, or excluded by its earlier attempts
    NO_CONNECTION = "no_connection"  # this proxy uses all connections that it may have there
    NO_SLOT = "no_slot"  # all slots are taken, as far as this proxy knows, or L is reached


class RejectionReason(Enum):
    """What decided that a request is rejected without an attempt."""

    FORECAST = "forecast"  # it could not be answered in time, by the forecast latency
    NO_BROKER = "no_broker"  # no broker that could run it is reachable
    WAITED_TOO_LONG = "waited_too_long"  # time would not be left for a retry of its client
    NOT_CONFIGURED = "not_configured"  # its route or service is not known here


@attrs.define(eq=False, kw_only=True)
class AdmissionRequest:
    """One live request or batch item, the same object for all of its attempts.

    The data plane creates it and owns it; admission fills in the fields below ``is_batch``. It is *pending*
    from ``request_arrived`` until an action names it, *in flight* from ``StartAttempt`` until
    ``attempt_ended``.
    """

    route: str
    service: str
    arrived_at: float
    target_latency_s: float  # from the arrival to the first event; an answer within it has its full value
    deadline: float  # by when it must have been answered
    client_timeout_s: float  # how long its client waits, counted from the arrival
    prompt: Prompt = NO_PROMPT
    is_batch: bool = False
    due_at: float = inf  # of a batch item set by the caller, of a live request the arrival plus the target
    preferred_broker: str = ""  # instance id at which the stores placed a batch item; empty: any
    queue_key: float = inf  # order among pending live requests, smallest first
    attempts: int = 0  # started, also those that a broker rejected
    queued_at: float = 0.0  # when it last became pending
    queue_entry: Request | None = None  # of a live request, in the queue of its route or of a broker
    pending_cause: PendingCause | None = None  # of a live request that last became pending; None: it did not
    uncached_tokens: int = 0  # of the prompt, that the broker of the last attempt probably had to process
    uncached_shared_tokens: int = 0  # those of them that belong to shared segments
    excluded_until: dict[str, float] = attrs.field(factory=dict)  # by instance id, after attempts that failed

    def is_eligible_at(self, instance_id: str, now: float) -> bool:
        """Whether its earlier attempts allow another one at this broker."""
        return self.excluded_until.get(instance_id, -inf) <= now


class AttemptOutcome(Enum):
    """How an attempt ended, as far as admission learns from it."""

    SERVED = "served"
    REJECTED = "rejected"  # the broker had no free slot and did not run the request
    UNREACHABLE = "unreachable"  # no connection was established
    MISDIRECTED = "misdirected"  # another broker listens at the address
    VERSION_MISMATCH = "version_mismatch"  # 421 to a request with Expect-Version: its weights may differ
    INCOMPLETE = "incomplete"  # the response was closed, reset or malformed
    STALLED = "stalled"  # nothing was received for long
    CANCELLED = "cancelled"  # the client left, or its deadline passed


@attrs.frozen(kw_only=True)
class ClusterSnapshot:
    """Event: what the proxy's view of the cluster says, as far as admission needs it."""

    configuration: Configuration | None
    brokers: tuple[Broker, ...]
    proxies: int  # alive, this one included
    arrivals_per_s: Mapping[str, float]  # by route name, the sum over all proxies


@attrs.frozen
class StartAttempt:
    """Action: send the request to this broker now."""

    request: AdmissionRequest
    instance_id: str


@attrs.frozen
class Reject:
    """Action: answer the request without an attempt, since none would succeed in time."""

    request: AdmissionRequest
    retry_after_s: float
    reason: RejectionReason = RejectionReason.NOT_CONFIGURED


@attrs.frozen
class CancelStalledAttempt:
    """Action: the broker that runs the request has stalled; its attempt may be given up."""

    request: AdmissionRequest


Action = StartAttempt | Reject | CancelStalledAttempt
