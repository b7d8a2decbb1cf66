"""Codec between the simulator's text lines and the events and actions. It decides nothing."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from cherrycove.scheduling import interface as api

NS = 1e-9
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
    "N": api.Outcome.MOOT,
}
_STATES = {"up": api.NodeState.UP, "draining": api.NodeState.DRAINING, "removed": api.NodeState.GONE}
_KINDS = {"update": api.ListKind.CHANGES, "replace": api.ListKind.FULL, "restored": api.ListKind.RESTORED}

Fields = Mapping[str, str]
Sheets = Mapping[int, tuple[api.Node, ...]]


class WireError(ValueError):
    """A line that cannot be read; the message says what is wrong with it."""


def fields(line: str) -> dict[str, str]:
    """The name=value pairs behind a line's first word; ``info`` is text and runs to the line's end."""
    head, mark, text = line.partition(" info=")
    pairs = dict(part.partition("=")[::2] for part in head.split(" ")[1:] if "=" in part)
    if mark:
        pairs["info"] = text
    return pairs


def _named(table: Mapping[str, Any], word: Any, what: str) -> Any:
    try:
        return table[word]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {word!r}") from None


def _whole(pairs: Fields, name: str) -> int:
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
    """The load report; a value that cannot be read is left out."""
    report: dict[str, float] = {}
    for part in pairs.get("healthInfo", "").split(","):
        name, _, text = part.partition(":")
        try:
            report[name] = float(text)
        except ValueError:
            continue
    return report


def scheduler_id(pairs: Fields) -> int:
    return _whole(pairs, "schedulerId")


def clock(line: str) -> float:
    return _whole(fields(line), "simTimeNs") * NS


def node(line: str) -> api.Node:
    pairs = fields(line)
    started = _number(pairs, "sinceNs", 0.0)
    return api.Node(
        id=_text(pairs, "server"),
        shard=_whole(pairs, "pod"),
        zone=int(_number(pairs, "site", 0.0)),
        weight=_number(pairs, "weight", 1.0),
        started=started * NS if started > 0 else None,
        state=_named(_STATES, pairs.get("condition"), "condition"),
    )


def _arrival(pairs: Fields, sheets: Sheets) -> api.Event:
    shard = int(_number(pairs, "slotNo"))
    return api.Arrived(
        request=_whole(pairs, "handle"),
        cls=_whole(pairs, "class"),
        plan=_whole(pairs, "contract"),
        volume=_text(pairs, "disk"),
        units=_number(pairs, "quotaUnits"),
        shard=None if shard < 0 else shard,
        hosts=int(_number(pairs, "hosts")),
        budget=_number(pairs, "budgetNs") * NS,
        key=pairs.get("blockKey"),
        repeat=pairs.get("resent") == "1",
    )


def _reply(pairs: Fields, sheets: Sheets) -> api.Event:
    use = _number(pairs, "seenUse", 0.0)
    return api.AttemptEnded(
        request=_whole(pairs, "handle"),
        attempt=_whole(pairs, "trial"),
        node=_text(pairs, "server"),
        outcome=_named(_OUTCOMES, pairs.get("code"), "code"),
        closed=pairs.get("complete") == "1",
        latency=_number(pairs, "latencyNs", 0.0) * NS,
        use=(use - 1) / 100 if use >= 1 else None,
        elsewhere=_number(pairs, "elsewhere", 0.0),
        load=_load(pairs),
    )


def _sheet(pairs: Fields, sheets: Sheets) -> tuple[api.Node, ...]:
    table = _whole(pairs, "table")
    if table not in sheets:
        raise WireError(f"no list with the number {table}")
    return sheets[table]


def _members(pairs: Fields, sheets: Sheets) -> api.Event:
    if pairs.get("form") == "unavailable":
        return api.ListUnavailable()
    return api.NodesListed(
        version=int(_number(pairs, "rev", 0.0)),
        kind=_named(_KINDS, pairs.get("form"), "form"),
        nodes=_sheet(pairs, sheets),
    )


def _echo(pairs: Fields, sheets: Sheets) -> api.Event:
    return api.ProbeEnded(
        node=_text(pairs, "server"),
        outcome=_named(_OUTCOMES, pairs.get("code"), "code"),
        latency=_number(pairs, "latencyNs", 0.0) * NS,
        load=_load(pairs),
    )


def _first(pairs: Fields, sheets: Sheets) -> api.Event:
    return api.StreamStarted(
        request=_whole(pairs, "handle"),
        attempt=_whole(pairs, "trial"),
        node=_text(pairs, "server"),
        latency=_number(pairs, "latencyNs", 0.0) * NS,
    )


def _timer(pairs: Fields, sheets: Sheets) -> api.Event:
    return api.TimerFired(token=_whole(pairs, "nonce"))


def _lapsed(pairs: Fields, sheets: Sheets) -> api.Event:
    return api.Lapsed(request=_whole(pairs, "handle"))


EVENTS: Mapping[str, Callable[[Fields, Sheets], api.Event]] = {
    "ARRIVAL": _arrival,
    "REPLY": _reply,
    "MEMBERS": _members,
    "ECHO": _echo,
    "FIRST": _first,
    "TIMER": _timer,
    "LAPSED": _lapsed,
}


def settings(text: str) -> api.Settings:
    """The settings of an ``ENLIST`` line. A missing figure is an error, never a made-up value."""
    try:
        info = json.loads(text)
    except ValueError as error:
        raise WireError(f"info is not JSON: {error}") from None
    if not isinstance(info, dict):
        raise WireError("info is not a JSON object")
    try:
        family, rules, limits = info["familyInfo"], info["guarantees"], info["limits"]
        writes = family.get("writes", [])
        classes = tuple(
            api.RequestClass(
                name=str(c["name"]),
                aim=c["aimNs"] * NS,
                deadline=c["deadlineNs"] * NS,
                effect=_named(_EFFECTS, c["idempotency"], "idempotency"),
                worth=c["gain"],
                late_worth=c.get("lateValue", 0.0),
                group=_named(_GROUPS, c.get("group", "all"), "group"),
                repeat_window=c.get("windowNs", 0) * NS,
                ordered=bool(c.get("serialByKey")),
                writes=bool(writes[place]) if place < len(writes) else False,
            )
            for place, c in enumerate(info["classes"])
        )
        plans = tuple(
            api.Plan(
                name=str(p["name"]),
                usual=p["nominal"],
                reserve=p["floorRate"],
                weight=p["parts"],
                price=p["valueFactor"],
                limit=p["ceilingRate"],
                burst=p["burst"],
                slack=p["capSlack"],
            )
            for p in info["policies"]
        )
        return api.Settings(
            schedulers=info["balancers"],
            classes=classes,
            plans=plans,
            max_attempts=limits["maxAttempts"],
            tick=info["tickNs"] * NS,
            answer_grace=rules["graceToAnswerNs"] * NS,
            cold_units=family["coldBears"],
            fall_window=rules["fallNs"] * NS,
            start_capacity=rules["startCapacity"],
            warm_after=rules["warmAfterNs"] * NS,
            drain_grace=rules["drainGraceNs"] * NS,
            order_settle=rules.get("orderSettleNs", 0) * NS,
            extra_spare=rules.get("spareAttempts"),
            extra_ratio=rules.get("extraRatio", 0.0),
            extra_window=rules.get("lookBackNs", 0) * NS,
            list_on_request=info["discovery"] == "on_request",
            ask_within=rules.get("askWithinNs", 0) * NS,
            second_copies=bool(limits.get("secondCopies")),
            may_cancel=bool(limits.get("cancel")),
            may_probe=bool(limits.get("probing")),
            retry_advice=limits["maxRetryAfterNs"] * NS if limits.get("retryAfter") else 0.0,
            max_units=family["maxUnits"],
            usual_units=family["usualUnits"],
            share_worth=family["withinShare"],
            spare_worth=family["beyondShare"],
            meter_period=family.get("meterNs", 0) * NS,
            tells_elsewhere=bool(family.get("countsOthers")),
            shards=family.get("nShards", 0),
            load_names=tuple(info["feedback"]["names"]),
            fall_multiple=rules.get("fallMultiple", 1.0),
        )
    except KeyError as error:
        raise WireError(f"info lacks {error.args[0]!r}") from None
    except (TypeError, AttributeError) as error:
        raise WireError(f"info has a value of the wrong type: {error}") from None


def _ns(seconds: float) -> int:
    return round(seconds / NS)


def action(scheduler: int, act: api.Action) -> str:
    """One reply line for an action."""
    who = f"schedulerId={scheduler}"
    match act:
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
        case api.Watch():
            return f"OBSERVE {who} active=1"
        case api.Note(text):
            return f"JOURNAL_LINE {who} noteText={' '.join(text.split())}"
    raise WireError(f"no wire form for {act!r}")


def fault(scheduler: int, text: str) -> str:
    return f"BAIL_OUT schedulerId={scheduler} noteText={' '.join(text.split())}"
