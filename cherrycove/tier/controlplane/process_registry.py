"""The primary's register of the tier's processes: soft state, rebuilt from their announcements. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.protocol.control_pb2 import Announcement, MemberList

MEMBER_TIMEOUT_S = 3.0  # without a pull for so long, a process counts as gone
LEAVING_TIMEOUT_S = 1.5  # the same, of one that announced to leave
RETENTION_S = 60.0  # a store that is gone may come back for so long
MINOR_CHANGE_INTERVAL_S = 1.0  # rates and versions alone are published no more often
REPLACED_TIMEOUT_S = 1.5  # a process that lives pulls more often than this
MAX_REPLACED_INCARNATIONS = 4  # earlier incarnations of one process that are recognised


@attrs.frozen
class ProcessKey:
    """One program on one machine."""

    node_name: str
    program: str


@attrs.define
class Registration:
    """What is known of one process."""

    announcement: Announcement
    last_seen_at: float  # s
    inherited: bool = False  # known from an earlier primary's list only
    replaced_incarnations: tuple[str, ...] = ()  # earlier incarnations

    def is_alive(self, now: float) -> bool:
        timeout = LEAVING_TIMEOUT_S if self.announcement.leaving else MEMBER_TIMEOUT_S
        return now - self.last_seen_at < timeout


class ProcessRegistry:
    """Processes by machine and program. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._entries: dict[ProcessKey, Registration] = {}

    def inherit(self, members: Iterable[Announcement], now: float) -> None:
        """Processes that an earlier primary knew; each has the usual time to announce itself again."""
        for member in members:
            key = ProcessKey(member.node_name, member.program)
            if key not in self._entries:
                self._entries[key] = Registration(announcement=member, last_seen_at=now, inherited=True)

    def resume(self, now: float) -> None:
        """Nobody could be heard for a while; each process alive before has the usual time again."""
        for entry in self._entries.values():
            entry.last_seen_at = now
            entry.inherited = True

    def announce(self, announcement: Announcement, now: float) -> None:
        """A process announced itself; a newer incarnation replaces an older one.

        Which of two is newer is told by the order in which they come. An announcement that a cut held up may
        come first after that of a newer incarnation and so replace it; then the one in place is not heard
        again, and the other one takes its place back.
        """
        key = ProcessKey(announcement.node_name, announcement.program)
        known = self._entries.get(key)
        replaced: tuple[str, ...] = ()
        if known is not None:
            if (
                announcement.incarnation in known.replaced_incarnations
                and now - known.last_seen_at < REPLACED_TIMEOUT_S
            ):
                return
            replaced = tuple(one for one in known.replaced_incarnations if one != announcement.incarnation)
            if known.announcement.incarnation != announcement.incarnation:
                replaced = (*replaced, known.announcement.incarnation)[-MAX_REPLACED_INCARNATIONS:]
        self._entries[key] = Registration(
            announcement=announcement, last_seen_at=now, replaced_incarnations=replaced
        )

    def forget_old(self, now: float) -> None:
        """Drop what was not heard of for so long that nothing depends on it."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if now - entry.last_seen_at < RETENTION_S
        }

    def alive(self, now: float, program: str = "") -> list[Registration]:
        """Processes alive now, of one program or of all, by node name."""
        found = [
            entry
            for entry in self._entries.values()
            if entry.is_alive(now) and program in ("", entry.announcement.program)
        ]
        return sorted(found, key=lambda entry: (entry.announcement.node_name, entry.announcement.program))

    def recently_seen(self, program: str) -> list[Registration]:
        """Processes of one program, also those lately gone."""
        return [entry for entry in self._entries.values() if entry.announcement.program == program]

    def members(self, now: float) -> MemberList:
        return MemberList(members=[entry.announcement for entry in self.alive(now)])


def _without_minor_fields(members: MemberList) -> bytes:
    relevant = MemberList()
    relevant.CopyFrom(members)
    for member in relevant.members:
        member.ClearField("arrivals_per_s")
        member.ClearField("configuration_version")
    return relevant.SerializeToString(deterministic=True)


class MemberListThrottle:
    """Decides when a new list of members is worth publishing."""

    def __init__(self) -> None:
        self._relevant: bytes | None = None
        self._whole = b""
        self._published_at = float("-inf")

    def should_publish(self, members: MemberList, now: float) -> bool:
        """Whether to publish ``members`` now; True counts as published."""
        whole = members.SerializeToString(deterministic=True)
        if self._relevant is not None and whole == self._whole:
            return False
        relevant = _without_minor_fields(members)
        if relevant == self._relevant and now - self._published_at < MINOR_CHANGE_INTERVAL_S:
            return False
        self._relevant = relevant
        self._whole = whole
        self._published_at = now
        return True
