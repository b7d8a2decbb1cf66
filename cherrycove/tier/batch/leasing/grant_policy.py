"""How many waiting items a proxy gets at once, and in which order."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from math import ceil
from statistics import median_low

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey

USABLE_FRACTION = 0.95  # of the brokers' slots, for live requests and leased items together
LIVE_HEADROOM = 1.0  # slots kept for each live request that is open now
MIN_BATCH_FRACTION = 0.1  # of the slots, which items may use however many live requests there are
OVERDUE_INTERVAL = 4  # every so many grants, one goes to an item that will miss its target


def fair_share(waiting: int, proxies: int) -> int:
    """At most so many of the ``waiting`` items for one request, so that all ``proxies`` get work.

    ``proxies`` counts those that have capacity; the share is rounded up.
    """
    return -(-waiting // max(proxies, 1))


def lease_limit(broker_slots: Sequence[int], live_requests: int) -> int | None:
    """How many items may be leased at once, so that live requests find a free slot; None: unlimited.

    ``broker_slots`` are the slots of all brokers as each proxy reported them, 0 if it did not; their median
    counts, since a proxy that was cut off knows too few. ``live_requests`` are those of all proxies together.
    """
    reported = [slots for slots in broker_slots if slots > 0]
    if not reported:
        return None
    slots = median_low(reported)
    available = int(slots * USABLE_FRACTION) - ceil(live_requests * LIVE_HEADROOM)
    return max(available, ceil(slots * MIN_BATCH_FRACTION))


@attrs.define
class GrantOrder:
    """Prefers items that can still meet their completion target, without starving those that cannot."""

    _grants: int = 0

    def next_item(self, in_time: Iterator[ItemKey], overdue: Iterator[ItemKey]) -> ItemKey | None:
        """The item to be granted next; None if both are exhausted."""
        self._grants += 1
        first, second = (overdue, in_time) if self._grants % OVERDUE_INTERVAL == 0 else (in_time, overdue)
        return next(first, None) or next(second, None)
