"""Implements the controllers' replicated state machine, which holds the configuration and the store group."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from cherrycove.tier.controlplane.configuration_state import AcceptOutcome, ConfigurationState
from cherrycove.tier.controlplane.store_group_state import StoreGroupState
from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument, Replica, StoreGroup
from cherrycove.tier.protocol.keeper_pb2 import (
    AcceptConfiguration,
    Command,
    RetireOrder,
    Snapshot,
    StoreMachine,
)
from cherrycove.tier.storage.snapshot_state import SnapshotState


@attrs.frozen
class Applied:
    """Represents the outcome of every command except ``AcceptConfiguration``."""

    changed: bool  # True if the command took effect


class ControlState:
    """Implements ``replication.interface.StateMachine`` for the controllers' group.

    Each controller has one replica. Only the group changes it, through ``apply`` and ``restore``. It is a
    function of the committed commands alone, and each command checks its preconditions again when it is
    applied. The group's log and snapshots persist it. A read is linearizable only while
    ``Group.is_confirmed_primary()`` is true.
    """

    def __init__(self) -> None:
        self._configuration = ConfigurationState()
        self._store_group = StoreGroupState()
        self._listeners: list[Callable[[], None]] = []

    @property
    def configuration(self) -> ConfigurationDocument:
        """Return the newest configuration; its version is 0 before the first one."""
        return self._configuration.document

    @property
    def store_group_revision(self) -> int:
        """Return the number of changes of ``store_group()``; 0 before the first one."""
        return self._store_group.revision

    @property
    def initial_stores(self) -> Sequence[Replica]:
        """Return the initial replicas of the store group; empty until it is formed."""
        return self._store_group.initial

    @property
    def retire_orders(self) -> Mapping[str, RetireOrder]:
        """Return the retire orders by node name, including completed ones."""
        return self._store_group.retire_orders

    @property
    def machines(self) -> Mapping[str, StoreMachine]:
        """Return all storage machines that have ever announced themselves, by node name."""
        return self._store_group.machines

    def store_group(self) -> StoreGroup:
        """Return the message that is published to the stores."""
        return self._store_group.message()

    def was_accepted(self, digest: bytes, version: int) -> bool:
        """Return whether the document with ``digest`` was accepted under ``version``."""
        return self._configuration.was_accepted(digest, version)

    def is_forgotten(self, version: int) -> bool:
        """Return whether ``version`` is too old to tell if it was accepted, and with what content."""
        return self._configuration.is_forgotten(version)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register ``callback``, which is called after each command or snapshot that changed the state."""
        self._listeners.append(callback)

    def apply(self, index: int, command: bytes) -> AcceptOutcome | Applied:  # noqa: ARG002 - StateMachine's
        """Apply a serialized ``Command``.

        Barriers, and commands unknown to this release, change nothing.
        """
        message = Command.FromString(command)
        if message.WhichOneof("body") == "accept_configuration":
            return self._accept(message.accept_configuration)
        changed = self._apply_to_store_group(message)
        if changed:
            self._notify()
        return Applied(changed=changed)

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        snapshot = Snapshot(
            configuration=self._configuration.document,
            accepted=self._configuration.accepted_versions(),
            store_group_revision=self._store_group.revision,
            initial=self._store_group.initial,
            retire_orders=self._store_group.retire_orders.values(),
            machines=self._store_group.machines.values(),
            forgotten_version=self._configuration.forgotten_version,
        )
        return snapshot.SerializeToString()

    def restore(self, state: bytes | SnapshotState) -> None:
        """Replace the whole state by the content of a snapshot."""
        snapshot = Snapshot.FromString(bytes(state))
        self._configuration.restore(snapshot.configuration, snapshot.accepted, snapshot.forgotten_version)
        self._store_group.restore(
            snapshot.store_group_revision, snapshot.initial, snapshot.machines, snapshot.retire_orders
        )
        self._notify()

    def _accept(self, command: AcceptConfiguration) -> AcceptOutcome:
        outcome = self._configuration.accept(command)
        if outcome is AcceptOutcome.ACCEPTED:
            self._notify()
        return outcome

    def _apply_to_store_group(self, message: Command) -> bool:
        match message.WhichOneof("body"):
            case "form_store_group":
                return self._store_group.form(message.form_store_group)
            case "retire":
                return self._store_group.retire(message.retire)
            case "retired":
                return self._store_group.complete(message.retired)
            case "forget_retired":
                return self._store_group.forget(message.forget_retired)
            case "record_machines":
                return self._store_group.record(message.record_machines)
            case _:
                return False

    def _notify(self) -> None:
        for callback in self._listeners:
            callback()
