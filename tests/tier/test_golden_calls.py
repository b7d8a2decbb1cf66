"""Replays the messages between processes of the tier and compares them with those of a released version.

Clocks and random seeds are fixed, so that the same inputs produce the same messages. Call names, request and
reply types, every field and every byte must not change.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import golden_stories as stories
import golden_support as support
import pytest

SCENARIOS = ("pull", "learned", "status", "store-members", "batch", "given-up", "replicate")
REQUEST_TYPES = {  # request type by call name
    "batch/body": "cherrycove.batch.BodyRequest",
    "batch/end": "cherrycove.batch.EndRequest",
    "batch/lease": "cherrycove.batch.LeaseRequest",
    "batch/read": "cherrycove.batch.ReadRequest",
    "batch/report": "cherrycove.batch.ReportRequest",
    "batch/submit": "cherrycove.batch.SubmitRequest",
    "membership.compare": "cherrycove.membership.CompareRequest",
    "membership.merge": "cherrycove.membership.MergeRequest",
    "pull": "cherrycove.control.PullRequest",
    "replicate/keeper": "cherrycove.replication.Batch",
    "replicate/store": "cherrycove.replication.Batch",
    "status": "cherrycove.keeper.StatusRequest",
    "store-members": "cherrycove.keeper.StoreMembersRequest",
}


def released(name: str) -> list[dict[str, Any]]:
    lines = (support.DATA / f"{name}.jsonl").read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def json_round_trip(transcript: Any) -> Any:
    return json.loads(json.dumps(transcript))


@pytest.fixture(scope="module")
def transcripts() -> dict[str, Any]:
    """Returns the transcripts that the current code produces, by scenario."""
    return {name: json_round_trip(transcript) for name, transcript in stories.calls().items()}


def test_call_names_and_request_types_are_unchanged() -> None:
    assert stories.call_names() == REQUEST_TYPES
    assert json.loads((support.DATA / "call-names.json").read_text(encoding="utf-8")) == REQUEST_TYPES


@pytest.mark.parametrize("name", SCENARIOS)
def test_calls_between_processes_are_unchanged(name: str, transcripts: dict[str, Any]) -> None:
    assert transcripts[name] == released(f"calls-{name}")


def test_messages_between_replicas_are_unchanged(tmp_path: Path) -> None:
    assert json_round_trip(stories.replicas(tmp_path)) == released("replicas")


def test_membership_messages_are_unchanged() -> None:
    assert json_round_trip(stories.membership()) == released("membership")


def test_scenarios_contain_every_call() -> None:
    called = {line["call"] for name in SCENARIOS for line in released(f"calls-{name}") if "call" in line}
    exchanged = {line["kind"] for line in released("membership")} - {"datagram", "reply"}
    assert called | exchanged == set(REQUEST_TYPES)


def test_replica_scenario_contains_every_message_kind() -> None:
    sent = {list(line["fields"])[-1] for line in released("replicas")}
    bodies = {"vote_request", "vote_reply", "append", "append_reply", "snapshot_chunk", "snapshot_reply"}
    assert sent == bodies | {"hand_over"}


def test_membership_scenario_contains_every_message_kind() -> None:
    sent = {field for line in released("membership") for field in line["fields"]}
    assert {"ping", "ack", "indirect_ping", "updates", "receiver", "digests", "differing"} <= sent


def test_topics_are_published_with_their_names_and_versions() -> None:
    (first, later, refused) = released("calls-pull")
    updates = first["reply"]["fields"]["updates"]
    published = [(one["version"], [key for key in one if key != "version"]) for one in updates]
    assert published == [
        ({"topic": "configuration", "sequence": 9}, ["configuration"]),
        ({"topic": "store_group", "sequence": 8}, ["store_group"]),
        ({"topic": "members", "epoch": 5, "sequence": 1}, ["members"]),
        ({"topic": "brokers", "epoch": 5, "sequence": 2}, ["brokers"]),
    ]
    assert later["request"]["fields"]["versions"] == [one["version"] for one in updates]
    assert refused["failure"] == {"kind": "not_primary", "primary": "10.1.0.2:7700"}
