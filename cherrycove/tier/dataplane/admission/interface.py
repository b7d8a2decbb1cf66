"""What the data plane tells admission, and what admission answers. Times are monotonic seconds."""

from __future__ import annotations

from enum import Enum

import attrs

from cherrycove.tier.dataplane.prompt import NO_PROMPT, Prompt


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """One request that wants a place at a broker; the same one for each of its sends."""

    route: str
    service: str
    arrived: float
    aim_s: float  # an answer within this time from the arrival earns its full worth
    end: float  # when it must be answered at the latest
    prompt: Prompt = NO_PROMPT
    batch: bool = False
    due: float = 0.0  # order at a broker's queue
    excluded: set[str] = attrs.field(factory=set)  # instance ids that did not take it or broke off
    sends: int = 0


class Ending(Enum):
    """How a send ended, as far as admission must know."""

    SERVED = "served"
    REFUSED = "refused"  # the broker had no room
    UNREACHABLE = "unreachable"  # no connection came up
    MISDIRECTED = "misdirected"  # another broker is at the address
    BROKEN = "broken"  # closed, reset or garbled
    SILENT = "silent"  # nothing came for long
    LEFT = "left"  # the client left, or its time was over


@attrs.frozen
class Send:
    """The ticket may be sent to this broker now."""

    ticket: Ticket
    instance_id: str


@attrs.frozen
class Refuse:
    """No broker has room, and none will have in time."""

    ticket: Ticket
    retry_after_s: float


Action = Send | Refuse
