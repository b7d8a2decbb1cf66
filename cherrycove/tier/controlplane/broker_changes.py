"""Compares successive reads of the platform's broker list, without I/O or clock access."""

from __future__ import annotations

from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.control_pb2 import BrokerEntry, BrokerList


def broker_entry(broker: Broker) -> BrokerEntry:
    """Convert ``broker`` back into its protobuf message."""
    return BrokerEntry(
        instance_id=broker.instance_id,
        service=broker.service,
        address=broker.address,
        zone=broker.zone,
        capacity_slots=broker.capacity_slots,
        draining=broker.draining,
        warmup_remaining_ms=broker.warmup_remaining_ms,
        version=broker.version,
    )


def same_brokers(left: BrokerList, right: BrokerList) -> bool:
    """Return whether two lists are equal, apart from the remaining warm-up times."""
    return _without_warmup(left) == _without_warmup(right)


def _without_warmup(brokers: BrokerList) -> bytes:
    copy = BrokerList()
    copy.CopyFrom(brokers)
    for entry in copy.brokers:
        entry.ClearField("warmup_remaining_ms")
    return copy.SerializeToString(deterministic=True)


class RemovalConfirmation:
    """Removes a broker only after two consecutive reads without it, if the list has several pages.

    Owned by the ``BrokerWatcher``, which creates a new one for each epoch. Pages are read one after the
    other; if the list changes between two calls, a broker can be missing from all pages.
    """

    def __init__(self) -> None:
        self._last_read: dict[str, BrokerEntry] = {}
        # Brokers that are still published although they were missing from the last read.
        self._missed: dict[str, BrokerEntry] = {}

    def merge(self, read: BrokerList, pages: int) -> BrokerList:
        """Return the list to publish after ``read``, which took ``pages`` calls."""
        present = {entry.instance_id: entry for entry in read.brokers}
        missed = {key: entry for key, entry in self._last_read.items() if key not in present}
        self._last_read = present
        self._missed = missed if pages > 1 else {}
        published = {**present, **self._missed}
        return BrokerList(brokers=[published[key] for key in sorted(published)])
