"""Validates a settings object: values of the wrong type, unknown names, and unsupported requests.

The names are those of the table on the wire protocol page. Only ``simulator_codec`` reads the values for use.
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

# Known names that no decision uses; docs/design/deployments.md gives the reason for each.
_IGNORED = """
charges charges.connection charges.crossZone charges.discovery charges.fleet charges.handshake
charges.lateFail charges.moves charges.origin charges.peer charges.probe charges.waste
classes[].aimStretch classes[].stream clients clients.marksRetry feedback.how flavors
limits.cpuUsPerRequest limits.cpuUsPerS limits.mostHeld limits.streamsPerConn myZone scoringMix
scoringMix.whole scoringMix.worstClass scoringMix.worstTenant scoringMix.worstWindow tier tiers weights
workload
"""
USED_NAMES, IGNORED_NAMES = frozenset(_USED.split()), frozenset(_IGNORED.split())


# Types of the settings in use; all others are numbers that are not negative.
_NAMES_BY_TYPE: dict[type, str] = {
    str: "discovery classes[].group classes[].idempotency classes[].name policies[].name",
    bool: "classes[].serialByKey familyInfo.countsOthers limits.cancel limits.mayTell limits.probing "
    "limits.retryAfter limits.secondCopies",
    list: "classes familyInfo.writes feedback.names policies zones",
    dict: "familyInfo feedback guarantees limits classes[] policies[]",
}
_TYPES = {path: kind for kind, names in _NAMES_BY_TYPE.items() for path in names.split()}
_TYPE_TEXTS = {str: "text", bool: "true or false", list: "a list", dict: "an object"}
MAX_VALUE = 1e100  # of any number
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
    """Return a message on the first value in use of the wrong type or range; None if there is none.

    ``path`` is the name of ``info`` on the wire protocol page (``classes[].name``), ``place`` its name with
    indices (``classes[0].name``).
    """
    wrong = _invalid_value(info, path, place)
    if wrong is not None:
        return wrong
    for inner_path, inner_place, value in _children(info, path, place):
        wrong = find_invalid_value(value, inner_path, inner_place)
        if wrong is not None:
            return wrong
    return None


def _invalid_value(value: Any, path: str, place: str) -> str | None:
    if path not in USED_NAMES and path not in _TYPES:
        return None
    kind = _TYPES.get(path)
    if kind is not None and not isinstance(value, kind):
        return f"{place} must be {_TYPE_TEXTS[kind]}, not {value!r:.80}"
    if kind is None and (type(value) not in (int, float) or not 0 <= value <= MAX_VALUE):
        # An integer above the largest float would raise ``OverflowError`` in the first calculation with it.
        return f"{place} must be a number from 0 up to {MAX_VALUE:g}, not {str(value):.80}"
    if path in _ABOVE_0 and not value:
        return f"{place} must be above 0"
    return None


def _children(info: Any, path: str, place: str) -> list[tuple[str, str, Any]]:
    """Return path, place and value of each entry of an object or list; none for other values."""
    if isinstance(info, dict):
        return [
            (f"{path}.{name}".strip("."), f"{place}.{name}".strip("."), value) for name, value in info.items()
        ]
    if isinstance(info, list):
        return [(f"{path}[]", f"{place}[{number}]", value) for number, value in enumerate(info)]
    return []


def setting_paths(info: Any, at: str = "") -> set[str]:
    """Return all names in a settings object, as written on the wire protocol page."""
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
    """Return the names that this program does not know; the caller logs and ignores them."""
    return sorted(setting_paths(info) - USED_NAMES - IGNORED_NAMES)


def unsupported_requests(info: Any) -> list[str]:
    """Return a message for each requested behavior that this program does not support."""
    found: list[str] = []
    for cls in info.get("classes", ()):
        if cls.get("aimStretch"):
            found.append(f"class {cls.get('name')}: aimStretch is not added to its aim")
        if cls.get("stream"):
            found.append(f"class {cls.get('name')}: its deadline holds for streams too")
    if info.get("workload", "stores") != "stores":
        found.append(f"workload {info['workload']!r} is served as stores")
    return found
