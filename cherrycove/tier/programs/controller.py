"""The controller, a replicated service for configuration, process and broker registration, and operators."""

from __future__ import annotations

from collections.abc import Sequence

from cherrycove.tier.controlplane.controller import Controller
from cherrycove.tier.controlplane.controller_contacts import PullerContacts
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.program_names import CONTROLLER_PROGRAM
from cherrycove.tier.programs.replica_program import ReplicaProgram
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.settings import Settings


class ControllerProgram(ReplicaProgram):
    """The controller daemon of one machine."""

    def __init__(self, settings: Settings) -> None:
        """Open the data directory of ``settings``; raises ``OSError`` if it cannot be used."""
        self._state = ControlState()
        super().__init__(CONTROLLER_PROGRAM, settings, self._state)

    def _assemble_service(self) -> Controller:
        return Controller(
            self._settings,
            self._group,
            self._state,
            self._server,
            self._client,
            self._cluster_view,
            contacts=PullerContacts(self._puller, self._announce),
            listener_budget=self._listener_budget,
        )

    def _initial_members(self) -> Sequence[MemberIdentity]:
        """Return the replicas on the seed nodes at the first start of the deployment, otherwise none."""
        if not self._settings.first_start:
            return []
        return [
            MemberIdentity(f"first-{ip}", "", self._settings.peer_address(ip, CONTROLLER_PROGRAM))
            for ip in sorted(set(self._settings.seed_ips()))
        ]


def assemble(settings: Settings) -> ControllerProgram:
    """Return the program; raises ``OSError`` if its data directory cannot be used."""
    return ControllerProgram(settings)
