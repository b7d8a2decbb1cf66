"""What a replicated group is built from."""

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

    name: str  # of the group, part of its call name; the same at all replicas
    identity: MemberIdentity  # its member id is that of ``directory`` (``storage.identity.open_identity``)
    directory: Path  # the durable state of this replica
    faults: int  # replicas that may be lost with their disks without losing a committed entry
    state_machine: StateMachine
    server: CallRegistry  # takes the handler of the calls from peers
    client: Caller  # makes the calls to peers
    disk_limit_bytes: int = 0  # of ``directory``; 0: no limit
    random: Random = attrs.field(factory=Random)
    timing: Timing = attrs.field(factory=Timing)
    snapshot_log_bytes: int = SNAPSHOT_LOG_BYTES  # a snapshot is due when the log behind the last is larger
    runtime: Runtime = attrs.field(factory=Runtime)
