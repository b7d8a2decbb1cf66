"""The ways in which an attempt can end, and the outcome that the scheduler is told for each."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from cherrycove.scheduling import interface as api


class Ending(Enum):
    """Every way in which an attempt and its connection can end.

    The names and values are written to the log, to traces and to records, and do not change.
    """

    SERVED = "served"  # the node's complete response was received
    NODE_ERROR = "node error"  # the node replied with an error
    TURNED_AWAY = "turned away"  # the node rejected the request and guarantees that it was not executed
    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMEOUT = "connect timeout"  # not connected in time, or no pool slot became free in time
    BROKEN_UNSENT = "broken unsent"  # the connection was lost before the request's last byte was written
    BROKEN = "broken"  # the connection was lost after that, or it is unknown whether before
    CUT_SHORT = "cut short"  # the connection was lost during the response
    SPOILT = "spoilt"  # the response is malformed, or its end cannot be determined
    TIMED_OUT = "timed out"  # written completely, but no complete response in time
    CLIENT_BROKE = "client broke off"  # the client did not send the whole streamed body
    EXPIRED = "expired unsent"  # cancelled or timed out before the last byte was written
    GIVEN_UP = "given up"  # the scheduler cancelled the attempt, or the client disconnected
    NOT_STARTED = "not started"  # nothing was sent: the request had ended, or the node's address is unknown
    NOT_ITS = "not its to serve"  # not executed, by the node's guarantee: expired, or for another shard


OUTCOMES: Mapping[Ending, api.Outcome] = {
    Ending.SERVED: api.Outcome.SERVED,
    Ending.NODE_ERROR: api.Outcome.ERROR,
    Ending.TURNED_AWAY: api.Outcome.FULL,
    Ending.CONNECT_REFUSED: api.Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMEOUT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN_UNSENT: api.Outcome.CONNECT_FAILED,
    Ending.BROKEN: api.Outcome.RESET,
    Ending.CUT_SHORT: api.Outcome.RESET,
    # The request may have been executed, but the node is reachable: ejecting it would delay every request
    # that waits for its shard.
    Ending.SPOILT: api.Outcome.ERROR,
    Ending.TIMED_OUT: api.Outcome.TIMEOUT,
    # The request was not executed; it had too little time left, which says nothing about the node.
    Ending.EXPIRED: api.Outcome.NOT_EXECUTED,
    Ending.GIVEN_UP: api.Outcome.CANCELLED,
    # The node has received a part of the body, and only the node knows the effect of that.
    Ending.CLIENT_BROKE: api.Outcome.CANCELLED,
    Ending.NOT_STARTED: api.Outcome.NOT_EXECUTED,
    # This says nothing about the node's load: counted as a full queue, it would eject a healthy node.
    Ending.NOT_ITS: api.Outcome.NOT_EXECUTED,
}
