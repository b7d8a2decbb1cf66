"""Tests the SwimMachine in a seeded simulated network, and step by step with single datagrams."""

from __future__ import annotations

import random
from typing import Any

import pytest
from swim_network import PERIOD_S, Network, Process, address_of, ip_of

from cherrycove.tier.membership.effects import MemberChanged, SendDatagram, StartExchange
from cherrycove.tier.membership.machine import SwimMachine
from cherrycove.tier.membership.members import Member, MemberState, MemberStatus
from cherrycove.tier.membership.parameters import SwimParameters
from cherrycove.tier.protocol.membership_pb2 import Ack, Datagram, Ping, ReceiverView

SIZES = (3, 5, 20, 60)
RNG_SEEDS = range(3)
SIZES_AND_RNG_SEEDS = [(size, seed) for size in (3, 5, 20) for seed in RNG_SEEDS] + [(60, 0), (200, 0)]


def converged_network(size: int, seed: int = 1, loss: float = 0.0) -> tuple[Network, list[Process]]:
    """Return a converged network of ``size`` members that have no updates left to disseminate."""
    network = Network(seed, loss)
    processes = network.start_many(size)
    network.run_until(network.converged, periods=15)
    network.run(10)
    return network, processes


# Joining


@pytest.mark.parametrize(("size", "seed"), SIZES_AND_RNG_SEEDS)
def test_processes_that_start_together_converge(size: int, seed: int) -> None:
    network = Network(seed, loss=0.02)
    network.start_many(size)
    network.run_until(network.converged, periods=6)
    assert network.declared_dead() == set()


def test_seeds_that_start_last_are_discovered() -> None:
    network = Network(1)
    network.start("n5")
    network.start("n6")
    network.run(10)
    assert not network.converged()
    for name in ("n0", "n1", "n2"):
        network.start(name)
    network.run_until(network.converged, periods=6)


def test_partitions_with_different_seeds_merge_after_healing() -> None:
    network = Network(1)
    left = [network.start(f"n{index}") for index in (0, 3, 4)]
    right = [network.start(f"n{index}") for index in (1, 2, 5)]
    network.block(left, right)
    network.block(right, left)
    network.run(10)
    assert {len(process.machine.running_members()) for process in network.processes.values()} == {3}
    network.heal()
    network.run_until(network.converged, periods=8)
    assert network.declared_dead() == set()


def test_one_running_seed_is_enough_to_join() -> None:
    network, processes = converged_network(20)
    network.kill(processes[0])
    network.kill(processes[1])
    network.start("n50")
    network.run_until(network.converged, periods=12)


@pytest.mark.parametrize("size", SIZES)
def test_a_new_member_becomes_known_to_all_members(size: int) -> None:
    network, _ = converged_network(size)
    network.start("new")
    network.run_until(network.converged, periods=4)


# Deaths, departures and restarts


@pytest.mark.parametrize(("size", "seed"), SIZES_AND_RNG_SEEDS)
def test_all_members_declare_a_killed_process_dead(size: int, seed: int) -> None:
    network, processes = converged_network(size, seed)
    network.kill(processes[-1])
    network.run_until(network.converged, periods=12)
    assert network.declared_dead() == {processes[-1].name}


def test_at_twenty_members_a_death_is_known_within_3_6_periods_on_average() -> None:
    times = []
    for seed in range(12):
        network, processes = converged_network(20, seed)
        network.kill(processes[-1])
        times.append(network.run_until(network.converged, periods=12))
    assert sum(times) / len(times) < 3.6


def test_all_killed_members_are_declared_dead_when_half_are_killed_at_once() -> None:
    network, processes = converged_network(20)
    for process in processes[10:]:
        network.kill(process)
    network.run_until(network.converged, periods=15)
    assert network.declared_dead() == {process.name for process in processes[10:]}


@pytest.mark.parametrize("size", SIZES)
def test_a_member_that_leaves_is_removed_without_being_declared_dead(size: int) -> None:
    network, processes = converged_network(size)
    network.leave(processes[-1])
    network.run_until(network.converged, periods=3)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("downtime", (0.0, 0.3, 2.0, 20.0))
def test_a_restarted_process_replaces_its_predecessor(size: int, downtime: float) -> None:
    network, processes = converged_network(size)
    network.kill(processes[-1])
    network.run(downtime)
    network.start(processes[-1].name)
    network.run_until(network.converged, periods=6)
    network.run(10)
    assert network.converged()


def test_a_member_that_restarts_at_another_address_keeps_its_name() -> None:
    network, processes = converged_network(20)
    network.kill(processes[-1])
    network.run(1)
    network.start(processes[-1].name, ip=ip_of("elsewhere"))
    network.run_until(network.converged, periods=6)


def test_a_restarted_process_with_a_lower_incarnation_replaces_its_predecessor() -> None:
    """The clock of the host, from which incarnations are taken, went back between the two starts."""
    network, processes = converged_network(5)
    network.kill(processes[-1])
    network.set_next_incarnation(0)
    network.start(processes[-1].name)
    network.run_until(network.converged, periods=6)


def test_members_converge_after_all_processes_restart_at_once() -> None:
    network, processes = converged_network(20)
    for process in processes:
        network.kill(process)
        network.start(process.name)
    network.run_until(network.converged, periods=6)
    network.run(10)
    assert network.converged()


def test_a_process_that_took_over_an_address_does_not_answer_for_the_previous_one() -> None:
    network, processes = converged_network(5)
    network.kill(processes[-1])
    network.start("other", ip=ip_of(processes[-1].name))
    network.run_until(network.converged, periods=12)
    assert network.declared_dead() == {processes[-1].name}


# No false positives


@pytest.mark.parametrize("seed", RNG_SEEDS)
@pytest.mark.parametrize("size", SIZES)
def test_packet_loss_and_a_one_way_partition_cause_no_death(size: int, seed: int) -> None:
    network, processes = converged_network(size, seed, loss=0.1)
    network.block([processes[0]], [processes[1]])
    network.run(50)
    assert network.declared_dead() == set()
    assert network.converged()


@pytest.mark.parametrize("size", SIZES)
def test_a_partition_between_two_members_causes_no_death(size: int) -> None:
    network, processes = converged_network(size, loss=0.02)
    network.block([processes[0]], [processes[1]])
    network.block([processes[1]], [processes[0]])
    network.run(50)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("duration", (0.5, 1.0))
@pytest.mark.parametrize("size", SIZES)
def test_a_short_pause_causes_no_death(size: int, duration: float) -> None:
    network, processes = converged_network(size)
    network.pause(processes[-1])
    network.run(duration)
    network.resume(processes[-1])
    network.run(15)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("duration", (3.0, 8.0, 30.0))
@pytest.mark.parametrize("size", SIZES)
def test_a_process_resumed_after_a_long_pause_rejoins_and_declares_no_other_dead(
    size: int, duration: float
) -> None:
    network, processes = converged_network(size)
    network.pause(processes[-1])
    network.run(duration)
    network.resume(processes[-1])
    network.run_until(network.converged, periods=8)
    network.run(15)
    assert network.declared_dead() <= {processes[-1].name}
    assert network.converged()


def test_a_process_that_receives_nothing_causes_no_death_of_a_healthy_member() -> None:
    network, processes = converged_network(20)
    unreachable = processes[-1]
    network.block(processes[:-1], [unreachable])
    network.run(40)
    for process in processes[:-1]:
        dead = {
            change.current.member.node_name
            for _, change in process.changes
            if change.current.state is MemberState.DEAD
        }
        assert dead <= {unreachable.name}
    network.heal()
    network.run_until(network.converged, periods=8)


# Partitions


@pytest.mark.parametrize(("size", "seed"), [(4, 0), (4, 1), (5, 0), (5, 1), (20, 0), (20, 1), (60, 0)])
def test_partitioned_halves_merge_after_healing_without_deaths(size: int, seed: int) -> None:
    network, processes = converged_network(size, seed)
    left, right = processes[: size // 2], processes[size // 2 :]
    network.block(left, right)
    network.block(right, left)
    network.run(30)
    assert all(len(process.machine.running_members()) == len(left) for process in left)
    network.heal()
    healed_at = network.now
    network.run_until(network.converged, periods=10)
    network.run(10)
    assert network.declared_dead(since=healed_at) == set()
    assert network.converged()


# Network load


def test_a_converged_network_sends_few_bytes() -> None:
    network, processes = converged_network(60)
    network.run(60)
    before = sum(process.sent_bytes for process in processes)
    network.run(20)
    bytes_per_period = (sum(process.sent_bytes for process in processes) - before) / 20 / len(processes)
    assert bytes_per_period < 1000


# Single datagrams


SEED, SELF, PEER = (f"{ip_of(name)}:7700" for name in ("seed", "self", "peer"))


def machine() -> SwimMachine:
    local = member("self")
    rng = random.Random(1)
    return SwimMachine(local, SwimParameters(period_s=PERIOD_S), (SEED, SELF), address_of, rng, 0.0)


def member(name: str, incarnation: int = 1, process_id: str = "p") -> Member:
    return Member(
        node_name=name,
        program="store",
        ip=ip_of(name),
        zone="z",
        region="r",
        process_id=process_id,
        incarnation=incarnation,
    )


def datagram(sender: Member, *updates: MemberStatus, **body: object) -> Datagram:
    return Datagram(sender=sender.to_record(), updates=[update.to_update() for update in updates], **body)  # type: ignore


def test_an_isolated_process_pings_the_seeds_but_not_itself() -> None:
    effects = machine().tick(0.0)
    sent = [effect for effect in effects if isinstance(effect, SendDatagram)]
    assert [effect.address for effect in sent] == [SEED]
    assert sent[0].datagram.HasField("ping")
    assert not sent[0].datagram.HasField("receiver")


def test_the_ack_of_a_seed_starts_an_exchange() -> None:
    joining = machine()
    (sent,) = [effect for effect in joining.tick(0.0) if isinstance(effect, SendDatagram)]
    ack = datagram(member("seed"), ack=Ack(sequence=sent.datagram.ping.sequence))
    effects = joining.receive(0.01, SEED, ack)
    assert StartExchange(SEED) in effects
    (change,) = [effect for effect in effects if isinstance(effect, MemberChanged)]
    assert change.current.state is MemberState.ALIVE


def test_an_ack_carries_the_recorded_state_of_the_sender() -> None:
    peer = member("peer", incarnation=3)
    answering = machine()
    (ack,) = [
        effect
        for effect in answering.receive(0.0, PEER, datagram(peer, ping=Ping(sequence=7)))
        if isinstance(effect, SendDatagram)
    ]
    assert ack.address == PEER
    assert ack.datagram.ack.sequence == 7
    assert ack.datagram.receiver == ReceiverView(process_id="p", incarnation=3, state="ALIVE")


def test_a_suspected_process_raises_its_incarnation_to_refute() -> None:
    suspected = machine()
    update = MemberStatus(member("self", incarnation=4), MemberState.SUSPECT)
    suspected.receive(0.0, PEER, datagram(member("peer"), update, ping=Ping(sequence=1)))
    assert suspected.local_member.incarnation == 5


def test_a_reported_death_of_an_alive_member_only_raises_a_suspicion() -> None:
    observer = machine()
    healthy = MemberStatus(member("third"), MemberState.ALIVE)
    observer.receive(0.0, PEER, datagram(member("peer"), healthy))
    update = MemberStatus(member("third"), MemberState.DEAD)
    observer.receive(0.1, PEER, datagram(member("peer"), update))
    states = {status.member.node_name: status.state for status in observer.statuses()}
    assert states["third"] is MemberState.SUSPECT


@pytest.mark.parametrize(
    "change",
    (
        {"node_name": ""},
        {"program": "other"},
        {"ip": "host"},
        {"process_id": ""},
        {"incarnation": (1 << 64) - 1},
    ),
)
def test_datagrams_with_an_invalid_sender_are_rejected(change: dict[str, Any]) -> None:
    invalid = datagram(member("peer"), ping=Ping(sequence=1))
    for field, value in change.items():
        setattr(invalid.sender, field, value)
    with pytest.raises(ValueError):
        machine().receive(0.0, PEER, invalid)


def test_a_receiver_view_with_an_incarnation_above_the_limit_is_rejected() -> None:
    invalid = datagram(member("peer"), ping=Ping(sequence=1))
    invalid.receiver.CopyFrom(ReceiverView(process_id="x", incarnation=(1 << 64) - 1))
    receiver = machine()
    with pytest.raises(ValueError):
        receiver.receive(0.0, PEER, invalid)
    assert receiver.local_member.incarnation == 1


def test_an_update_of_an_older_incarnation_is_ignored() -> None:
    observer = machine()
    newer = MemberStatus(member("third", incarnation=5), MemberState.ALIVE)
    observer.receive(0.0, PEER, datagram(member("peer"), newer))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
        older = MemberStatus(member("third", incarnation=4), state)
        effects = observer.receive(0.1, PEER, datagram(member("peer"), older))
        assert effects == []


def test_datagrams_stay_below_the_mtu_with_many_pending_updates() -> None:
    observer = machine()
    for index in range(200):
        status = MemberStatus(member(f"member-with-a-long-name-{index}"), MemberState.ALIVE)
        observer.receive(0.0, PEER, datagram(member("peer"), status))
    effects = observer.receive(0.0, PEER, datagram(member("peer"), ping=Ping(sequence=1)))
    sizes = [effect.datagram.ByteSize() for effect in effects if isinstance(effect, SendDatagram)]
    assert sizes and all(900 < size < 1200 for size in sizes)


def test_a_stall_of_the_local_process_expires_no_suspicion() -> None:
    observer = machine()
    suspected = MemberStatus(member("third"), MemberState.SUSPECT)
    observer.receive(0.0, PEER, datagram(member("peer"), suspected))
    observer.tick(60.0)
    states = {status.member.node_name: status.state for status in observer.statuses()}
    assert states["third"] is MemberState.SUSPECT


def test_an_update_after_a_long_quiet_time_is_not_taken_for_a_stall() -> None:
    """Timers that only run while there are updates to disseminate must not count as late afterwards."""
    network, processes = converged_network(5)
    network.run(40)
    before = [process.machine.next_wakeup() for process in processes]
    network.start("new")
    network.run(0.2)
    assert all(
        process.machine.next_wakeup() <= wakeup + PERIOD_S
        for process, wakeup in zip(processes, before, strict=True)
    )
    network.kill(processes[-1])
    network.run_until(network.converged, periods=6)


def test_tombstones_are_removed_after_their_retention_time() -> None:
    network, processes = converged_network(5)
    network.kill(processes[-1])
    network.run(150)
    assert all(len(process.machine.statuses()) == 4 for process in processes[:-1])
    assert network.converged()
