"""Checks an object of settings: values of the wrong kind, unknown names, and demands that are not met.

It knows the names of the wire page's table. Values are read for decisions by ``simulator_codec`` alone.
"""

from __future__ import annotations

from typing import Any

_USED = """
balancers classes discovery familyInfo feedback guarantees limits policies tickNs zones me
classes[].aimNs classes[].deadlineNs classes[].gain classes[].group classes[].idempotency classes[].lateValue
classes[].name classes[].serialByKey classes[].windowNs
familyInfo.beyondShare familyInfo.coldBears familyInfo.countsOthers familyInfo.maxUnits familyInfo.meterNs
familyInfo.nShards familyInfo.usualUnits familyInfo.withinShare familyInfo.writes
feedback.names
guarantees.askWithinNs guarantees.drainGraceNs guarantees.extraRatio guarantees.fallNs
guarantees.fallMultiple guarantees.graceToAnswerNs guarantees.lookBackNs guarantees.orderSettleNs
guarantees.spareAttempts guarantees.startCapacity guarantees.warmAfterNs
limits.cancel limits.connIdleNs limits.dialTimeoutNs limits.maxAttempts limits.maxRetryAfterNs limits.mayTell
limits.probing limits.retryAfter limits.secondCopies
policies[].burst policies[].capSlack policies[].ceilingRate policies[].floorRate policies[].name
policies[].nominal policies[].parts policies[].valueFactor
"""

# Known, and of no use to any decision here; docs/design/deployments.md says of each why.
_IGNORED = """
charges charges.connection charges.crossZone charges.discovery charges.fleet charges.handshake
charges.lateFail charges.moves charges.origin charges.peer charges.probe charges.waste
classes[].aimStretch classes[].stream clients clients.marksRetry feedback.how flavors
limits.cpuUsPerRequest limits.cpuUsPerS limits.mostHeld limits.streamsPerConn myZone scoringMix
scoringMix.whole scoringMix.worstClass scoringMix.worstTenant scoringMix.worstWindow tier tiers weights
workload
"""
USED_NAMES, IGNORED_NAMES = frozenset(_USED.split()), frozenset(_IGNORED.split())


# What kind each of those that are read is of; the others are numbers, none below 0.
_KINDS: dict[type, str] = {
    str: "discovery classes[].group classes[].idempotency classes[].name policies[].name",
    bool: "classes[].serialByKey familyInfo.countsOthers limits.cancel limits.mayTell limits.probing "
    "limits.retryAfter limits.secondCopies",
    list: "classes familyInfo.writes feedback.names policies zones",
    dict: "familyInfo feedback guarantees limits classes[] policies[]",
}
_KIND = {path: kind for kind, names in _KINDS.items() for path in names.split()}
_WORDS = {str: "text", bool: "true or false", list: "a list", dict: "an object"}
MAX_VALUE = 1e100  # of any figure
_ABOVE_0 = frozenset(
    [
        "balancers",
        "tickNs",
        "classes[].aimNs",
        "classes[].deadlineNs",
        "familyInfo.maxUnits",
        "familyInfo.usualUnits",
        "limits.connIdleNs",
        "limits.dialTimeoutNs",
        "limits.maxAttempts",
    ]
)


def find_invalid_value(info: Any, path: str = "", place: str = "") -> str | None:
    """Return what is of the wrong kind, by its place, and why; None: nothing that is read.

    ``path`` names ``info`` as the wire page does (``classes[].name``), ``place`` with its index.
    """
    wrong = _wrong_value(info, path, place)
    if wrong is not None:
        return wrong
    for inner_path, inner_place, value in _children(info, path, place):
        wrong = find_invalid_value(value, inner_path, inner_place)
        if wrong is not None:
            return wrong
    return None


def _wrong_value(value: Any, path: str, place: str) -> str | None:
    if path not in USED_NAMES and path not in _KIND:
        return None
    kind = _KIND.get(path)
    if kind is not None and not isinstance(value, kind):
        return f"{place} must be {_WORDS[kind]}, not {value!r:.80}"
    if kind is None and (type(value) not in (int, float) or not 0 <= value <= MAX_VALUE):
        # A whole number beyond the largest float would raise in the first sum that it comes into.
        return f"{place} must be a number from 0 up to {MAX_VALUE:g}, not {str(value):.80}"
    if path in _ABOVE_0 and not value:
        return f"{place} must be above 0"
    return None


def _children(info: Any, path: str, place: str) -> list[tuple[str, str, Any]]:
    """Return path, place and value of each entry of an object or list."""
    if isinstance(info, dict):
        return [
            (f"{path}.{name}".strip("."), f"{place}.{name}".strip("."), value) for name, value in info.items()
        ]
    if isinstance(info, list):
        return [(f"{path}[]", f"{place}[{number}]", value) for number, value in enumerate(info)]
    return []


def setting_paths(info: Any, at: str = "") -> set[str]:
    """Return every name in an object of settings, as the wire page writes it."""
    found: set[str] = set()
    if isinstance(info, dict):
        for name, value in info.items():
            path = f"{at}.{name}" if at else str(name)
            found |= {path} | setting_paths(value, path)
    elif isinstance(info, list):
        for value in info:
            found |= setting_paths(value, f"{at}[]")
    return found


def unknown_names(info: Any) -> list[str]:
    """Return the names that this program does not know; they are disregarded, which is logged."""
    return sorted(setting_paths(info) - USED_NAMES - IGNORED_NAMES)


def unsupported_requests(info: Any) -> list[str]:
    """Return what the settings ask for that this program does not do, in words."""
    found: list[str] = []
    for cls in info.get("classes", ()):
        if cls.get("aimStretch"):
            found.append(f"class {cls.get('name')}: aimStretch is not added to its aim")
        if cls.get("stream"):
            found.append(f"class {cls.get('name')}: its deadline holds for streams too")
    if info.get("workload", "stores") != "stores":
        found.append(f"workload {info['workload']!r} is served as stores")
    return found
