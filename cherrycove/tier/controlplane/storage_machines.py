"""Holds the replicated state of the storage machines and of the orders to retire them.

A machine is recorded when its store first announces itself, with its address and the disks of its store and
its controller. A retire order copies this record, and later records extend it, so that a newly elected
primary knows from committed state alone which members of both groups run on the machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableSequence

from cherrycove.tier.protocol.control_pb2 import Replica
from cherrycove.tier.protocol.keeper_pb2 import ForgetRetired, Retire, Retired, RetireOrder, StoreMachine


def host_of(address: str) -> str:
    """Return the host of ``host:port``."""
    return address.rpartition(":")[0]


def same_machine(order: RetireOrder, machine: StoreMachine) -> bool:
    """Return whether ``machine``, which has the node name of ``order``, is the machine of that order.

    A machine that lost its disk keeps its address; a new machine with the same name has another address.
    """
    if not order.ips or not machine.ip:
        return machine.store_id in ("", order.member_id)
    return machine.ip in order.ips


def is_on_machine(order: RetireOrder, node_name: str, address: str) -> bool:
    """Return whether a group member runs on the machine of ``order``.

    The first members of the controllers' group have no node name; they are compared by ``address``
    (host:port).
    """
    if node_name:
        return node_name == order.node_name
    return host_of(address) in order.ips


class StorageMachines:
    """Holds machine records and retire orders by node name.

    Part of ``StoreGroupState``, which alone changes it. Every operation is a function of the state and the
    command, without I/O or clock access. docs/design/control-plane.md describes the states of an order.
    """

    def __init__(self) -> None:
        self._machines: dict[str, StoreMachine] = {}
        self._orders: dict[str, RetireOrder] = {}

    @property
    def machines(self) -> Mapping[str, StoreMachine]:
        """Return the recorded machines; records are never removed."""
        return self._machines

    @property
    def orders(self) -> Mapping[str, RetireOrder]:
        """Return the retire orders, both active and completed ones."""
        return self._orders

    def restore(self, machines: Iterable[StoreMachine], orders: Iterable[RetireOrder]) -> None:
        """Replace the whole state by the content of a snapshot."""
        self._machines = {machine.node_name: machine for machine in machines}
        self._orders = {order.node_name: order for order in orders}

    def record_initial(self, replicas: Iterable[Replica]) -> None:
        """Record the machines of the store group's initial members."""
        for replica in replicas:
            self._merge(
                StoreMachine(
                    node_name=replica.node_name, ip=host_of(replica.address), store_id=replica.member_id
                )
            )

    def record(self, machine: StoreMachine, revision: int) -> bool:
        """Record ``machine``; return whether this extended its retire order, which then gets ``revision``."""
        known = self._merge(machine)
        order = self._orders.get(machine.node_name)
        if order is None or _is_superseded(order, known):
            return False
        return self._extend(order, known, revision)

    def retire(self, command: Retire, revision: int) -> bool:
        """Add or extend an order; return whether it changed, in which case it gets ``revision``."""
        known = self._merge(
            StoreMachine(
                node_name=command.node_name,
                ip=command.ip,
                store_id=command.member_id,
                keeper_id=command.keeper_id,
            )
        )
        order = self._orders.get(command.node_name)
        if order is not None and not _is_superseded(order, known):
            return self._extend(order, known, revision)
        self._extend(RetireOrder(node_name=command.node_name), known, revision)
        return True

    def complete(self, command: Retired) -> bool:
        """Complete an order, so that its machine may be decommissioned; return whether it took effect.

        It has no effect if the order was extended after the check that led to ``command``, since that check
        did not cover the new disk. Revision 0 comes from releases that did not send a revision.
        """
        order = self._orders.get(command.node_name)
        if order is None or order.completed or command.revision not in (0, order.revision):
            return False
        completed = _copy(order)
        completed.completed = True
        completed.member_id = command.member_id or order.member_id
        self._orders[command.node_name] = completed
        return True

    def forget(self, command: ForgetRetired) -> bool:
        """Remove a completed order whose name a new machine uses; return whether it took effect."""
        order = self._orders.get(command.node_name)
        if order is None or not order.completed or order.member_id != command.member_id:
            return False
        del self._orders[command.node_name]
        return True

    def _merge(self, machine: StoreMachine) -> StoreMachine:
        """Merge the set fields of ``machine`` into its record and return the record."""
        merged = StoreMachine()
        merged.CopyFrom(self._machines.get(machine.node_name, machine))
        merged.MergeFrom(machine)
        self._machines[machine.node_name] = merged
        return merged

    def _extend(self, order: RetireOrder, machine: StoreMachine, revision: int) -> bool:
        """Add the address and disks of ``machine`` to ``order``; return whether any of them was new."""
        extended = _copy(order)
        extended.member_id = machine.store_id or order.member_id
        _append_if_new(extended.ips, machine.ip)
        _append_if_new(extended.store_ids, machine.store_id)
        _append_if_new(extended.keeper_ids, machine.keeper_id)
        if extended == order and order.node_name in self._orders:
            return False
        extended.revision = revision
        self._orders[order.node_name] = extended
        return True


def _is_superseded(order: RetireOrder, machine: StoreMachine) -> bool:
    """Return whether ``order`` is completed and ``machine`` is a new machine with its node name."""
    return order.completed and not same_machine(order, machine)


def _append_if_new(known: MutableSequence[str], value: str) -> None:
    if value and value not in known:
        known.append(value)


def _copy(order: RetireOrder) -> RetireOrder:
    copy = RetireOrder()
    copy.CopyFrom(order)
    return copy
