"""Manages the store group on the primary: forms it, records machines and completes retire orders."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from result import Err

from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.retirement_check import CommittedMembership, blocking_reason
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_group_bootstrap import StoreGroupBootstrap
from cherrycove.tier.controlplane.store_inventory import StoreInventory, order_updates, record_updates
from cherrycove.tier.controlplane.store_members import StoreMembersReader
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.keeper_pb2 import Command, FormStoreGroup, Retired, RetireOrder
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.replication.quorums import target_group_size
from cherrycove.tier.settings import Settings

INTERVAL_S = 0.1  # interval of the reconciliation passes
COMMAND_TIMEOUT_S = 2.0  # time limit for committing one command

_log = logging.getLogger(__name__)


class StoreGroupReconciler:
    """Compares the stores with the replicated state, and proposes commands that remove the differences.

    Owned by the ``Controller``; the ``LeaderCoordinator`` notifies it of new epochs. It acts only while this
    controller leads. Every change is a command to the replicated state machine; a failed command is proposed
    again in a later pass. Its own state is in memory only.
    """

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: ControlState,
        period: LeadershipPeriod,
        client: Caller,
        inventory: Callable[[], StoreInventory],
    ) -> None:
        """``group`` is the controllers' group; ``inventory`` returns the current view of the stores."""
        self._settings = settings
        self._group = group
        self._state = state
        self._period = period
        self._inventory = inventory
        self._reader = StoreMembersReader(client)
        self._bootstrap = StoreGroupBootstrap(settings)
        self._reasons: dict[str, str] = {}  # last logged blocking reason by node name

    def on_started_leading(self) -> None:
        """Handle the start of leadership in a new epoch: discard what was collected in earlier ones."""
        self._bootstrap = StoreGroupBootstrap(self._settings)
        self._reasons = {}

    async def step(self) -> None:
        """Reconcile once, then pause."""
        await self.reconcile()
        await asyncio.sleep(INTERVAL_S)

    async def reconcile(self) -> None:
        """Propose the commands that are currently needed, if this controller leads."""
        if not self._period.is_leading():
            return
        for command in self._commands():
            await self._propose(command)
        await self._complete_orders()

    def _commands(self) -> list[Command]:
        """Return the commands that the current announcements require."""
        inventory = self._inventory()
        if self._state.initial_stores:
            return [*record_updates(inventory), *order_updates(inventory)]
        initial = self._bootstrap.choose(inventory.alive, asyncio.get_running_loop().time())
        formation = [Command(form_store_group=FormStoreGroup(initial=initial))] if initial else []
        return [*record_updates(inventory), *formation]

    async def _complete_orders(self) -> None:
        """Complete the active orders whose machines are excluded from the committed members of both groups.

        Each pass asks the store group's primary again. A disk that its reply excludes stays excluded under
        every later primary, so a change of primary between the reply and the commit is harmless.
        """
        if not self._active_orders():
            return
        reply = await self._reader.read(self._store_addresses())
        if isinstance(reply, Err):
            return
        stores = CommittedMembership.of_stores(reply.ok_value)
        for order in self._active_orders():
            committed = self._group.committed_members()
            if committed is None or not self._period.is_leading():
                return
            controllers = CommittedMembership.of_controllers(committed)
            reason = blocking_reason(
                order, controllers, stores, target_group_size(self._settings.fault_tolerance.machine_failures)
            )
            self._log_reason(order, reason or "")
            if reason is None:
                await self._propose(Command(retired=_retired(order)))

    def _active_orders(self) -> list[RetireOrder]:
        return [order for order in self._state.retire_orders.values() if not order.completed]

    def _store_addresses(self) -> list[str]:
        """Return the stores to ask: those that claim to lead, newest epoch first, then all known others."""
        alive = self._inventory().alive
        leaders = [peer.announcement for peer in alive if peer.announcement.group_primary]
        leaders.sort(key=lambda leader: leader.group_epoch, reverse=True)
        others = [peer.announcement for peer in alive]
        ips = [
            *(peer.ip for peer in (*leaders, *others)),
            *(peer.ip for peer in self._state.machines.values()),
        ]
        return [self._settings.peer_address(ip, STORE_PROGRAM) for ip in dict.fromkeys(ips) if ip]

    def _log_reason(self, order: RetireOrder, reason: str) -> None:
        """Log ``reason``, which prevents the completion of ``order``, if it changed.

        It is empty if nothing prevents the completion.
        """
        if reason != self._reasons.get(order.node_name, ""):
            _log.info("retire_order_blocked", extra={"machine": order.node_name, "reason": reason})
        self._reasons[order.node_name] = reason

    async def _propose(self, command: Command) -> None:
        outcome = await self._group.propose(command.SerializeToString(), COMMAND_TIMEOUT_S)
        details = {"command": command.WhichOneof("body")}
        if isinstance(outcome, Err):
            _log.warning("store_group_change_failed", extra={**details, "reason": outcome.err_value.detail})
        else:
            _log.info("store_group_changed", extra=details)


def _retired(order: RetireOrder) -> Retired:
    return Retired(node_name=order.node_name, member_id=order.member_id, revision=order.revision)
