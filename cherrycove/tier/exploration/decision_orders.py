"""Orders of operators, and which answers to them are right, decided from the committed log alone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

import attrs

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.exploration.decision_group import LogEntry
from cherrycove.tier.exploration.group_invariants import require
from cherrycove.tier.protocol.keeper_pb2 import Command

# Answers that are final: the order had no effect, and to send it again is of no use.
FINAL_REJECTIONS = frozenset(
    {ErrorKind.INVALID, ErrorKind.VERSION_MISMATCH, ErrorKind.CONFLICT, ErrorKind.TOO_LARGE}
)


@attrs.frozen
class Order:
    """A configuration that an operator sends once or more; ``name`` is for traces."""

    name: str
    version: int
    base_version: int
    body: bytes
    is_valid: bool = True


def order(name: str, version: int, base_version: int, *, is_valid: bool = True) -> Order:
    """Return an order with a document that differs from those of all other orders."""
    route = {
        "name": name,
        "hostname": "shop.example",
        "pathPrefix": "/",
        "routeKind": "idempotent",
        "timeoutMs": 3000,
        "service": "ledger" if is_valid else "",
    }
    document = {"version": version, "routes": [route], "services": [{"name": "ledger"}]}
    return Order(name, version, base_version, json.dumps(document).encode(), is_valid)


@attrs.frozen
class EffectiveChange:
    """A configuration that took effect, by the committed log."""

    version: int
    base_version: int
    document: bytes


def effective_changes(committed: Sequence[LogEntry]) -> list[EffectiveChange]:
    """Return what took effect, in order: each is based on the one before, with a higher version."""
    result: list[EffectiveChange] = []
    for entry in committed:
        message = Command.FromString(entry.command)
        if message.WhichOneof("body") != "accept_configuration":
            continue
        command = message.accept_configuration
        newest = result[-1].version if result else 0
        if command.base_version == newest and command.version > newest:
            result.append(EffectiveChange(command.version, command.base_version, command.document))
    return result


def took_effect(order: Order, history: Iterable[EffectiveChange]) -> bool:
    """Whether ``order`` is among the changes that took effect."""
    return any(change.document == order.body for change in history)


def check_acknowledged(order: Order, history: Sequence[EffectiveChange]) -> None:
    """Check that an acknowledged order is valid and took effect."""
    require(order.is_valid, f"{order.name} is invalid and was acknowledged")
    require(took_effect(order, history), f"{order.name} was acknowledged and is not in force")


def check_rejected(order: Order, history: Sequence[EffectiveChange]) -> None:
    """Check that an order with a final rejection has not taken effect."""
    require(not took_effect(order, history), f"{order.name} took effect and was rejected when it came again")


def check_not_in_log(order: Order, log: Iterable[LogEntry]) -> None:
    """Check that ``order``, whose only attempt certainly had no effect, is not in the log."""
    documents = [Command.FromString(entry.command).accept_configuration.document for entry in log]
    require(order.body not in documents, f"{order.name} is in the log, and was answered as without effect")


def check_compatible(orders: Sequence[Order], acknowledged: Iterable[str]) -> None:
    """Check that no two acknowledged orders have one version or one base."""
    numbers: dict[int, str] = {}
    bases: dict[int, str] = {}
    for order in orders:
        if order.name in acknowledged:
            other = numbers.setdefault(order.version, order.name)
            require(other == order.name, f"{other} and {order.name} were acknowledged under one number")
            other = bases.setdefault(order.base_version, order.name)
            require(other == order.name, f"{other} and {order.name} were acknowledged on one base")


def check_newest(orders: Sequence[Order], acknowledged: Iterable[str], version: int, document: bytes) -> None:
    """Check that a confirmed controller's configuration is the newest acknowledged order or a later one."""
    newest = max((order for order in orders if order.name in acknowledged), key=_version, default=None)
    if newest is not None:
        require(version >= newest.version, f"{newest.name} was acknowledged, {version} is in force")
        same = version > newest.version or document == newest.body
        require(same, f"{newest.name} was acknowledged, other content of its number is in force")


def _version(order: Order) -> int:
    return order.version
