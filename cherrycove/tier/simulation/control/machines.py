"""Simulated machines of the tier: each with disks, an address and the processes of its roles."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
from result import Ok, Result

from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol.control_pb2 import BrokerList
from cherrycove.tier.replication.runtime import Runtime
from cherrycove.tier.settings import (
    Bounds,
    CloudApi,
    FaultTolerance,
    ListenAddresses,
    ProcessLimits,
    Settings,
)
from cherrycove.tier.simulation.control.disk import Disk, DiskQueue, DiskStorage
from cherrycove.tier.simulation.control.loop import Life, VirtualLoop
from cherrycove.tier.simulation.control.network import Client, Endpoint, Network
from cherrycove.tier.storage.identity import first_member_id

if TYPE_CHECKING:
    from cherrycove.tier.simulation.control.processes import Process

PORTS = [7720, 7735]
CONTROL_PORT = 8166
CATCH_UP_S = 4.8
CONTACT_S = 3.0
ACKNOWLEDGE_S = 4.0
CONFIG_APPLY_S = 2.0


@attrs.define(eq=False)
class Machine:
    """A place with an address; its processes and disks come and go."""

    name: str
    host: str
    zone: str
    programs: tuple[str, ...]
    first_start: bool = False
    seeds: tuple[str, ...] = ()
    disks: dict[str, Disk] = attrs.field(factory=dict)
    running: dict[str, Process] = attrs.field(factory=dict)
    starts: int = 0
    gone: bool = False  # removed for good
    isolated_since: float | None = None  # without contact to any other machine that counts

    def settings(self, faults: int) -> Settings:
        return Settings(
            node_name=self.name,
            machine_class="storage" if "store" in self.programs else "frontend",
            ip_address=self.host,
            zone=self.zone,
            region="region",
            internal_port_range=PORTS,
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


class EmptyPlatform:
    """A platform whose list of brokers is empty; implements ``BrokerReader``."""

    def __init__(self) -> None:
        self.calls = 1

    async def start(self) -> None:
        return None

    async def stop(self) -> None:
        return None

    async def read(self) -> Result[BrokerList, Failure]:
        return Ok(BrokerList())


class Surroundings:
    """What every process of a world shares."""

    def __init__(self, loop: VirtualLoop, network: Network, random: Random, faults: int) -> None:
        self.loop = loop
        self.network = network
        self.random = random
        self.faults = faults

    def client(self, machine: Machine, life: Life) -> Client:
        return Client(self.network, machine.host, life)

    def serve(self, machine: Machine, life: Life, program: str) -> Endpoint:
        endpoint = Endpoint(life)
        address = machine.settings(self.faults).internal_address(program)
        self.network.open(endpoint, address)
        return endpoint

    def identity(self, machine: Machine, program: str) -> tuple[str, bool]:
        """The member id of the disk, and whether the disk was empty; as ``storage.identity`` decides."""
        disk = machine.disks.setdefault(program, Disk())
        fresh = not disk.member_id
        if fresh:
            disk.member_id = first_member_id(machine.host) if machine.first_start else self._new_id()
        return disk.member_id, fresh

    def _new_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def runtime(self, disk: Disk) -> Runtime:
        async def at_once(function: Any, *arguments: Any) -> Any:
            return function(*arguments)

        def make_writer(storage: Any, *callbacks: Any) -> DiskQueue:
            return DiskQueue(self.loop, self.random, storage, *callbacks)

        def open_storage(_: Path, __: int) -> DiskStorage:
            return DiskStorage(disk)

        def renew(_: Path) -> str:
            disk.member_id = self._new_id()
            return disk.member_id

        return Runtime(
            clock=self.loop.time,
            open_storage=open_storage,
            make_writer=make_writer,
            renew_identity=renew,
            run_blocking=at_once,
        )
