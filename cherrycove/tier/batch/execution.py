"""How batch work runs an item: the contract between the worker and the data plane, which executes items."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from typing import Protocol

import attrs

from cherrycove.tier.protocol.batch_pb2 import LeasedItem

ROUTE_REMOVED = "route_removed"  # reason for which an item is dead-lettered


class ItemState(Enum):
    """How one execution of an item ended."""

    COMPLETED = "completed"
    DEAD_LETTERED = "dead_lettered"  # certainly cannot complete
    RETURNED = "returned"  # not done; may be leased again


@attrs.frozen
class ItemOutcome:
    """The end of one execution of an item, with what its state needs."""

    state: ItemState
    text: bytes = b""  # COMPLETED: the data of all events in order, with line feeds between them
    reason: str = ""  # DEAD_LETTERED: unprocessable (422) or attempts (maxAttempts answers of 500)
    failed_attempts: int = 0  # answers of 500 so far, earlier leases included


@attrs.frozen
class ExecutorLoad:
    """What an executor knows of the brokers to which it could send items, and of what runs beside them."""

    broker_slots: int  # of all these brokers together; 0: unknown
    live_requests: int  # of this process, pending and in flight
    usable_brokers: Mapping[str, int] = attrs.field(factory=dict)  # slots by id; of many only some


RecordFailures = Callable[[int], Awaitable[None]]  # returns once the count outlives this process


class ItemExecutor(Protocol):
    """Runs items at model brokers; implemented by ``cherrycove.tier.dataplane``."""

    def free_slots(self) -> int:
        """How many further items could be started now without harming live requests."""

    def load(self) -> ExecutorLoad:
        """By which the stores decide how many items may run at once, of all proxies together."""

    async def run_item(
        self, item: LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        """Run the item to its end, resuming at other brokers with Last-Event-Id where one breaks off.

        ``may_send`` is asked just before every send to a broker; after False nothing more is sent and the
        outcome is RETURNED. After each answer of 500 ``record_failures`` is awaited, with their number so
        far, before the item is sent again. Cancelling the task closes the broker's connection.
        """
