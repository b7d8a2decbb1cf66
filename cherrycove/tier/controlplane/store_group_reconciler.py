"""The primary keeper's work on the store group: form it, record its machines, carry out retire orders."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from result import Err

from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.retirement_check import CommittedMembership, blocking_reason
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.store_group import (
    StoreGroupBootstrap,
    StoreInventory,
    full_size,
    order_updates,
    record_updates,
)
from cherrycove.tier.controlplane.store_members import StoreMembersReader
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.keeper_pb2 import Command, FormStoreGroup, Retired, RetireOrder
from cherrycove.tier.replication.interface import Group
from cherrycove.tier.settings import Settings

INTERVAL_S = 0.1
COMMAND_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


class StoreGroupReconciler:
    """Acts only in a term that holds; every change is a command of the replicated state."""

    def __init__(
        self,
        settings: Settings,
        group: Group,
        state: ControlState,
        period: LeadershipPeriod,
        client: Caller,
        inventory: Callable[[], StoreInventory],
    ) -> None:
        """``group`` is the keepers' own; ``inventory`` tells what the stores announced to this primary."""
        self._settings = settings
        self._group = group
        self._state = state
        self._period = period
        self._inventory = inventory
        self._reader = StoreMembersReader(client)
        self._bootstrap = StoreGroupBootstrap(settings)
        self._reasons: dict[str, str] = {}

    def on_started_leading(self) -> None:
        """What was gathered in an earlier term counts no more."""
        self._bootstrap = StoreGroupBootstrap(self._settings)
        self._reasons = {}

    async def step(self) -> None:
        """One look at the stores and the pause after it."""
        await self.work()
        await asyncio.sleep(INTERVAL_S)

    async def work(self) -> None:
        """What is to be done now, if this keeper leads."""
        if not self._period.is_leading():
            return
        for command in self._commands():
            await self._propose(command)
        await self._complete_orders()

    def _commands(self) -> list[Command]:
        inventory = self._inventory()
        if self._state.initial_stores:
            return [*record_updates(inventory), *order_updates(inventory)]
        initial = self._bootstrap.choose(inventory.alive, asyncio.get_running_loop().time())
        forming = [Command(form_store_group=FormStoreGroup(initial=initial))] if initial else []
        return [*record_updates(inventory), *forming]

    async def _complete_orders(self) -> None:
        """Complete the orders whose machines both groups have left, by their committed lists.

        The stores' list is asked for anew each time. What it excludes stays excluded under every later
        primary, so a change of primary between the answer and the removal changes nothing.
        """
        if not self._open_orders():
            return
        reply = await self._reader.read(self._store_addresses())
        if isinstance(reply, Err):
            return
        stores = CommittedMembership.of_stores(reply.ok_value)
        for order in self._open_orders():
            committed = self._group.committed_members()
            if committed is None or not self._period.is_leading():
                return
            keepers = CommittedMembership.of_controllers(committed)
            hindrance = blocking_reason(order, keepers, stores, full_size(self._settings))
            self._note(order, hindrance or "")
            if hindrance is None:
                await self._propose(Command(retired=_retired(order)))

    def _open_orders(self) -> list[RetireOrder]:
        return [order for order in self._state.retire_orders.values() if not order.completed]

    def _store_addresses(self) -> list[str]:
        """Stores to ask: those that say they lead first, the newest epoch before others, then all known."""
        alive = self._inventory().alive
        leaders = [one.announcement for one in alive if one.announcement.group_primary]
        leaders.sort(key=lambda leader: leader.group_epoch, reverse=True)
        others = [one.announcement for one in alive]
        ips = [*(one.ip for one in (*leaders, *others)), *(one.ip for one in self._state.machines.values())]
        return [self._settings.peer_address(ip, STORE_PROGRAM) for ip in dict.fromkeys(ips) if ip]

    def _note(self, order: RetireOrder, hindrance: str) -> None:
        if hindrance != self._reasons.get(order.node_name, ""):
            _log.info("retire_order_blocked", extra={"machine": order.node_name, "reason": hindrance})
        self._reasons[order.node_name] = hindrance

    async def _propose(self, command: Command) -> None:
        outcome = await self._group.propose(command.SerializeToString(), COMMAND_TIMEOUT_S)
        details = {"command": command.WhichOneof("body")}
        if isinstance(outcome, Err):
            _log.warning("store_group_change_failed", extra={**details, "reason": outcome.err_value.detail})
        else:
            _log.info("store_group_changed", extra=details)


def _retired(order: RetireOrder) -> Retired:
    return Retired(node_name=order.node_name, member_id=order.member_id, revision=order.revision)
