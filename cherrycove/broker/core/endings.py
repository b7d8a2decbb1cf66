"""How attempts end, and what each ending means to the scheduler."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from cherrycove.scheduling import interface as api


class Ending(Enum):
    """Every way in which an attempt and the connection that carried it can end."""

    SERVED = "served"  # the node's complete response was received
    NODE_ERROR = "node error"  # the node answered that it failed
    TURNED_AWAY = "turned away"  # the node guarantees that it did not run the request
    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMEOUT = "connect timeout"  # not connected in time, or no slot of the pool came free
    BROKEN_UNSENT = "broken unsent"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke after that, or that cannot be told
    CUT_SHORT = "cut short"  # it broke within the response
    SPOILT = "spoilt"  # the response is malformed, or its end cannot be told
    TIMED_OUT = "timed out"  # written completely, no complete response in time
    CLIENT_BROKE = "client broke off"  # the client did not send all of a streamed body
    EXPIRED = "expired unsent"  # cancelled or timed out before its last byte was written
    GIVEN_UP = "given up"  # the scheduler cancelled the attempt, or the client disconnected
    NOT_STARTED = "not started"  # nothing was sent: the request had ended, or the node has no address
    NOT_ITS = "not its to serve"  # the node guarantees that it did not run it: expired, or of another shard


OUTCOMES: Mapping[Ending, api.Outcome] = {
    Ending.SERVED: api.Outcome.SERVED,
    Ending.NODE_ERROR: api.Outcome.ERROR,
    Ending.TURNED_AWAY: api.Outcome.FULL,
    Ending.CONNECT_REFUSED: api.Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMEOUT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN_UNSENT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN: api.Outcome.RESET,
    Ending.CUT_SHORT: api.Outcome.RESET,
    # It may have run, but the node is reachable: to eject it would delay all that waits for its shard.
    Ending.SPOILT: api.Outcome.ERROR,
    Ending.TIMED_OUT: api.Outcome.TIMEOUT,
    # It never ran, and says nothing about the node: the request's own time was too short.
    Ending.EXPIRED: api.Outcome.NOT_EXECUTED,
    Ending.GIVEN_UP: api.Outcome.CANCELLED,
    # The node has a part of it, and only the node knows the effect of that.
    Ending.CLIENT_BROKE: api.Outcome.CANCELLED,
    Ending.NOT_STARTED: api.Outcome.NOT_EXECUTED,
    # It says nothing about the node's load: counted as a full queue, it would eject a healthy node.
    Ending.NOT_ITS: api.Outcome.NOT_EXECUTED,
}
