"""Reason codes of what the scheduler did not decide: of the core and of the servers for clients.

They stand beside ``cherrycove.scheduling.interface.Code`` and share no number with it. The numbers are stored
in records and handed to other processes, so they never change.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from cherrycove.scheduling.interface import Code


class LocalCode(IntEnum):
    """Why a request ended, where the scheduler had no part in it."""

    NOTHING = 0  # a record without a reason
    SERVED = 64  # the node's answer was sent completely
    CLIENT_GONE = 65  # the client left before its answer
    LAST_RESORT = 66  # no decision until the deadline; the core answered
    BROKE_OFF = 67  # a long answer ended before its length
    MALFORMED = 68  # 400: not a request of this deployment
    ID_OPEN = 69  # 409: a request with its id was open
    TOO_LONG = 70  # 413
    BODY_SLOW = 71  # 408: the body did not come in time
    NO_ROOM = 72  # 503: no memory for its body
    NO_PATH = 73  # 404
    ENDING = 74  # the process ended before it could be decided
    BAD_COMMAND = 75  # NBD: EINVAL, EPERM or ENOSPC by the front


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
    """Return the code of this number; ValueError if it is unknown, such as one of a newer process."""
    return LocalCode(number) if number in _OWN else Code(number)


_OWN = frozenset(int(each) for each in LocalCode)
