"""Defines the interface between the batch worker and the data plane, which executes items."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from typing import Protocol

import attrs

from cherrycove.tier.protocol.batch_pb2 import LeasedItem

ROUTE_REMOVED = "route_removed"  # dead-letter reason of items whose route left the configuration


class ItemState(Enum):
    """Enumerates the ways in which one execution of an item can end."""

    COMPLETED = "completed"
    DEAD_LETTERED = "dead_lettered"  # the item can never complete
    RETURNED = "returned"  # the item was not finished and may be leased again


@attrs.frozen
class ItemOutcome:
    """Describes how one execution of an item ended. ``state`` decides which other fields are set."""

    state: ItemState
    text: bytes = b""  # if COMPLETED: the data of all events in order, joined by line feeds
    # If DEAD_LETTERED: unprocessable (status 422) or attempts (maxAttempts responses of status 500).
    reason: str = ""
    failed_attempts: int = 0  # responses of status 500 so far, including those under earlier leases


@attrs.frozen
class ExecutorLoad:
    """Reports the broker capacity that an executor sees, and the live requests that share it."""

    broker_slots: int  # total slots of all brokers that could receive items; 0 if unknown
    live_requests: int  # pending and in-flight requests of this process
    usable_brokers: Mapping[str, int] = attrs.field(factory=dict)  # slots by instance id; may be a subset


# Records the number of failed attempts; returns once the count would survive a crash of this process.
RecordFailures = Callable[[int], Awaitable[None]]


class ItemExecutor(Protocol):
    """Runs items at model brokers; implemented by ``cherrycove.tier.dataplane``."""

    def free_slots(self) -> int:
        """Return how many further items could be started now without delaying live requests."""

    def load(self) -> ExecutorLoad:
        """Return the load from which the stores derive how many items may run at once across all proxies."""

    async def run_item(
        self, item: LeasedItem, may_send: Callable[[], bool], record_failures: RecordFailures
    ) -> ItemOutcome:
        """Run the item to its end; if a broker's response breaks off, resume at another with Last-Event-Id.

        ``may_send`` is called just before every send to a broker; once it returns False nothing more is sent
        and the outcome is RETURNED. After each response of status 500 ``record_failures`` is awaited with the
        number of failures so far, before the item is sent again. Cancelling the task closes the broker's
        connection.
        """
