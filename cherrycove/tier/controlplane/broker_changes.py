"""What changed between two reads of the platform's list of brokers. Pure."""

from __future__ import annotations

from cherrycove.tier.distribution.cluster_view import Broker
from cherrycove.tier.protocol.control_pb2 import BrokerEntry, BrokerList


def broker_entry(broker: Broker) -> BrokerEntry:
    """Return the message that ``broker`` was made of."""
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
    """Whether two lists are equal, apart from the remaining warm-up times."""
    return _without_warmup(left) == _without_warmup(right)


def _without_warmup(brokers: BrokerList) -> bytes:
    copy = BrokerList()
    copy.CopyFrom(brokers)
    for entry in copy.brokers:
        entry.ClearField("warmup_remaining_ms")
    return copy.SerializeToString(deterministic=True)


class RemovalConfirmation:
    """Takes a broker as gone after two reads without it, where a list has several pages.

    Owned by the ``BrokerWatcher``, which makes a new one for each epoch. Pages are read one after the other;
    when the list shifts in between, a broker can be on none of them.
    """

    def __init__(self) -> None:
        self._known: dict[str, BrokerEntry] = {}  # of the last read
        self._missed: dict[str, BrokerEntry] = {}  # still published although the last read was without them

    def merge(self, read: BrokerList, pages: int) -> BrokerList:
        """Return the list to publish after ``read``, which took ``pages`` calls."""
        present = {entry.instance_id: entry for entry in read.brokers}
        missed = {key: entry for key, entry in self._known.items() if key not in present}
        self._known = present
        self._missed = missed if pages > 1 else {}
        published = {**present, **self._missed}
        return BrokerList(brokers=[published[key] for key in sorted(published)])
