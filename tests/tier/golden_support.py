"""The code that the tests of stored and sent bytes use, under the names that it has now.

``tests/data/tier`` holds bytes that a released version wrote, and names messages, fields and calls as that
version did. Where the code is renamed, the new names go here, and nowhere else: the files stay as they are.
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

# What has another name now. Keys are the former names in full: PACKAGE.MESSAGE, PACKAGE.MESSAGE.FIELD,
# PACKAGE.ENUM, PACKAGE.ENUM.VALUE. Values are the present names: of fields and enum values the last part.
RENAMED_TYPES: dict[str, str] = {}
RENAMED_FIELDS: dict[str, str] = {}
RENAMED_VALUES: dict[str, str] = {}

# Messages as plain data


def message_class(name: str) -> type[Message]:
    """The class of the message that was called ``name`` in full."""
    descriptor = descriptor_pool.Default().FindMessageTypeByName(RENAMED_TYPES.get(name, name))
    return message_factory.GetMessageClass(descriptor)


def descriptor_of(message: Message | type[Message]) -> Descriptor:
    """The descriptor of a message or of its class."""
    return cast(Descriptor, message.DESCRIPTOR)  # the stub names the C implementation as well; same interface


def former_type(present: str) -> str:
    """What a message or an enum was called in full."""
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
    """What a field was called."""
    return _former_part(_former_owner(field), field.name, RENAMED_FIELDS)


def _former_owner(field: FieldDescriptor) -> str:
    """What the message that has the field was called in full."""
    assert field.containing_type is not None  # every field is in a message
    return former_type(field.containing_type.full_name)


def is_map(field: FieldDescriptor) -> bool:
    """Whether the field is a map."""
    return field.message_type is not None and bool(field.message_type.GetOptions().map_entry)


def _entry_type(field: FieldDescriptor) -> Descriptor:
    """The message that a map has for its entries: a key and a value."""
    assert field.message_type is not None  # ``is_map`` holds
    return field.message_type


def build(name: str, fields: dict[str, Any]) -> Message:
    """A message from plain data; of a field of bytes, one character stands for a byte."""
    message = message_class(name)()
    for key, value in fields.items():
        field = descriptor_of(message).fields_by_name[RENAMED_FIELDS.get(f"{name}.{key}", key)]
        if is_map(field):
            getattr(message, field.name).update(value)
        elif field.is_repeated:
            getattr(message, field.name).extend([_built(field, one) for one in value])
        elif field.message_type is not None:
            getattr(message, field.name).CopyFrom(_built(field, value))
        else:
            setattr(message, field.name, _built(field, value))
    return message


def build_as(message_type: type[MessageT], fields: dict[str, Any]) -> MessageT:
    """A message of ``message_type`` from plain data, as ``build`` makes it."""
    message = build(former_type(message_type.DESCRIPTOR.full_name), fields)
    assert isinstance(message, message_type)
    return message


def _built(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return build(former_type(field.message_type.full_name), value)
    return value.encode("latin-1") if field.type == FieldDescriptor.TYPE_BYTES else value


def plain(message: Message) -> dict[str, Any]:
    """The fields that are set, as ``build`` takes them."""
    return {former_field(field): _plain(field, value) for field, value in message.ListFields()}


def _plain(field: FieldDescriptor, value: Any) -> Any:
    if is_map(field):
        return dict(value)
    if field.is_repeated:
        return [_plain_one(field, one) for one in value]
    return _plain_one(field, value)


def _plain_one(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return plain(value)
    return value.decode("latin-1") if field.type == FieldDescriptor.TYPE_BYTES else value


def encode(name: str, fields: dict[str, Any]) -> bytes:
    """The bytes of a message."""
    return build(name, fields).SerializeToString(deterministic=True)


def decode(name: str, data: bytes) -> dict[str, Any]:
    """The fields of a message."""
    return plain(message_class(name).FromString(data))


# The schema


def messages() -> Iterator[Descriptor]:
    """Every message of the protocol; maps stand in their fields."""
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
        return f"map<{', '.join(_type_of(part) for part in _entry_type(field).fields)}>"
    kind = field.message_type or field.enum_type
    return _SCALARS[field.type] if kind is None else former_type(kind.full_name)


def _field_line(field: FieldDescriptor) -> str:
    label = "repeated" if field.is_repeated and not is_map(field) else "single"
    choice = f" oneof {field.containing_oneof.index}" if field.containing_oneof is not None else ""
    return f"{_former_owner(field)} {field.number} {former_field(field)} {label} {_type_of(field)}{choice}"


def schema() -> str:
    """A line for each message, each field and each value of an enum, sorted."""
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
    """Plain data of messages with every field set, one for each choice that the message offers."""
    fixed = [field for field in message.fields if field.containing_oneof is None]
    chosen = [field for field in message.fields if field.containing_oneof is not None]
    return [
        {former_field(field): _sample(field) for field in [*fixed, *choice]}
        for choice in ([[field] for field in chosen] or [[]])
    ]


def _sample(field: FieldDescriptor) -> Any:
    name = former_field(field)
    if is_map(field):
        return {f"key of {name}": _sample(_entry_type(field).fields_by_name["value"])}
    if field.message_type is not None:
        every = samples(field.message_type)
        return [*every, *every] if field.is_repeated else every[-1]
    one = inputs.sample(name, field.number, _SCALARS[field.type])
    return [one, inputs.sample(name, field.number + 1, _SCALARS[field.type])] if field.is_repeated else one


# Durable state


STATES: dict[str, Callable[[], ControlState | JobsState]] = {"keeper": ControlState, "store": JobsState}


def make_identity(directory: Path, *, first_start: bool, ip: str, random_id: str) -> str:
    """The member id of a disk that is empty; ``random_id`` is what chance brings."""
    with mock.patch.object(uuid, "uuid4", return_value=uuid.UUID(random_id)):
        return open_identity(directory, first_start=first_start, ip=ip)[0]


def make_replica(
    directory: Path,
    promises: Sequence[Sequence[Any]],
    appends: Sequence[Sequence[Sequence[Any]]],
    snapshot: Sequence[Any] | None = None,
    tail: Sequence[Sequence[Any]] = (),
    segment_bytes: int = 600,
) -> None:
    """Write promises, then entries, then a snapshot, just as a replica does."""
    storage = ReplicaStorage(directory, segment_bytes=segment_bytes)
    storage.recover()
    for epoch, voted_for, committed in promises:
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
    """The payload of an entry that names the members."""
    members = [MemberIdentity(*member) for member in inputs.MEMBERS_OF[program]]
    return encode_members(members, inputs.EXCLUDED)


def payloads(program: str) -> list[bytes]:
    """The commands of ``program`` as they stand in the log."""
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
    """Write the folder of ``program`` anew: identity, promise, log and, if wanted, a snapshot."""
    directory = data_directory / program
    directory.parent.mkdir(parents=True, exist_ok=True)
    make_identity(directory, **inputs.IDENTITY[program])
    commands, members = payloads(program), member_list(program)
    log = inputs.entries(commands, members)
    last = log[-2 - inputs.TAIL]
    state = state_after(program, commands[: -inputs.TAIL]).snapshot()
    make_replica(
        directory,
        inputs.promises(log),
        inputs.writes(log),
        [last[0], last[1], members, state] if snapshot else None,
        log[-1 - inputs.TAIL :],
    )


def state_after(program: str, commands: Sequence[bytes]) -> ControlState | JobsState:
    """The state machine of ``program`` after ``commands``."""
    state = STATES[program]()
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state


def recover(directory: Path) -> RecoveredState:
    """What a replica finds on its disk."""
    storage = ReplicaStorage(directory)
    try:
        return storage.recover()
    finally:
        storage.close()


def recovered(directory: Path) -> dict[str, Any]:
    """What a replica finds on its disk, as plain data."""
    found = recover(directory)
    snapshot = found.snapshot
    return {
        "promise": [found.hard_state.epoch, found.hard_state.voted_for, found.hard_state.commit_index],
        "snapshot": None if snapshot is None else [snapshot.index, snapshot.epoch, len(snapshot.state)],
        "entries": [[one.index, one.epoch, int(one.kind), len(one.payload)] for one in found.entries],
    }


def started(program: str, data_directory: Path) -> dict[str, Any]:
    """What ``program`` knows once it has opened its disk and nobody else is there."""

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
    """A state machine's state as plain data."""
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
