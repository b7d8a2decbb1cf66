"""Opens the replica that a controller or a store runs, and describes it to the controllers."""

from __future__ import annotations

from pathlib import Path

import attrs

from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.replication.factory import create_group
from cherrycove.tier.replication.group import ReplicatedGroup
from cherrycove.tier.replication.interface import MemberIdentity, StateMachine
from cherrycove.tier.replication.options import GroupOptions
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.settings import Settings
from cherrycove.tier.storage.identity import open_identity

DISK_FRACTION = 0.8  # default fraction of the disk that a group may use
BYTES_PER_MB = 1_000_000


@attrs.frozen
class OpenedGroup:
    """A replica whose data directory is open and which is not started yet."""

    group: ReplicatedGroup
    disk_was_empty: bool  # whether the disk had no valid identity and got a new one


def open_group(
    program: str,
    settings: Settings,
    machine: StateMachine,
    server: CallRegistry,
    client: Caller,
    disk_fraction: float = DISK_FRACTION,
) -> OpenedGroup:
    """Open the group of ``program`` (a name of ``program_names``) in the data directory of ``settings``.

    The group's calls are registered at ``server`` and made with ``client``; committed commands are applied to
    ``machine``. Blocks on disk operations. Raises ``OSError`` if ``settings`` has no data directory or if it
    cannot be used.
    """
    if settings.data_directory is None:
        raise OSError(f"{program}: dataDirectory is missing in the settings")
    directory = Path(settings.data_directory) / program
    member_id, disk_was_empty = open_identity(
        directory, first_start=settings.first_start, ip=settings.ip_address
    )
    options = GroupOptions(
        name=program,
        identity=MemberIdentity(
            member_id, settings.node_name, settings.internal_address(program), settings.zone
        ),
        directory=directory,
        faults=settings.fault_tolerance.machine_failures,
        state_machine=machine,
        server=server,
        client=client,
        disk_limit_bytes=int(settings.limits.disk_mb * BYTES_PER_MB * disk_fraction),
        timing=Timing.for_catch_up(settings.bounds.catch_up_s),
    )
    return OpenedGroup(create_group(options), disk_was_empty)


def replica_announcement(
    program: str,
    settings: Settings,
    group: ReplicatedGroup,
    *,
    disk_was_empty: bool,
    incarnation: str,
    leaving: bool,
) -> Announcement:
    """Describe a replica to the controllers.

    ``disk_was_empty``: its disk was empty at this start. ``leaving``: a graceful shutdown has begun. Only the
    confirmed primary names the voting members.
    """
    primary = group.is_confirmed_primary()
    return Announcement(
        node_name=settings.node_name,
        program=program,
        ip=settings.ip_address,
        zone=settings.zone,
        region=settings.region,
        incarnation=incarnation,
        member_id=group.identity.member_id,
        first_start=settings.first_start and disk_was_empty,
        group_primary=primary,
        group_epoch=group.epoch,
        group_members=sorted(group.voting_member_ids()) if primary else [],
        leaving=leaving,
    )
