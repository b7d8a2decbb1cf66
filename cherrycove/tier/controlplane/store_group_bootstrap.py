"""Chooses the initial members of the store group, without I/O or clock access."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.replication.quorums import target_group_size
from cherrycove.tier.settings import Settings

DISCOVERY_PERIOD_S = 1.0  # time from the first store seen, so that the others can announce themselves
PARTIAL_DISCOVERY_PERIOD_S = 3.0  # the same time if fewer stores than a full group were seen
DISCOVERY_TIMEOUT_S = 5.0  # time after which the group is formed of the stores that are alive


class StoreGroupBootstrap:
    """Collects the stores seen in one epoch, and chooses the members once the set is large and stable enough.

    Owned by the ``StoreGroupReconciler``, which creates a new one for each epoch. Times are monotonic
    seconds. Nothing is persisted here: a choice takes effect only when it is committed, and the state machine
    accepts only one.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._first_seen: float | None = None
        self._seen: frozenset[str] = frozenset()
        self._seen_since = 0.0

    def choose(self, stores: Sequence[Registration], now: float) -> list[Replica]:
        """Return the initial replicas, or an empty list while it is too early; ``stores`` are those alive.

        Stores whose disk was created empty at the first start of the deployment are preferred. Others are
        chosen only after ``DISCOVERY_TIMEOUT_S``, if there are too few preferred ones.
        """
        present = [entry.announcement for entry in stores if _is_usable(entry)]
        if not present:
            return []
        if self._first_seen is None:
            self._first_seen = now
        self._record_seen(frozenset(store.member_id for store in present), now)
        fresh = [store for store in present if store.first_start]
        waited_s = now - self._first_seen
        if waited_s >= DISCOVERY_TIMEOUT_S:
            return self._select(fresh if self._is_enough(fresh) else present)
        if waited_s >= DISCOVERY_PERIOD_S and len(fresh) >= self._target_size():
            return self._select(fresh)
        stable = now - self._seen_since >= DISCOVERY_PERIOD_S
        if waited_s >= PARTIAL_DISCOVERY_PERIOD_S and stable and self._is_enough(fresh):
            return self._select(fresh)
        return []

    def _record_seen(self, seen: frozenset[str], now: float) -> None:
        if seen != self._seen:
            self._seen = seen
            self._seen_since = now

    def _is_enough(self, stores: Sequence[Announcement]) -> bool:
        return len(stores) > self._settings.fault_tolerance.machine_failures

    def _target_size(self) -> int:
        return target_group_size(self._settings.fault_tolerance.machine_failures)

    def _select(self, stores: Iterable[Announcement]) -> list[Replica]:
        chosen = _interleave_zones(stores)[: self._target_size()]
        return [
            Replica(
                member_id=store.member_id,
                node_name=store.node_name,
                address=self._settings.peer_address(store.ip, STORE_PROGRAM),
                zone=store.zone,
            )
            for store in chosen
        ]


def _is_usable(entry: Registration) -> bool:
    announcement = entry.announcement
    return bool(announcement.member_id) and not announcement.leaving and not entry.is_unconfirmed


def _interleave_zones(stores: Iterable[Announcement]) -> list[Announcement]:
    """Return the stores sorted by node name within each zone, taking one of each zone in turn."""
    zones: dict[str, list[Announcement]] = {}
    for store in sorted(stores, key=lambda announcement: announcement.node_name):
        zones.setdefault(store.zone, []).append(store)
    ordered: list[Announcement] = []
    while any(zones.values()):
        ordered.extend(queue.pop(0) for queue in zones.values() if queue)
    return ordered
