"""The tier's processes as they announce themselves to the primary controller. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.protocol.control_pb2 import Announcement, MemberList

MEMBER_TIMEOUT_S = 3.0  # without a pull for so long, a process counts as gone
LEAVING_TIMEOUT_S = 1.5  # the same, after it announced a graceful shutdown
RETENTION_S = 60.0  # without a pull for so long, a process of any program is forgotten
REPLACED_TIMEOUT_S = 1.5  # a process that is alive pulls more often than this
MAX_REPLACED_INCARNATIONS = 4  # earlier incarnations of one process that are recognized


@attrs.frozen
class ProcessKey:
    """One program on one machine."""

    node_name: str
    program: str


@attrs.define
class Registration:
    """The newest announcement of one process, and when it came."""

    announcement: Announcement
    last_seen_at: float  # monotonic s
    is_unconfirmed: bool = False  # not announced since ``inherit`` or ``resume``
    replaced_incarnations: tuple[str, ...] = ()  # earlier incarnations

    def is_alive(self, now: float) -> bool:
        """Whether the process announced itself recently enough at ``now``."""
        timeout = LEAVING_TIMEOUT_S if self.announcement.leaving else MEMBER_TIMEOUT_S
        return now - self.last_seen_at < timeout


class ProcessRegistry:
    """The newest registration of each process, by machine and program. Times are monotonic seconds.

    Owned by the ``ProcessDirectory``; only the primary's is complete. Soft state: a crash or a new primary
    begins with an empty one, or with what the earlier primary published.
    """

    def __init__(self) -> None:
        self._entries: dict[ProcessKey, Registration] = {}

    def inherit(self, members: Iterable[Announcement], now: float) -> None:
        """Add the processes that an earlier primary published; each has the usual time to announce itself."""
        for member in members:
            key = ProcessKey(member.node_name, member.program)
            if key not in self._entries:
                self._entries[key] = Registration(announcement=member, last_seen_at=now, is_unconfirmed=True)

    def resume(self, now: float) -> None:
        """Give every process the usual time again, after a pause in which none could announce itself."""
        for entry in self._entries.values():
            entry.last_seen_at = now
            entry.is_unconfirmed = True

    def announce(self, announcement: Announcement, now: float) -> None:
        """Register ``announcement``; a newer incarnation replaces an older one.

        Which of two is newer is decided by the order of arrival. An announcement that a partition delayed may
        arrive after that of a newer incarnation, and so replace it; then no further one of the older comes,
        and after ``REPLACED_TIMEOUT_S`` the newer replaces it again.
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
        """Remove processes that did not announce themselves for ``RETENTION_S``."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if now - entry.last_seen_at < RETENTION_S
        }

    def alive(self, now: float, program: str = "") -> list[Registration]:
        """Return the processes alive at ``now``, of one program or of all, by node name."""
        found = [
            entry
            for entry in self._entries.values()
            if entry.is_alive(now) and program in ("", entry.announcement.program)
        ]
        return sorted(found, key=lambda entry: (entry.announcement.node_name, entry.announcement.program))

    def recently_seen(self, program: str) -> list[Registration]:
        """Return the processes of one program, also those lately gone."""
        return [entry for entry in self._entries.values() if entry.announcement.program == program]

    def members(self, now: float) -> MemberList:
        """Return the announcements of all processes alive at ``now``."""
        return MemberList(members=[entry.announcement for entry in self.alive(now)])
