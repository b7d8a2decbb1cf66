"""The closed list of error kinds of the serving tier, and the one table from a kind to an HTTP answer.

Every fallible operation between the planes returns a ``result.Result`` whose error is a ``Failure``.
"""

from __future__ import annotations

from enum import Enum

import attrs


class ErrorKind(Enum):
    """What went wrong, from the point of view of whoever asked."""

    INVALID = "invalid"  # the request itself is wrong; nothing was done
    NO_ROUTE = "no_route"  # no route matches host and path
    NOT_FOUND = "not_found"  # the thing asked for certainly does not exist
    CONFLICT = "conflict"  # the order contradicts the present state
    VERSION_MISMATCH = "version_mismatch"  # another configuration version is current
    TOO_LARGE = "too_large"  # over a size limit
    MISDIRECTED = "misdirected"  # meant for another process at this address; certainly nothing was done
    NOT_PRIMARY = "not_primary"  # this replica does not lead; certainly nothing was done
    UNAVAILABLE = "unavailable"  # cannot serve now; certainly nothing was done
    OVERLOADED = "overloaded"  # no room; certainly nothing was done
    UNREACHABLE = "unreachable"  # no connection came up; certainly nothing was sent
    UNCERTAIN = "uncertain"  # it may or may not have been done
    DEADLINE = "deadline"  # the time ran out; it may have been done


@attrs.frozen
class Answer:
    """The HTTP answer to one kind of error."""

    status: int
    retry_after_s: float | None = None  # advised pause; only where nothing has run


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID: Answer(400),
    ErrorKind.NO_ROUTE: Answer(404),
    ErrorKind.NOT_FOUND: Answer(404),
    ErrorKind.CONFLICT: Answer(409),
    ErrorKind.VERSION_MISMATCH: Answer(412),
    ErrorKind.TOO_LARGE: Answer(413),
    ErrorKind.MISDIRECTED: Answer(503, 0.1),
    ErrorKind.NOT_PRIMARY: Answer(503, 0.1),
    ErrorKind.UNAVAILABLE: Answer(503, 0.2),
    ErrorKind.OVERLOADED: Answer(503, 0.2),
    ErrorKind.UNREACHABLE: Answer(503, 0.1),
    ErrorKind.UNCERTAIN: Answer(502),
    ErrorKind.DEADLINE: Answer(504),
}


@attrs.frozen
class Failure:
    """One error: its kind, and a sentence for people."""

    kind: ErrorKind
    detail: str = ""
    primary: str = ""  # with NOT_PRIMARY: RPC address (host:port) of the replica that leads, "": unknown

    @property
    def answer(self) -> Answer:
        return ANSWERS[self.kind]

    @property
    def is_certain(self) -> bool:
        """Whether it is certain that nothing was done."""
        return self.kind not in (ErrorKind.UNCERTAIN, ErrorKind.DEADLINE)
