"""Answers the RPC ``status``, which the command-line interface calls."""

from __future__ import annotations

import asyncio

import attrs
from result import Ok, Result

from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.process_directory import ProcessDirectory
from cherrycove.tier.controlplane.replica_message import replica_message
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.topics import ControlTopics
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.replication.interface import Group


@attrs.frozen(kw_only=True)
class StatusService:
    """Reports the state of this controller; it reads the parts of the ``Controller`` and changes nothing."""

    node_name: str
    group: Group
    state: ControlState
    period: LeadershipPeriod
    directory: ProcessDirectory
    topics: ControlTopics
    cluster_view: ClusterView

    async def status(self, request: StatusRequest) -> Result[StatusReply, Failure]:  # noqa: ARG002 - empty
        """Return this controller's view; only the confirmed primary's view is complete and current.

        Other controllers report the processes that they pulled from the primary, which may be out of date.
        """
        primary = self.group.primary
        leads = self.period.is_leading()
        now = asyncio.get_running_loop().time()
        announcements = self.directory.registry.members(now).members if leads else self.cluster_view.members
        return Ok(
            StatusReply(
                node_name=self.node_name,
                epoch=self.group.epoch,
                confirmed=leads,
                primary="" if primary is None else primary.node_name,
                members=[replica_message(member) for member in self.group.members],
                configuration_version=self.state.configuration.version,
                store_group=self.state.store_group(),
                retire_orders=self.state.retire_orders.values(),
                brokers=self.topics.brokers,
                announcements=announcements,
            )
        )
