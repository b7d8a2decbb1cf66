"""What operators, proxies and the world saw, and what must hold of it.

Nothing here asks the code under test for a judgement: answers are taken as they left a process, accepted
changes as they were applied, copies as they stand on the simulated disks.
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

LEASE_BOUND_S = 0.8  # without contact to anyone for longer, a keeper neither confirms, refuses nor hands out
FINAL_REFUSALS = (400, 404, 409, 412, 413, 422)


@attrs.frozen
class Change:
    """One configuration as an operator orders it."""

    version: int
    base: int
    digest: bytes = attrs.field(repr=lambda digest: digest.hex()[:8])


@lru_cache(maxsize=4096)
def digest_of(body: bytes) -> bytes | None:
    return content_digest(body)


@lru_cache(maxsize=4096)
def change_in(payload: bytes) -> Change | None:
    """The change in a command of the keepers' log."""
    command = Command.FromString(payload)
    if command.WhichOneof("body") != "accept_configuration":
        return None
    accepted = command.accept_configuration
    return Change(accepted.version, accepted.base_version, accepted.digest)


@lru_cache(maxsize=256)
def _accepted_in(state: bytes) -> dict[int, bytes]:
    return {entry.version: entry.digest for entry in Snapshot.FromString(state).accepted}


def holds(disk: MachineDisk, change: Change) -> bool:
    """Whether ``change`` is synced on ``disk``."""
    if disk.snapshot is not None and _accepted_in(disk.snapshot.state).get(change.version) == change.digest:
        return True
    for entry in reversed(disk.entries):
        if entry.kind is EntryKind.COMMAND and change_in(entry.payload) == change:
            return True
    return False


class History:
    """Everything that was promised so far."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._chain: dict[int, Change] = {}  # accepted, by log index
        self._accepted: dict[Change, int] = {}
        self._acknowledged: dict[int, Change] = {}  # by version
        self._by_base: dict[int, Change] = {}
        self._refused: dict[Change, str] = {}
        self.newest: Change | None = None  # of those acknowledged
        self.newest_since = 0.0
        self.acknowledgements: list[tuple[float, int]] = []
        self.retired: set[str] = set()
        self.trace: list[str] = []
        self.broken: InvariantBrokenError | None = None

    def note(self, text: str) -> None:
        self.trace.append(f"{self._clock():9.4f} {text}")

    def require(self, condition: bool, detail: str) -> None:
        if not condition:
            self.fail(detail)

    def fail(self, detail: str) -> NoReturn:
        self.note(f"BROKEN {detail}")
        error = InvariantBrokenError(f"at {self._clock():.4f}: {detail}")
        self.broken = self.broken or error  # a process may swallow what is raised in it
        raise error

    @property
    def newest_version(self) -> int:
        return 0 if self.newest is None else self.newest.version

    @property
    def acknowledged(self) -> int:
        return len(self._acknowledged)

    # Configurations

    def check_authority(self, who: str, action: str, isolated_s: float) -> None:
        """``who`` did ``action`` in the group's name, ``isolated_s`` after its last contact to a quorum."""
        self.require(isolated_s <= LEASE_BOUND_S, f"{who} {action}, {isolated_s:.2f} s without a quorum")

    def accepted(self, who: str, index: int, change: Change) -> None:
        """A keeper applied ``change`` at ``index`` as taken."""
        known = self._chain.setdefault(index, change)
        if known != change:
            self.fail(f"{who} applied {change} at {index}, others {known}")
        self._accepted.setdefault(change, index)
        refused = self._refused.get(change)
        if refused is not None:
            self.fail(f"{change} is in force, though {refused}")

    def acknowledge(self, who: str, change: Change, holders: Iterable[str], wanted: int) -> None:
        """A 200 for ``change`` leaves ``who``; ``holders`` are the machines with a synced copy."""
        places = sorted(holders)
        self.note(f"{who} 200 version {change.version} on {places}")
        known = self._acknowledged.setdefault(change.version, change)
        self.require(known == change, f"two contents confirmed under {change.version}")
        rival = self._by_base.setdefault(change.base, change)
        if rival != change:
            self.fail(f"{rival} and {change} were both confirmed")
        if change not in self._accepted:
            self.fail(f"{who} confirmed {change}, which nobody applied")
        if len(places) < wanted:
            self.fail(f"{who} confirmed {change} on {places}, not {wanted}")
        self.acknowledgements.append((self._clock(), change.version))
        if self.newest is None or change.version > self.newest.version:
            self.newest = change
            self.newest_since = self._clock()

    def refuse(self, who: str, change: Change, status: int) -> None:
        """A final 4xx for ``change`` leaves ``who``."""
        self._refused.setdefault(change, f"{who} refused it with {status} at {self._clock():.4f}")
        if change in self._accepted:
            self.fail(f"{who} answered {status} to {change}, which was taken")

    def read(self, who: str, version: int, digest: bytes | None, floor: int) -> None:
        """A reader got ``version``; ``floor`` was the newest acknowledged when its read was sent."""
        self.require(version >= floor, f"{who} handed out version {version}, after {floor} was confirmed")
        if digest is not None and version in self._acknowledged:
            same = self._acknowledged[version].digest == digest
            self.require(same, f"{who} handed out another content of version {version}")

    def acknowledged_change(self, moment: float) -> Change | None:
        """The newest change acknowledged at ``moment``."""
        return self._acknowledged.get(self.acknowledged_before(moment))

    def acknowledged_before(self, moment: float) -> int:
        """The newest version acknowledged at ``moment``."""
        return max((version for at, version in self.acknowledgements if at <= moment), default=0)
