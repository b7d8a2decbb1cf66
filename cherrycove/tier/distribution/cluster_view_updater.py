"""Applies topic updates to the cluster view."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from result import Err

from cherrycove.tier.configuration import parse_configuration
from cherrycove.tier.distribution.cluster_view import Broker, ClusterView
from cherrycove.tier.distribution.topics import VersionVector
from cherrycove.tier.protocol.control_pb2 import BrokerEntry, TopicUpdate

_log = logging.getLogger(__name__)


class ClusterViewUpdater:
    """Applies updates to the cluster view; no topic returns to an older version while the process runs.

    ``versions`` are those of the view and advance only with applied updates. An update that could not be
    parsed is therefore received again with every pull until it, or a newer one, can be parsed.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._versions = VersionVector()
        self._has_unreadable = False

    @property
    def versions(self) -> VersionVector:
        """Return the versions of the topics in the view."""
        return self._versions

    @property
    def has_unreadable(self) -> bool:
        """Return whether the last updates included one that is newer than the view and was not applied."""
        return self._has_unreadable

    def apply(self, updates: Iterable[TopicUpdate]) -> bool:
        """Apply each update that is newer than the view; return whether any was applied."""
        newer = [update for update in updates if self._versions.is_newer(update.version)]
        applied = [update for update in newer if self._apply_one(update)]
        for update in applied:
            self._versions.advance(update.version)
        if applied:
            self._view.notify_listeners()
        self._has_unreadable = len(applied) < len(newer)
        return bool(applied)

    def _apply_one(self, update: TopicUpdate) -> bool:
        """Apply ``update``; return False if it cannot be parsed or is inconsistent."""
        body = update.WhichOneof("body")
        if body == "configuration":
            return self._apply_configuration(update)
        if body == "brokers":
            self._view.brokers = tuple(_broker(entry) for entry in update.brokers.brokers)
        elif body == "members":
            self._view.members = tuple(update.members.members)
        elif body == "store_group":
            self._view.store_group = update.store_group
        return body is not None

    def _apply_configuration(self, update: TopicUpdate) -> bool:
        document = update.configuration.document
        parsed = parse_configuration(document)
        if isinstance(parsed, Err):
            _log.error("configuration_unreadable", extra={"reason": parsed.err_value.detail})
            return False
        current = self._view.configuration
        version = parsed.ok_value.version
        if version != update.version.sequence or (current is not None and version < current.version):
            _log.error("configuration_misnumbered", extra={"version": version})
            return False
        self._view.configuration = parsed.ok_value
        self._view.document = document
        return True


def _broker(entry: BrokerEntry) -> Broker:
    return Broker(
        instance_id=entry.instance_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        capacity_slots=entry.capacity_slots,
        draining=entry.draining,
        warmup_remaining_ms=entry.warmup_remaining_ms,
        version=entry.version,
    )
