"""A tier of real processes behind links."""

from __future__ import annotations

import json
import shutil
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import attrs
import yaml
from links import WAIT_S, Network
from result import Ok

from cherrycove.tier.protocol.control_pb2 import Announcement
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.protocol.rpc import RpcClient
from examples import small_tier
from examples.small_tier import CONFIGURATION_PATH, SmallTier, TierError
from examples.tier_processes import MAX_SEEDS, Daemon, make_settings

LINKED_PROCESS = Path(__file__).with_name("linked_process.py")
STATUS_TIMEOUT_S = 0.5
SHARED_FROM = 100  # last number of the addresses of shared machines


async def until(fact: str, holds: Callable[[], Awaitable[bool]]) -> None:
    """Ask ``holds`` until it says yes; TierError naming ``fact`` if it does not in time."""
    await small_tier.until(fact, holds, WAIT_S)


def configuration(version: int, padding: int = 0, **marks: str) -> bytes:
    """The examples' configuration as ``version``, with ``marks`` and so many bytes more that mean nothing."""
    document = json.loads(CONFIGURATION_PATH.read_text())
    return json.dumps({**document, "version": version, **marks, "padding": "x" * padding}).encode()


def with_route(version: int, name: str) -> bytes:
    """The examples' configuration as ``version`` with a route ``/NAME/`` more."""
    document = json.loads(CONFIGURATION_PATH.read_text())
    route = {**document["routes"][0], "name": name, "pathPrefix": f"/{name}/"}
    return json.dumps({**document, "version": version, "routes": [*document["routes"], route]}).encode()


@attrs.define(eq=False)
class LinkedTier(SmallTier):
    """``shared`` puts keeper 1 and store 1 on machine-1, and so on, as deployments do."""

    shared: bool = False
    later: str = ""  # a machine that the test itself starts
    links: Network = attrs.field(factory=Network)
    _rpc: RpcClient = attrs.field(factory=RpcClient)

    async def __aenter__(self) -> LinkedTier:
        await self.links.start()
        await self._rpc.start()
        await super().__aenter__()
        try:
            await self.until_up()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self._kill_all()
        await self._rpc.stop()
        await self.links.stop()

    def _create_daemons(self) -> list[Daemon]:
        counts = (("keeper", self.sizes.keepers), ("store", self.sizes.stores), ("proxy", self.sizes.proxies))
        numbers = ((program, number) for program, count in counts for number in range(1, count + 1))
        daemons = [self._daemon(index, *each) for index, each in enumerate(numbers, 1)]
        seeds = [daemon.control_plane for daemon in daemons if daemon.program == "keeper"][:MAX_SEEDS]
        for daemon in daemons:
            settings = make_settings(daemon, seeds, self.platform.address, self.sizes)
            daemon.settings_path.write_text(yaml.safe_dump(settings, sort_keys=False))
        return daemons

    def _daemon(self, index: int, program: str, number: int) -> Daemon:
        shares = self.shared and program != "proxy"
        ip = f"{self.network}.{SHARED_FROM + number if shares else index}"
        machine = f"machine-{number}" if shares else f"{program}-{number}"
        self.links.add(machine, ip)
        return Daemon(
            program=program, number=number, ip=ip, directory=self.directory, machine=machine,
            launcher=(str(LINKED_PROCESS),),
            environment={"LINKED_MACHINE": machine, "LINKED_RELAY": str(self.links.port)},
        )  # fmt: skip

    # Machines

    def on_machine(self, name: str) -> list[Daemon]:
        return [daemon for daemon in self.daemons if daemon.node_name == name]

    async def kill_machine(self, name: str) -> None:
        """All processes of a machine end at once."""
        for daemon in self.on_machine(name):
            await daemon.kill()

    def freeze_machine(self, name: str) -> None:
        """All processes of a machine stand still, with their connections open."""
        for daemon in self.on_machine(name):
            daemon.send(signal.SIGSTOP)

    def thaw_machine(self, name: str) -> None:
        for daemon in self.on_machine(name):
            daemon.send(signal.SIGCONT)

    async def lose_disks(self, name: str) -> None:
        """A machine ends at once and loses its disks; it may be started again with empty ones."""
        await self.kill_machine(name)
        for daemon in self.on_machine(name):
            disk = self.disk(daemon)
            shutil.rmtree(disk)
            disk.mkdir()
            settings = yaml.safe_load(daemon.settings_path.read_text())
            daemon.settings_path.write_text(yaml.safe_dump({**settings, "firstStart": False}))

    async def start_machine(self, name: str) -> None:
        for daemon in self.on_machine(name):
            await daemon.start()

    def disk(self, daemon: Daemon) -> Path:
        return daemon.directory / f"{daemon.name}.data"

    def member_id(self, daemon: Daemon) -> str:
        """The name of its disk, as the group knows it."""
        path = self.disk(daemon) / daemon.program / "identity"
        return path.read_text().partition("\n")[0] if path.exists() else ""

    # What keepers tell, asked past the links

    async def told(self, keeper: Daemon) -> StatusReply | None:
        """What ``keeper`` knows; None while it does not answer."""
        outcome = await self._rpc.call(keeper.internal, STATUS, StatusRequest(), STATUS_TIMEOUT_S)
        return outcome.ok_value if isinstance(outcome, Ok) else None

    async def _start_all(self) -> None:
        for daemon in self.daemons:
            if daemon.node_name != self.later:
                await daemon.start()

    async def until_up(self) -> None:
        """Until every keeper that was started serves."""
        for keeper in self.keepers:
            await self.until_told(keeper, "it serves", lambda _: True)

    async def leader(self, among: Iterable[Daemon] = (), least_version: int = 0) -> Daemon:
        """The keeper of ``among``, or of all that run, that leads under a lease and has that version."""
        found: list[Daemon] = []

        async def known() -> bool:
            for keeper in list(among) or self.keepers:
                told = await self.told(keeper)
                if told and told.confirmed and told.configuration_version >= least_version:
                    found[:] = [keeper]
                    return True
            return False

        await until("one keeper leads", known)
        return found[0]

    async def store_leader(self) -> Daemon:
        """The store that leads its group, as the primary keeper was told."""
        found: list[Daemon] = []

        def known(told: StatusReply) -> bool:
            found[:] = [
                store
                for store in self.running_daemons("store")
                if _leading(told).node_name == store.node_name
            ]
            return bool(found)

        await self.until_told(await self.leader(), "one store leads", known)
        return found[0]

    async def until_told(self, keeper: Daemon, fact: str, holds: Callable[[StatusReply], bool]) -> None:
        """Until what ``keeper`` tells has ``fact``."""

        async def holds_now() -> bool:
            told = await self.told(keeper)
            return told is not None and holds(told)

        await until(f"{keeper.name}: {fact}", holds_now)

    async def until_version(self, version: int) -> None:
        """Until every keeper that runs holds ``version``."""
        for keeper in self.keepers:
            await self.until_told(
                keeper, f"version {version}", lambda told: told.configuration_version == version
            )

    async def until_members(self, daemons: Iterable[Daemon]) -> None:
        """Until the groups consist of the disks of ``daemons``, as their primaries tell."""
        listed = list(daemons)
        seen: list[dict[str, set[str]]] = []

        async def complete() -> bool:
            expected = {program: set() for program in ("keeper", "store")}  # type: dict[str, set[str]]
            for daemon in listed:
                expected[daemon.program].add(self.member_id(daemon))
            for keeper in self.keepers:
                told = await self.told(keeper)
                if told is not None and told.confirmed:
                    seen[:] = [expected, _members(told)]
                    return all(_members(told)[program] == ids for program, ids in expected.items() if ids)
            return False

        try:
            await until("the groups have their members", complete)
        except TierError as error:
            raise TierError(f"{error}: expected and found {seen}") from None

    async def until_announced(self, machine: str) -> None:
        """Until the primary keeper has heard of all processes of ``machine``."""
        expected = {daemon.program for daemon in self.on_machine(machine)}
        await self.until_told(await self.leader(), f"{machine} is there", lambda told: expected == {
            each.program for each in told.announcements if each.node_name == machine
        })  # fmt: skip

    def events(self, daemon: Daemon, name: str) -> list[dict[str, Any]]:
        """Lines of one kind in a daemon's log."""
        if not daemon.log_path.exists():
            return []
        lines = [json.loads(line) for line in daemon.log_path.read_text().splitlines() if line.endswith("}")]
        return [line for line in lines if line["event"] == name]


def _leading(told: StatusReply) -> Announcement:
    """What the store said that leads in the newest epoch."""
    leading = [each for each in told.announcements if each.program == "store" and each.group_primary]
    return max(leading, key=lambda each: each.group_epoch, default=Announcement())


def _members(told: StatusReply) -> dict[str, set[str]]:
    """Ids of the members of both groups, as a primary keeper tells them."""
    keepers = {member.member_id for member in told.members}
    return {"keeper": keepers, "store": set(_leading(told).group_members)}
