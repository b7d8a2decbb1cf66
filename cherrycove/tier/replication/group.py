"""Implementation of a replicated group at run time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

from result import Err, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.driver import GroupComponents, ReplicaDriver
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.replication.recovery import RecoveredReplica, ReplicaRecovery

STOP_COMMIT_TIMEOUT_S = 0.5  # maximum wait of a graceful stop for pending proposals
STOP_FLUSH_TIMEOUT_S = 0.5  # maximum wait of a graceful stop for its queued messages
USABLE_DISK_SHARE = 0.9  # share of the disk limit for commands; the rest is for replication entries

_log = logging.getLogger(__name__)


class ReplicatedGroup:
    """Runs the replica of a group in this process; implements ``replication.interface.Group``.

    ``factory.create_group`` builds it, and one program owns it. It has three states: not started (nothing is
    known, proposals are rejected), started (``start`` to ``stop``), and stopped. It must not be started
    again: nothing prevents that, but after the first ``stop`` all proposals are rejected. If the disk is
    damaged, ``start`` empties it and continues under a new identity.
    """

    def __init__(self, options: GroupOptions, components: GroupComponents) -> None:
        self._options = options
        self._components = components
        self._recovery = ReplicaRecovery(options)
        self._membership_requests = MembershipRequests()
        self._driver: ReplicaDriver | None = None  # while the replica is started
        self._start_lock = asyncio.Lock()
        self._is_stopping = False

    # State

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of this replica; ``start`` changes its member id if the disk is damaged."""
        return self._recovery.identity

    @property
    def epoch(self) -> int:
        """Return the newest epoch known to this replica; 0 while not started."""
        return self._driver.machine.epoch if self._driver is not None else 0

    @property
    def primary(self) -> MemberIdentity | None:
        """Return the replica believed to be the primary; None while unknown."""
        return self._driver.machine.primary if self._driver is not None else None

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        """Return the members in force, as far as this replica knows."""
        return self._driver.machine.members if self._driver is not None else ()

    def voting_member_ids(self) -> frozenset[str]:
        """Return the ids of all voting members; during a membership change, of both memberships."""
        return self._driver.machine.voting_member_ids() if self._driver is not None else frozenset()

    def committed_members(self) -> CommittedMembers | None:
        """Return the members in force; None during a change, or if this is not the confirmed primary."""
        driver = self._driver
        return driver.machine.committed_members(self._now()) if driver is not None else None

    def is_confirmed_primary(self) -> bool:
        """Return whether this replica leads under a valid lease and has applied all committed entries."""
        return self._driver is not None and self._driver.machine.is_confirmed_primary(self._now())

    # Requests

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        """Replicate ``command`` and apply it.

        Returns the result of ``StateMachine.apply``. With NOT_PRIMARY and OVERLOADED (the disk is nearly
        full) the command was not appended; with UNCERTAIN it is unknown whether the command will be applied,
        as when it did not commit within ``timeout_s`` seconds.
        """
        driver = self._driver
        if driver is None or self._is_stopping:
            return Err(self._not_primary())
        if self._is_disk_nearly_full(driver, len(command)):
            return Err(Failure(ErrorKind.OVERLOADED, f"{self._options.name}: the disk is nearly full"))
        future = driver.propose(command)
        if future is None:
            return Err(self._not_primary())
        return await self._components.proposals.wait(future, timeout_s)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        """Set the replicas outside the group that the primary may add; replaces the previous ones."""
        self._membership_requests.standbys = tuple(standbys)

    def set_retiring(self, names: frozenset[str]) -> None:
        """Set the replicas, by node name or member id, that must leave; replaces the previous ones."""
        self._membership_requests.retiring = names

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of role, epoch, primary or members."""
        self._components.notifier.subscribe(callback)

    # Lifecycle

    async def start(self, initial_members: Sequence[MemberIdentity] = ()) -> None:
        """Recover the disk and join the group; may be called again once the initial members are known.

        ``initial_members`` is ignored if the log has entries or this replica is not among them. Raises
        ``OSError`` if the disk cannot be read or written.
        """
        async with self._start_lock:
            if self._driver is None:
                started_at = self._now()
                recovered = await self._options.runtime.run_blocking(self._recovery.recover)
                self._log_recovery(recovered, self._now() - started_at)
                self._start_driver(recovered)
        if initial_members and self._driver is not None:
            self._driver.bootstrap(initial_members)

    async def stop(self) -> None:
        """Transfer leadership if this replica is the primary, then stop; the stored state is kept."""
        self._is_stopping = True
        driver = self._driver
        if driver is None:
            return
        if driver.machine.role is Role.PRIMARY:
            await self._components.proposals.wait_for_all(STOP_COMMIT_TIMEOUT_S)
            driver.transfer_leadership()
            await self._components.messenger.flush(STOP_FLUSH_TIMEOUT_S)
        driver.close()
        self._driver = None
        self._components.messenger.close()
        await driver.stop_writer()
        self._components.proposals.abandon_all()

    def _log_recovery(self, recovered: RecoveredReplica, took_s: float) -> None:
        state = recovered.state
        details = {
            "group": self._options.name,
            "member": self.identity.member_id,
            "snapshot_index": state.snapshot.index if state.snapshot is not None else 0,
            "last_index": state.last_index,
            "commit_index": state.hard_state.commit_index,
            "epoch": state.hard_state.epoch,
            "stored_bytes": recovered.storage.size_bytes,
            "took_s": round(took_s, 3),
        }
        _log.info("replica_recovered", extra=details)

    def _start_driver(self, recovered: RecoveredReplica) -> None:
        options = self._options
        machine = ReplicaMachine(
            self.identity,
            options.faults,
            recovered.state,
            recovered.storage,
            options.random,
            self._now(),
            timing=options.timing,
            membership_requests=self._membership_requests,
        )
        # Listeners query this group as soon as the driver starts, so ``_driver`` must be set before.
        self._driver = ReplicaDriver(self._components, machine, recovered.storage, self.identity)
        self._components.messenger.attach(self._driver)
        self._driver.start()

    def _now(self) -> float:
        return self._options.runtime.clock()

    def _is_disk_nearly_full(self, driver: ReplicaDriver, command_bytes: int) -> bool:
        usable_bytes = self._options.disk_limit_bytes * USABLE_DISK_SHARE
        return usable_bytes > 0 and driver.stored_bytes + command_bytes > usable_bytes

    def _not_primary(self) -> Failure:
        primary = self.primary
        is_other = primary is not None and primary.member_id != self.identity.member_id
        address = primary.address if primary is not None and is_other else ""
        detail = f"{self._options.name}: this replica does not lead"
        return Failure(ErrorKind.NOT_PRIMARY, detail, primary=address)
