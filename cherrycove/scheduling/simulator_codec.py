"""Codec between the simulator's text lines and the scheduler's events and actions.

A line is a word and ``name=value`` pairs, separated by spaces. Times on the wire are integer nanoseconds.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from cherrycove.scheduling import interface as api

_T = TypeVar("_T")

NS = 1e-9  # seconds per nanosecond
_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
_GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.SHARD}
_OUTCOMES = {
    "S": api.Outcome.SERVED,
    "E": api.Outcome.ERROR,
    "F": api.Outcome.FULL,
    "T": api.Outcome.TIMEOUT,
    "C": api.Outcome.CONNECT_FAILED,
    "R": api.Outcome.RESET,
    "X": api.Outcome.CANCELLED,
    "N": api.Outcome.NOT_EXECUTED,
}
_STATES = {"up": api.NodeState.UP, "draining": api.NodeState.DRAINING, "removed": api.NodeState.GONE}
_KINDS = {"update": api.ListKind.CHANGES, "replace": api.ListKind.FULL, "restored": api.ListKind.RESTORED}

_MEMBERS = "MEMBERS"

Fields = Mapping[str, str]  # name-value pairs of a line
NodeLists = Mapping[int, tuple[api.Node, ...]]  # node lists received so far, by number


class WireError(ValueError):
    """A malformed line, or an action that has no wire format."""


def parse_fields(line: str) -> dict[str, str]:
    """Return the ``name=value`` pairs after a line's first word; ``info`` extends to the end of the line."""
    head, separator, text = line.partition(" info=")
    pairs = dict(part.partition("=")[::2] for part in head.split(" ")[1:] if "=" in part)
    if separator:
        pairs["info"] = text
    return pairs


def _look_up(table: Mapping[str, _T], word: Any, what: str) -> _T:
    try:
        return table[word]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {word!r}") from None


def _integer(pairs: Fields, name: str) -> int:
    try:
        return int(pairs[name])
    except KeyError:
        raise WireError(f"{name} is missing") from None
    except ValueError:
        raise WireError(f"{name} is not a whole number: {pairs[name]!r}") from None


def _number(pairs: Fields, name: str, absent: float | None = None) -> float:
    text = pairs.get(name)
    if text is None:
        if absent is None:
            raise WireError(f"{name} is missing")
        return absent
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text!r}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{name} is not finite: {text!r}")
    return value


def _text(pairs: Fields, name: str) -> str:
    if not pairs.get(name):
        raise WireError(f"{name} is missing")
    return pairs[name]


def _load(pairs: Fields) -> dict[str, float]:
    """Return the load report of ``healthInfo``; values that are not numbers are skipped."""
    report: dict[str, float] = {}
    for part in pairs.get("healthInfo", "").split(","):
        name, _, text = part.partition(":")
        try:
            report[name] = float(text)
        except ValueError:
            continue
    return report


def scheduler_id(pairs: Fields) -> int:
    """Return the id of the scheduler that a line is for; raises ``WireError`` if it is missing."""
    return _integer(pairs, "schedulerId")


def parse_time(line: str) -> float:
    """Return the simulated time (s) of a batch from its first line; raises ``WireError``."""
    return _integer(parse_fields(line), "simTimeNs") * NS


def parse_node(line: str) -> api.Node:
    """Return the node in one line of a node list; raises ``WireError``."""
    pairs = parse_fields(line)
    started = _number(pairs, "sinceNs", 0.0)
    return api.Node(
        id=_text(pairs, "server"),
        shard=_integer(pairs, "pod"),
        zone=int(_number(pairs, "site", 0.0)),
        weight=_number(pairs, "weight", 1.0),
        started=started * NS if started > 0 else None,
        state=_look_up(_STATES, pairs.get("condition"), "condition"),
    )


def _arrival(pairs: Fields) -> api.Event:
    shard = int(_number(pairs, "slotNo"))
    return api.RequestArrival(
        request=_integer(pairs, "handle"),
        cls=_integer(pairs, "class"),
        plan=_integer(pairs, "contract"),
        volume=_text(pairs, "disk"),
        units=_number(pairs, "quotaUnits"),
        shard=None if shard < 0 else shard,
        hosts=int(_number(pairs, "hosts")),
        budget=_number(pairs, "budgetNs") * NS,
        key=pairs.get("blockKey"),
        repeat=pairs.get("resent") == "1",
    )


def _reply(pairs: Fields) -> api.Event:
    use = _number(pairs, "seenUse", 0.0)
    return api.AttemptEnd(
        request=_integer(pairs, "handle"),
        attempt=_integer(pairs, "trial"),
        node=_text(pairs, "server"),
        outcome=_look_up(_OUTCOMES, pairs.get("code"), "code"),
        closed=pairs.get("complete") == "1",
        latency=_number(pairs, "latencyNs", 0.0) * NS,
        use=(use - 1) / 100 if use >= 1 else None,
        elsewhere=_number(pairs, "elsewhere", 0.0),
        load=_load(pairs),
    )


def _node_list(pairs: Fields, node_lists: NodeLists) -> tuple[api.Node, ...]:
    number = _integer(pairs, "table")
    if number not in node_lists:
        raise WireError(f"unknown node list number {number}")
    return node_lists[number]


def _members(pairs: Fields, node_lists: NodeLists) -> api.Event:
    if pairs.get("form") == "unavailable":
        return api.NodeListFailure()
    return api.NodeListUpdate(
        version=int(_number(pairs, "rev", 0.0)),
        kind=_look_up(_KINDS, pairs.get("form"), "form"),
        nodes=_node_list(pairs, node_lists),
    )


def _probe_reply(pairs: Fields) -> api.Event:
    return api.ProbeEnd(
        node=_text(pairs, "server"),
        outcome=_look_up(_OUTCOMES, pairs.get("code"), "code"),
        latency=_number(pairs, "latencyNs", 0.0) * NS,
        load=_load(pairs),
    )


def _first_byte(pairs: Fields) -> api.Event:
    return api.StreamStart(
        request=_integer(pairs, "handle"),
        attempt=_integer(pairs, "trial"),
        node=_text(pairs, "server"),
        latency=_number(pairs, "latencyNs", 0.0) * NS,
    )


def _timer(pairs: Fields) -> api.Event:
    return api.TimerExpiry(token=_integer(pairs, "nonce"))


def _client_departure(pairs: Fields) -> api.Event:
    return api.ClientDeparture(request=_integer(pairs, "handle"))


_DECODERS: Mapping[str, Callable[[Fields], api.Event]] = {
    "ARRIVAL": _arrival,
    "REPLY": _reply,
    "ECHO": _probe_reply,
    "FIRST": _first_byte,
    "TIMER": _timer,
    "LAPSED": _client_departure,
}
EVENT_WORDS = frozenset({*_DECODERS, _MEMBERS})


def parse_event(word: str, pairs: Fields, node_lists: NodeLists) -> api.Event:
    """Return the event of a line that begins with one of ``EVENT_WORDS``; raises ``WireError``."""
    if word == _MEMBERS:
        return _members(pairs, node_lists)
    return _DECODERS[word](pairs)


def parse_settings(text: str) -> api.Settings:
    """Return the settings of an ``ENLIST`` line.

    A missing required value raises ``WireError``; it gets no default. Other values out of range raise
    ``ValueError``.
    """
    try:
        info = json.loads(text)
    except ValueError as error:
        raise WireError(f"info is not JSON: {error}") from None
    if not isinstance(info, dict):
        raise WireError("info is not a JSON object")
    try:
        return api.Settings(**_general(info), **_family(info), **_limits(info), **_guarantees(info))
    except KeyError as error:
        raise WireError(f"info lacks {error.args[0]!r}") from None
    except (TypeError, AttributeError) as error:
        raise WireError(f"info has a value of the wrong type: {error}") from None


def _general(info: Mapping[str, Any]) -> dict[str, Any]:
    writes = info["familyInfo"].get("writes", [])
    return {
        "classes": tuple(
            _class(each, writes=bool(writes[index]) if index < len(writes) else False)
            for index, each in enumerate(info["classes"])
        ),
        "plans": tuple(_plan(each) for each in info["policies"]),
        "schedulers": info["balancers"],
        "tick": info["tickNs"] * NS,
        "list_on_request": info["discovery"] == "on_request",
        "load_names": tuple(info["feedback"]["names"]),
    }


def _class(entry: Mapping[str, Any], *, writes: bool) -> api.RequestClass:
    return api.RequestClass(
        name=str(entry["name"]),
        aim=entry["aimNs"] * NS,
        deadline=entry["deadlineNs"] * NS,
        effect=_look_up(_EFFECTS, entry["idempotency"], "idempotency"),
        worth=entry["gain"],
        late_worth=entry.get("lateValue", 0.0),
        group=_look_up(_GROUPS, entry.get("group", "all"), "group"),
        repeat_window=entry.get("windowNs", 0) * NS,
        ordered=bool(entry.get("serialByKey")),
        writes=writes,
    )


def _plan(entry: Mapping[str, Any]) -> api.Plan:
    return api.Plan(
        name=str(entry["name"]),
        usual=entry["nominal"],
        reserve=entry["floorRate"],
        weight=entry["parts"],
        price=entry["valueFactor"],
        limit=entry["ceilingRate"],
        burst=entry["burst"],
        slack=entry["capSlack"],
    )


def _family(info: Mapping[str, Any]) -> dict[str, Any]:
    family = info["familyInfo"]
    return {
        "cold_units": family["coldBears"],
        "max_units": family["maxUnits"],
        "usual_units": family["usualUnits"],
        "share_worth": family["withinShare"],
        "spare_worth": family["beyondShare"],
        "meter_period": family.get("meterNs", 0) * NS,
        "tells_elsewhere": bool(family.get("countsOthers")),
        "shards": family.get("nShards", 0),
    }


def _limits(info: Mapping[str, Any]) -> dict[str, Any]:
    limits = info["limits"]
    return {
        "max_attempts": limits["maxAttempts"],
        "second_copies": bool(limits.get("secondCopies")),
        "may_cancel": bool(limits.get("cancel")),
        "may_probe": bool(limits.get("probing")),
        "retry_advice": limits["maxRetryAfterNs"] * NS if limits.get("retryAfter") else 0.0,
    }


def _guarantees(info: Mapping[str, Any]) -> dict[str, Any]:
    rules = info["guarantees"]
    return {
        "answer_grace": rules["graceToAnswerNs"] * NS,
        "fall_window": rules["fallNs"] * NS,
        "fall_multiple": rules.get("fallMultiple", 1.0),
        "start_capacity": rules["startCapacity"],
        "warm_after": rules["warmAfterNs"] * NS,
        "drain_grace": rules["drainGraceNs"] * NS,
        "order_settle": rules.get("orderSettleNs", 0) * NS,
        "extra_spare": rules.get("spareAttempts"),
        "extra_ratio": rules.get("extraRatio", 0.0),
        "extra_window": rules.get("lookBackNs", 0) * NS,
        "ask_within": rules.get("askWithinNs", 0) * NS,
    }


def _ns(seconds: float) -> int:
    return round(seconds / NS)


def format_action(scheduler: int, action: api.Action) -> str:
    """Return the reply line for an action; raises ``WireError`` if it has no wire format."""
    who = f"schedulerId={scheduler}"
    match action:
        case api.Send(request, server, None):
            return f"CALL_OUT {who} handle={request} server={server}"
        case api.Send(request, server, float() as timeout):
            return f"CALL_OUT {who} handle={request} server={server} capNs={_ns(timeout) or -1}"
        case api.Refuse(request, retry_after):
            return f"REJECT {who} handle={request} retryInNs={_ns(retry_after)}"
        case api.Fail(request):
            return f"END_FAILED {who} handle={request}"
        case api.Cancel(request, attempt):
            return f"REVOKE {who} handle={request} trial={attempt}"
        case api.SetTimer(token, delay):
            return f"SLEEP {who} nonce={token} sleepForNs={_ns(delay)}"
        case api.Probe(server):
            return f"TEST {who} server={server}"
        case api.WatchNodes():
            return f"OBSERVE {who} active=1"
        case api.Report(text):
            return f"JOURNAL_LINE {who} noteText={' '.join(text.split())}"
    raise WireError(f"no wire form for {action!r}")


def format_fault(scheduler: int, text: str) -> str:
    """Return the reply line that reports the failure of a scheduler."""
    return f"BAIL_OUT schedulerId={scheduler} noteText={' '.join(text.split())}"
