"""Accepts the operator's orders to retire storage machines, and reports their progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from result import Err, Ok, Result

from cherrycove.tier.controlplane.barrier_proposer import BarrierProposer
from cherrycove.tier.controlplane.exclusive_access import exclusive_access
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.controlplane.storage_machines import same_machine
from cherrycove.tier.controlplane.store_inventory import StoreInventory, retire_command
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.keeper_pb2 import Command, Retire
from cherrycove.tier.replication.interface import Group

RETIRE_TIMEOUT_S = 2.5  # time limit of accepting an order, after which its outcome is reported as uncertain


class RetireState(Enum):
    """Enumerates the states of a retire order; the values appear in the operator's interface."""

    ACTIVE = "active"  # The machine is still a member of a group, or may be one.
    COMPLETED = "completed"  # The machine may be decommissioned.


class RetirementService:
    """Decides on retire orders, one at a time.

    Owned by the ``Controller``. An order is a command to the replicated state machine, and
    ``StoreGroupReconciler`` completes it; the service modifies no state itself. Only the confirmed primary
    decides, and it returns no final error before all stores had time to announce themselves.
    docs/design/control-plane.md describes the states of an order.
    """

    def __init__(
        self,
        group: Group,
        state: ControlState,
        leadership: Leadership,
        inventory: Callable[[], StoreInventory],
        stores_had_time_to_announce: Callable[[], bool],
        group_size: int,
    ) -> None:
        """``inventory`` returns the current view of the stores.

        ``group_size`` is the number of members of a complete group.
        """
        self._proposer = BarrierProposer(group)
        self._state = state
        self._leadership = leadership
        self._inventory = inventory
        self._stores_had_time_to_announce = stores_had_time_to_announce
        self._group_size = group_size
        self._lock = asyncio.Lock()

    async def order(self, node_name: str) -> Result[None, Failure]:
        """Order the machine ``node_name`` to retire.

        Returns Ok if the order is committed now or was committed earlier. NOT_FOUND (no such machine) and
        CONFLICT (too few machines would remain) are final errors. After NOT_PRIMARY and UNAVAILABLE the
        request may be sent again: this call committed nothing, although an identical earlier one may have.
        After DEADLINE the outcome is unknown.
        """
        deadline = asyncio.get_running_loop().time() + RETIRE_TIMEOUT_S
        async with exclusive_access(self._lock, deadline) as acquired:
            if not acquired:
                return Err(Failure(ErrorKind.UNAVAILABLE, "earlier orders are still being decided"))
            return await self._order(node_name, deadline)

    def state(self, node_name: str) -> Result[RetireState, Failure]:
        """Return the state of the order for ``node_name``; NOT_FOUND if there is none, or NOT_PRIMARY."""
        if not self._leadership.is_confirmed_primary():
            return Err(self._leadership.not_primary_failure())
        order = self._state.retire_orders.get(node_name)
        if order is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no order to empty {node_name!r}"))
        return Ok(RetireState.COMPLETED if order.completed else RetireState.ACTIVE)

    async def _order(self, node_name: str, deadline: float) -> Result[None, Failure]:
        loop = asyncio.get_running_loop()
        resolved = await self._proposer.resolve(deadline - loop.time())
        if isinstance(resolved, Err):
            return resolved
        checked = self._check(node_name)
        if isinstance(checked, Err):
            return checked
        if checked.ok_value is None:
            return Ok(None)
        outcome = await self._proposer.propose(Command(retire=checked.ok_value), deadline - loop.time())
        if isinstance(outcome, Ok):
            return Ok(None)
        failure = outcome.err_value
        if failure.kind is ErrorKind.NOT_PRIMARY:
            return Err(self._leadership.not_primary_failure())
        kind = ErrorKind.UNAVAILABLE if failure.had_no_effect else ErrorKind.DEADLINE
        return Err(Failure(kind, failure.detail))

    def _check(self, node_name: str) -> Result[Retire | None, Failure]:
        """Return the command to commit, or None if the order is already committed.

        Must not await anything: leadership is checked first and must still hold for every result.
        """
        if not self._leadership.is_confirmed_primary():
            return Err(self._leadership.not_primary_failure())
        inventory = self._inventory()
        machine = inventory.machine(node_name)
        order = self._state.retire_orders.get(node_name)
        if order is not None and (not order.completed or same_machine(order, machine)):
            return Ok(None)
        enough = inventory.count_remaining(node_name, inventory.alive) >= self._group_size
        if inventory.is_known(node_name) and enough:
            return Ok(retire_command(machine))
        return Err(self._rejection(node_name, inventory))

    def _rejection(self, node_name: str, inventory: StoreInventory) -> Failure:
        """Return why the order is rejected; the error is final only if no absent store could change it."""
        if not self._stores_had_time_to_announce() or not inventory.recently_seen:
            return Failure(ErrorKind.UNAVAILABLE, "the stores have not announced themselves yet")
        if not inventory.is_known(node_name):
            return Failure(ErrorKind.NOT_FOUND, f"no storage machine {node_name!r}")
        if inventory.count_possibly_remaining(node_name) >= self._group_size:
            return Failure(ErrorKind.UNAVAILABLE, "a storage machine is away at the moment")
        return Failure(ErrorKind.CONFLICT, "too few storage machines would remain")
