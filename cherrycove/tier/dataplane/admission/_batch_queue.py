"""The batch items that are pending at this proxy."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


class BatchQueue:
    """Keeps pending items in the order of their arrival; owned by ``AdmissionState``."""

    def __init__(self) -> None:
        self._requests: dict[AdmissionRequest, None] = {}  # used as an ordered set

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: AdmissionRequest) -> None:
        """Append an item; does nothing if it is queued already."""
        self._requests[request] = None

    def remove(self, request: AdmissionRequest) -> None:
        """Remove an item, if it is queued."""
        self._requests.pop(request, None)

    def in_dispatch_order(self, now: float) -> list[AdmissionRequest]:
        """Return all items by due time, earliest first, but overdue items after all others."""
        return sorted(self._requests, key=lambda request: (request.due_at <= now, request.due_at))
