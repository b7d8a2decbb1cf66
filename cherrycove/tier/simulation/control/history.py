"""The history of configurations as operators and proxies saw it, and what must hold of it.

The code under test is not asked: answers are recorded as they left a process, accepted changes as they were
applied, and replicas as they are on the simulated disks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import NoReturn

import attrs

from cherrycove.tier.controlplane.configuration_state import content_digest
from cherrycove.tier.protocol.keeper_pb2 import Command, Snapshot
from cherrycove.tier.simulation.control.machine_disk import MachineDisk
from cherrycove.tier.simulation.invariants import InvariantBrokenError
from cherrycove.tier.storage.entries import EntryKind

LEASE_BOUND_S = 0.8  # without a quorum for longer, a controller neither confirms, rejects nor answers pulls
FINAL_REJECTIONS = (400, 404, 409, 412, 413, 422)


@attrs.frozen
class Change:
    """A configuration as an operator sends it: its version, the version it is based on, and its digest."""

    version: int
    base: int
    digest: bytes = attrs.field(repr=lambda digest: digest.hex()[:8])


@lru_cache(maxsize=4096)
def configuration_digest(body: bytes) -> bytes | None:
    """Return the digest of a configuration's content; None if ``body`` is no document."""
    return content_digest(body)


@lru_cache(maxsize=4096)
def change_in(payload: bytes) -> Change | None:
    """Return the change in a command of the controllers' log; None if it has none."""
    command = Command.FromString(payload)
    if command.WhichOneof("body") != "accept_configuration":
        return None
    accepted = command.accept_configuration
    return Change(accepted.version, accepted.base_version, accepted.digest)


@lru_cache(maxsize=256)
def _accepted_in(state: bytes) -> dict[int, bytes]:
    return {entry.version: entry.digest for entry in Snapshot.FromString(state).accepted}


def holds_change(disk: MachineDisk, change: Change) -> bool:
    """Whether ``change`` is synced on ``disk``."""
    if (
        disk.snapshot is not None
        and _accepted_in(bytes(disk.snapshot.state)).get(change.version) == change.digest
    ):
        return True
    for entry in reversed(disk.entries):
        if entry.kind is EntryKind.COMMAND and change_in(entry.payload) == change:
            return True
    return False


class History:
    """What was accepted, acknowledged, rejected and read so far, with a trace of events.

    ``newest`` is the newest acknowledged change, ``broken`` the first violation: processes may swallow it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_index: dict[int, Change] = {}  # accepted, by log index
        self._accepted: dict[Change, int] = {}
        self._acknowledged: dict[int, Change] = {}  # by version
        self._by_base: dict[int, Change] = {}
        self._rejected: dict[Change, str] = {}
        self.newest: Change | None = None  # of those acknowledged
        self.acknowledgements: list[tuple[float, int]] = []
        self.retired: set[str] = set()
        self.trace: list[str] = []
        self.broken: InvariantBrokenError | None = None

    def note(self, text: str) -> None:
        """Add an event to the trace."""
        self.trace.append(f"{self._clock():9.4f} {text}")

    def require(self, condition: bool, detail: str) -> None:
        """Record and raise a violation unless ``condition`` holds."""
        if not condition:
            self.fail(detail)

    def fail(self, detail: str) -> NoReturn:
        """Record a violation, and raise ``InvariantBrokenError``."""
        self.note(f"BROKEN {detail}")
        error = InvariantBrokenError(f"at {self._clock():.4f}: {detail}")
        self.broken = self.broken or error  # a process may swallow what is raised in it
        raise error

    @property
    def newest_version(self) -> int:
        """Version of the newest acknowledged change; 0 if there is none."""
        return 0 if self.newest is None else self.newest.version

    @property
    def acknowledged(self) -> int:
        """How many changes were acknowledged."""
        return len(self._acknowledged)

    # Configurations

    def check_authority(self, process_name: str, action: str, isolated_s: float) -> None:
        """Check that a process may still hold a lease.

        ``action`` is what it did as primary, ``isolated_s`` the seconds since it last reached a quorum.
        """
        self.require(
            isolated_s <= LEASE_BOUND_S, f"{process_name} {action}, {isolated_s:.2f} s without a quorum"
        )

    def accepted(self, process_name: str, index: int, change: Change) -> None:
        """Check that ``process_name`` accepts ``change`` at log index ``index``, as all others do."""
        known = self._by_index.setdefault(index, change)
        if known != change:
            self.fail(f"{process_name} applied {change} at {index}, others {known}")
        self._accepted.setdefault(change, index)
        rejected = self._rejected.get(change)
        if rejected is not None:
            self.fail(f"{change} is in force, though {rejected}")

    def acknowledge(self, process_name: str, change: Change, holders: Iterable[str], required: int) -> None:
        """Check a 200 response to ``change`` as ``process_name`` sends it.

        ``holders`` are the machines that have synced the change; at least ``required`` must have.
        """
        names = sorted(holders)
        self.note(f"{process_name} 200 version {change.version} on {names}")
        known = self._acknowledged.setdefault(change.version, change)
        self.require(known == change, f"two contents confirmed under {change.version}")
        rival = self._by_base.setdefault(change.base, change)
        if rival != change:
            self.fail(f"{rival} and {change} were both confirmed")
        if change not in self._accepted:
            self.fail(f"{process_name} confirmed {change}, which nobody applied")
        if len(names) < required:
            self.fail(f"{process_name} confirmed {change} on {names}, not {required}")
        self.acknowledgements.append((self._clock(), change.version))
        if self.newest is None or change.version > self.newest.version:
            self.newest = change

    def reject(self, process_name: str, change: Change, status: int) -> None:
        """Check a final 4xx for ``change`` that leaves ``process_name``."""
        self._rejected.setdefault(change, f"{process_name} rejected it with {status} at {self._clock():.4f}")
        if change in self._accepted:
            self.fail(f"{process_name} answered {status} to {change}, which was accepted")

    def read(self, process_name: str, version: int, digest: bytes | None, min_version: int) -> None:
        """Check the ``version`` that ``process_name`` returns to a read.

        ``min_version`` is the newest version that was acknowledged when the read was sent; ``digest`` is None
        if only the version is known.
        """
        self.require(
            version >= min_version,
            f"{process_name} returned version {version}, after {min_version} was confirmed",
        )
        if digest is not None and version in self._acknowledged:
            same = self._acknowledged[version].digest == digest
            self.require(same, f"{process_name} returned another content of version {version}")

    def acknowledged_change(self, moment: float) -> Change | None:
        """Return the newest change that was acknowledged at the time ``moment``."""
        return self._acknowledged.get(self.acknowledged_before(moment))

    def acknowledged_before(self, moment: float) -> int:
        """Return the newest version that was acknowledged at the time ``moment``; 0 if none was."""
        return max((version for at, version in self.acknowledgements if at <= moment), default=0)
