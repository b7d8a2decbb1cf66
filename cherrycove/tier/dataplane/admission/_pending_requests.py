"""Live requests that wait at this proxy, in the order in which they are sent. Pure."""

from __future__ import annotations

from bisect import insort

from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


class PendingRequests:
    def __init__(self) -> None:
        self._requests: list[AdmissionRequest] = []  # by their order

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request: AdmissionRequest) -> bool:
        return request in self._requests

    def add(self, request: AdmissionRequest) -> None:
        insort(self._requests, request, key=lambda each: each.queue_key)

    def remove(self, request: AdmissionRequest) -> None:
        """It waits no more, neither here nor in the queue of its kind or of a broker."""
        self._requests.remove(request)
        if request.queue_entry is not None:
            request.queue_entry.leave()

    def in_order(self, now: float) -> list[AdmissionRequest]:
        """The earliest due first, but behind those that can still be in time the ones that cannot: else, in
        an overload, one late request makes the next late."""
        in_time = [request for request in self._requests if now < request.due_at]
        return in_time + [request for request in self._requests if now >= request.due_at]
