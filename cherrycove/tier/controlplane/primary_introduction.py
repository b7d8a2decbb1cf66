"""The primary makes itself known to controllers that may not know it.

A process that starts knows the seeds of its settings, and asks these. Where all of them are outside the
group (standbys, removed members, emptied machines), none of them hears the group's heartbeats, and none can
point to the primary unless the primary turns to them. An introduction is a pull: its announcement says who
leads in which epoch, and a controller that does not lead rejects the pull but keeps that.
"""

from __future__ import annotations

import asyncio
from ipaddress import ip_address

import attrs

from cherrycove.tier.controlplane.controller_contacts import ControllerContacts
from cherrycove.tier.controlplane.leadership import Introduction
from cherrycove.tier.controlplane.leadership_period import LeadershipPeriod
from cherrycove.tier.controlplane.process_directory import ProcessDirectory
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.program_names import CONTROLLER_PROGRAM
from cherrycove.tier.protocol.calls import Caller
from cherrycove.tier.protocol.control_methods import PULL
from cherrycove.tier.protocol.control_pb2 import PullRequest
from cherrycove.tier.settings import Settings

INTERVAL_S = 0.25  # between two passes
CALL_TIMEOUT_S = 0.5
MIN_PAUSE_S = 0.25  # between two introductions to one controller; doubles with each
MAX_PAUSE_S = 4.0


@attrs.define
class _Attempts:
    """Introductions to one controller in this leadership period."""

    next_at: float = 0.0  # monotonic s
    pause_s: float = MIN_PAUSE_S


class PrimaryIntroduction:
    """Introduces this controller, while it leads, to those that have not announced themselves to it.

    Owned by the ``Controller``. Candidates are the seeds and all controllers that this process has heard of,
    and the storage machines on record, which may run one each. A controller that pulls from here needs no
    introduction; one that does not answer is tried more and more rarely. Nothing survives a crash.
    """

    def __init__(
        self,
        settings: Settings,
        state: ControlState,
        period: LeadershipPeriod,
        directory: ProcessDirectory,
        client: Caller,
        contacts: ControllerContacts,
    ) -> None:
        self._settings = settings
        self._state = state
        self._period = period
        self._directory = directory
        self._client = client
        self._contacts = contacts
        self._attempts: dict[str, _Attempts] = {}

    def on_started_leading(self) -> None:
        """Leadership began in a new epoch: everybody is to hear of it soon."""
        self._attempts = {}

    async def step(self) -> None:
        """Make one pass, then pause."""
        if self._period.is_leading():
            now = asyncio.get_running_loop().time()
            await asyncio.gather(*(self._introduce(address) for address in self._due(now)))
        await asyncio.sleep(INTERVAL_S)

    def _due(self, now: float) -> list[str]:
        """Return the controllers to turn to now."""
        unheard = set(self._candidates()) - self._heard(now)
        self._attempts = {address: self._attempts.get(address, _Attempts()) for address in sorted(unheard)}
        due = [address for address, attempts in self._attempts.items() if attempts.next_at <= now]
        for address in due:
            attempts = self._attempts[address]
            attempts.next_at = now + attempts.pause_s
            attempts.pause_s = min(attempts.pause_s * 2, MAX_PAUSE_S)
        return due

    def _candidates(self) -> list[str]:
        completed = {order.node_name for order in self._state.retire_orders.values() if order.completed}
        machines = [one for one in self._state.machines.values() if one.node_name not in completed]
        recorded = [self._address(machine.ip) for machine in machines if machine.ip]
        return [*self._contacts.known_controllers(), *recorded]

    def _heard(self, now: float) -> set[str]:
        """Return the addresses that need no introduction: this one, and those that pull from here."""
        announced = [
            entry.announcement.ip
            for entry in self._directory.controllers_alive(now)
            if not entry.is_unconfirmed
        ]
        return {self._address(ip) for ip in (self._settings.ip_address, *announced)}

    async def _introduce(self, address: str) -> None:
        announcement = self._contacts.announcement()
        if announcement is None or not announcement.group_primary:
            return
        # Whatever the outcome: a controller that does not pull from here is tried again after the pause.
        await self._client.call(address, PULL, PullRequest(announcement=announcement), CALL_TIMEOUT_S)

    def _address(self, ip: str) -> str:
        return self._settings.peer_address(ip, CONTROLLER_PROGRAM)


def introduction_in(request: PullRequest, settings: Settings, now: float) -> Introduction | None:
    """Return the introduction that a rejected pull brings; None if its sender does not say that it leads."""
    announcement = request.announcement
    if announcement.program != CONTROLLER_PROGRAM or not announcement.group_primary:
        return None
    try:
        ip = str(ip_address(announcement.ip))
    except ValueError:
        return None
    return Introduction(settings.peer_address(ip, CONTROLLER_PROGRAM), announcement.group_epoch, now)
