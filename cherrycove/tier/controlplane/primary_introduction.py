"""Introduces the primary to controllers that may not know it.

A starting process asks the seeds of its settings for the primary. If all of them are outside the group
(standbys, removed members, retired machines), none receives the group's heartbeats, so none can name the
primary unless the primary contacts it. An introduction is a pull whose announcement states the primary and
its epoch. A controller that does not lead rejects the pull but records this information.
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

INTERVAL_S = 0.25  # interval of the passes over all candidates
CALL_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.25  # first interval of introductions to one controller; doubles with each introduction
MAX_BACKOFF_S = 4.0


@attrs.define
class _Backoff:
    """Holds the retry state of the introductions to one controller in this leadership period."""

    next_attempt_at: float = 0.0  # monotonic time in s
    delay_s: float = MIN_BACKOFF_S


class PrimaryIntroduction:
    """Introduces this controller, while it leads, to those that have not announced themselves to it.

    Owned by the ``Controller``. Candidates are the seeds, all controllers that this process knows of, and the
    recorded storage machines, each of which may run one. Controllers that pull from this one need no
    introduction. One that does not answer is retried with exponential backoff. Nothing is persisted.
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
        self._backoffs: dict[str, _Backoff] = {}

    def on_started_leading(self) -> None:
        """Handle the start of leadership in a new epoch: reset all backoffs so that all learn of it soon."""
        self._backoffs = {}

    async def step(self) -> None:
        """Introduce this controller to all candidates that are due, then pause."""
        if self._period.is_leading():
            now = asyncio.get_running_loop().time()
            await asyncio.gather(*(self._introduce(address) for address in self._due_addresses(now)))
        await asyncio.sleep(INTERVAL_S)

    def _due_addresses(self, now: float) -> list[str]:
        """Return the addresses to contact now, and schedule the next attempt for each."""
        remaining = set(self._candidates()) - self._excluded_addresses(now)
        self._backoffs = {address: self._backoffs.get(address, _Backoff()) for address in sorted(remaining)}
        due = [address for address, backoff in self._backoffs.items() if backoff.next_attempt_at <= now]
        for address in due:
            backoff = self._backoffs[address]
            backoff.next_attempt_at = now + backoff.delay_s
            backoff.delay_s = min(backoff.delay_s * 2, MAX_BACKOFF_S)
        return due

    def _candidates(self) -> list[str]:
        completed = {order.node_name for order in self._state.retire_orders.values() if order.completed}
        machines = [record for record in self._state.machines.values() if record.node_name not in completed]
        recorded = [self._address(machine.ip) for machine in machines if machine.ip]
        return [*self._contacts.known_controllers(), *recorded]

    def _excluded_addresses(self, now: float) -> set[str]:
        """Return the addresses that need no introduction: this controller's and those that pull from it."""
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
        # The outcome is ignored: a controller that does not pull from this one is retried after its backoff.
        await self._client.call(address, PULL, PullRequest(announcement=announcement), CALL_TIMEOUT_S)

    def _address(self, ip: str) -> str:
        return self._settings.peer_address(ip, CONTROLLER_PROGRAM)


def introduction_in(request: PullRequest, settings: Settings, now: float) -> Introduction | None:
    """Return the introduction in a rejected pull; None if the sender does not claim to be the primary."""
    announcement = request.announcement
    if announcement.program != CONTROLLER_PROGRAM or not announcement.group_primary:
        return None
    try:
        ip = str(ip_address(announcement.ip))
    except ValueError:
        return None
    return Introduction(settings.peer_address(ip, CONTROLLER_PROGRAM), announcement.group_epoch, now)
