"""A replicated group at run time: one machine with its clock, writer thread and internal calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

import attrs
from result import Err, Ok, Result

from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.replication_methods import replicate
from cherrycove.tier.protocol.replication_pb2 import Batch, Message
from cherrycove.tier.replication.call_handler import CallHandler
from cherrycove.tier.replication.change_log import ChangeLog
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.disk_interface import Storage, Writer
from cherrycove.tier.replication.interface import CommittedMembers, MemberIdentity, StateMachine
from cherrycove.tier.replication.learners import MembershipRequests
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.pending_proposals import PendingProposals
from cherrycove.tier.replication.runtime import Runtime
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.replication.transport import Transport
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.errors import DamagedStorageError
from cherrycove.tier.storage.replica_storage import RecoveredState

TICK_S = 0.05
STOP_COMMIT_S = 0.5  # an orderly stop waits so long for open proposals
STOP_FLUSH_S = 0.5  # and so long for its last messages
USABLE_DISK_SHARE = 0.9  # of the disk's limit; the rest is for entries of replication itself
SNAPSHOT_LOG_BYTES = 1024 * 1024  # a snapshot is taken when the log behind the last one is larger

_log = logging.getLogger(__name__)


class ReplicatedGroup:
    """Implements ``replication.interface.Group``."""

    def __init__(
        self,
        name: str,
        identity: MemberIdentity,
        directory: Path,
        faults: int,
        machine: StateMachine,
        server: CallRegistry,
        client: Caller,
        disk_limit_bytes: int = 0,
        random: Random | None = None,
        timing: Timing | None = None,
        snapshot_log_bytes: int = SNAPSHOT_LOG_BYTES,
        runtime: Runtime | None = None,
    ) -> None:
        """``identity.member_id`` is that of ``directory`` (``storage.identity.open_identity``)."""
        self._name = name
        self._identity = identity
        self._directory = directory
        self._faults = faults
        self._state = machine
        self._runtime = runtime or Runtime()
        self._clock = self._runtime.clock
        self._disk_limit = disk_limit_bytes
        self._random = random or Random()
        self._timing = timing or Timing()
        self._snapshot_log_bytes = snapshot_log_bytes
        self._transport = Transport(client, replicate(name), self._deliver)
        self._proposals = PendingProposals()
        self._wishes = MembershipRequests()
        self._listeners: list[Callable[[], None]] = []
        self._machine: ReplicaMachine | None = None
        self._storage: Storage | None = None
        self._writer: Writer | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._starting = asyncio.Lock()
        self._applied_index = 0
        self._log_bytes = 0  # applied since the last snapshot
        self._snapshot_bytes = 0
        self._snapshot_ticket = 0  # of the snapshot that is being written; 0: none
        self._stopping = False
        self._change_log = ChangeLog(name)
        self._call_handler = CallHandler(self._deliver, self._writing)
        server.register(replicate(name), self._receive)

    # Group

    @property
    def identity(self) -> MemberIdentity:
        return self._identity

    @property
    def epoch(self) -> int:
        return self._machine.epoch if self._machine is not None else 0

    @property
    def primary(self) -> MemberIdentity | None:
        return self._machine.primary if self._machine is not None else None

    @property
    def members(self) -> tuple[MemberIdentity, ...]:
        return self._machine.members if self._machine is not None else ()

    def voting_member_ids(self) -> frozenset[str]:
        """Ids of all members whose votes count, also those of the former list while a change is open."""
        return self._machine.voting_member_ids() if self._machine is not None else frozenset()

    def committed_members(self) -> CommittedMembers | None:
        machine = self._machine
        return machine.committed_members(self._clock()) if machine is not None else None

    def is_confirmed_primary(self) -> bool:
        return self._machine is not None and self._machine.is_confirmed_primary(self._clock())

    async def propose(self, command: bytes, timeout_s: float) -> Result[object, Failure]:
        machine = self._machine
        if machine is None or self._stopping:
            return Err(self._not_primary())
        if self._disk_nearly_full(len(command)):
            return Err(Failure(ErrorKind.OVERLOADED, f"{self._name}: the disk is nearly full"))
        index = machine.propose(command, self._clock())
        if index is None:
            return Err(self._not_primary())
        future = self._proposals.add(index, machine.epoch)
        self._run_effects()
        return await self._proposals.wait(future, timeout_s)

    def _disk_nearly_full(self, wanted: int) -> bool:
        limit = self._disk_limit * USABLE_DISK_SHARE
        return limit > 0 and self._storage is not None and self._storage.size_bytes + wanted > limit

    def _not_primary(self) -> Failure:
        primary = self.primary
        known = primary is not None and primary.member_id != self._identity.member_id
        address = primary.address if primary is not None and known else ""
        return Failure(ErrorKind.NOT_PRIMARY, f"{self._name}: this replica does not lead", primary=address)

    def offer_standbys(self, standbys: Sequence[MemberIdentity]) -> None:
        self._wishes.standbys = tuple(standbys)

    def retire(self, names: frozenset[str]) -> None:
        self._wishes.retiring = names

    def on_change(self, callback: Callable[[], None]) -> None:
        self._listeners.append(callback)

    # Life

    async def start(self, initial_members: Sequence[MemberIdentity] = ()) -> None:
        """Read the disk and take part; may be called again when the initial members become known.

        ``initial_members`` counts only where nothing is logged yet and this replica is among them."""
        async with self._starting:
            if self._machine is None:
                recovered, storage = await self._runtime.run_blocking(self._recover)
                self._begin(recovered, storage)
        if initial_members and self._machine is not None:
            self._machine.bootstrap(initial_members, self._clock())
            self._run_effects()

    def _recover(self) -> tuple[RecoveredState, Storage]:
        storage = self._runtime.open_storage(self._directory, self._disk_limit)
        try:
            return storage.recover(), storage
        except DamagedStorageError as error:
            storage.close()
            details = {"group": self._name, "member": self._identity.member_id, "reason": str(error)}
            _log.error("disk_damaged", extra=details)
        self._identity = attrs.evolve(self._identity, member_id=self._runtime.renew_identity(self._directory))
        storage = self._runtime.open_storage(self._directory, self._disk_limit)
        return storage.recover(), storage

    def _begin(self, recovered: RecoveredState, storage: Storage) -> None:
        self._machine = ReplicaMachine(
            self._identity,
            self._faults,
            recovered,
            storage,
            self._random,
            self._clock(),
            self._timing,
            self._wishes,
        )
        self._storage = storage
        self._writer = self._runtime.make_writer(
            storage, self._written, self._write_failed, self._snapshot_skipped
        )
        self._writer.start()
        self._run_effects()
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def _tick(self) -> None:
        while self._machine is not None:
            self._machine.tick(self._clock())
            self._run_effects()
            await asyncio.sleep(TICK_S)

    async def stop(self) -> None:
        """Hand over if this replica leads, then end. The disk stays as it is."""
        self._stopping = True
        machine, writer = self._machine, self._writer
        if machine is None or writer is None:
            return
        if machine.role is Role.PRIMARY:
            await self._proposals.wait_for_all(STOP_COMMIT_S)
            machine.transfer_leadership(self._clock())
            self._run_effects()
            await self._transport.flush(STOP_FLUSH_S)
        if self._ticker is not None:
            self._ticker.cancel()
        self._machine = None
        self._transport.stop()
        await writer.stop()
        self._proposals.abandon_all()

    # Events

    def _written(self, ticket: int) -> None:
        if self._machine is None:
            return
        if self._snapshot_ticket and ticket >= self._snapshot_ticket:
            self._snapshot_ticket = 0
        self._machine.complete_writes(ticket, self._clock())
        self._run_effects()
        if not self._machine.has_pending_writes:
            self._call_handler.writes_finished()

    def _write_failed(self, error: OSError) -> None:
        _log.error("disk_write_failed", extra={"group": self._name, "reason": str(error)})
        if self._machine is not None:
            self._machine.record_write_failure(self._clock())
            self._run_effects()

    def _snapshot_skipped(self, ticket: int, error: OSError) -> None:
        _log.warning("snapshot_skipped", extra={"group": self._name, "reason": str(error)})
        if self._machine is not None:
            self._machine.skip_snapshot(ticket)

    async def _receive(self, batch: Batch) -> Result[Batch, Failure]:
        if self._machine is None:
            return Err(Failure(ErrorKind.UNAVAILABLE, f"{self._name}: not started"))
        if batch.receiver_id != self._identity.member_id:
            return Ok(Batch(stranger=True))
        return Ok(await self._call_handler.handle(batch))

    def _deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        machine = self._machine
        if machine is None:
            return
        if batch.stranger:
            machine.record_disk_replaced(sender.member_id, self._clock())
            self._run_effects()
        for message in batch.messages:
            machine.receive(sender, message, self._clock())
            self._run_effects()

    def _writing(self) -> bool:
        return self._machine is not None and self._machine.has_pending_writes

    # Effects

    def _run_effects(self) -> None:
        machine, writer = self._machine, self._writer
        if machine is None or writer is None:
            return
        effects = machine.take_effects()
        if effects.writes:
            writer.submit(effects.writes)
        if effects.restore is not None:
            self._restore(effects.restore.index, effects.restore.state)
        for outgoing in effects.messages:
            self._send(outgoing.receiver, outgoing.message)
        for entry in effects.committed:
            self._apply(entry)
        if effects.committed:
            self._take_snapshot(machine)
        if effects.changed:
            self._changed(machine)

    def _send(self, receiver: MemberIdentity, message: Message) -> None:
        if not self._call_handler.add_reply(receiver, message):
            self._transport.send(self._identity, receiver, message)

    def _restore(self, index: int, state: bytes) -> None:
        self._state.restore(state)
        self._applied_index = index
        self._snapshot_bytes = len(state)
        self._log_bytes = 0

    def _apply(self, entry: Entry) -> None:
        self._applied_index = entry.index
        self._log_bytes += entry.size_bytes
        outcome: object = None
        if entry.kind is EntryKind.COMMAND:
            try:
                outcome = self._state.apply(entry.index, entry.payload)
            except Exception:  # a command must not stop those behind it; all replicas fare alike
                _log.exception("apply_failed", extra={"group": self._name, "index": entry.index})
                self._proposals.fail(entry.index)
        self._proposals.resolve(entry.index, entry.epoch, outcome)

    def _take_snapshot(self, machine: ReplicaMachine) -> None:
        due = max(self._snapshot_log_bytes, self._snapshot_bytes // 2)
        if self._snapshot_ticket or self._log_bytes <= due:
            return
        state = self._state.snapshot()
        self._snapshot_bytes = len(state)
        self._log_bytes = 0
        self._snapshot_ticket = machine.save_snapshot(state, self._clock())
        self._run_effects()

    def _changed(self, machine: ReplicaMachine) -> None:
        self._change_log.report(machine)
        for callback in self._listeners:
            callback()
