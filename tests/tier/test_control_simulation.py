"""Tests the simulated control plane: its parts, worlds from fixed seeds, and worlds with mutations."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from random import Random

import pytest
from result import Err, Ok

from cherrycove.tier.errors import ErrorKind
from cherrycove.tier.protocol.controller_methods import STATUS
from cherrycove.tier.protocol.keeper_pb2 import StatusReply, StatusRequest
from cherrycove.tier.replication.effects import WriteEntries
from cherrycove.tier.simulation.control.deployment import CATCH_UP_S, Topology
from cherrycove.tier.simulation.control.fault_budget import FaultBudget
from cherrycove.tier.simulation.control.fault_injector import FaultInjector
from cherrycove.tier.simulation.control.loop import Incarnation, VirtualLoop
from cherrycove.tier.simulation.control.machine_disk import MachineDisk
from cherrycove.tier.simulation.control.machines import Machine
from cherrycove.tier.simulation.control.mutations import MUTATIONS, apply_mutation
from cherrycove.tier.simulation.control.network import Client, Endpoint, Network
from cherrycove.tier.simulation.control.operator_orders import Workload, read_order
from cherrycove.tier.simulation.control.operators import Operators
from cherrycove.tier.simulation.control.run import Run, run_world
from cherrycove.tier.simulation.control.scenarios import NAMES, SCENARIOS
from cherrycove.tier.simulation.control.world import World
from cherrycove.tier.simulation.invariants import InvariantBrokenError
from cherrycove.tier.storage.entries import Entry, EntryKind

FAULT_PERIOD_S = 7.0  # in a world of these tests

# Loop


def loop() -> VirtualLoop:
    return VirtualLoop(Random(1))  # type: ignore[abstract]


def test_time_advances_to_timers_and_a_thawed_process_resumes() -> None:
    virtual = loop()
    incarnation = Incarnation("p")
    seen: list[float] = []

    async def work() -> None:
        for _ in range(3):
            await asyncio.sleep(10.0)
            seen.append(virtual.time())

    virtual.spawn(incarnation, work())
    virtual.run_until(15.0)
    incarnation.frozen = True
    virtual.run_until(100.0)
    assert [round(at, 1) for at in seen] == [10.0]
    virtual.thaw(incarnation)
    virtual.run_until(120.0)
    assert [round(at, 1) for at in seen] == [10.0, 100.0, 110.0]


def test_callbacks_of_an_ended_process_do_not_run() -> None:
    virtual = loop()
    incarnation, other = Incarnation("p"), Incarnation("q")
    seen: list[str] = []

    async def work(name: str) -> None:
        await asyncio.sleep(1.0)
        seen.append(name)

    virtual.spawn(incarnation, work("p"))
    virtual.spawn(other, work("q"))
    virtual.run_until(0.5)
    virtual.end(incarnation)
    virtual.run_until(2.0)
    assert seen == ["q"]


# Network


class Pair:
    """Connects a caller at 10.0.0.1 to a server at 10.0.0.2."""

    def __init__(self) -> None:
        self.loop = loop()
        self.network = Network(self.loop, Random(2))
        self.network.powered |= {"10.0.0.1", "10.0.0.2"}
        self.caller, self.server = Incarnation("caller"), Incarnation("server")
        self.endpoint = Endpoint(self.server, "m2")
        self.served = 0

        async def status(request: StatusRequest) -> Ok[StatusReply]:
            self.served += 1
            return Ok(StatusReply(node_name="n2"))

        self.endpoint.register(STATUS, status)
        self.network.open(self.endpoint, "10.0.0.2:1")
        self.answers: list[str] = []

    def call(self, receiver: str = "") -> None:
        client = Client(self.network, "10.0.0.1", self.caller)

        async def once() -> None:
            outcome = await client.call("10.0.0.2:1", STATUS, StatusRequest(), 1.0, receiver)
            failed = isinstance(outcome, Err)
            self.answers.append(outcome.err_value.kind.value if failed else outcome.ok_value.node_name)

        self.loop.spawn(self.caller, once())

    def end(self) -> None:
        """End both processes and their coroutines that have not begun."""
        for incarnation in (self.caller, self.server):
            self.loop.end(incarnation)


@pytest.fixture
def pair() -> Iterator[Pair]:
    connected = Pair()
    yield connected
    connected.end()


@pytest.mark.parametrize(
    ("fault", "answer", "served"),
    [
        ("none", "n2", 1),
        ("other receiver", ErrorKind.MISDIRECTED.value, 0),
        ("dead", ErrorKind.UNREACHABLE.value, 0),
        ("no power", ErrorKind.UNREACHABLE.value, 0),
        ("frozen", ErrorKind.UNCERTAIN.value, 0),
        ("cut", ErrorKind.UNREACHABLE.value, 0),
        ("replies cut on an open connection", ErrorKind.UNCERTAIN.value, 2),
    ],
)
def test_outcomes_of_calls_under_faults(pair: Pair, fault: str, answer: str, served: int) -> None:
    forward, backward = ("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")
    if fault == "dead":
        pair.loop.end(pair.server)
    elif fault == "no power":
        pair.network.powered.discard("10.0.0.2")
    elif fault == "frozen":
        pair.server.frozen = True
    elif fault == "cut":
        pair.network.cut({forward})
    elif fault == "replies cut on an open connection":
        pair.call()
        pair.loop.run_until(0.5)
        pair.network.cut({backward})
    pair.call("m1" if fault == "other receiver" else "m2")
    pair.loop.run_until(2.0)
    assert (pair.answers[-1], pair.served) == (answer, served)


def test_a_request_delayed_by_a_cut_may_be_delivered_after_it(pair: Pair) -> None:
    link = {("10.0.0.1", "10.0.0.2")}
    pair.call()
    pair.loop.run_until(0.5)
    pair.network.cut(link)
    for _ in range(8):
        pair.call()
    pair.loop.run_until(3.0)
    assert pair.served == 1
    pair.network.heal(link)
    pair.loop.run_until(5.0)
    assert pair.served > 1


# Disks and the fault budget


def test_a_power_loss_keeps_synced_writes_and_a_prefix_of_the_rest() -> None:
    disk = MachineDisk("m1")
    entries = [Entry(index, 1, EntryKind.COMMAND, b"%d" % index) for index in range(1, 5)]
    disk.perform(WriteEntries(1, entries[:2]))
    kept = set()
    for seed in range(20):
        lost = MachineDisk("m1", entries=list(disk.entries))
        lost.in_progress = [WriteEntries(2, [entries[2]]), WriteEntries(3, [entries[3]])]
        lost.crash(Random(seed))
        kept.add(len(lost.entries))
        assert lost.entries == entries[: len(lost.entries)]
    assert kept == {2, 3, 4}


def test_a_machine_counts_as_lost_until_it_has_caught_up() -> None:
    now = 0.0
    budget = FaultBudget(1, lambda: now)
    budget.fault_began({"a"}, disk=True)
    assert budget.allows({"a"}) and not budget.allows({"b"})
    now = 10.0
    budget.fault_ended({"a"})
    assert not budget.allows({"b"}) and budget.lost_disks() == 1
    assert budget.next_recovery() == 10.0 + CATCH_UP_S
    now = 10.1 + CATCH_UP_S
    assert budget.allows({"b"}) and budget.lost_disks() == 0
    assert budget.faultless_s() == pytest.approx(0.1 + CATCH_UP_S)


# Worlds


WITH_STORES = {  # scenarios with stores, and seeds whose worlds run batch jobs
    "second-loss": 2,
    "misdelivery": 2,
    "mix": 1,
    "in-service": 1,
    "long-life": 1,
}


@pytest.mark.parametrize("name", NAMES)
def test_worlds_from_fixed_seeds(name: str) -> None:
    outcome = run_world(name, WITH_STORES.get(name, 0), FAULT_PERIOD_S)
    assert outcome.acknowledged > 10
    assert (outcome.jobs > 5) == (name in WITH_STORES)


@pytest.mark.parametrize("name", ["in-service", "long-life"])
def test_worlds_of_production_size(name: str) -> None:
    """Ten or more machines with stores, a group of five, standbys, and one seed per zone for all starts."""
    for topology in SCENARIOS[name].topologies:
        assert topology.machines >= 10 and topology.proxies >= 5 and topology.faults == 2 and topology.stores
    run = Run(name, 4)
    try:
        run.begin()
        run.world.run_until(6.0)
        machines = [*run.world.cluster.machines, *run.world.cluster.proxies]
        assert len({machine.seeds for machine in machines if machine.first_start}) == 1
        zones = {machine.zone for machine in run.world.cluster.machines}
        assert len(machines[0].seeds) == len(zones) == 3
    finally:
        run.close()


def test_partitioned_halves_are_reachable_by_all_others() -> None:
    world = World(5, Topology(faults=1, machines=4, proxies=1))
    world.build()
    injector = FaultInjector(world, Random(5))
    world.run_until(3.0)
    injector.partition_into_halves(2.0)
    network = world.environment.network
    hosts = [machine.host for machine in world.cluster.machines]
    cut_off = {
        host for host in hosts[1:] if network.is_cut(hosts[0], host) and network.is_cut(host, hosts[0])
    }
    assert len(cut_off) == 2
    proxy = world.cluster.proxies[0].host
    assert not any(network.is_cut(proxy, host) or network.is_cut(host, proxy) for host in hosts)
    world.run_until(5.5)
    assert not any(network.is_cut(hosts[0], host) for host in hosts[1:])
    world.close()


def test_a_seed_determines_its_world() -> None:
    counts = []
    for _ in range(2):
        run = Run("races", 5)
        run.begin()
        run.world.run_until(5.0)
        counts.append((run.world.environment.loop.callbacks, run.world.environment.history.trace))
    assert counts[0] == counts[1]


DETECTING_SEEDS = {  # by mutation
    "lease-without-end": 4,
    "pulls-answered-without-lease": 0,
    "reads-without-lease": 0,
    "refusals-without-lease": 0,
    "accepted-digests-forgotten": 0,
    "one-copy-fewer": 0,
}


@pytest.mark.parametrize(("name", "seed"), DETECTING_SEEDS.items())
def test_a_disabled_safety_check_is_detected(name: str, seed: int) -> None:
    with apply_mutation(name), pytest.raises(InvariantBrokenError):
        run_world(MUTATIONS[name].scenario, seed, FAULT_PERIOD_S)


def test_a_world_restores_logging() -> None:
    """Otherwise later tests of log lines in the same process fail."""
    run_world(NAMES[0], 0, 1.0)
    assert logging.root.manager.disable == logging.NOTSET


def test_a_controller_outside_the_group_redirects_to_the_primary() -> None:
    """It knows the primary from its own pulls; holding the order and answering 503 would delay the sender."""
    world = World(3, Topology(faults=1, machines=4, proxies=0))
    world.build()
    operators = Operators(world, Workload(lost_answers_share=0.0))
    world.run_until(4.0)
    primary = world.cluster.primary()
    outside = world.cluster.machines[3]
    assert primary is not None and primary is not outside
    assert ask_for_configuration(world, operators, outside) == (307, primary.host)


def test_a_controller_replaced_while_it_was_down_redirects_to_the_primary() -> None:
    """Its own member list still contains it, so it is a member that hears from no primary."""
    world = World(4, Topology(faults=1, machines=4, proxies=0))
    world.build()
    operators = Operators(world, Workload(lost_answers_share=0.0))
    world.run_until(4.0)
    replaced = next(
        machine for machine in world.cluster.machines[:3] if machine is not world.cluster.primary()
    )
    world.cluster.kill(replaced, power=True)
    world.run_until(14.0)
    world.cluster.power_up(replaced)
    world.run_until(17.0)
    primary = world.cluster.primary()
    assert primary is not None
    assert ask_for_configuration(world, operators, replaced) == (307, primary.host)


def ask_for_configuration(world: World, operators: Operators, machine: Machine) -> tuple[int, str]:
    """Return the reply of one controller: its status, and the host that it redirects to."""
    statuses: list[tuple[int, str]] = []

    async def ask() -> None:
        reply = await operators._ask(machine.host, read_order())
        assert reply is not None
        statuses.append((reply.status, reply.location.partition("://")[2].partition(":")[0]))

    world.environment.loop.spawn(operators.incarnation, ask())
    world.run_until(world.now + 1.0)
    return statuses[0]
