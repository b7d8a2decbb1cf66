"""Storage machines and the orders to empty them: the part of the keepers' replicated state about machines.

A machine is recorded when its store first announces itself, with its address and the disks of its store and
keeper. A retire order copies what is recorded and goes on learning, so that a keeper that was just elected
knows from committed state alone which members of both groups stand on the machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableSequence

from cherrycove.tier.protocol.control_pb2 import Replica
from cherrycove.tier.protocol.keeper_pb2 import ForgetRetired, Retire, Retired, RetireOrder, StoreMachine


def host_of(address: str) -> str:
    """The host of ``host:port``."""
    return address.rpartition(":")[0]


def same_machine(order: RetireOrder, machine: StoreMachine) -> bool:
    """Whether ``machine``, which has the name that ``order`` names, is the machine that was meant.

    A machine that lost its disk comes back at its address; a new machine of the name has another one."""
    if not order.ips or not machine.ip:
        return machine.store_id in ("", order.member_id)
    return machine.ip in order.ips


def is_on_machine(order: RetireOrder, node_name: str, address: str) -> bool:
    """Whether a member of a group is a process of the machine that ``order`` names.

    The first members of the keepers' group have no node name: their address tells."""
    if node_name:
        return node_name == order.node_name
    return host_of(address) in order.ips


class StorageMachines:
    """Records and orders by node name. Every operation is a function of the state and the command alone."""

    def __init__(self) -> None:
        self._machines: dict[str, StoreMachine] = {}
        self._orders: dict[str, RetireOrder] = {}

    @property
    def machines(self) -> Mapping[str, StoreMachine]:
        return self._machines

    @property
    def orders(self) -> Mapping[str, RetireOrder]:
        return self._orders

    def restore(self, machines: Iterable[StoreMachine], orders: Iterable[RetireOrder]) -> None:
        self._machines = {machine.node_name: machine for machine in machines}
        self._orders = {order.node_name: order for order in orders}

    def record_initial(self, replicas: Iterable[Replica]) -> None:
        """The stores that begin the store group."""
        for one in replicas:
            machine = StoreMachine(node_name=one.node_name, ip=host_of(one.address), store_id=one.member_id)
            self._merge(machine)

    def record(self, machine: StoreMachine, revision: int) -> bool:
        """Note what ``machine`` announced; whether an order learned from it, at ``revision``."""
        known = self._merge(machine)
        order = self._orders.get(machine.node_name)
        if order is None or _is_over(order, known):
            return False
        return self._learn(order, known, revision)

    def retire(self, command: Retire, revision: int) -> bool:
        """Take an order, or let one that stands learn; whether anything changed, at ``revision``."""
        known = self._merge(
            StoreMachine(
                node_name=command.node_name,
                ip=command.ip,
                store_id=command.member_id,
                keeper_id=command.keeper_id,
            )
        )
        order = self._orders.get(command.node_name)
        if order is not None and not _is_over(order, known):
            return self._learn(order, known, revision)
        self._learn(RetireOrder(node_name=command.node_name), known, revision)
        return True

    def complete(self, command: Retired) -> bool:
        """The machine is free to go, unless its order learned something since that was found."""
        order = self._orders.get(command.node_name)
        if order is None or order.completed or command.revision not in (0, order.revision):
            return False
        completed = _copy(order)
        completed.completed = True
        completed.member_id = command.member_id or order.member_id
        self._orders[command.node_name] = completed
        return True

    def forget(self, command: ForgetRetired) -> bool:
        """A new machine has the name of one that was emptied."""
        order = self._orders.get(command.node_name)
        if order is None or not order.completed or order.member_id != command.member_id:
            return False
        del self._orders[command.node_name]
        return True

    def _merge(self, machine: StoreMachine) -> StoreMachine:
        """Record what is told of ``machine``; what is not told stays as it was."""
        merged = StoreMachine()
        merged.CopyFrom(self._machines.get(machine.node_name, machine))
        merged.MergeFrom(machine)
        self._machines[machine.node_name] = merged
        return merged

    def _learn(self, order: RetireOrder, machine: StoreMachine, revision: int) -> bool:
        learned = _copy(order)
        learned.member_id = machine.store_id or order.member_id
        _append_newest(learned.ips, machine.ip)
        _append_newest(learned.store_ids, machine.store_id)
        _append_newest(learned.keeper_ids, machine.keeper_id)
        if learned == order and order.node_name in self._orders:
            return False
        learned.revision = revision
        self._orders[order.node_name] = learned
        return True


def _is_over(order: RetireOrder, machine: StoreMachine) -> bool:
    """Whether ``order`` was carried out, and ``machine`` is a new one of that name."""
    return order.completed and not same_machine(order, machine)


def _append_newest(known: MutableSequence[str], value: str) -> None:
    if value and value not in known:
        known.append(value)


def _copy(order: RetireOrder) -> RetireOrder:
    copy = RetireOrder()
    copy.CopyFrom(order)
    return copy
