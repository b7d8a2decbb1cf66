"""The keepers' replicated state machine: the configuration, the store group's start and the retire orders.

The state is a function of the committed commands alone. Each command re-checks what it depends on, so that of
two changes built on one version only the first in commit order takes effect.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Mapping, Sequence
from enum import Enum

import attrs

from cherrycove.tier.controlplane.machines import StorageMachines
from cherrycove.tier.protocol.control_pb2 import ConfigurationDocument, Replica, StoreGroup
from cherrycove.tier.protocol.keeper_pb2 import (
    AcceptConfiguration,
    AcceptedVersion,
    Command,
    ForgetRetired,
    FormStoreGroup,
    RecordMachines,
    Retire,
    Retired,
    RetireOrder,
    Snapshot,
    StoreMachine,
)

MAX_ACCEPTED_VERSIONS = 4096  # accepted versions whose digests are kept


class AcceptOutcome(Enum):
    """What became of an AcceptConfiguration command."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already_accepted"  # exactly this document was taken earlier
    BASE_MISMATCH = "base_mismatch"  # another version is current
    NOT_NEWER = "not_newer"  # its version is not above the current one
    FORGOTTEN = "forgotten"  # so old that nobody knows any more whether it was taken


@attrs.frozen
class Applied:
    """Outcome of every other command: whether it changed anything."""

    changed: bool


def content_digest(body: bytes) -> bytes | None:
    """SHA-256 of the JSON content of ``body``, equal for equal content; None when it is not JSON."""
    try:
        document = json.loads(body)
        canonical = json.dumps(document, sort_keys=True, separators=(",", ":"))
    except (ValueError, RecursionError):
        return None
    return hashlib.sha256(canonical.encode()).digest()


class ControlState:
    """Implements ``StateMachine``; readers use it only where the group is confirmed."""

    def __init__(self) -> None:
        self._configuration = ConfigurationDocument()
        self._accepted: dict[int, bytes] = {}
        self._store_group_revision = 0
        self._forgotten_version = 0
        self._initial: tuple[Replica, ...] = ()
        self._machines = StorageMachines()
        self._listeners: list[Callable[[], None]] = []

    @property
    def configuration(self) -> ConfigurationDocument:
        """The newest configuration; version 0 before the first."""
        return self._configuration

    @property
    def store_group_revision(self) -> int:
        """Counts the changes of ``store_group``; 0 before the first."""
        return self._store_group_revision

    @property
    def initial_stores(self) -> Sequence[Replica]:
        """The replicas that begin the store group; empty until formed."""
        return self._initial

    @property
    def retire_orders(self) -> Mapping[str, RetireOrder]:
        """Retire orders by node name, also completed ones."""
        return self._machines.orders

    @property
    def machines(self) -> Mapping[str, StoreMachine]:
        """Storage machines that ever announced themselves, by node name."""
        return self._machines.machines

    def store_group(self) -> StoreGroup:
        return StoreGroup(
            initial=self._initial,
            retiring=sorted(self.retire_orders),
            revision=self._store_group_revision,
            retiring_disks=[
                Replica(member_id=disk, node_name=name)
                for name, order in sorted(self.retire_orders.items())
                for disk in order.store_ids
            ],
        )

    def was_accepted(self, digest: bytes, version: int) -> bool:
        """Whether exactly the document with ``digest`` was accepted under ``version``."""
        return self._accepted.get(version) == digest

    def is_forgotten(self, version: int) -> bool:
        """Whether ``version`` is too old to tell if it was accepted, and with what content."""
        return version <= self._forgotten_version

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each command or snapshot that changed the state."""
        self._listeners.append(callback)

    def apply(self, index: int, command: bytes) -> AcceptOutcome | Applied:
        message = Command.FromString(command)
        kind = message.WhichOneof("body")
        if kind == "accept_configuration":
            return self._accept(message.accept_configuration)
        if kind == "form_store_group":
            return self._form(message.form_store_group)
        if kind == "retire":
            return self._retire(message.retire)
        if kind == "retired":
            return self._retired(message.retired)
        if kind == "forget_retired":
            return self._forget(message.forget_retired)
        if kind == "record_machines":
            return self._record(message.record_machines)
        return Applied(changed=False)

    def snapshot(self) -> bytes:
        snapshot = Snapshot(
            configuration=self._configuration,
            accepted=[AcceptedVersion(version=v, digest=digest) for v, digest in self._accepted.items()],
            store_group_revision=self._store_group_revision,
            initial=self._initial,
            retire_orders=self.retire_orders.values(),
            machines=self.machines.values(),
            forgotten_version=self._forgotten_version,
        )
        return snapshot.SerializeToString()

    def restore(self, data: bytes) -> None:
        snapshot = Snapshot.FromString(data)
        self._configuration = snapshot.configuration
        self._accepted = {entry.version: entry.digest for entry in snapshot.accepted}
        self._store_group_revision = snapshot.store_group_revision
        self._initial = tuple(snapshot.initial)
        self._machines.restore(snapshot.machines, snapshot.retire_orders)
        self._forgotten_version = snapshot.forgotten_version
        self._changed()

    def _accept(self, command: AcceptConfiguration) -> AcceptOutcome:
        if self.was_accepted(command.digest, command.version):
            return AcceptOutcome.ALREADY_ACCEPTED
        if self.is_forgotten(command.version):
            return AcceptOutcome.FORGOTTEN
        if command.base_version != self._configuration.version:
            return AcceptOutcome.BASE_MISMATCH
        if command.version <= self._configuration.version:
            return AcceptOutcome.NOT_NEWER
        self._configuration = ConfigurationDocument(version=command.version, document=command.document)
        self._accepted[command.version] = command.digest
        while len(self._accepted) > MAX_ACCEPTED_VERSIONS:
            self._forgotten_version = next(iter(self._accepted))
            del self._accepted[self._forgotten_version]
        self._changed()
        return AcceptOutcome.ACCEPTED

    def _form(self, command: FormStoreGroup) -> Applied:
        if self._initial or not command.initial:
            return Applied(changed=False)
        self._initial = tuple(command.initial)
        self._machines.record_initial(self._initial)
        return self._store_group_changed()

    def _record(self, command: RecordMachines) -> Applied:
        revision = self._store_group_revision + 1
        learned = [self._machines.record(machine, revision) for machine in command.machines]
        return self._store_group_changed() if any(learned) else Applied(changed=False)

    def _retire(self, command: Retire) -> Applied:
        changed = self._machines.retire(command, self._store_group_revision + 1)
        return self._store_group_changed() if changed else Applied(changed=False)

    def _retired(self, command: Retired) -> Applied:
        changed = self._machines.complete(command)
        return self._store_group_changed() if changed else Applied(changed=False)

    def _forget(self, command: ForgetRetired) -> Applied:
        changed = self._machines.forget(command)
        return self._store_group_changed() if changed else Applied(changed=False)

    def _store_group_changed(self) -> Applied:
        self._store_group_revision += 1
        self._changed()
        return Applied(changed=True)

    def _changed(self) -> None:
        for callback in self._listeners:
            callback()
