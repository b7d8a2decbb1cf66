"""What must hold of the answers that leave the controllers, and of the replicas on the simulated disks.

Replicas are counted on the disks; no process is asked how many it wants or has.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cherrycove.tier.program_names import CONTROLLER_PROGRAM, PROXY_PROGRAM, STORE_PROGRAM
from cherrycove.tier.simulation.control.cluster import Cluster
from cherrycove.tier.simulation.control.deployment import CATCH_UP_S, CONFIG_APPLY_S, CONTACT_S
from cherrycove.tier.simulation.control.environment import Environment
from cherrycove.tier.simulation.control.history import Change, holds_change
from cherrycove.tier.simulation.control.job_history import JobRecord, holds_job
from cherrycove.tier.simulation.control.processes import Process, ProxyProcess

CHECK_INTERVAL_S = 0.25
REPLICATION_S = 1.0  # without faults a change has reached every member so long after its acknowledgement


class Invariants:
    """Checks one world; a violation is raised as ``InvariantBrokenError`` and ends the run.

    ``on_acknowledged`` and ``on_retired`` are called after the checks of these events.
    """

    def __init__(self, environment: Environment, cluster: Cluster) -> None:
        self._environment = environment
        self._cluster = cluster
        self._history = environment.history
        self.on_acknowledged: Callable[[Process, Change], None] = lambda _process, _change: None
        self.on_retired: Callable[[str], None] = lambda _name: None

    # Replicas on disks

    def holders(self, change: Change) -> list[str]:
        """Return the names of the machines on whose disk ``change`` is synced."""
        return [
            machine.name
            for machine in self._cluster.machines
            if CONTROLLER_PROGRAM in machine.disks and holds_change(machine.disks[CONTROLLER_PROGRAM], change)
        ]

    def holders_of_job(self, job_id: str) -> list[str]:
        """Return the names of the machines on whose disk the job is synced."""
        return [
            machine.name
            for machine in self._cluster.machines
            if STORE_PROGRAM in machine.disks and holds_job(machine.disks[STORE_PROGRAM], job_id)
        ]

    def required_replicas(self) -> int:
        """Return f + 1, less the disks whose loss was allowed and that had no time to be made up for."""
        return max(1, self._environment.faults + 1 - self._environment.fault_budget.lost_disks())

    # Answers of controllers

    def check_authority(self, process: Process, action: str) -> None:
        """Check that ``process``, which did ``action`` in the group's name, may have a quorum behind it."""
        isolated_s = process.machine.isolated_for_s(self._environment.now)
        self._history.check_authority(process.incarnation.name, action, isolated_s)

    def acknowledged(self, process: Process, change: Change) -> None:
        """Check the 200 for ``change`` that leaves ``process``."""
        self.check_authority(process, "confirmed")
        self._history.acknowledge(
            process.incarnation.name, change, self.holders(change), self.required_replicas()
        )
        self.on_acknowledged(process, change)

    def retired(self, process: Process, name: str) -> None:
        """Check the answer that the machine ``name`` has retired, and remove the machine at once.

        That is no loss in the fault budget: enough replicas must be left without it.
        """
        if name in self._history.retired:
            return
        self._history.retired.add(name)
        self._history.note(f"{process.incarnation.name} completed {name}")
        newest = self._history.newest
        if newest is not None:
            left = [holder for holder in self.holders(newest) if holder != name]
            detail = f"{name} may go, and {newest} is left on {left} only"
            self._history.require(len(left) >= self.required_replicas(), detail)
        for job in self._environment.jobs.acknowledged():
            self._check_job_without(job, name)
        for machine in self._cluster.present([name]):
            self._environment.after(0.0, partial(self._cluster.remove, machine))
        self.on_retired(name)

    def _check_job_without(self, job: JobRecord, name: str) -> None:
        """Enough replicas of ``job`` are left without the machine ``name``."""
        left = [holder for holder in self.holders_of_job(job.request.job_id) if holder != name]
        if len(left) < self.required_replicas():
            self._history.fail(f"{name} may go, and {job.request.job_id} is left on {left} only")

    def retirement_rejected(self, process: Process, name: str, status: int) -> None:
        """Check a final refusal to retire ``name``: it is known, and too few machines would remain."""
        cluster, environment = self._cluster, self._environment
        if not cluster.present([name]) or environment.fault_budget.faultless_s() < CATCH_UP_S:
            return
        self._history.require(status != 404, f"{process.incarnation.name} does not know {name}")
        remaining = len(cluster.machines) - len(cluster.retiring | {name})
        detail = (
            f"{process.incarnation.name} answered {status} to the order to retire {name}, {remaining} stay"
        )
        self._history.require(remaining < 2 * environment.faults + 1, detail)

    # Periodic checks

    def check_periodically(self) -> None:
        """Check what must hold after some time without faults; again each CHECK_INTERVAL_S."""
        environment = self._environment
        environment.fault_budget.forget_recovered()
        self._cluster.record_hosts()
        if environment.fault_budget.faultless_s() >= CONTACT_S + CONFIG_APPLY_S:
            self._check_views()
            self._check_replicas()
        environment.after(CHECK_INTERVAL_S, self.check_periodically)

    def _check_views(self) -> None:
        """Every proxy has applied what was acknowledged CONFIG_APPLY_S ago."""
        due = self._history.acknowledged_before(self._environment.now - CONFIG_APPLY_S)
        for machine in self._cluster.proxies:
            process = machine.running.get(PROXY_PROGRAM)
            if isinstance(process, ProxyProcess):
                detail = f"{process.incarnation.name} in touch has version {process.version}, not {due}"
                self._history.require(process.version >= due, detail)

    def _check_replicas(self) -> None:
        """Every acknowledged change has reached as many machines as the group ought to have members."""
        due = self._history.acknowledged_change(self._environment.now - REPLICATION_S)
        if due is None:
            return
        holders = self.holders(due)
        members = min(2 * self._environment.faults + 1, len(self._cluster.machines))
        if len(holders) < members:
            self._history.fail(f"{due} only on {holders} without faults")
        self._check_replicas_of_jobs(members)

    def _check_replicas_of_jobs(self, members: int) -> None:
        environment = self._environment
        for job in environment.jobs.acknowledged():
            if job.acknowledged_at is None or environment.now - job.acknowledged_at < REPLICATION_S:
                continue
            holders = self.holders_of_job(job.request.job_id)
            if len(holders) < members:
                self._history.fail(f"{job.request.job_id} only on {holders} without faults")
