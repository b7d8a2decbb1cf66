"""Connects a replica machine to its process: passes events to it and executes its effects."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

import attrs

from cherrycove.tier.protocol.replication_pb2 import Batch
from cherrycove.tier.replication.applier import Applier
from cherrycove.tier.replication.change_notifier import ChangeNotifier
from cherrycove.tier.replication.disk_interface import Storage
from cherrycove.tier.replication.effects import Effects
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.messenger import PeerMessenger
from cherrycove.tier.replication.pending_proposals import Outcome, PendingProposals
from cherrycove.tier.replication.runtime import Runtime

TICK_S = 0.05

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True, eq=False)
class GroupComponents:
    """Holds the components of a group that exist before its replica is started."""

    group_name: str
    runtime: Runtime
    messenger: PeerMessenger
    proposals: PendingProposals
    applier: Applier
    notifier: ChangeNotifier


class ReplicaDriver:
    """Runs one replica in the event loop from its start to its stop.

    Owns the replica machine, the writer with its storage, and the task that ticks the machine. Every event
    (a message, a completed write, a tick, a proposal) is passed to the machine with the current time, and the
    machine's effects are executed before the next event. After ``close``, events are ignored.
    """

    def __init__(
        self, components: GroupComponents, machine: ReplicaMachine, storage: Storage, identity: MemberIdentity
    ) -> None:
        """Create a driver; ``storage`` is already recovered, and ``machine`` was created from its state."""
        self._group_name = components.group_name
        self._clock = components.runtime.clock
        self._messenger = components.messenger
        self._proposals = components.proposals
        self._applier = components.applier
        self._notifier = components.notifier
        self._machine = machine
        self._storage = storage
        self._identity = identity
        self._writer = components.runtime.make_writer(
            storage, self._on_written, self._on_write_failed, self._on_snapshot_skipped
        )
        self._ticker: asyncio.Task[None] | None = None
        self._is_closed = False

    @property
    def machine(self) -> ReplicaMachine:
        """Return the machine, for reading its state only; events must go through the driver."""
        return self._machine

    @property
    def identity(self) -> MemberIdentity:
        """Return the identity of this replica."""
        return self._identity

    @property
    def has_pending_writes(self) -> bool:
        """Return whether any disk write is not yet durable."""
        return self._machine.has_pending_writes

    @property
    def stored_bytes(self) -> int:
        """Return the size of log and snapshot on the disk."""
        return self._storage.size_bytes

    # Start and stop

    def start(self) -> None:
        """Start the writer and the tick task."""
        self._writer.start()
        self._execute_effects()
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    def close(self) -> None:
        """Ignore all further events."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._is_closed = True

    async def stop_writer(self) -> None:
        """Finish the submitted writes, up to the first one that fails, and close the storage."""
        await self._writer.stop()

    # Events

    def bootstrap(self, members: Sequence[MemberIdentity]) -> None:
        """Initialize the group with ``members`` (``ReplicaMachine.bootstrap``)."""
        self._machine.bootstrap(members, self._clock())
        self._execute_effects()

    def propose(self, command: bytes) -> asyncio.Future[Outcome] | None:
        """Append ``command`` to the log; return None if this replica is not the confirmed primary."""
        index = self._machine.propose(command, self._clock())
        if index is None:
            return None
        future = self._proposals.add(index, self._machine.epoch)
        self._execute_effects()
        return future

    def transfer_leadership(self) -> None:
        """Ask another member to take over as primary, if this replica is the primary."""
        self._machine.transfer_leadership(self._clock())
        self._execute_effects()

    def deliver(self, sender: MemberIdentity, batch: Batch) -> None:
        """Process the messages of ``sender`` in order."""
        if self._is_closed:
            return
        if batch.stranger:  # the intended member is no longer at its address
            self._machine.record_disk_replaced(sender.member_id, self._clock())
            self._execute_effects()
        for message in batch.messages:
            self._machine.receive(sender, message, self._clock())
            self._execute_effects()

    async def _tick(self) -> None:
        while not self._is_closed:
            self._machine.tick(self._clock())
            self._execute_effects()
            await asyncio.sleep(TICK_S)

    def _on_written(self, ticket: int) -> None:
        if self._is_closed:
            return
        self._applier.writes_finished(ticket)
        self._machine.complete_writes(ticket, self._clock())
        self._execute_effects()
        if not self._machine.has_pending_writes:
            self._messenger.writes_finished()

    def _on_write_failed(self, error: OSError) -> None:
        _log.error("disk_write_failed", extra={"group": self._group_name, "reason": str(error)})
        if not self._is_closed:
            self._machine.record_write_failure(self._clock())
            self._execute_effects()

    def _on_snapshot_skipped(self, ticket: int, error: OSError) -> None:
        _log.warning("snapshot_skipped", extra={"group": self._group_name, "reason": str(error)})
        if not self._is_closed:
            self._machine.skip_snapshot(ticket)

    # Effects

    def _execute_effects(self) -> None:
        """Execute the effects of the last event: write, send, apply and notify, in this order.

        Messages may be sent before the writes are durable: the machine emits a message that acknowledges a
        write only after that write was reported as durable.
        """
        if self._is_closed:
            return
        effects = self._machine.take_effects()
        if effects.writes:
            self._writer.submit(effects.writes)
        if effects.restore is not None:
            self._applier.restore(effects.restore.state)
        for outgoing in effects.messages:
            self._messenger.send(self._identity, outgoing.receiver, outgoing.message)
        self._apply_committed(effects)
        if effects.changed:
            self._notifier.notify(self._machine)

    def _apply_committed(self, effects: Effects) -> None:
        if not effects.committed:
            return
        for entry in effects.committed:
            self._applier.apply(entry)
        state = self._applier.take_due_snapshot()
        if state is not None:
            ticket = self._machine.save_snapshot(state, self._clock())
            self._applier.snapshot_write_started(ticket)
            self._execute_effects()
