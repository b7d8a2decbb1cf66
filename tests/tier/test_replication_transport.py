"""Messages between replicas: whom a call is meant for, and what its failure tells of the peer."""

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
    """Answers each call with ``outcome``; tells for whom it was meant."""

    def __init__(self, outcome: Result[Batch, Failure]) -> None:
        self.outcome = outcome
        self.receivers: list[str] = []

    async def send(self, call: OutgoingCall[Any, Any]) -> Result[Any, Failure]:
        self.receivers.append(call.receiver)
        return self.outcome


def heard_of_peer(outcome: Result[Batch, Failure]) -> tuple[list[str], list[Batch]]:
    """The receivers of the calls that sending one message made, and what is told of the peer."""

    async def story() -> tuple[list[str], list[Batch]]:
        caller, told = ScriptedCaller(outcome), []
        transport = Transport(caller, replicate("group"), lambda sender, batch: told.append(batch))
        transport.send(OWN, PEER, Message(epoch=3))
        await transport.flush(5.0)
        return caller.receivers, told

    return asyncio.run(story())


def test_a_message_is_meant_for_one_member() -> None:
    reply = Batch(messages=[Message(epoch=4)])
    assert heard_of_peer(Ok(reply)) == (["m-2"], [reply])


def test_a_peer_that_is_another_member_counts_as_a_stranger() -> None:
    assert heard_of_peer(Err(Failure(ErrorKind.MISDIRECTED)))[1] == [Batch(stranger=True)]


@pytest.mark.parametrize("kind", (ErrorKind.UNREACHABLE, ErrorKind.UNCERTAIN, ErrorKind.UNAVAILABLE))
def test_a_peer_that_does_not_answer_tells_nothing(kind: ErrorKind) -> None:
    assert heard_of_peer(Err(Failure(kind)))[1] == []
