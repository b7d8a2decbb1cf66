"""Limits how often a new list of the tier's processes is published, without I/O or clock access."""

from __future__ import annotations

from cherrycove.tier.protocol.control_pb2 import MemberList

MINOR_CHANGE_INTERVAL_S = 1.0  # minimum time between two lists that differ in minor fields only


class MemberListThrottle:
    """Limits how often member lists are published that differ in minor fields only.

    Owned by ``ControlTopics``, which creates a new one for each epoch. Minor fields are arrival rates and
    configuration versions. They change constantly, and every list is sent to every process.
    """

    def __init__(self) -> None:
        self._relevant: bytes | None = None
        self._published = b""
        self._published_at = float("-inf")

    def admit(self, members: MemberList, now: float) -> bool:
        """Return whether to publish ``members`` at ``now`` (monotonic s); records them if so."""
        serialized = members.SerializeToString(deterministic=True)
        if self._relevant is not None and serialized == self._published:
            return False
        relevant = _without_minor_fields(members)
        if relevant == self._relevant and now - self._published_at < MINOR_CHANGE_INTERVAL_S:
            return False
        self._relevant = relevant
        self._published = serialized
        self._published_at = now
        return True


def _without_minor_fields(members: MemberList) -> bytes:
    relevant = MemberList()
    relevant.CopyFrom(members)
    for member in relevant.members:
        member.ClearField("arrivals_per_s")
        member.ClearField("configuration_version")
    return relevant.SerializeToString(deterministic=True)
