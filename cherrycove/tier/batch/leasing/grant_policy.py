"""Decides how many waiting items a proxy is granted at once, and in which order."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from math import ceil
from statistics import median_low

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey

USABLE_FRACTION = 0.95  # fraction of the brokers' slots for live requests and leased items together
LIVE_HEADROOM = 1.0  # slots reserved for each live request that is open now
MIN_BATCH_FRACTION = 0.1  # fraction of the slots that items may use regardless of live requests
OVERDUE_INTERVAL = 4  # one in this many grants goes to an item that will miss its completion target


def fair_share(waiting: int, proxies: int) -> int:
    """Return how many of the ``waiting`` items one request may get, so that all ``proxies`` get work.

    ``proxies`` is the number of proxies that have capacity. The share is rounded up.
    """
    return -(-waiting // max(proxies, 1))


def lease_limit(broker_slots: Sequence[int], live_requests: int) -> int | None:
    """Return how many items may be leased at once without taking slots from live requests.

    None means no limit. ``broker_slots`` are the total broker slots as each proxy reported them, 0 if it did
    not report any. Their median is used, since a partitioned proxy sees only some of the brokers.
    ``live_requests`` is the total over all proxies.
    """
    reported = [slots for slots in broker_slots if slots > 0]
    if not reported:
        return None
    slots = median_low(reported)
    available = int(slots * USABLE_FRACTION) - ceil(live_requests * LIVE_HEADROOM)
    return max(available, ceil(slots * MIN_BATCH_FRACTION))


@attrs.define
class GrantOrder:
    """Prefers items that can still meet their completion target without starving those that cannot."""

    _grants: int = 0

    def next_item(self, in_time: Iterator[ItemKey], overdue: Iterator[ItemKey]) -> ItemKey | None:
        """Return the item to grant next; None if both iterators are exhausted."""
        self._grants += 1
        first, second = (overdue, in_time) if self._grants % OVERDUE_INTERVAL == 0 else (in_time, overdue)
        return next(first, None) or next(second, None)
