"""Reason codes for requests whose end the core or a server decided, not the scheduler.

They complement the scheduler's ``cherrycove.scheduling.interface.Code`` and share no number with it. The
numbers are stored in records and sent to other processes, so they never change.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from cherrycove.scheduling.interface import Code


class LocalCode(IntEnum):
    """Why a request ended, if the scheduler did not decide it."""

    NOTHING = 0  # no reason recorded
    SERVED = 64  # the node's response was sent completely
    CLIENT_GONE = 65  # the client disconnected before the answer
    LAST_RESORT = 66  # the scheduler did not decide in time, so the core answered
    BROKE_OFF = 67  # a streamed response ended before its full length
    MALFORMED = 68  # 400: not a valid request of this deployment
    ID_OPEN = 69  # 409: a request with the same id was in flight
    TOO_LONG = 70  # 413: the body is too long
    BODY_SLOW = 71  # 408: the body was not received in time
    NO_ROOM = 72  # 503: no memory for the body
    NO_PATH = 73  # 404: unknown path
    ENDING = 74  # the process was ending before the scheduler decided
    BAD_COMMAND = 75  # NBD: rejected by the server with EINVAL, EPERM or ENOSPC


BY_STATUS: Mapping[int, LocalCode] = {
    400: LocalCode.MALFORMED,
    404: LocalCode.NO_PATH,
    408: LocalCode.BODY_SLOW,
    409: LocalCode.ID_OPEN,
    413: LocalCode.TOO_LONG,
    503: LocalCode.NO_ROOM,
}

AnyCode = Code | LocalCode


def code(number: int) -> AnyCode:
    """Return the code with this number.

    Raises:
        ValueError: the number is unknown, for example from a process of a newer version.
    """
    return LocalCode(number) if number in _LOCAL_NUMBERS else Code(number)


_LOCAL_NUMBERS = frozenset(int(each) for each in LocalCode)
