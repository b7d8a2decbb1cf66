"""The command ``status``, which shows the state of the tier that the controllers have recorded."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cleo.helpers import option
from result import Err, Ok, Result

from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem
from cherrycove.tier.cli.network_command import TIMEOUT_OPTION, NetworkCommand
from cherrycove.tier.cli.status_document import StatusDocument
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.protocol.rpc import RpcClient

CALL_TIMEOUT_S = 2.0


class StatusCommand(NetworkCommand):
    """Shows the status from the primary controller, or from another one if no primary answers."""

    name = "status"
    description = (
        "Shows members, epoch, primary, configuration and brokers; exits with 0 if a primary answers."
    )
    options = [
        option(
            "keeper",
            None,
            "HOST:PORT of a keeper's internal calls (first of internalPortRange); may be repeated.",
            flag=False,
            multiple=True,
        ),
        TIMEOUT_OPTION,
        JSON_OPTION,
    ]

    def perform(self) -> Outcome:
        """Return the status; the exit code is FAILED if it is not that of a confirmed primary.

        Raises CommandError if no controller answers.
        """
        controllers = self.controllers()
        reply = asyncio.run(_fetch_status(controllers, self.timeout_s()))
        document = StatusDocument.of(reply)
        exit_code = ExitCode.DONE if document.confirmed else ExitCode.FAILED
        return Outcome(document, document.lines(), exit_code)


async def request_status(client: Caller, address: str) -> Result[StatusReply, Failure]:
    """Request the status of the controller at ``address`` (host:port)."""
    return await client.call(address, STATUS, StatusRequest(), CALL_TIMEOUT_S)


async def _fetch_status(controllers: Sequence[str], timeout_s: float) -> StatusReply:
    """Return the status of the primary, or that of any controller if the primary does not answer."""
    client = RpcClient()
    await client.start()
    try:
        async with asyncio.timeout(timeout_s):
            return await _request_confirmed_status(client, controllers)
    except TimeoutError:
        sources = ", ".join(controllers)
        raise CommandError(
            ExitCode.UNANSWERED, Problem(f"no answer within {timeout_s:g} s", sources)
        ) from None
    finally:
        await client.stop()


async def _request_confirmed_status(client: Caller, controllers: Sequence[str]) -> StatusReply:
    """Return the first confirmed status, or else the last one; raises CommandError if there is none."""
    problems = []
    found: StatusReply | None = None
    for controller in controllers:
        outcome = await request_status(client, controller)
        if isinstance(outcome, Err):
            problems.append(Problem(_failure_text(outcome.err_value), controller))
            continue
        found = outcome.ok_value
        if not found.confirmed:
            found = await _request_status_of_primary(client, found)
        if found.confirmed:
            return found
    if found is None:
        raise CommandError(ExitCode.UNANSWERED, *problems)
    return found


async def _request_status_of_primary(client: Caller, reply: StatusReply) -> StatusReply:
    """Return the status of the primary that ``reply`` names; ``reply`` if it does not answer."""
    for member in reply.members:
        if reply.primary and member.node_name == reply.primary:
            outcome = await request_status(client, member.address)
            if isinstance(outcome, Ok):
                return outcome.ok_value
    return reply


def _failure_text(failure: Failure) -> str:
    if failure.kind is ErrorKind.NOT_FOUND:
        return "this address does not serve a keeper's internal calls"
    return failure.detail or failure.kind.value
