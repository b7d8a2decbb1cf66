"""Checks the replies of the controllers, and the replicas on the simulated disks.

Replicas are counted on the disks; the checks don't rely on the counts that processes compute.
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
REPLICATION_S = 1.0  # without faults a change reaches every member within this time after its acknowledgement


class Invariants:
    """Checks one world; raises ``InvariantBrokenError`` on a violation, which ends the run.

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
        """Return the names of the machines that have ``change`` synced on their disk."""
        return [
            machine.name
            for machine in self._cluster.machines
            if CONTROLLER_PROGRAM in machine.disks and holds_change(machine.disks[CONTROLLER_PROGRAM], change)
        ]

    def holders_of_job(self, job_id: str) -> list[str]:
        """Return the names of the machines that have the job synced on their disk."""
        return [
            machine.name
            for machine in self._cluster.machines
            if STORE_PROGRAM in machine.disks and holds_job(machine.disks[STORE_PROGRAM], job_id)
        ]

    def required_replicas(self) -> int:
        """Return how many replicas must exist: faults + 1, minus the lost disks not yet recovered."""
        return max(1, self._environment.faults + 1 - self._environment.fault_budget.lost_disks())

    # Replies of controllers

    def check_authority(self, process: Process, action: str) -> None:
        """Check that ``process``, which did ``action`` as primary, may still hold a lease."""
        isolated_s = process.machine.isolated_for_s(self._environment.now)
        self._history.check_authority(process.incarnation.name, action, isolated_s)

    def acknowledged(self, process: Process, change: Change) -> None:
        """Check the 200 response to ``change`` that ``process`` sends."""
        self.check_authority(process, "confirmed")
        self._history.acknowledge(
            process.incarnation.name, change, self.holders(change), self.required_replicas()
        )
        self.on_acknowledged(process, change)

    def retired(self, process: Process, name: str) -> None:
        """Check the reply that the machine ``name`` has retired, and remove the machine immediately.

        The removal is no loss in the fault budget, so enough replicas must remain without the machine.
        """
        if name in self._history.retired:
            return
        self._history.retired.add(name)
        self._history.note(f"{process.incarnation.name} completed {name}")
        newest = self._history.newest
        if newest is not None:
            left = [holder for holder in self.holders(newest) if holder != name]
            detail = f"{name} was reported as retired, but without it {newest} is on {left} only"
            self._history.require(len(left) >= self.required_replicas(), detail)
        for job in self._environment.jobs.acknowledged():
            self._check_job_without(job, name)
        for machine in self._cluster.present([name]):
            self._environment.after(0.0, partial(self._cluster.remove, machine))
        self.on_retired(name)

    def _check_job_without(self, job: JobRecord, name: str) -> None:
        """Check that enough replicas of ``job`` remain without the machine ``name``."""
        left = [holder for holder in self.holders_of_job(job.request.job_id) if holder != name]
        if len(left) < self.required_replicas():
            self._history.fail(
                f"{name} was reported as retired, but without it {job.request.job_id} is on {left} only"
            )

    def retirement_rejected(self, process: Process, name: str, status: int) -> None:
        """Check a final rejection of a retire order: ``name`` is known, and too few machines would remain."""
        cluster, environment = self._cluster, self._environment
        if not cluster.present([name]) or environment.fault_budget.faultless_s() < CATCH_UP_S:
            return
        self._history.require(
            status != 404,
            f"{process.incarnation.name} answered 404 to the retire order of {name}, which is present",
        )
        remaining = len(cluster.machines) - len(cluster.retiring | {name})
        detail = (
            f"{process.incarnation.name} answered {status} to the retire order of {name}, {remaining} remain"
        )
        self._history.require(remaining < 2 * environment.faults + 1, detail)

    # Periodic checks

    def check_periodically(self) -> None:
        """Check views and replicas after some time without faults; repeat every CHECK_INTERVAL_S."""
        environment = self._environment
        environment.fault_budget.forget_recovered()
        self._cluster.record_hosts()
        if environment.fault_budget.faultless_s() >= CONTACT_S + CONFIG_APPLY_S:
            self._check_views()
            self._check_replicas()
        environment.after(CHECK_INTERVAL_S, self.check_periodically)

    def _check_views(self) -> None:
        """Check that every proxy has applied what was acknowledged CONFIG_APPLY_S ago."""
        due = self._history.acknowledged_before(self._environment.now - CONFIG_APPLY_S)
        for machine in self._cluster.proxies:
            process = machine.running.get(PROXY_PROGRAM)
            if isinstance(process, ProxyProcess):
                detail = f"{process.incarnation.name} has version {process.version} without faults, not {due}"
                self._history.require(process.version >= due, detail)

    def _check_replicas(self) -> None:
        """Check that what was acknowledged REPLICATION_S ago is on all members.

        Their expected number follows from the number of machines and of faults to tolerate.
        """
        due = self._history.acknowledged_change(self._environment.now - REPLICATION_S)
        if due is None:
            return
        holders = self.holders(due)
        members = min(2 * self._environment.faults + 1, len(self._cluster.machines))
        if len(holders) < members:
            self._history.fail(f"{due} is on {holders} only, {REPLICATION_S} s after it was acknowledged")
        self._check_replicas_of_jobs(members)

    def _check_replicas_of_jobs(self, members: int) -> None:
        environment = self._environment
        for job in environment.jobs.acknowledged():
            if job.acknowledged_at is None or environment.now - job.acknowledged_at < REPLICATION_S:
                continue
            holders = self.holders_of_job(job.request.job_id)
            if len(holders) < members:
                self._history.fail(
                    f"{job.request.job_id} is on {holders} only, {REPLICATION_S} s after it was acknowledged"
                )
