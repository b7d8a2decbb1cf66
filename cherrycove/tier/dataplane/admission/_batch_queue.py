"""Batch items that are pending at this proxy. Pure."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


class BatchQueue:
    """Pending items in the order of their arrival, owned by ``AdmissionState``."""

    def __init__(self) -> None:
        self._requests: dict[AdmissionRequest, None] = {}  # a set that keeps the order of insertion

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: AdmissionRequest) -> None:
        """Append an item."""
        self._requests[request] = None

    def remove(self, request: AdmissionRequest) -> None:
        """Take an item out, if it is there."""
        self._requests.pop(request, None)

    def in_dispatch_order(self, now: float) -> list[AdmissionRequest]:
        """All items: the earliest due first, overdue ones behind the others."""
        return sorted(self._requests, key=lambda request: (request.due_at <= now, request.due_at))
