"""Orders of operators, and what may be answered to them, judged from the committed log alone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

import attrs

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.exploration.decision_group import LogEntry
from cherrycove.tier.exploration.group_invariants import require
from cherrycove.tier.protocol.keeper_pb2 import Command

# Answers that say for good that nothing was done and that it would be no use to send the same once more.
REFUSALS = frozenset({ErrorKind.INVALID, ErrorKind.VERSION_MISMATCH, ErrorKind.CONFLICT, ErrorKind.TOO_LARGE})


@attrs.frozen
class Order:
    """A configuration that an operator sends, perhaps more than once."""

    name: str
    version: int
    base_version: int
    body: bytes
    valid: bool = True


def order(name: str, version: int, base_version: int, valid: bool = True) -> Order:
    """An order with a document that differs from those of all other orders."""
    route = {
        "name": name,
        "hostname": "shop.example",
        "pathPrefix": "/",
        "routeKind": "idempotent",
        "timeoutMs": 3000,
        "service": "ledger" if valid else "",
    }
    document = {"version": version, "routes": [route], "services": [{"name": "ledger"}]}
    return Order(name, version, base_version, json.dumps(document).encode(), valid)


@attrs.frozen
class Taken:
    """A configuration that the committed log made the newest one."""

    version: int
    base_version: int
    document: bytes


def taken(committed: Sequence[LogEntry]) -> list[Taken]:
    """What took effect, in order: built on the newest one, with a higher number."""
    result: list[Taken] = []
    for entry in committed:
        message = Command.FromString(entry.command)
        if message.WhichOneof("body") != "accept_configuration":
            continue
        command = message.accept_configuration
        newest = result[-1].version if result else 0
        if command.base_version == newest and command.version > newest:
            result.append(Taken(command.version, command.base_version, command.document))
    return result


def took_effect(order: Order, history: Iterable[Taken]) -> bool:
    return any(change.document == order.body for change in history)


def check_acknowledged(order: Order, history: Sequence[Taken]) -> None:
    require(order.valid, f"{order.name} is invalid and was acknowledged")
    require(took_effect(order, history), f"{order.name} was acknowledged and is not in force")


def check_refused(order: Order, history: Sequence[Taken]) -> None:
    require(not took_effect(order, history), f"{order.name} took effect and was refused when it came again")


def check_untouched(order: Order, log: Iterable[LogEntry]) -> None:
    """The only sending of ``order`` was answered as one with which certainly nothing was done."""
    documents = [Command.FromString(entry.command).accept_configuration.document for entry in log]
    require(order.body not in documents, f"{order.name} is in the log, and was answered as not done")


def check_together(orders: Sequence[Order], acknowledged: Iterable[str]) -> None:
    """Of the orders that were acknowledged, no two have one number or one base."""
    numbers: dict[int, str] = {}
    bases: dict[int, str] = {}
    for order in orders:
        if order.name in acknowledged:
            other = numbers.setdefault(order.version, order.name)
            require(other == order.name, f"{other} and {order.name} were acknowledged under one number")
            other = bases.setdefault(order.base_version, order.name)
            require(other == order.name, f"{other} and {order.name} were acknowledged on one base")


def check_newest(orders: Sequence[Order], acknowledged: Iterable[str], version: int, document: bytes) -> None:
    """What a confirmed keeper has in force is the newest acknowledged order, or one behind it."""
    newest = max((order for order in orders if order.name in acknowledged), key=_version, default=None)
    if newest is not None:
        require(version >= newest.version, f"{newest.name} was acknowledged, {version} is in force")
        same = version > newest.version or document == newest.body
        require(same, f"{newest.name} was acknowledged, other content of its number is in force")


def _version(order: Order) -> int:
    return order.version
