"""``status``: what the keepers know of the whole tier."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from typing import Any

from cleo.helpers import option
from result import Err, Ok, Result

from cherrycove.tier.cli.command import JSON_OPTION, CommandError, ExitCode, Outcome, Problem, TierCommand
from cherrycove.tier.cli.http_client import DEFAULT_TIMEOUT_S
from cherrycove.tier.cli.operator_command import TIMEOUT_OPTION
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.control_pb2 import Announcement, BrokerEntry, Replica
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.protocol.rpc import RpcClient

CALL_TIMEOUT_S = 2.0


class StatusCommand(TierCommand):
    name = "status"
    description = "Shows members, epoch, primary, configuration and brokers; 0 if a primary answers."
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
        controllers = self.option("keeper")
        if not controllers:
            raise CommandError(ExitCode.INVALID, Problem("name at least one keeper", key="--keeper"))
        timeout_s = self.integer_option("timeout") or DEFAULT_TIMEOUT_S
        reply = asyncio.run(_fetch_status(controllers, timeout_s))
        exit_code = ExitCode.DONE if reply.confirmed else ExitCode.FAILED
        return Outcome(_document(reply), _lines(reply), exit_code)


async def _fetch_status(controllers: Sequence[str], timeout_s: float) -> StatusReply:
    """The status that the primary gives; if it does not answer, that of any keeper."""
    client = RpcClient()
    await client.start()
    try:
        async with asyncio.timeout(timeout_s):
            return await _request_first_status(client, controllers)
    except TimeoutError:
        raise CommandError(
            ExitCode.UNANSWERED, Problem("no answer in time", ", ".join(controllers))
        ) from None
    finally:
        await client.stop()


async def _request_first_status(client: Caller, controllers: Sequence[str]) -> StatusReply:
    problems = []
    found: StatusReply | None = None
    for controller in controllers:
        outcome = await request_status(client, controller)
        if isinstance(outcome, Err):
            problems.append(Problem(_explain(outcome.err_value), controller))
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
    """The primary's own status, or else ``reply``."""
    for member in reply.members:
        if reply.primary and member.node_name == reply.primary:
            outcome = await request_status(client, member.address)
            if isinstance(outcome, Ok):
                return outcome.ok_value
    return reply


async def request_status(client: Caller, address: str) -> Result[StatusReply, Failure]:
    return await client.call(address, STATUS, StatusRequest(), CALL_TIMEOUT_S)


def _explain(failure: Failure) -> str:
    if failure.kind is ErrorKind.NOT_FOUND:
        return "no keeper's internal calls are served there"
    return failure.detail or failure.kind.value


def _document(reply: StatusReply) -> dict[str, Any]:
    return {
        "answeredBy": reply.node_name,
        "confirmed": reply.confirmed,
        "epoch": reply.epoch,
        "primary": reply.primary,
        "keepers": [_replica(member) for member in reply.members],
        "configurationVersion": reply.configuration_version,
        "storeGroup": {
            "initial": [_replica(member) for member in reply.store_group.initial],
            "retiring": list(reply.store_group.retiring),
        },
        "retireOrders": [
            {"node": order.node_name, "state": "completed" if order.completed else "active"}
            for order in reply.retire_orders
        ],
        "processes": [_process(process) for process in _sorted(reply.announcements)],
        "brokers": [_broker(broker) for broker in reply.brokers.brokers],
    }


def _replica(replica: Replica) -> dict[str, str]:
    return {
        "node": replica.node_name,
        "memberId": replica.member_id,
        "address": replica.address,
        "zone": replica.zone,
    }


def _process(process: Announcement) -> dict[str, Any]:
    return {
        "node": process.node_name,
        "program": process.program,
        "ip": process.ip,
        "zone": process.zone,
        "incarnation": process.incarnation,
        "memberId": process.member_id,
        "groupPrimary": process.group_primary,
        "groupEpoch": process.group_epoch,
        "configurationVersion": process.configuration_version,
        "leaving": process.leaving,
    }


def _broker(broker: BrokerEntry) -> dict[str, Any]:
    return {
        "instanceId": broker.instance_id,
        "service": broker.service,
        "address": broker.address,
        "zone": broker.zone,
        "slots": broker.capacity_slots,
        "draining": broker.draining,
    }


def _sorted(processes: Sequence[Announcement]) -> list[Announcement]:
    return sorted(processes, key=lambda process: (process.program, process.node_name))


def _lines(reply: StatusReply) -> list[str]:
    standing = "confirmed" if reply.confirmed else "not confirmed"
    lines = [
        f"epoch {reply.epoch}, primary {reply.primary or 'unknown'} ({standing}), asked {reply.node_name}",
        f"configuration version {reply.configuration_version}",
        f"keepers: {_names(reply.members)}",
        f"stores at first: {_names(reply.store_group.initial)}",
    ]
    for order in reply.retire_orders:
        lines.append(f"retire {order.node_name}: {'completed' if order.completed else 'active'}")
    lines += [_process_line(process) for process in _sorted(reply.announcements)]
    lines += _broker_lines(reply.brokers.brokers)
    return lines


def _names(replicas: Sequence[Replica]) -> str:
    return ", ".join(replica.node_name or replica.address for replica in replicas) or "none"


def _process_line(process: Announcement) -> str:
    notes = []
    if process.program == "proxy":
        notes.append(f"configuration {process.configuration_version}")
    if process.group_primary:
        notes.append(f"primary of epoch {process.group_epoch}")
    if process.leaving:
        notes.append("leaving")
    return f"{process.program} {process.node_name} {process.ip} {process.zone}: {', '.join(notes) or 'alive'}"


def _broker_lines(brokers: Sequence[BrokerEntry]) -> list[str]:
    counts = Counter(broker.service for broker in brokers)
    draining = Counter(broker.service for broker in brokers if broker.draining)
    return [
        f"brokers of {service}: {count}, {draining[service]} draining"
        for service, count in sorted(counts.items())
    ]
