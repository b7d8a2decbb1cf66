"""Parsing and validation of operator configurations, and the reported errors."""

from __future__ import annotations

import json
from typing import Any

import pytest

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.errors import ErrorKind

ROUTE: dict[str, Any] = {
    "name": "chat",
    "hostname": "a.example",
    "pathPrefix": "/chat/",
    "routeKind": "streaming",
    "timeoutMs": 3000,
    "targetLatencyMs": 300,
    "priority": 0,
    "service": "model",
    "maxAttempts": 2,
    "sessionAffinity": True,
    "resumable": True,
    "gap_aim_ms": 300,
}
JOBS: dict[str, Any] = {
    **ROUTE,
    "name": "jobs",
    "pathPrefix": "/jobs/",
    "routeKind": "batch",
    "retentionS": 40,
}
SERVICE: dict[str, Any] = {"name": "model", "healthCheckPath": "/health", "connectionLimit": 290}


def document(**changes: Any) -> dict[str, Any]:
    return {"version": 3, "routes": [ROUTE, JOBS], "services": [SERVICE], "limits": {}, **changes}


def route(**changes: Any) -> dict[str, Any]:
    return document(routes=[{**ROUTE, **changes}])


def test_a_configuration_is_read_and_matched_by_the_longest_prefix() -> None:
    nested = {**ROUTE, "name": "deep", "pathPrefix": "/chat/deep/"}
    configuration = parse_configuration(json.dumps(document(routes=[ROUTE, nested, JOBS])).encode()).unwrap()
    found = configuration.match("A.example:80", "/chat/deep/1")
    assert found is not None and found.name == "deep"
    assert configuration.match("a.example", "/chatter/") is None
    assert configuration.match("b.example", "/chat/1") is None
    assert configuration.routes[0].is_idempotent
    assert not configuration.routes[2].is_idempotent


def test_unknown_keys_are_ignored() -> None:
    assert parse_configuration(json.dumps(route(later=[1])).encode()).is_ok()


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (json.dumps(document())[:-9], "not JSON"),
        ("[]", "must be an object"),
        (json.dumps(document(version=0)), "version: must be above 0"),
        (json.dumps(document(version="7")), "whole number"),
        (json.dumps(document(version=7.5)), "whole number"),
        (json.dumps(document(version=True)), "whole number"),
        (json.dumps(route(service="other")), "'other' is not among the services"),
        (json.dumps(document(routes=[ROUTE, {**ROUTE, "name": "twin"}])), "same hostname and pathPrefix"),
        (json.dumps(route(service=None, trafficSplit=[{"service": "model", "weight": 0}])), "add up to 0"),
        (json.dumps(route(timeoutMs=0)), "timeoutMs must be above 0"),
        (json.dumps(document(routes=[{**JOBS, "timeoutMs": 0}])), "timeoutMs must be above 0"),
        (json.dumps(route(timeoutMs=float("nan"))), "finite number"),
        (json.dumps(route(timeoutMs=None)), "timeoutMs is missing"),
        (json.dumps(route(pathPrefix="chat")), "must begin and end with a slash"),
        (json.dumps(route(hostname=5)), "must be a string"),
    ],
)
def test_an_error_is_reported(body: str, reason: str) -> None:
    failure = parse_configuration(body.encode(), "put").unwrap_err()
    assert failure.kind is ErrorKind.INVALID
    assert failure.detail.startswith("put: ")
    assert reason in failure.detail
