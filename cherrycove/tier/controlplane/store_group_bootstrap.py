"""Chooses the stores that begin the store group. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cherrycove.tier.controlplane.process_registry import Registration
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.replication.quorums import target_group_size
from cherrycove.tier.settings import Settings

GATHER_S = 1.0  # after the first store was seen, so that all are seen
SPARSE_GATHER_S = 3.0  # the same while fewer than the full group are seen
LAST_RESORT_S = 5.0  # after this the group is formed of whatever is alive


class StoreGroupBootstrap:
    """Collects the stores seen in one epoch, and chooses when enough of them were seen for long enough.

    Owned by the ``StoreGroupReconciler``, which makes a new one for each epoch. Times are monotonic seconds.
    Nothing survives a crash: the choice counts only once it is committed, and is committed only once.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._first_seen: float | None = None
        self._seen: frozenset[str] = frozenset()
        self._seen_since = 0.0

    def choose(self, stores: Sequence[Registration], now: float) -> list[Replica]:
        """Return the initial replicas, or none while it is too early; ``stores`` are those alive.

        Stores whose empty disk was made at the first start of the deployment are preferred; others are chosen
        only as a last resort.
        """
        present = [entry.announcement for entry in stores if _is_usable(entry)]
        if not present:
            return []
        if self._first_seen is None:
            self._first_seen = now
        self._note_seen(frozenset(store.member_id for store in present), now)
        fresh = [store for store in present if store.first_start]
        waited_s = now - self._first_seen
        if waited_s >= LAST_RESORT_S:
            return self._pick(fresh if self._is_enough(fresh) else present)
        if waited_s >= GATHER_S and len(fresh) >= self._target_size():
            return self._pick(fresh)
        stable = now - self._seen_since >= GATHER_S
        if waited_s >= SPARSE_GATHER_S and stable and self._is_enough(fresh):
            return self._pick(fresh)
        return []

    def _note_seen(self, seen: frozenset[str], now: float) -> None:
        if seen != self._seen:
            self._seen = seen
            self._seen_since = now

    def _is_enough(self, stores: Sequence[Announcement]) -> bool:
        return len(stores) > self._settings.fault_tolerance.machine_failures

    def _target_size(self) -> int:
        return target_group_size(self._settings.fault_tolerance.machine_failures)

    def _pick(self, stores: Iterable[Announcement]) -> list[Replica]:
        chosen = _spread_over_zones(stores)[: self._target_size()]
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


def _spread_over_zones(stores: Iterable[Announcement]) -> list[Announcement]:
    """Return the stores by node name, one of each zone in turn."""
    zones: dict[str, list[Announcement]] = {}
    for store in sorted(stores, key=lambda one: one.node_name):
        zones.setdefault(store.zone, []).append(store)
    ordered: list[Announcement] = []
    while any(zones.values()):
        ordered.extend(queue.pop(0) for queue in zones.values() if queue)
    return ordered
