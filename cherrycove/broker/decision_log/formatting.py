"""Renders records as sentences for people and as JSON values for programs.

Ids and volumes are texts from clients, so everything outside printable ASCII is escaped in sentences.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from cherrycove.broker.decision_log.codec import AttemptRecord, RequestRecord
from cherrycove.broker.local_codes import AnyCode, LocalCode
from cherrycove.scheduling.interface import Code, Reason, Settings

VERDICT_TEXTS = {
    "served": "served",
    "refused": "refused",
    "failed": "failed",
    "gone": "abandoned by its client",
}


def to_printable(text: str) -> str:
    """Return the text with everything outside printable ASCII escaped."""
    return "".join(each if " " <= each <= "~" else each.encode("unicode_escape").decode() for each in text)


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"


def _describe_node(reason: Reason) -> str:
    return f"node {to_printable(reason.node)}" if reason.node else "its node"


def _describe_load(reason: Reason) -> str:
    queued = f" and {reason.queued} waiting" if reason.queued else ""
    return f"{_describe_node(reason)} had {reason.out} of {reason.threshold:.1f} requests in flight{queued}"


def _describe_credit(reason: Reason) -> str:
    if reason.credits > 0:
        return f"had credit ({reason.credits:.1f} units)"
    refill = f", next refill in {_format_ms(reason.refill)}" if reason.refill else ""
    return f"had used its reserve (credit {reason.credits:.1f} units{refill})"


def _describe_expected_wait(reason: Reason) -> str:
    return (
        f"an answer was expected after {_format_ms(max(reason.wait, 0.0))}, "
        f"with {_format_ms(reason.left)} of its client's time left"
    )


SEND_TEXTS: dict[Code, Callable[[Reason], str]] = {
    Code.CREDIT: lambda reason: (
        f"its volume {_describe_credit(reason)} when it entered the queue, and {_describe_load(reason)}"
    ),
    Code.SPARE: lambda reason: f"{_describe_load(reason)}: spare capacity for a volume beyond its reserve",
    Code.AGAIN: lambda reason: f"a further attempt after a pause; {_describe_load(reason)}",
    Code.OVERDUE: lambda reason: (
        f"it was past its aim, and {_describe_node(reason)} keeps up ({reason.out} in flight)"
    ),
    Code.TRIAL: lambda reason: f"a trial, as {_describe_node(reason)} had not answered recently",
}


END_TEXTS: dict[AnyCode, Callable[[str, Reason], str]] = {
    Code.NO_CREDIT: lambda volume, reason: (
        f"volume {volume} {_describe_credit(reason)} and {_describe_load(reason)}"
    ),
    Code.OVER_LIMIT: lambda volume, reason: (
        f"volume {volume} was over its plan's limit; it would have waited "
        f"{_format_ms(reason.wait)}, with {_format_ms(reason.left)} of its client's time left"
    ),
    Code.NODE_BUSY: lambda volume, reason: (
        f"it waited in the queue while {_describe_load(reason)}; {_describe_expected_wait(reason)}"
    ),
    Code.NODE_SLOW: lambda volume, reason: (
        f"{_describe_node(reason)} answers too slowly now: {_describe_expected_wait(reason)}"
    ),
    Code.NODE_RESTS: lambda volume, reason: (
        f"{_describe_node(reason)} does not answer, or turns requests away"
    ),
    Code.NODE_COLD: lambda volume, reason: (
        f"{_describe_node(reason)} has just started and may not get more requests yet"
    ),
    Code.NO_NODE: lambda volume, reason: "no disk node held its shard at that moment",
    Code.DRAINED: lambda volume, reason: "the disk node that holds its shard was drained or taken out",
    Code.PLACES: lambda volume, reason: (
        f"too many requests were open here, and volume {volume} {_describe_credit(reason)}"
    ),
    Code.NOT_THERE: lambda volume, reason: (
        f"it could not be sent to {_describe_node(reason)}, "
        "or the node rejected it as expired or not served there"
    ),
    Code.MAY_HAVE_RUN: lambda volume, reason: "an attempt may have run, and its class must not run twice",
    Code.LAST_ATTEMPT: lambda volume, reason: "it had used all its attempts",
    Code.NO_TIME: lambda volume, reason: "too little of its time was left for an attempt",
    Code.EXTRAS: lambda volume, reason: "the deployment's allowance of further attempts was used up",
    Code.TURN: lambda volume, reason: "it waited for another request on the same object",
}
OWN_TEXTS: dict[LocalCode, str] = {
    LocalCode.NOTHING: "no reason is known",
    LocalCode.SERVED: "a disk node's complete answer was sent",
    LocalCode.CLIENT_GONE: "its client disconnected before the answer",
    LocalCode.LAST_RESORT: "the scheduler did not decide before the deadline",
    LocalCode.ENDING: "the broker ended before it was decided",
    LocalCode.BROKE_OFF: "the disk node's answer was cut short",
    LocalCode.MALFORMED: "it was not a request of this deployment (400)",
    LocalCode.ID_OPEN: "a request with its id was open (409)",
    LocalCode.TOO_LONG: "its body was too long (413)",
    LocalCode.BODY_SLOW: "its body did not arrive in time (408)",
    LocalCode.NO_ROOM: "there was no memory for its body",
    LocalCode.NO_PATH: "it named no path of this deployment (404)",
    LocalCode.BAD_COMMAND: "its export does not accept the command",
}


def describe_reason(record: RequestRecord) -> str:
    """Return a sentence that says why a request ended as it did."""
    if isinstance(record.code, LocalCode):
        return OWN_TEXTS[record.code]
    describe = END_TEXTS.get(record.code)
    reason = record.reason or Reason(record.code)
    return describe(to_printable(record.volume), reason) if describe else record.code.name.lower()


def describe_attempt(each: AttemptRecord, number: int) -> str:
    """Return a sentence that says why an attempt was sent, to which node, and how it ended."""
    describe = SEND_TEXTS.get(each.reason.code)
    sent = describe(each.reason) if describe else each.reason.code.name.lower()
    ending = each.ending.value if each.ending else "in flight"
    node = to_printable(each.node) or "a node whose name is no longer known"
    return (
        f"attempt {number} after {_format_ms(each.started_after)} to {node}: {sent}; "
        f"{ending} after {_format_ms(each.duration)}"
    )


def format_time(monotonic: float, now: float, wall: float) -> str:
    """Return a time of the monotonic clock in UTC, given the current times of both clocks."""
    at = wall - (now - monotonic)
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) + f".{int(at % 1 * 1000):03d}Z"


def format_lines(
    record: RequestRecord, settings: Settings, now: float, wall: float, still_open: bool = False
) -> list[str]:
    """Return sentences about a request: one for its end, and one for each attempt."""
    cls = settings.classes[record.cls].name if record.cls is not None else "a request"
    plan = f", plan {settings.plans[record.plan].name}" if record.plan is not None else ""
    what = (
        f"{to_printable(record.id) or 'without an id'} "
        f"({cls}, volume {to_printable(record.volume) or 'unknown'}{plan})"
    )
    if still_open:
        sentences = [f"{what} has been open for {_format_ms(record.duration)}"]
    else:
        sentences = [
            f"{format_time(record.ended_at, now, wall)} {what} {VERDICT_TEXTS[record.verdict]} "
            f"after {_format_ms(record.duration)}: {describe_reason(record)}"
        ]
    if record.original_id:
        others = (
            f" (one of {record.candidates} requests that it could repeat)" if record.candidates > 1 else ""
        )
        sentences.append(f"  its client's retry of {to_printable(record.original_id)}{others}")
    sentences += [f"  {describe_attempt(each, number)}" for number, each in enumerate(record.attempts, 1)]
    return sentences


def _reason_fields(reason: Reason | None) -> dict[str, Any] | None:
    if reason is None:
        return None
    return {
        "code": reason.code.name.lower(),
        "node": reason.node,
        "place": reason.place,
        "threshold": reason.threshold,
        "out": reason.out,
        "queued": reason.queued,
        "credits": reason.credits,
        "wait_ms": round(reason.wait * 1000),
        "left_ms": round(reason.left * 1000),
        "refill_ms": round(reason.refill * 1000),
        "epoch": reason.epoch,
    }


def to_fields(
    record: RequestRecord, settings: Settings, now: float, wall: float, still_open: bool = False
) -> dict[str, Any]:
    """Return a request as JSON values, with lengths of time in ms and ``ended`` in UTC."""
    return {
        "id": record.id,
        "volume": record.volume,
        "front": record.front,
        "open": still_open,
        "ended": None if still_open else format_time(record.ended_at, now, wall),
        "took_ms": round(record.duration * 1000),
        "verdict": None if still_open else record.verdict,
        "code": record.code.name.lower(),
        "why": _reason_fields(record.reason),
        "sentence": describe_reason(record),
        "class": settings.classes[record.cls].name if record.cls is not None else None,
        "plan": settings.plans[record.plan].name if record.plan is not None else None,
        "units": record.units,
        "shard": record.shard,
        "retry": record.is_retry,
        "first": record.original_id or None,
        "rivals": record.candidates,
        "attempts": [
            {
                "number": number,
                "node": each.node,
                "at_ms": round(each.started_after * 1000),
                "took_ms": round(each.duration * 1000),
                "ending": each.ending.value if each.ending else None,
                "why": _reason_fields(each.reason),
            }
            for number, each in enumerate(record.attempts, 1)
        ],
    }
