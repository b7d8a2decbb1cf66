"""Records in sentences for people, and as fields for programs.

Ids and volumes are clients' texts: everything outside printable ASCII is escaped.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from cherrycove.broker.decision_log.pack import AttemptRecord, RequestRecord
from cherrycove.broker.local_codes import AnyCode, LocalCode
from cherrycove.scheduling.interface import Code, Reason, Settings

SAID = {"served": "served", "refused": "refused", "failed": "failed", "gone": "left by its client"}


def plain(text: str) -> str:
    """Return the text in printable ASCII, everything else escaped."""
    return "".join(each if " " <= each <= "~" else each.encode("unicode_escape").decode() for each in text)


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"


def _node(why: Reason) -> str:
    return f"node {plain(why.node)}" if why.node else "its node"


def _at_node(why: Reason) -> str:
    queued = f" and {why.queued} waiting" if why.queued else ""
    return f"{_node(why)} had {why.out} of {why.threshold:.1f} out{queued}"


def _credit(why: Reason) -> str:
    if why.credits > 0:
        return f"had credit ({why.credits:.1f} units)"
    refill = f", next refill in {_ms(why.refill)}" if why.refill else ""
    return f"had used its reserve (credit {why.credits:.1f} units{refill})"


def _expected(why: Reason) -> str:
    return f"an answer was expected after {_ms(max(why.wait, 0.0))}, with {_ms(why.left)} of its aim left"


SENT: dict[Code, Callable[[Reason], str]] = {
    Code.CREDIT: lambda why: f"its volume {_credit(why)} when it left for the queue, and {_at_node(why)}",
    Code.SPARE: lambda why: f"{_at_node(why)}: room to spare for a volume beyond its reserve",
    Code.AGAIN: lambda why: f"a further attempt after a pause; {_at_node(why)}",
    Code.OVERDUE: lambda why: f"it was past its aim, and {_node(why)} keeps up ({why.out} out)",
    Code.TRIAL: lambda why: f"a trial, as nobody had answered at {_node(why)} of late",
}


def _half(volume: str, why: Reason) -> str:
    if why.place == "lane":
        stood = f"waiting for credit: volume {volume} {_credit(why)}, and {_at_node(why)}"
    elif why.place == "queue":
        stood = f"in the queue, where {_at_node(why)}"
    else:
        stood = "not sent yet"
    return f"half of its client's time was over and it was still {stood}"


ENDED: dict[AnyCode, Callable[[str, Reason], str]] = {
    Code.NO_CREDIT: lambda volume, why: f"volume {volume} {_credit(why)} and {_at_node(why)}",
    Code.OVER_LIMIT: lambda volume, why: (
        f"volume {volume} was over its plan's limit; it would have waited "
        f"{_ms(why.wait)}, with {_ms(why.left)} of its aim left"
    ),
    Code.NODE_BUSY: lambda volume, why: f"it waited in the queue while {_at_node(why)}; {_expected(why)}",
    Code.NODE_SLOW: lambda volume, why: f"{_node(why)} answers too slowly now: {_expected(why)}",
    Code.NODE_RESTS: lambda volume, why: f"nobody answers at {_node(why)}, or it turns requests away",
    Code.NODE_COLD: lambda volume, why: f"{_node(why)} has just started and may not get more yet",
    Code.NO_NODE: lambda volume, why: "no disk node held its shard at that moment",
    Code.DRAINED: lambda volume, why: "the disk node that holds its shard was drained or taken out",
    Code.PLACES: lambda volume, why: f"too many requests were open here, and volume {volume} {_credit(why)}",
    Code.HALF_TIME: _half,
    Code.NOT_THERE: lambda volume, why: (
        f"it could not be sent to {_node(why)}, or that said it was over or not its to serve"
    ),
    Code.MAY_HAVE_RUN: lambda volume, why: "an attempt may have run, and its class must not run twice",
    Code.LAST_ATTEMPT: lambda volume, why: "it had all the attempts that it may have",
    Code.NO_TIME: lambda volume, why: "too little of its time was left for an attempt",
    Code.EXTRAS: lambda volume, why: "further attempts have used up what the deployment allows of them",
    Code.TURN: lambda volume, why: "it waited for another request on the same object",
}
OWN: dict[LocalCode, str] = {
    LocalCode.NOTHING: "no reason is known",
    LocalCode.SERVED: "a disk node's whole answer went out",
    LocalCode.CLIENT_GONE: "its client left before its answer",
    LocalCode.LAST_RESORT: "no decision came until its deadline",
    LocalCode.ENDING: "the broker ended before it was decided",
    LocalCode.BROKE_OFF: "its answer broke off on the way from the disk node",
    LocalCode.MALFORMED: "it was not a request of this deployment (400)",
    LocalCode.ID_OPEN: "a request with its id was open (409)",
    LocalCode.TOO_LONG: "its body was too long (413)",
    LocalCode.BODY_SLOW: "its body did not come in time (408)",
    LocalCode.NO_ROOM: "there was no room in memory for its body",
    LocalCode.NO_PATH: "it named no path of this deployment (404)",
    LocalCode.BAD_COMMAND: "it was not a command that its export takes",
}


def reason(story: RequestRecord) -> str:
    """Return in words why a request ended as it did."""
    if isinstance(story.code, LocalCode):
        return OWN[story.code]
    say = ENDED.get(story.code)
    why = story.why or Reason(story.code)
    return say(plain(story.volume), why) if say else story.code.name.lower()


def attempt(each: AttemptRecord, number: int) -> str:
    """Return an attempt in words: why it was sent, to which node, and how it ended."""
    why = SENT.get(each.why.code)
    sent = why(each.why) if why else each.why.code.name.lower()
    ending = each.ending.value if each.ending else "still out"
    node = plain(each.node) or "a node no longer named"
    return f"attempt {number} after {_ms(each.at)} to {node}: {sent}; {ending} after {_ms(each.took)}"


def when(ended: float, now: float, wall: float) -> str:
    """Return a time of the monotonic clock in UTC, given what both clocks show now."""
    at = wall - (now - ended)
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) + f".{int(at % 1 * 1000):03d}Z"


def lines(
    story: RequestRecord, settings: Settings, now: float, wall: float, still_open: bool = False
) -> list[str]:
    """Return a request in sentences: one for its end, one for each attempt."""
    cls = settings.classes[story.cls].name if story.cls is not None else "a request"
    plan = f", plan {settings.plans[story.plan].name}" if story.plan is not None else ""
    what = f"{plain(story.id) or 'without an id'} ({cls}, volume {plain(story.volume) or 'unknown'}{plan})"
    if still_open:
        said = [f"{what} is open since {_ms(story.took)}"]
    else:
        said = [
            f"{when(story.ended, now, wall)} {what} {SAID[story.verdict]} after {_ms(story.took)}: "
            f"{reason(story)}"
        ]
    if story.first:
        rivals = f" (one of {story.rivals} that it could repeat)" if story.rivals > 1 else ""
        said.append(f"  its client's retry of {plain(story.first)}{rivals}")
    said += [f"  {attempt(each, number)}" for number, each in enumerate(story.tries, 1)]
    return said


def _numbers(why: Reason | None) -> dict[str, Any] | None:
    if why is None:
        return None
    return {
        "code": why.code.name.lower(),
        "node": why.node,
        "place": why.place,
        "threshold": why.threshold,
        "out": why.out,
        "queued": why.queued,
        "credits": why.credits,
        "wait_ms": round(why.wait * 1000),
        "left_ms": round(why.left * 1000),
        "refill_ms": round(why.refill * 1000),
        "epoch": why.epoch,
    }


def fields(
    story: RequestRecord, settings: Settings, now: float, wall: float, still_open: bool = False
) -> dict[str, Any]:
    """Return a request as JSON values; times in ms, ``ended`` in UTC."""
    return {
        "id": story.id,
        "volume": story.volume,
        "front": story.front,
        "open": still_open,
        "ended": None if still_open else when(story.ended, now, wall),
        "took_ms": round(story.took * 1000),
        "verdict": None if still_open else story.verdict,
        "code": story.code.name.lower(),
        "why": _numbers(story.why),
        "sentence": reason(story),
        "class": settings.classes[story.cls].name if story.cls is not None else None,
        "plan": settings.plans[story.plan].name if story.plan is not None else None,
        "units": story.units,
        "shard": story.shard,
        "retry": story.repeat,
        "first": story.first or None,
        "rivals": story.rivals,
        "attempts": [
            {
                "number": number,
                "node": each.node,
                "at_ms": round(each.at * 1000),
                "took_ms": round(each.took * 1000),
                "ending": each.ending.value if each.ending else None,
                "why": _numbers(each.why),
            }
            for number, each in enumerate(story.tries, 1)
        ],
    }
