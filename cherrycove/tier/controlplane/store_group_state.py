"""Holds the replicated state of the store group: its initial members, machines and retire orders."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from cherrycove.tier.controlplane.storage_machines import StorageMachines
from cherrycove.tier.protocol.control_pb2 import Replica, StoreGroup
from cherrycove.tier.protocol.keeper_pb2 import (
    ForgetRetired,
    FormStoreGroup,
    RecordMachines,
    Retire,
    Retired,
    RetireOrder,
    StoreMachine,
)


class StoreGroupState:
    """Holds the store group's initial members, the storage machines and the retire orders.

    Part of ``ControlState``, which alone changes it, by committed commands and snapshots. Every operation is
    a function of the state and the command. The group's log and snapshots persist it.

    ``revision`` counts the changes that are published to the stores. An order carries the revision at which
    it was last extended, so the revision in a reply of the store group's primary tells which extensions that
    primary has applied.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._initial: tuple[Replica, ...] = ()
        self._machines = StorageMachines()

    @property
    def revision(self) -> int:
        """Return the number of changes of ``message()``; 0 before the first one."""
        return self._revision

    @property
    def initial(self) -> Sequence[Replica]:
        """Return the initial replicas of the store group; empty until it is formed."""
        return self._initial

    @property
    def retire_orders(self) -> Mapping[str, RetireOrder]:
        """Return the retire orders by node name, including completed ones."""
        return self._machines.orders

    @property
    def machines(self) -> Mapping[str, StoreMachine]:
        """Return all storage machines that have ever announced themselves, by node name."""
        return self._machines.machines

    def message(self) -> StoreGroup:
        """Return the message that is published to the stores."""
        return StoreGroup(
            initial=self._initial,
            retiring=sorted(self.retire_orders),
            revision=self._revision,
            retiring_disks=[
                Replica(member_id=disk, node_name=name)
                for name, order in sorted(self.retire_orders.items())
                for disk in order.store_ids
            ],
        )

    def form(self, command: FormStoreGroup) -> bool:
        """Set the initial members; return False if they are already set or ``command`` has none."""
        if self._initial or not command.initial:
            return False
        self._initial = tuple(command.initial)
        self._machines.record_initial(self._initial)
        return self._bump_revision(changed=True)

    def record(self, command: RecordMachines) -> bool:
        """Record announced machines; return whether this extended a retire order."""
        revision = self._revision + 1
        extended = [self._machines.record(machine, revision) for machine in command.machines]
        return self._bump_revision(changed=any(extended))

    def retire(self, command: Retire) -> bool:
        """Add a retire order or extend one; return whether anything changed."""
        return self._bump_revision(changed=self._machines.retire(command, self._revision + 1))

    def complete(self, command: Retired) -> bool:
        """Complete a retire order; return whether it took effect."""
        return self._bump_revision(changed=self._machines.complete(command))

    def forget(self, command: ForgetRetired) -> bool:
        """Remove a completed retire order; return whether it took effect."""
        return self._bump_revision(changed=self._machines.forget(command))

    def restore(
        self,
        revision: int,
        initial: Iterable[Replica],
        machines: Iterable[StoreMachine],
        orders: Iterable[RetireOrder],
    ) -> None:
        """Replace the whole state by the content of a snapshot."""
        self._revision = revision
        self._initial = tuple(initial)
        self._machines.restore(machines, orders)

    def _bump_revision(self, *, changed: bool) -> bool:
        if changed:
            self._revision += 1
        return changed
