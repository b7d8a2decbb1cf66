"""The store, which holds batch jobs, their items and results, replicated on storage machines."""

from __future__ import annotations

from cherrycove.tier.batch.jobs.state import JobsState
from cherrycove.tier.batch.store.job_capacity import STORE_DISK_FRACTION
from cherrycove.tier.batch.store.service import BatchStoreService
from cherrycove.tier.program_names import STORE_PROGRAM
from cherrycove.tier.programs.replica_program import ReplicaProgram
from cherrycove.tier.programs.store_membership import StoreMembership
from cherrycove.tier.settings import Settings


class StoreProgram(ReplicaProgram):
    """The store daemon of one machine.

    The primary controller chooses the initial members of the store group; until then the replica waits.
    """

    def __init__(self, settings: Settings) -> None:
        """Open the data directory of ``settings``; raises ``OSError`` if it cannot be used."""
        self._state = JobsState()
        super().__init__(STORE_PROGRAM, settings, self._state, STORE_DISK_FRACTION)
        self._membership = StoreMembership(settings, self._group, self._cluster_view, self._server)

    def _assemble_service(self) -> BatchStoreService:
        return BatchStoreService(
            self._settings, self._group, self._state, self._server, cluster_view=self._cluster_view
        )


def assemble(settings: Settings) -> StoreProgram:
    """Return the program; raises ``OSError`` if its data directory cannot be used."""
    return StoreProgram(settings)
