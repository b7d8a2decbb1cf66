"""How many waiting items a proxy gets at once, and in which order."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from cherrycove.tier.batch.jobs.model import ItemKey

OVERDUE_INTERVAL = 4  # every so many grants, one goes to an item that will miss its target


def fair_share(waiting: int, proxies: int) -> int:
    """At most so many of the ``waiting`` items for one request, so that all ``proxies`` get work.

    ``proxies`` counts those that have capacity; the share is rounded up.
    """
    return -(-waiting // max(proxies, 1))


@attrs.define
class GrantOrder:
    """Prefers items that can still meet their completion target, without starving those that cannot."""

    _grants: int = 0

    def next_item(self, in_time: Iterator[ItemKey], overdue: Iterator[ItemKey]) -> ItemKey | None:
        """The item to be granted next; None if both are exhausted."""
        self._grants += 1
        first, second = (overdue, in_time) if self._grants % OVERDUE_INTERVAL == 0 else (in_time, overdue)
        return next(first, None) or next(second, None)
