"""Helpers for the tests of stored and sent bytes; they map names of a released version to current names.

``tests/data/tier`` holds bytes that a released version wrote, and names messages, fields and calls as that
version did. When the code renames one of them, add the new name here and nowhere else: the files must not
change.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, TypeVar, cast
from unittest import mock

import golden_inputs as inputs
from google.protobuf import descriptor_pool, message_factory
from google.protobuf.descriptor import Descriptor, FieldDescriptor, FileDescriptor
from google.protobuf.message import Message

from cherrycove.tier.batch.jobs.model import ItemKey
from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.controlplane.configuration_state import content_digest
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.programs.replica import open_group
from cherrycove.tier.protocol import (
    batch_log_pb2,
    batch_pb2,
    control_pb2,
    keeper_pb2,
    membership_pb2,
    replication_pb2,
)
from cherrycove.tier.protocol.rpc import RpcClient, RpcServer
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership import encode_members
from cherrycove.tier.settings import ProcessLimits, Settings
from cherrycove.tier.storage.entries import Entry, EntryKind
from cherrycove.tier.storage.hard_state import HardState
from cherrycove.tier.storage.identity import open_identity
from cherrycove.tier.storage.replica_storage import RecoveredState, ReplicaStorage
from cherrycove.tier.storage.snapshots import Snapshot

MessageT = TypeVar("MessageT", bound=Message)

DATA = Path(__file__).resolve().parents[1] / "data" / "tier"

PROTOCOL_FILES: tuple[FileDescriptor, ...] = (
    batch_log_pb2.DESCRIPTOR,
    batch_pb2.DESCRIPTOR,
    control_pb2.DESCRIPTOR,
    keeper_pb2.DESCRIPTOR,
    membership_pb2.DESCRIPTOR,
    replication_pb2.DESCRIPTOR,
)

# Renamed types, fields and enum values. Keys are full former names: PACKAGE.MESSAGE, PACKAGE.MESSAGE.FIELD,
# PACKAGE.ENUM, PACKAGE.ENUM.VALUE. Values are current names: full for types, the last part for the others.
RENAMED_TYPES: dict[str, str] = {}
RENAMED_FIELDS: dict[str, str] = {}
RENAMED_VALUES: dict[str, str] = {}

# Messages as plain data


def message_class(name: str) -> type[Message]:
    """Returns the class of the message whose full former name is ``name``."""
    descriptor = descriptor_pool.Default().FindMessageTypeByName(RENAMED_TYPES.get(name, name))
    return message_factory.GetMessageClass(descriptor)


def descriptor_of(message: Message | type[Message]) -> Descriptor:
    """Returns the descriptor of a message or of a message class."""
    return cast(Descriptor, message.DESCRIPTOR)  # the stub names the C implementation as well; same interface


def former_type(present: str) -> str:
    """Returns the full former name of the message or enum whose full current name is ``present``."""
    return next((old for old, new in RENAMED_TYPES.items() if new == present), present)


def _former_part(owner: str, present: str, renamed: dict[str, str]) -> str:
    return next(
        (
            old.rpartition(".")[2]
            for old, new in renamed.items()
            if new == present and old.rpartition(".")[0] == owner
        ),
        present,
    )


def former_field(field: FieldDescriptor) -> str:
    """Returns the former name of a field."""
    return _former_part(_former_owner(field), field.name, RENAMED_FIELDS)


def _former_owner(field: FieldDescriptor) -> str:
    """Returns the full former name of the message that contains the field."""
    assert field.containing_type is not None  # every field belongs to a message
    return former_type(field.containing_type.full_name)


def is_map(field: FieldDescriptor) -> bool:
    """Returns whether the field is a map."""
    return field.message_type is not None and bool(field.message_type.GetOptions().map_entry)


def _map_entry_type(field: FieldDescriptor) -> Descriptor:
    """Returns the message type of a map's entries, which has the fields ``key`` and ``value``."""
    assert field.message_type is not None  # a map field always has an entry type
    return field.message_type


def build(name: str, fields: dict[str, Any]) -> Message:
    """Builds a message from plain data, in which each character of a bytes field's text is one byte."""
    message = message_class(name)()
    for key, value in fields.items():
        field = descriptor_of(message).fields_by_name[RENAMED_FIELDS.get(f"{name}.{key}", key)]
        if is_map(field):
            getattr(message, field.name).update(value)
        elif field.is_repeated:
            getattr(message, field.name).extend([_build_value(field, one) for one in value])
        elif field.message_type is not None:
            getattr(message, field.name).CopyFrom(_build_value(field, value))
        else:
            setattr(message, field.name, _build_value(field, value))
    return message


def build_as(message_type: type[MessageT], fields: dict[str, Any]) -> MessageT:
    """Builds a message of class ``message_type`` from plain data, like ``build``."""
    message = build(former_type(message_type.DESCRIPTOR.full_name), fields)
    assert isinstance(message, message_type)
    return message


def _build_value(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return build(former_type(field.message_type.full_name), value)
    return value.encode("latin-1") if field.type == FieldDescriptor.TYPE_BYTES else value


def plain(message: Message) -> dict[str, Any]:
    """Returns the fields that are set, in the form that ``build`` accepts."""
    return {former_field(field): _plain_value(field, value) for field, value in message.ListFields()}


def _plain_value(field: FieldDescriptor, value: Any) -> Any:
    if is_map(field):
        return dict(value)
    if field.is_repeated:
        return [_plain_item(field, one) for one in value]
    return _plain_item(field, value)


def _plain_item(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return plain(value)
    return value.decode("latin-1") if field.type == FieldDescriptor.TYPE_BYTES else value


def encode(name: str, fields: dict[str, Any]) -> bytes:
    """Returns the encoding of the message ``name`` with these fields."""
    return build(name, fields).SerializeToString(deterministic=True)


def decode(name: str, data: bytes) -> dict[str, Any]:
    """Returns the fields of the message ``name`` that ``data`` encodes."""
    return plain(message_class(name).FromString(data))


# The schema


def messages() -> Iterator[Descriptor]:
    """Yields every message of the protocol, without the entry types of maps."""
    for file in PROTOCOL_FILES:
        for message in file.message_types_by_name.values():
            assert all(nested.GetOptions().map_entry for nested in message.nested_types), message.full_name
            yield message


_SCALARS = {
    number: name.removeprefix("TYPE_").lower()
    for name, number in vars(FieldDescriptor).items()
    if name.startswith("TYPE_")
}


def _type_of(field: FieldDescriptor) -> str:
    if is_map(field):
        return f"map<{', '.join(_type_of(part) for part in _map_entry_type(field).fields)}>"
    kind = field.message_type or field.enum_type
    return _SCALARS[field.type] if kind is None else former_type(kind.full_name)


def _field_line(field: FieldDescriptor) -> str:
    label = "repeated" if field.is_repeated and not is_map(field) else "single"
    oneof = f" oneof {field.containing_oneof.index}" if field.containing_oneof is not None else ""
    return f"{_former_owner(field)} {field.number} {former_field(field)} {label} {_type_of(field)}{oneof}"


def schema() -> str:
    """Returns one line for each message, field and enum value, sorted."""
    lines = [f"{former_type(message.full_name)} message" for message in messages()]
    lines += [_field_line(field) for message in messages() for field in message.fields]
    for file in PROTOCOL_FILES:
        for enum in file.enum_types_by_name.values():
            name = former_type(enum.full_name)
            lines += [
                f"{name} {value.number} {_former_part(name, value.name, RENAMED_VALUES)} value"
                for value in enum.values
            ]
    return "\n".join(sorted(lines)) + "\n"


def samples(message: Descriptor) -> list[dict[str, Any]]:
    """Returns plain data with every field set, once for each oneof field of the message."""
    fixed = [field for field in message.fields if field.containing_oneof is None]
    oneof_fields = [field for field in message.fields if field.containing_oneof is not None]
    return [
        {former_field(field): _sample(field) for field in [*fixed, *alternative]}
        for alternative in ([[field] for field in oneof_fields] or [[]])
    ]


def _sample(field: FieldDescriptor) -> Any:
    name = former_field(field)
    if is_map(field):
        return {f"key of {name}": _sample(_map_entry_type(field).fields_by_name["value"])}
    if field.message_type is not None:
        every = samples(field.message_type)
        return [*every, *every] if field.is_repeated else every[-1]
    one = inputs.sample(name, field.number, _SCALARS[field.type])
    return [one, inputs.sample(name, field.number + 1, _SCALARS[field.type])] if field.is_repeated else one


# Durable state


STATES: dict[str, Callable[[], ControlState | JobsState]] = {"keeper": ControlState, "store": JobsState}


def make_identity(directory: Path, *, first_start: bool, ip: str, random_id: str) -> str:
    """Creates the identity on an empty disk, with ``random_id`` as the random UUID; returns the member id."""
    with mock.patch.object(uuid, "uuid4", return_value=uuid.UUID(random_id)):
        return open_identity(directory, first_start=first_start, ip=ip)[0]


def make_replica(
    directory: Path,
    hard_states: Sequence[Sequence[Any]],
    appends: Sequence[Sequence[Sequence[Any]]],
    snapshot: Sequence[Any] | None = None,
    tail: Sequence[Sequence[Any]] = (),
    segment_bytes: int = 600,
) -> None:
    """Writes hard states, then entries, then a snapshot, in the order in which a replica does."""
    storage = ReplicaStorage(directory, segment_bytes=segment_bytes)
    storage.recover()
    for epoch, voted_for, committed in hard_states:
        storage.write_hard_state(HardState(epoch, voted_for, committed))
    for append in appends:
        storage.append([_entry(entry) for entry in append])
    if snapshot is not None:
        storage.save_snapshot(Snapshot(*snapshot), [_entry(entry) for entry in tail])
    storage.close()


def _entry(entry: Sequence[Any]) -> Entry:
    index, epoch, kind, payload = entry
    return Entry(index, epoch, EntryKind(kind), payload)


def member_list(program: str) -> bytes:
    """Returns the payload of a membership entry of the log."""
    members = [MemberIdentity(*member) for member in inputs.GROUP_MEMBERS[program]]
    return encode_members(members, inputs.EXCLUDED)


def payloads(program: str) -> list[bytes]:
    """Returns the encoded commands of ``program`` as the log stores them."""
    return [
        encode(inputs.COMMAND_MESSAGES[program], {kind: _with_digest(kind, fields)})
        for command in inputs.COMMANDS[program]
        for kind, fields in command.items()
    ]


def _with_digest(kind: str, fields: dict[str, Any]) -> dict[str, Any]:
    if kind != "accept_configuration":
        return fields
    digest = content_digest(fields["document"].encode())
    assert digest is not None
    return {**fields, "digest": digest.decode("latin-1")}


def make_disk(program: str, data_directory: Path, *, snapshot: bool) -> None:
    """Writes a new folder for ``program``: identity, hard state, log and, on request, a snapshot."""
    directory = data_directory / program
    directory.parent.mkdir(parents=True, exist_ok=True)
    make_identity(directory, **inputs.IDENTITY[program])
    commands, members = payloads(program), member_list(program)
    log = inputs.entries(commands, members)
    last = log[-2 - inputs.TAIL]
    state = state_after(program, commands[: -inputs.TAIL]).snapshot()
    make_replica(
        directory,
        inputs.hard_states(log),
        inputs.append_batches(log),
        [last[0], last[1], members, state] if snapshot else None,
        log[-1 - inputs.TAIL :],
    )


def state_after(program: str, commands: Sequence[bytes]) -> ControlState | JobsState:
    """Returns the state machine of ``program`` after it has applied ``commands``."""
    state = STATES[program]()
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state


def recover(directory: Path) -> RecoveredState:
    """Returns what a replica recovers from its disk."""
    storage = ReplicaStorage(directory)
    try:
        return storage.recover()
    finally:
        storage.close()


def recovered_contents(directory: Path) -> dict[str, Any]:
    """Returns what a replica recovers from its disk, as plain data."""
    found = recover(directory)
    snapshot = found.snapshot
    return {
        "hard_state": [found.hard_state.epoch, found.hard_state.voted_for, found.hard_state.commit_index],
        "snapshot": None if snapshot is None else [snapshot.index, snapshot.epoch, len(snapshot.state)],
        "entries": [[one.index, one.epoch, int(one.kind), len(one.payload)] for one in found.entries],
    }


def state_after_start(program: str, data_directory: Path) -> dict[str, Any]:
    """Returns the state of ``program`` after it has opened its disk, while no other member is running."""

    async def run() -> dict[str, Any]:
        state = STATES[program]()
        settings = Settings(
            node_name="core-1",
            machine_class="core",
            ip_address="10.1.0.1",
            zone="north",
            region="land",
            internal_port_range=[7700, 7709],
            limits=ProcessLimits(disk_mb=100.0),
            data_directory=str(data_directory),
        )
        opened = open_group(program, settings, state, RpcServer(), RpcClient())
        group = opened.group
        await group.start()
        try:
            return {
                "member_id": group.identity.member_id,
                "fresh": opened.disk_was_empty,
                "epoch": group.epoch,
                "members": [[one.member_id, one.node_name, one.address, one.zone] for one in group.members],
                "state": describe(state),
            }
        finally:
            await group.stop()

    return asyncio.run(run())


def describe(state: ControlState | JobsState) -> dict[str, Any]:
    """Returns the state of a state machine as plain data."""
    return _control(state) if isinstance(state, ControlState) else _jobs(state)


def _control(state: ControlState) -> dict[str, Any]:
    return {
        "configuration": plain(state.configuration),
        "store_group": plain(state.store_group()),
        "machines": {name: plain(one) for name, one in state.machines.items()},
        "retire_orders": {name: plain(one) for name, one in state.retire_orders.items()},
    }


def _jobs(state: JobsState) -> dict[str, Any]:
    return {
        job_id: {
            "terms": plain(job.submission),
            "received_unix_ms": job.received_unix_ms,
            "items": {
                name: {
                    "item": decode("cherrycove.batch.Item", state.encoded_item(ItemKey(job_id, name)) or b""),
                    "listed": item.has_result,
                    "failed_attempts": item.failed_attempts,
                }
                for name, item in job.items.items()
            },
            "results": [[one.item_id, one.completed, one.text.decode()] for one in job.results],
            "ended": job.ended,
            "done": job.is_done,
        }
        for job_id, job in state.jobs.items()
    }
