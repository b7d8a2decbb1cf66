"""What the data plane tells admission, and what admission answers. Times are monotonic seconds."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf

import attrs

from cherrycove.scheduling.state import Request
from cherrycove.tier.configuration import Configuration
from cherrycove.tier.dataplane.prompt import NO_PROMPT, Prompt
from cherrycove.tier.distribution.cluster_view import Broker


@attrs.define(eq=False, kw_only=True)
class AdmissionRequest:
    """One request that wants a place at a broker; the same one for each of its sends."""

    route: str
    service: str
    arrived_at: float
    target_latency_s: float  # an answer within this time from the arrival earns its full worth
    deadline: float  # when it must be answered at the latest
    client_timeout_s: float  # how long the client waits from its arrival
    prompt: Prompt = NO_PROMPT
    is_batch: bool = False
    due_at: float = inf  # of a live request it is worked out
    queue_key: float = inf  # place among the live requests that wait
    attempts: int = 0
    queued_at: float = 0.0  # when it last began to wait
    queue_entry: Request | None = None  # of a live request, in the queues
    excluded_until: dict[str, float] = attrs.field(
        factory=dict
    )  # by instance id: until when it is not sent there

    def is_eligible_at(self, instance_id: str, now: float) -> bool:
        """Whether it may be sent to this broker now, as far as its own past goes."""
        return self.excluded_until.get(instance_id, -inf) <= now


class AttemptOutcome(Enum):
    """How a send ended, as far as admission must know."""

    SERVED = "served"
    REJECTED = "rejected"  # the broker had no room
    UNREACHABLE = "unreachable"  # no connection came up
    MISDIRECTED = "misdirected"  # another broker is at the address
    VERSION_MISMATCH = "version_mismatch"  # its weights may not have the version that the request asks for
    INCOMPLETE = "incomplete"  # closed, reset or garbled
    STALLED = "stalled"  # nothing came for long
    CANCELLED = "cancelled"  # the client left, or its time was over


@attrs.frozen(kw_only=True)
class ClusterSnapshot:
    """What the views say, as far as admission needs it."""

    configuration: Configuration | None
    brokers: tuple[Broker, ...]
    proxies: int  # alive, this one included
    arrivals_per_s: Mapping[str, float]  # requests a second by route, over all proxies


@attrs.frozen
class StartAttempt:
    """The request is to be sent to this broker now."""

    request: AdmissionRequest
    instance_id: str


@attrs.frozen
class Reject:
    """The request will not be sent: no broker has room, and none will have in time."""

    request: AdmissionRequest
    retry_after_s: float


@attrs.frozen
class CancelStalledAttempt:
    """The broker that has this request has gone silent; the send may be given up."""

    request: AdmissionRequest


Action = StartAttempt | Reject | CancelStalledAttempt
