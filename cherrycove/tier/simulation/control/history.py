"""Records the history of configurations as operators and proxies saw it, and checks its invariants.

The checks don't rely on the state of the code under test: replies are recorded as a process sends them,
accepted changes as they are applied, and replicas as they are on the simulated disks.
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

LEASE_BOUND_S = 0.8  # after this time without a quorum a controller must not confirm, reject or answer pulls
FINAL_REJECTIONS = (400, 404, 409, 412, 413, 422)


@attrs.frozen
class Change:
    """Identifies a configuration that an operator sends: version, version it is based on, and digest."""

    version: int
    base: int
    digest: bytes = attrs.field(repr=lambda digest: digest.hex()[:8])


@lru_cache(maxsize=4096)
def configuration_digest(body: bytes) -> bytes | None:
    """Return the digest of a configuration's content; None if ``body`` is not a valid document."""
    return content_digest(body)


@lru_cache(maxsize=4096)
def change_in(payload: bytes) -> Change | None:
    """Return the change that a command of the controllers' log accepts; None if it accepts none."""
    command = Command.FromString(payload)
    if command.WhichOneof("body") != "accept_configuration":
        return None
    accepted = command.accept_configuration
    return Change(accepted.version, accepted.base_version, accepted.digest)


@lru_cache(maxsize=256)
def _accepted_in(state: bytes) -> dict[int, bytes]:
    return {entry.version: entry.digest for entry in Snapshot.FromString(state).accepted}


def holds_change(disk: MachineDisk, change: Change) -> bool:
    """Return whether ``change`` is synced on ``disk``, in the log or in the snapshot."""
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
    """Records which changes were accepted, acknowledged, rejected and read, and a trace of events.

    ``newest`` is the newest acknowledged change. ``broken`` is the first violation, which is kept because a
    process may catch the exception that reports it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_index: dict[int, Change] = {}  # accepted changes by log index
        self._accepted: dict[Change, int] = {}
        self._acknowledged: dict[int, Change] = {}  # by version
        self._by_base: dict[int, Change] = {}  # acknowledged changes by base version
        self._rejected: dict[Change, str] = {}
        self.newest: Change | None = None
        self.acknowledgements: list[tuple[float, int]] = []  # (time, version)
        self.retired: set[str] = set()
        self.trace: list[str] = []
        self.broken: InvariantBrokenError | None = None

    def note(self, text: str) -> None:
        """Add an event to the trace."""
        self.trace.append(f"{self._clock():9.4f} {text}")

    def require(self, condition: bool, detail: str) -> None:
        """Record a violation and raise ``InvariantBrokenError`` unless ``condition`` holds."""
        if not condition:
            self.fail(detail)

    def fail(self, detail: str) -> NoReturn:
        """Record a violation and raise ``InvariantBrokenError``."""
        self.note(f"BROKEN {detail}")
        error = InvariantBrokenError(f"at {self._clock():.4f}: {detail}")
        self.broken = self.broken or error
        raise error

    @property
    def newest_version(self) -> int:
        """Return the version of the newest acknowledged change; 0 if there is none."""
        return 0 if self.newest is None else self.newest.version

    @property
    def acknowledged(self) -> int:
        """Return how many changes were acknowledged."""
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
        """Check that ``process_name`` accepts at log index ``index`` the same ``change`` as all others."""
        known = self._by_index.setdefault(index, change)
        if known != change:
            self.fail(f"{process_name} applied {change} at index {index}, where others applied {known}")
        self._accepted.setdefault(change, index)
        rejected = self._rejected.get(change)
        if rejected is not None:
            self.fail(f"{change} took effect, though {rejected}")

    def acknowledge(self, process_name: str, change: Change, holders: Iterable[str], required: int) -> None:
        """Check a 200 response to ``change`` as ``process_name`` sends it.

        ``holders`` are the machines that have synced the change; at least ``required`` must have.
        """
        names = sorted(holders)
        self.note(f"{process_name} 200 version {change.version} on {names}")
        known = self._acknowledged.setdefault(change.version, change)
        self.require(known == change, f"two different documents were confirmed as version {change.version}")
        conflicting = self._by_base.setdefault(change.base, change)
        if conflicting != change:
            self.fail(f"{conflicting} and {change} have the same base and were both confirmed")
        if change not in self._accepted:
            self.fail(f"{process_name} confirmed {change}, which no controller has applied")
        if len(names) < required:
            self.fail(f"{process_name} confirmed {change} synced on {names}, needs {required} disks")
        self.acknowledgements.append((self._clock(), change.version))
        if self.newest is None or change.version > self.newest.version:
            self.newest = change

    def reject(self, process_name: str, change: Change, status: int) -> None:
        """Check a final 4xx response to ``change`` as ``process_name`` sends it."""
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
            f"{process_name} returned version {version} after version {min_version} was confirmed",
        )
        if digest is not None and version in self._acknowledged:
            same = self._acknowledged[version].digest == digest
            self.require(same, f"{process_name} returned different content for version {version}")

    def acknowledged_change(self, moment: float) -> Change | None:
        """Return the newest change acknowledged by the time ``moment``; None if there is none."""
        return self._acknowledged.get(self.acknowledged_before(moment))

    def acknowledged_before(self, moment: float) -> int:
        """Return the newest version acknowledged by the time ``moment``; 0 if there is none."""
        return max((version for at, version in self.acknowledgements if at <= moment), default=0)
