"""A tier of real processes whose connections go through links."""

from __future__ import annotations

import json
import shutil
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import attrs
import yaml
from links import WAIT_TIMEOUT_S, Network
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
SHARED_IP_OFFSET = 100  # added to the number of a shared machine for the last octet of its address


async def until(fact: str, holds: Callable[[], Awaitable[bool]]) -> None:
    """Poll ``holds`` until it returns True; raises ``TierError`` with ``fact`` if it does not in time."""
    await small_tier.until(fact, holds, WAIT_TIMEOUT_S)


def configuration(version: int, padding: int = 0, **fields: str) -> bytes:
    """Return the examples' configuration as ``version``, plus ``fields`` and ``padding`` unused bytes."""
    document = json.loads(CONFIGURATION_PATH.read_text())
    return json.dumps({**document, "version": version, **fields, "padding": "x" * padding}).encode()


def configuration_with_route(version: int, name: str) -> bytes:
    """Return the examples' configuration as ``version`` with an additional route ``/NAME/``."""
    document = json.loads(CONFIGURATION_PATH.read_text())
    route = {**document["routes"][0], "name": name, "pathPrefix": f"/{name}/"}
    return json.dumps({**document, "version": version, "routes": [*document["routes"], route]}).encode()


@attrs.define(eq=False)
class LinkedTier(SmallTier):
    """A tier whose processes connect through ``links``.

    ``shared_machines`` places keeper 1 and store 1 on machine-1, and so on, as deployments do.
    """

    shared_machines: bool = False
    deferred_machine: str = ""  # a machine that is started by the test itself
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
        is_shared = self.shared_machines and program != "proxy"
        ip = f"{self.network}.{SHARED_IP_OFFSET + number if is_shared else index}"
        machine = f"machine-{number}" if is_shared else f"{program}-{number}"
        self.links.add_machine(machine, ip)
        return Daemon(
            program=program, number=number, ip=ip, directory=self.directory, machine=machine,
            launcher=(str(LINKED_PROCESS),),
            environment={"LINKED_MACHINE": machine, "LINKED_RELAY": str(self.links.port)},
        )  # fmt: skip

    # Machines

    def on_machine(self, name: str) -> list[Daemon]:
        return [daemon for daemon in self.daemons if daemon.node_name == name]

    async def kill_machine(self, name: str) -> None:
        """Kill all processes of a machine."""
        for daemon in self.on_machine(name):
            await daemon.kill()

    def freeze_machine(self, name: str) -> None:
        """Stop all processes of a machine by SIGSTOP; their connections stay open."""
        for daemon in self.on_machine(name):
            daemon.send(signal.SIGSTOP)

    def unfreeze_machine(self, name: str) -> None:
        """Continue the stopped processes of a machine."""
        for daemon in self.on_machine(name):
            daemon.send(signal.SIGCONT)

    async def lose_disks(self, name: str) -> None:
        """Kill a machine and empty its disks; it can be started again."""
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
        """Return the id of its disk, by which the group identifies the member; empty if it has none yet."""
        path = self.disk(daemon) / daemon.program / "identity"
        return path.read_text().partition("\n")[0] if path.exists() else ""

    # Status of the keepers, requested without going through the links

    async def keeper_status(self, keeper: Daemon) -> StatusReply | None:
        """Return the status of ``keeper``; None if it does not answer."""
        outcome = await self._rpc.call(keeper.internal, STATUS, StatusRequest(), STATUS_TIMEOUT_S)
        return outcome.ok_value if isinstance(outcome, Ok) else None

    async def _start_all(self) -> None:
        for daemon in self.daemons:
            if daemon.node_name != self.deferred_machine:
                await daemon.start()

    async def until_up(self) -> None:
        """Wait until every started keeper answers."""
        for keeper in self.keepers:
            await self.until_status(keeper, "it answers", lambda _: True)

    async def primary_keeper(self, among: Iterable[Daemon] = (), min_version: int = 0) -> Daemon:
        """Wait for a primary with a valid lease and at least ``min_version``, and return it.

        Only the keepers of ``among`` are asked, or all that run if it is empty.
        """
        found: list[Daemon] = []

        async def known() -> bool:
            for keeper in list(among) or self.keepers:
                status = await self.keeper_status(keeper)
                if status and status.confirmed and status.configuration_version >= min_version:
                    found[:] = [keeper]
                    return True
            return False

        await until("there is a primary keeper", known)
        return found[0]

    async def primary_store(self) -> Daemon:
        """Wait until the primary keeper knows the primary store, and return that store."""
        found: list[Daemon] = []

        def known(status: StatusReply) -> bool:
            found[:] = [
                store
                for store in self.running_daemons("store")
                if _primary_store_announcement(status).node_name == store.node_name
            ]
            return bool(found)

        await self.until_status(await self.primary_keeper(), "there is a primary store", known)
        return found[0]

    async def until_status(self, keeper: Daemon, fact: str, holds: Callable[[StatusReply], bool]) -> None:
        """Wait until ``holds`` is true for the status of ``keeper``; ``fact`` describes it in the error."""

        async def holds_now() -> bool:
            status = await self.keeper_status(keeper)
            return status is not None and holds(status)

        await until(f"{keeper.name}: {fact}", holds_now)

    async def until_version(self, version: int) -> None:
        """Wait until every running keeper has configuration ``version``."""
        for keeper in self.keepers:
            await self.until_status(
                keeper, f"version {version}", lambda status: status.configuration_version == version
            )

    async def until_members(self, daemons: Iterable[Daemon]) -> None:
        """Wait until the members of the groups are the disks of ``daemons``, according to their primaries."""
        daemon_list = list(daemons)
        last_members: list[dict[str, set[str]]] = []

        async def complete() -> bool:
            expected = {program: set() for program in ("keeper", "store")}  # type: dict[str, set[str]]
            for daemon in daemon_list:
                expected[daemon.program].add(self.member_id(daemon))
            for keeper in self.keepers:
                status = await self.keeper_status(keeper)
                if status is not None and status.confirmed:
                    last_members[:] = [expected, _members(status)]
                    return all(_members(status)[program] == ids for program, ids in expected.items() if ids)
            return False

        try:
            await until("the groups have the expected members", complete)
        except TierError as error:
            raise TierError(f"{error}: expected and actual members {last_members}") from None

    async def until_announced(self, machine: str) -> None:
        """Wait until all processes of ``machine`` have announced themselves to the primary keeper."""
        expected = {daemon.program for daemon in self.on_machine(machine)}
        await self.until_status(await self.primary_keeper(), f"announced: {machine}", lambda s: expected == {
            each.program for each in s.announcements if each.node_name == machine
        })  # fmt: skip

    def events(self, daemon: Daemon, name: str) -> list[dict[str, Any]]:
        """Return the lines with event ``name`` in the log of ``daemon``."""
        if not daemon.log_path.exists():
            return []
        lines = [json.loads(line) for line in daemon.log_path.read_text().splitlines() if line.endswith("}")]
        return [line for line in lines if line["event"] == name]


def _primary_store_announcement(status: StatusReply) -> Announcement:
    """Return the announcement of the primary store of the newest epoch; an empty one if there is none."""
    primaries = [each for each in status.announcements if each.program == "store" and each.group_primary]
    return max(primaries, key=lambda each: each.group_epoch, default=Announcement())


def _members(status: StatusReply) -> dict[str, set[str]]:
    """Return the member ids of both groups from the status of the primary keeper, by program."""
    keepers = {member.member_id for member in status.members}
    return {"keeper": keepers, "store": set(_primary_store_announcement(status).group_members)}
