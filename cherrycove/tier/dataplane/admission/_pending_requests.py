"""The live requests that are pending at this proxy, in dispatch order."""

from __future__ import annotations

from bisect import insort

from cherrycove.tier.dataplane.admission._interface import AdmissionRequest


class PendingRequests:
    """A queue sorted by ``AdmissionRequest.queue_key``, owned by ``AdmissionState``.

    There is one queue for the whole proxy, so that a free slot goes to the first request that may use it,
    even if that request is queued for another broker.
    """

    def __init__(self) -> None:
        self._requests: list[AdmissionRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request: AdmissionRequest) -> bool:
        return request in self._requests

    def add(self, request: AdmissionRequest) -> None:
        """Insert the request after those with the same key."""
        insort(self._requests, request, key=lambda pending: pending.queue_key)

    def remove(self, request: AdmissionRequest) -> None:
        """Remove the request, also from the queue of its route or broker."""
        self._requests.remove(request)
        if request.queue_entry is not None:
            request.queue_entry.leave()

    def in_dispatch_order(self, now: float) -> list[AdmissionRequest]:
        """Return all requests by key, but those past their target latency after all others.

        Otherwise, in an overload, each late request would make the next one late too.
        """
        in_time = [request for request in self._requests if now < request.due_at]
        return in_time + [request for request in self._requests if now >= request.due_at]
