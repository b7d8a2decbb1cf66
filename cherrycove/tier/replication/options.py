"""Construction options of a replicated group."""

from __future__ import annotations

from pathlib import Path
from random import Random

import attrs

from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.replication.interface import MemberIdentity, StateMachine
from cherrycove.tier.replication.runtime import Runtime
from cherrycove.tier.replication.snapshot_policy import SNAPSHOT_LOG_BYTES
from cherrycove.tier.replication.timing import Timing


@attrs.frozen(kw_only=True, eq=False)
class GroupOptions:
    """Options of ``factory.create_group``."""

    name: str  # name of the group and part of its call name; equal at all replicas
    identity: MemberIdentity  # its member id belongs to ``directory`` (``storage.identity.open_identity``)
    directory: Path  # holds the durable state of this replica
    faults: int  # number of disks that may be lost without losing a committed entry
    state_machine: StateMachine
    server: CallRegistry  # registers the handler of calls from peers
    client: Caller  # sends the calls to peers
    disk_limit_bytes: int = 0  # limit of ``directory``; 0 means no limit
    random: Random = attrs.field(factory=Random)
    timing: Timing = attrs.field(factory=Timing)
    snapshot_log_bytes: int = SNAPSHOT_LOG_BYTES  # minimum log growth before a snapshot is due
    runtime: Runtime = attrs.field(factory=Runtime)
