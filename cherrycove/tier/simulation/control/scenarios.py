"""Defines the scenarios by name: faults, their intervals, and the workload of operators."""

from __future__ import annotations

import attrs

from cherrycove.tier.simulation.control.deployment import Topology
from cherrycove.tier.simulation.control.operator_orders import Workload

SMALL = Topology(faults=1, machines=3, proxies=2)
WITH_STANDBY = Topology(faults=1, machines=4, proxies=2)
LARGE = Topology(faults=2, machines=5, proxies=1)
WITH_STORES = Topology(faults=1, machines=4, proxies=1, stores=True)
MANY_WITH_STORES = Topology(faults=1, machines=5, proxies=1, stores=True)
# Sizes of production deployments: a group of five among ten or more machines; the platform assigns the seeds.
TEN_MACHINES = Topology(faults=2, machines=10, proxies=5, stores=True, one_seed_per_zone=True)
TWELVE_MACHINES = Topology(faults=2, machines=12, proxies=6, stores=True, one_seed_per_zone=True)
FOURTEEN_MACHINES = Topology(faults=2, machines=14, proxies=8, stores=True, one_seed_per_zone=True)


@attrs.frozen(kw_only=True)
class Scenario:
    """Describes one scenario; each of its seeds gives one world.

    ``weights`` are the relative frequencies of faults, by the kinds of ``fault_schedule``. ``duration_s`` is
    the minimum and maximum of the period with faults. A fault is injected as early as the fault budget allows
    with the probability ``immediate_share``, otherwise after ``pause_s`` at most; it targets the primary with
    the probability ``primary_share``. An acknowledgement is followed by a fault immediately with the
    probability ``after_acknowledgement_share``. ``final_loss_share`` of the worlds end with the loss of as
    many disks as the budget allows; with ``final_loss_of_proxies`` the proxies then lose power as well.
    """

    weights: dict[str, int]
    topologies: tuple[Topology, ...] = (SMALL, WITH_STANDBY, LARGE)
    duration_s: tuple[float, float] = (20.0, 45.0)
    workload: Workload = Workload()
    immediate_share: float = 0.5
    pause_s: float = 6.0
    primary_share: float = 0.4
    after_acknowledgement_share: float = 0.02
    final_loss_share: float = 0.5
    final_loss_of_proxies: bool = False


SCENARIOS: dict[str, Scenario] = {
    "cut-off": Scenario(weights={"cut": 8, "steps": 4, "freeze": 2, "storm": 1, "kill": 1}),
    "races": Scenario(
        weights={"kill": 3, "stop": 3, "cut": 2, "freeze": 2, "storm": 2, "all": 1},
        workload=Workload(
            operators=6, pause_s=0.35, document_bytes=(400, 4_000),
            lost_answers_share=0.25, resent_share=0.3, duplicated_share=0.4,
        ),
    ),
    "second-loss": Scenario(
        weights={
            "wipe": 4, "replace": 4, "kill": 1, "cut": 1, "disk": 1,
            "add": 3, "retire": 4, "all": 1, "freeze": 1,
        },
        topologies=(SMALL, WITH_STANDBY, LARGE, WITH_STORES, MANY_WITH_STORES),
        workload=Workload(document_bytes=(400, 8_000), reads_share=0.1),
        immediate_share=0.9,
        after_acknowledgement_share=0.05,
    ),
    "restart": Scenario(
        weights={"kill": 5, "stop": 2, "all": 3, "disk": 2, "freeze": 1},
        workload=Workload(operators=4, pause_s=0.3, document_bytes=(16_000, 64_000), reads_share=0.1),
        after_acknowledgement_share=0.05,
    ),
    "misdelivery": Scenario(
        weights={"storm": 4, "wipe": 4, "kill": 3, "cut": 1, "blink": 4, "replace": 2},
        topologies=(SMALL, WITH_STANDBY, WITH_STORES, MANY_WITH_STORES),
        workload=Workload(document_bytes=(400, 4_000)),
        immediate_share=0.8,
    ),
    "in-service": Scenario(
        weights={
            "cut": 3, "freeze": 1, "kill": 3, "all": 1, "disk": 2, "wipe": 3,
            "replace": 3, "halves": 2, "retire": 1,
        },
        topologies=(TEN_MACHINES, TWELVE_MACHINES, FOURTEEN_MACHINES),
        immediate_share=0.8,
        final_loss_share=1.0,
        final_loss_of_proxies=True,
    ),
    "long-life": Scenario(
        weights={"wipe": 4, "replace": 5, "kill": 3, "all": 1, "halves": 1},
        topologies=(TEN_MACHINES,),
        duration_s=(150.0, 200.0),
        workload=Workload(operators=4, pause_s=0.3, document_bytes=(4_000, 16_000), reads_share=0.1),
        immediate_share=1.0,
        final_loss_share=1.0,
        final_loss_of_proxies=True,
    ),
    "mix": Scenario(
        weights={
            "cut": 4, "steps": 1, "freeze": 2, "slow": 1, "kill": 3, "stop": 1, "all": 1,
            "disk": 2, "wipe": 3, "replace": 2, "add": 1, "storm": 1, "retire": 1,
        },
        topologies=(SMALL, WITH_STANDBY, LARGE, WITH_STORES),
        duration_s=(60.0, 120.0),
        after_acknowledgement_share=0.02,
    ),
}  # fmt: skip
NAMES = tuple(SCENARIOS)
