"""Batch items that wait for a spare place at this proxy. Pure."""

from __future__ import annotations

from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


class BatchQueue:
    def __init__(self) -> None:
        self._waiting: dict[AdmissionRequest, None] = {}  # by their coming

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: AdmissionRequest) -> None:
        self._waiting[request] = None

    def remove(self, request: AdmissionRequest) -> None:
        self._waiting.pop(request, None)

    def in_order(self, now: float) -> list[AdmissionRequest]:
        """The earliest due first, those that are overdue behind the others."""
        return sorted(self._waiting, key=lambda request: (request.due_at <= now, request.due_at))
