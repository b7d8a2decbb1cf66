"""Replaces sockets, files and threads for simulated processes."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

from result import Ok, Result

from cherrycove.tier.errors import Failure
from cherrycove.tier.protocol.control_pb2 import BrokerList
from cherrycove.tier.replication.runtime import Runtime
from cherrycove.tier.simulation.control.loop import Incarnation, VirtualLoop
from cherrycove.tier.simulation.control.machine_disk import MachineDisk, SimulatedStorage, SimulatedWriter
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.network import Client, Endpoint, Network
from cherrycove.tier.storage.identity import first_member_id


class EmptyPlatform:
    """A cloud platform without brokers; implements ``BrokerReader``."""

    def __init__(self) -> None:
        self.calls = 1

    async def start(self) -> None:
        """Do nothing: there is no connection."""

    async def stop(self) -> None:
        """Do nothing: there is no connection."""

    async def read(self) -> Result[BrokerList, Failure]:
        """Return an empty list of brokers."""
        return Ok(BrokerList())


class SimulatedRuntime:
    """Provides the processes of one world with clients, endpoints, member identities and storage."""

    def __init__(self, loop: VirtualLoop, network: Network, random: Random, faults: int) -> None:
        self._loop = loop
        self._network = network
        self._random = random
        self._faults = faults

    def client(self, machine: Machine, incarnation: Incarnation) -> Client:
        """Return the client for the internal calls of a process on ``machine``."""
        return Client(self._network, machine.host, incarnation)

    def serve(self, machine: Machine, incarnation: Incarnation, program: str) -> Endpoint:
        """Open the endpoint of ``program`` at its internal address on ``machine``."""
        endpoint = Endpoint(incarnation)
        address = machine.settings(self._faults).internal_address(program)
        self._network.open(endpoint, address)
        return endpoint

    def identity(self, machine: Machine, program: str) -> tuple[str, bool]:
        """Return the disk's member id and whether the disk was empty, as ``storage.identity`` decides."""
        disk = machine.disks.setdefault(program, MachineDisk())
        is_fresh = not disk.member_id
        if is_fresh:
            disk.member_id = first_member_id(machine.host) if machine.first_start else self._new_id()
        return disk.member_id, is_fresh

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def replication_runtime(self, disk: MachineDisk) -> Runtime:
        """Return the runtime of a replicated group that stores its data on ``disk``."""

        async def run_at_once(function: Any, *arguments: Any) -> Any:
            return function(*arguments)

        def make_writer(storage: Any, *callbacks: Any) -> SimulatedWriter:
            return SimulatedWriter(self._loop, self._random, storage, *callbacks)

        def open_storage(_: Path, __: int) -> SimulatedStorage:
            return SimulatedStorage(disk)

        def renew_identity(_: Path) -> str:
            disk.member_id = self._new_id()
            return disk.member_id

        return Runtime(
            clock=self._loop.time,
            open_storage=open_storage,
            make_writer=make_writer,
            renew_identity=renew_identity,
            run_blocking=run_at_once,
        )
