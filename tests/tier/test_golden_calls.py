"""What processes of the tier say to one another, played again and compared with a released version's words.

Clocks and chance are fixed, so that the same inputs give the same messages. The name of a call, the type of
its request and of its reply, every field and every byte must stay.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import golden_stories as stories
import golden_support as support
import pytest

CONVERSATIONS = ("pull", "learned", "status", "store-members", "batch", "given-up", "replicate")
SERVED = {  # name of each call, with its request
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


def as_read(transcript: Any) -> Any:
    return json.loads(json.dumps(transcript))


@pytest.fixture(scope="module")
def said() -> dict[str, Any]:
    """The conversations as the code has them now."""
    return {name: as_read(transcript) for name, transcript in stories.calls().items()}


def test_the_calls_have_the_names_and_requests_that_they_had() -> None:
    assert stories.call_names() == SERVED
    assert json.loads((support.DATA / "call-names.json").read_text(encoding="utf-8")) == SERVED


@pytest.mark.parametrize("name", CONVERSATIONS)
def test_callers_and_callees_say_what_they_said(name: str, said: dict[str, Any]) -> None:
    assert said[name] == released(f"calls-{name}")


def test_replicas_say_what_they_said(tmp_path: Path) -> None:
    assert as_read(stories.replicas(tmp_path)) == released("replicas")


def test_members_say_what_they_said() -> None:
    assert as_read(stories.membership()) == released("membership")


def test_every_call_is_in_a_conversation() -> None:
    called = {line["call"] for name in CONVERSATIONS for line in released(f"calls-{name}") if "call" in line}
    exchanged = {line["kind"] for line in released("membership")} - {"datagram", "reply"}
    assert called | exchanged == set(SERVED)


def test_every_kind_of_message_between_replicas_is_in_their_conversation() -> None:
    sent = {list(line["fields"])[-1] for line in released("replicas")}
    bodies = {"vote_request", "vote_reply", "append", "append_reply", "snapshot_chunk", "snapshot_reply"}
    assert sent == bodies | {"hand_over"}


def test_every_kind_of_message_between_members_is_in_their_conversation() -> None:
    sent = {field for line in released("membership") for field in line["fields"]}
    assert {"ping", "ack", "indirect_ping", "updates", "receiver", "digests", "differing"} <= sent


def test_topics_are_published_under_their_names_and_versions() -> None:
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
