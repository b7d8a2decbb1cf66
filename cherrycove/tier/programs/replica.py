"""What the two replicated programs share: the disk's identity, the group, the announcement to the keepers."""

from __future__ import annotations

from pathlib import Path

from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.control_pb2 import Announcement, Replica
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity, StateMachine
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.settings import Settings
from cherrycove.tier.storage.identity import open_identity

DISK_SHARE = 0.8  # part of the disk that a group may use
BYTES_PER_MB = 1_000_000


def open_group(
    program: str,
    settings: Settings,
    machine: StateMachine,
    server: CallRegistry,
    client: Caller,
) -> tuple[ReplicatedGroup, bool]:
    """The group of ``program`` on this machine's disk, and whether the disk was empty."""
    if settings.data_directory is None:
        raise OSError(f"{program}: the settings name no dataDirectory")
    directory = Path(settings.data_directory) / program
    member_id, fresh = open_identity(directory, settings.first_start, settings.ip_address)
    identity = MemberIdentity(
        member_id, settings.node_name, settings.internal_address(program), settings.zone
    )
    limit = int(settings.limits.disk_mb * BYTES_PER_MB * DISK_SHARE)
    faults = settings.fault_tolerance.machine_failures
    timing = Timing.for_catch_up(settings.bounds.catch_up_s)
    options = GroupOptions(
        name=program,
        identity=identity,
        directory=directory,
        faults=faults,
        state_machine=machine,
        server=server,
        client=client,
        disk_limit_bytes=limit,
        timing=timing,
    )
    return create_group(options), fresh


def describe(
    program: str, settings: Settings, group: ReplicatedGroup, fresh: bool, incarnation: str, leaving: bool
) -> Announcement:
    """What a replica tells the keepers of itself."""
    primary = group.is_confirmed_primary()
    return Announcement(
        node_name=settings.node_name,
        program=program,
        ip=settings.ip_address,
        zone=settings.zone,
        region=settings.region,
        incarnation=incarnation,
        member_id=group.identity.member_id,
        first_start=settings.first_start and fresh,
        group_primary=primary,
        group_epoch=group.epoch,
        group_members=sorted(group.voting_member_ids()) if primary else [],
        leaving=leaving,
    )


def identity_of(replica: Replica) -> MemberIdentity:
    """A member as the keepers name it."""
    return MemberIdentity(replica.member_id, replica.node_name, replica.address, replica.zone)


def standby_of(announcement: Announcement, settings: Settings) -> MemberIdentity:
    """A member as it announced itself."""
    address = settings.peer_address(announcement.ip, announcement.program)
    return MemberIdentity(announcement.member_id, announcement.node_name, address, announcement.zone)
