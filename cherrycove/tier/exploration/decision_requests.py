"""Configuration requests of operators, and checks of their results against the committed log alone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

import attrs

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.exploration.decision_group import LogEntry
from cherrycove.tier.exploration.group_invariants import require
from cherrycove.tier.protocol.keeper_pb2 import Command

# Final errors: the request had no effect, and sending it again is of no use.
FINAL_REJECTIONS = frozenset(
    {ErrorKind.INVALID, ErrorKind.VERSION_MISMATCH, ErrorKind.CONFLICT, ErrorKind.TOO_LARGE}
)


@attrs.frozen
class ConfigurationRequest:
    """Represents a configuration that an operator sends one or more times; ``name`` is used in traces."""

    name: str
    version: int
    base_version: int
    body: bytes
    is_valid: bool = True


def configuration_request(
    name: str, version: int, base_version: int, *, is_valid: bool = True
) -> ConfigurationRequest:
    """Return a request whose document contains ``name``, so that it differs from those of other requests."""
    route = {
        "name": name,
        "hostname": "shop.example",
        "pathPrefix": "/",
        "routeKind": "idempotent",
        "timeoutMs": 3000,
        "service": "ledger" if is_valid else "",
    }
    document = {"version": version, "routes": [route], "services": [{"name": "ledger"}]}
    return ConfigurationRequest(name, version, base_version, json.dumps(document).encode(), is_valid)


@attrs.frozen
class EffectiveChange:
    """Represents a configuration that took effect according to the committed log."""

    version: int
    base_version: int
    document: bytes


def effective_changes(committed: Sequence[LogEntry]) -> list[EffectiveChange]:
    """Return the changes that took effect, in order.

    Each is based on the version of the previous one and has a higher version.
    """
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


def took_effect(request: ConfigurationRequest, history: Iterable[EffectiveChange]) -> bool:
    """Return whether ``request`` is among the changes in ``history``."""
    return any(change.document == request.body for change in history)


def check_acknowledged(request: ConfigurationRequest, history: Sequence[EffectiveChange]) -> None:
    """Check that an acknowledged request is valid and took effect."""
    require(request.is_valid, f"{request.name} was acknowledged although it is invalid")
    require(took_effect(request, history), f"{request.name} was acknowledged but has not taken effect")


def check_rejected(request: ConfigurationRequest, history: Sequence[EffectiveChange]) -> None:
    """Check that a request that was rejected with a final error has not taken effect."""
    require(
        not took_effect(request, history),
        f"{request.name} was rejected when it was sent again, although it had taken effect",
    )


def check_not_in_log(request: ConfigurationRequest, log: Iterable[LogEntry]) -> None:
    """Check that ``request``, whose only attempt was reported as without effect, is not in the log."""
    documents = [Command.FromString(entry.command).accept_configuration.document for entry in log]
    require(
        request.body not in documents,
        f"{request.name} is in the log, although it was reported as without effect",
    )


def check_compatible(requests: Sequence[ConfigurationRequest], acknowledged: Iterable[str]) -> None:
    """Check that no two acknowledged requests have the same version or the same base version."""
    by_version: dict[int, str] = {}
    by_base: dict[int, str] = {}
    for request in requests:
        if request.name in acknowledged:
            other = by_version.setdefault(request.version, request.name)
            require(
                other == request.name,
                f"{other} and {request.name} were both acknowledged with version {request.version}",
            )
            other = by_base.setdefault(request.base_version, request.name)
            require(
                other == request.name,
                f"{other} and {request.name} were both acknowledged on base version {request.base_version}",
            )


def check_newest(
    requests: Sequence[ConfigurationRequest], acknowledged: Iterable[str], version: int, document: bytes
) -> None:
    """Check that the configuration of a confirmed primary is the newest acknowledged request or a later one.

    ``version`` and ``document`` are those of the configuration in force at the primary.
    """
    newest = max(
        (request for request in requests if request.name in acknowledged), key=_version, default=None
    )
    if newest is not None:
        require(
            version >= newest.version,
            f"{newest.name} was acknowledged, but the older version {version} is in force",
        )
        matches = version > newest.version or document == newest.body
        require(matches, f"{newest.name} was acknowledged, but its version is in force with other content")


def _version(request: ConfigurationRequest) -> int:
    return request.version
