"""What the data plane tells admission, and what admission answers. Times are monotonic seconds."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf

import attrs

from cherrycove.tier.configuration import Configuration
from cherrycove.tier.dataplane.prompt import NO_PROMPT, Prompt
from cherrycove.tier.distribution.cluster_view import Broker
from finchrack.state import Request


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """One request that wants a place at a broker; the same one for each of its sends."""

    route: str
    service: str
    arrived: float
    aim_s: float  # an answer within this time from the arrival earns its full worth
    end: float  # when it must be answered at the latest
    patience_s: float  # how long the client waits from its arrival
    prompt: Prompt = NO_PROMPT
    batch: bool = False
    due: float = inf  # of a live request it is worked out
    order: float = inf  # place among the live requests that wait
    sends: int = 0
    held_since: float = 0.0  # when it last began to wait
    record: Request | None = None  # of a live request, in the queues
    shut: dict[str, float] = attrs.field(factory=dict)  # by instance id: until when it is not sent there

    def open_at(self, instance_id: str, now: float) -> bool:
        """Whether it may be sent to this broker now, as far as its own past goes."""
        return self.shut.get(instance_id, -inf) <= now


class Ending(Enum):
    """How a send ended, as far as admission must know."""

    SERVED = "served"
    REFUSED = "refused"  # the broker had no room
    UNREACHABLE = "unreachable"  # no connection came up
    MISDIRECTED = "misdirected"  # another broker is at the address
    UNSUITED = "unsuited"  # its weights may not have the version that the request asks for
    BROKEN = "broken"  # closed, reset or garbled
    SILENT = "silent"  # nothing came for long
    LEFT = "left"  # the client left, or its time was over


@attrs.frozen(kw_only=True)
class Knowledge:
    """What the views say, as far as admission needs it."""

    configuration: Configuration | None
    brokers: tuple[Broker, ...]
    proxies: int  # alive, this one included
    rates: Mapping[str, float]  # requests a second by route, over all proxies


@attrs.frozen
class Send:
    """The ticket is to be sent to this broker now."""

    ticket: Ticket
    instance_id: str


@attrs.frozen
class Refuse:
    """The ticket will not be sent: no broker has room, and none will have in time."""

    ticket: Ticket
    retry_after_s: float


@attrs.frozen
class Abandon:
    """The broker that has this ticket has gone silent; the send may be given up."""

    ticket: Ticket


Action = Send | Refuse | Abandon
