"""Defines a simulated machine: an address with disks and the processes of its programs."""

from __future__ import annotations

from typing import Protocol

import attrs

from cherrycove.tier.settings import (
    Bounds,
    CloudApi,
    FaultTolerance,
    ListenAddresses,
    ProcessLimits,
    Settings,
)
from cherrycove.tier.simulation.control.deployment import CATCH_UP_S, CONTROL_PORT, INTERNAL_PORT_RANGE
from cherrycove.tier.simulation.control.loop import Incarnation
from cherrycove.tier.simulation.control.machine_disk import MachineDisk


class RunningProcess(Protocol):
    """Interface of a process as its machine uses it."""

    incarnation: Incarnation

    def begin(self) -> None:
        """Start the process as a task of its own."""

    async def stop(self) -> None:
        """Shut down gracefully."""


@attrs.define(eq=False)
class Machine:
    """One machine, owned by its cluster. Its processes and disks may be replaced; the address is fixed.

    ``seeds`` are the hosts that its processes contact first; ``isolated_since`` is the time since which it
    can't reach as many others as a quorum needs, None while it can.
    """

    name: str
    host: str
    zone: str
    programs: tuple[str, ...]
    first_start: bool = False
    seeds: tuple[str, ...] = ()
    disks: dict[str, MachineDisk] = attrs.field(factory=dict)  # by program
    running: dict[str, RunningProcess] = attrs.field(factory=dict)  # by program
    starts: int = 0
    removed: bool = False
    isolated_since: float | None = None

    def isolated_for_s(self, now: float) -> float:
        """Return the seconds without contact to a quorum; 0.0 while there is contact."""
        return 0.0 if self.isolated_since is None else now - self.isolated_since

    def settings(self, faults: int) -> Settings:
        """Return the settings of its processes, in a deployment that tolerates ``faults`` lost machines."""
        return Settings(
            node_name=self.name,
            machine_class="storage" if "store" in self.programs else "frontend",
            ip_address=self.host,
            zone=self.zone,
            region="region",
            internal_port_range=INTERNAL_PORT_RANGE,
            listen_addresses=ListenAddresses(),
            seed_nodes=[f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            first_start=self.first_start,
            counts_for_quorum=True,
            limits=ProcessLimits(memory_mb=300.0, disk_mb=0.0),
            data_directory="simulated",
            fault_tolerance=FaultTolerance(machine_failures=faults),
            bounds=Bounds(catch_up_s=CATCH_UP_S),
            cloud_api=CloudApi(address="platform", rate_per_s=40.0),
        )
