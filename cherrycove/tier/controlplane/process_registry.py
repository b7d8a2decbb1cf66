"""Registers the tier's processes by their announcements to the primary, without I/O or clock access."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cherrycove.tier.protocol.control_pb2 import Announcement, MemberList

MEMBER_TIMEOUT_S = 3.0  # time without a pull after which a process is no longer considered alive
LEAVING_TIMEOUT_S = 1.5  # the same time for a process that announced a graceful shutdown
RETENTION_S = 60.0  # time without a pull after which a registration is removed, whatever its program
REPLACED_TIMEOUT_S = 1.5  # longer than the pull interval of any process that is alive
MAX_REPLACED_INCARNATIONS = 4  # number of earlier incarnations remembered per process


@attrs.frozen
class ProcessKey:
    """Identifies a process by its machine and program."""

    node_name: str
    program: str


@attrs.define
class Registration:
    """Holds the newest announcement of one process and the time of its arrival."""

    announcement: Announcement
    last_seen_at: float  # monotonic time in s
    # True if the process has not announced itself since ``inherit`` or ``resume``.
    is_unconfirmed: bool = False
    replaced_incarnations: tuple[str, ...] = ()  # earlier incarnations, the newest last

    def is_alive(self, now: float) -> bool:
        """Return whether the last announcement is recent enough at ``now``."""
        timeout = LEAVING_TIMEOUT_S if self.announcement.leaving else MEMBER_TIMEOUT_S
        return now - self.last_seen_at < timeout


class ProcessRegistry:
    """Holds the newest registration of each process, by machine and program. Times are monotonic seconds.

    Owned by the ``ProcessDirectory``; only that of the primary is complete. It is in memory only: after a
    crash or a change of primary, it starts empty or with the list that the earlier primary published.
    """

    def __init__(self) -> None:
        self._entries: dict[ProcessKey, Registration] = {}

    def inherit(self, members: Iterable[Announcement], now: float) -> None:
        """Add the processes published by an earlier primary; each must announce itself within its timeout."""
        for member in members:
            key = ProcessKey(member.node_name, member.program)
            if key not in self._entries:
                self._entries[key] = Registration(announcement=member, last_seen_at=now, is_unconfirmed=True)

    def resume(self, now: float, paused_at: float) -> None:
        """Restart the timeout of those alive at ``paused_at``: since then none could announce itself."""
        for entry in self._entries.values():
            if entry.is_alive(paused_at):
                entry.last_seen_at = now
            entry.is_unconfirmed = True

    def announce(self, announcement: Announcement, now: float) -> None:
        """Register ``announcement``; a newer incarnation replaces an older one.

        The order of arrival decides which incarnation is newer. An announcement delayed by a partition may
        arrive after that of a newer incarnation and replace it. The older incarnation then sends no further
        announcements, so after ``REPLACED_TIMEOUT_S`` the newer one replaces it again.
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
            replaced = tuple(
                incarnation
                for incarnation in known.replaced_incarnations
                if incarnation != announcement.incarnation
            )
            if known.announcement.incarnation != announcement.incarnation:
                replaced = (*replaced, known.announcement.incarnation)[-MAX_REPLACED_INCARNATIONS:]
        self._entries[key] = Registration(
            announcement=announcement, last_seen_at=now, replaced_incarnations=replaced
        )

    def remove_expired(self, now: float) -> None:
        """Remove processes that did not announce themselves for ``RETENTION_S``."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if now - entry.last_seen_at < RETENTION_S
        }

    def alive(self, now: float, program: str = "") -> list[Registration]:
        """Return the processes alive at ``now``, of one program or of all, sorted by node name."""
        found = [
            entry
            for entry in self._entries.values()
            if entry.is_alive(now) and program in ("", entry.announcement.program)
        ]
        return sorted(found, key=lambda entry: (entry.announcement.node_name, entry.announcement.program))

    def recently_seen(self, program: str) -> list[Registration]:
        """Return the registered processes of one program, including those that are no longer alive."""
        return [entry for entry in self._entries.values() if entry.announcement.program == program]

    def members(self, now: float) -> MemberList:
        """Return the announcements of all processes alive at ``now``."""
        return MemberList(members=[entry.announcement for entry in self.alive(now)])
