"""Messages between replicas: the intended receiver of a call, and what its failure reports about the peer."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, OutgoingCall
from cherrycove.tier.protocol.replication_methods import replicate
from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.transport import Transport

OWN = MemberIdentity("m-1", "n-1", "10.0.0.1:7720")
PEER = MemberIdentity("m-2", "n-2", "10.0.0.2:7720")


class ScriptedCaller(Caller):
    """Answers each call with ``outcome`` and records the intended receivers."""

    def __init__(self, outcome: Result[Batch, Failure]) -> None:
        self.outcome = outcome
        self.receivers: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        self.receivers.append(call.receiver)
        return self.outcome


def send_message(outcome: Result[Batch, Failure]) -> tuple[list[str], list[Batch]]:
    """Send one message; return the receivers of the calls and the batches reported for the peer."""

    async def scenario() -> tuple[list[str], list[Batch]]:
        caller, reported = ScriptedCaller(outcome), []
        transport = Transport(caller, replicate("group"), lambda sender, batch: reported.append(batch))
        transport.send(OWN, PEER, Message(epoch=3))
        await transport.flush(5.0)
        return caller.receivers, reported

    return asyncio.run(scenario())


def test_a_call_names_its_intended_receiver() -> None:
    reply = Batch(messages=[Message(epoch=4)])
    assert send_message(Ok(reply)) == (["m-2"], [reply])


def test_a_misdirected_call_is_reported_as_a_replaced_disk() -> None:
    assert send_message(Err(Failure(ErrorKind.MISDIRECTED)))[1] == [Batch(stranger=True)]


@pytest.mark.parametrize("kind", (ErrorKind.UNREACHABLE, ErrorKind.UNCERTAIN, ErrorKind.UNAVAILABLE))
def test_a_peer_that_does_not_answer_reports_nothing(kind: ErrorKind) -> None:
    assert send_message(Err(Failure(kind)))[1] == []
