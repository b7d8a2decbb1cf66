"""Tests which submissions are accepted as batch jobs."""

from __future__ import annotations

import json
from typing import Any

import pytest
from batch_support import HOST, ROUTE
from result import Err, Ok

from cherrycove.tier.batch.frontend.submission import parse_submission
from cherrycove.tier.errors import ErrorKind


def entry(**changes: Any) -> dict[str, Any]:
    complete = {
        "instanceId": "e5b2",
        "path": "/jobs/1",
        "headers": {"Model": "m", "Prompt-Prefix": "9c2e41:300"},
        "body": "q83vEjRWeJA=",
        "tokens": 940,
    }
    return {key: value for key, value in (complete | changes).items() if value is not ...}


def submission(*entries: Any) -> bytes:
    return json.dumps({"requests": list(entries)}).encode()


def test_valid_job() -> None:
    parsed = parse_submission("job", ROUTE, submission(entry(), entry(instanceId="f0")))
    assert isinstance(parsed, Ok)
    request = parsed.ok_value
    assert (request.job_id, request.route, request.host) == ("job", ROUTE.name, HOST)
    assert (request.completion_target_ms, request.retention_ms, request.max_attempts) == (8000, 40000, 2)
    first = request.items[0]
    assert (first.item_id, first.path, first.tokens) == ("e5b2", "/jobs/1", 940)
    assert first.body == bytes.fromhex("abcdef1234567890")
    assert dict(first.headers) == {"Model": "m", "Prompt-Prefix": "9c2e41:300"}


def test_200_items_are_accepted_and_201_are_not() -> None:
    entries = [entry(instanceId=str(number)) for number in range(201)]
    assert isinstance(parse_submission("job", ROUTE, submission(*entries[:200])), Ok)
    assert isinstance(parse_submission("job", ROUTE, submission(*entries)), Err)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        b"{}",
        b'{"requests":{}}',
        b"[" * 100_000,
        submission("text"),
        submission(entry(), entry()),
        submission(entry(instanceId=...)),
        submission(entry(instanceId="")),
        submission(entry(instanceId="a\r\nb")),
        submission(entry(path=...)),
        submission(entry(path="jobs/1")),
        submission(entry(path="/a HTTP/1.1\r\nX: y")),
        submission(entry(headers=...)),
        submission(entry(headers=[])),
        submission(entry(headers={"A": 1})),
        submission(entry(headers={"A": "b\r\nHost: other"})),
        submission(entry(headers={"A b": "c"})),
        submission(entry(body=...)),
        submission(entry(body="q83vEjRWeJA")),
        submission(entry(body="q83v*EjR")),
        submission(entry(body=5)),
        submission(entry(tokens=...)),
        submission(entry(tokens=-1)),
        submission(entry(tokens=2**32)),
        submission(entry(tokens=True)),
        submission(entry(tokens="9")),
    ],
)
def test_invalid_submission(body: bytes) -> None:
    parsed = parse_submission("job", ROUTE, body)
    assert isinstance(parsed, Err)
    assert parsed.err_value.kind is ErrorKind.INVALID


def test_job_without_id_is_invalid() -> None:
    assert isinstance(parse_submission("", ROUTE, submission(entry())), Err)
