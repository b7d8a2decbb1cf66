"""The membership machine in a seeded simulated network."""

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
SEEDS = range(3)
SIZES_AND_SEEDS = [(size, seed) for size in (3, 5, 20) for seed in SEEDS] + [(60, 0), (200, 0)]


def settled(size: int, seed: int = 1, loss: float = 0.0) -> tuple[Network, list[Process]]:
    """A network of ``size`` members that know one another and have spread it."""
    network = Network(seed, loss)
    processes = network.start_many(size)
    network.run_until(network.converged, periods=15)
    network.run(10)
    return network, processes


# Joining


@pytest.mark.parametrize(("size", "seed"), SIZES_AND_SEEDS)
def test_all_processes_that_start_together_know_one_another(size: int, seed: int) -> None:
    network = Network(seed, loss=0.02)
    network.start_many(size)
    network.run_until(network.converged, periods=6)
    assert network.declared_dead() == set()


def test_seeds_that_start_last_are_found() -> None:
    network = Network(1)
    network.start("n5")
    network.start("n6")
    network.run(10)
    assert not network.converged()
    for name in ("n0", "n1", "n2"):
        network.start(name)
    network.run_until(network.converged, periods=6)


def test_islands_around_different_seeds_find_one_another() -> None:
    network = Network(1)
    left = [network.start(f"n{index}") for index in (0, 3, 4)]
    right = [network.start(f"n{index}") for index in (1, 2, 5)]
    network.cut(left, right)
    network.cut(right, left)
    network.run(10)
    assert {len(process.machine.running_members()) for process in network.processes.values()} == {3}
    network.heal()
    network.run_until(network.converged, periods=8)
    assert network.declared_dead() == set()


def test_one_seed_suffices_to_join() -> None:
    network, processes = settled(20)
    network.kill(processes[0])
    network.kill(processes[1])
    network.start("n50")
    network.run_until(network.converged, periods=12)


@pytest.mark.parametrize("size", SIZES)
def test_a_new_member_becomes_known_to_all(size: int) -> None:
    network, _ = settled(size)
    network.start("new")
    network.run_until(network.converged, periods=4)


# Ends


@pytest.mark.parametrize(("size", "seed"), SIZES_AND_SEEDS)
def test_a_killed_process_is_known_dead_everywhere(size: int, seed: int) -> None:
    network, processes = settled(size, seed)
    network.kill(processes[-1])
    network.run_until(network.converged, periods=12)
    assert network.declared_dead() == {processes[-1].name}


def test_at_twenty_members_a_death_is_known_within_about_three_periods() -> None:
    times = []
    for seed in range(12):
        network, processes = settled(20, seed)
        network.kill(processes[-1])
        times.append(network.run_until(network.converged, periods=12))
    assert sum(times) / len(times) < 3.6


def test_half_of_the_members_killed_at_once() -> None:
    network, processes = settled(20)
    for process in processes[10:]:
        network.kill(process)
    network.run_until(network.converged, periods=15)
    assert network.declared_dead() == {process.name for process in processes[10:]}


@pytest.mark.parametrize("size", SIZES)
def test_a_member_that_leaves_is_known_to_have_left(size: int) -> None:
    network, processes = settled(size)
    network.leave(processes[-1])
    network.run_until(network.converged, periods=3)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("pause", (0.0, 0.3, 2.0, 20.0))
def test_a_restarted_process_replaces_its_former_start(size: int, pause: float) -> None:
    network, processes = settled(size)
    network.kill(processes[-1])
    network.run(pause)
    network.start(processes[-1].name)
    network.run_until(network.converged, periods=6)
    network.run(10)
    assert network.converged()


def test_a_member_keeps_its_name_at_another_address() -> None:
    network, processes = settled(20)
    network.kill(processes[-1])
    network.run(1)
    network.start(processes[-1].name, ip=ip_of("elsewhere"))
    network.run_until(network.converged, periods=6)


def test_a_restarted_process_with_a_lower_counter_replaces_its_former_start() -> None:
    """The clock of the machine went back between the two starts."""
    network, processes = settled(5)
    network.kill(processes[-1])
    network.start_counter_at(0)
    network.start(processes[-1].name)
    network.run_until(network.converged, periods=6)


def test_all_processes_restart_at_once() -> None:
    network, processes = settled(20)
    for process in processes:
        network.kill(process)
        network.start(process.name)
    network.run_until(network.converged, periods=6)
    network.run(10)
    assert network.converged()


def test_a_process_that_took_over_an_address_does_not_answer_for_the_former_one() -> None:
    network, processes = settled(5)
    network.kill(processes[-1])
    network.start("other", ip=ip_of(processes[-1].name))
    network.run_until(network.converged, periods=12)
    assert network.declared_dead() == {processes[-1].name}


# Healthy members


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", SIZES)
def test_loss_and_a_one_way_cut_declare_nobody_dead(size: int, seed: int) -> None:
    network, processes = settled(size, seed, loss=0.1)
    network.cut([processes[0]], [processes[1]])
    network.run(50)
    assert network.declared_dead() == set()
    assert network.converged()


@pytest.mark.parametrize("size", SIZES)
def test_a_cut_both_ways_between_two_members_declares_nobody_dead(size: int) -> None:
    network, processes = settled(size, loss=0.02)
    network.cut([processes[0]], [processes[1]])
    network.cut([processes[1]], [processes[0]])
    network.run(50)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("duration", (0.5, 1.0))
@pytest.mark.parametrize("size", SIZES)
def test_a_short_freeze_declares_nobody_dead(size: int, duration: float) -> None:
    network, processes = settled(size)
    network.freeze(processes[-1])
    network.run(duration)
    network.wake(processes[-1])
    network.run(15)
    assert network.declared_dead() == set()


@pytest.mark.parametrize("duration", (3.0, 8.0, 30.0))
@pytest.mark.parametrize("size", SIZES)
def test_who_wakes_from_a_long_freeze_comes_back_and_accuses_nobody(size: int, duration: float) -> None:
    network, processes = settled(size)
    network.freeze(processes[-1])
    network.run(duration)
    network.wake(processes[-1])
    network.run_until(network.converged, periods=8)
    network.run(15)
    assert network.declared_dead() <= {processes[-1].name}
    assert network.converged()


def test_who_hears_nobody_makes_nobody_else_declare_a_healthy_member_dead() -> None:
    network, processes = settled(20)
    deaf = processes[-1]
    network.cut(processes[:-1], [deaf])
    network.run(40)
    for process in processes[:-1]:
        dead = {
            change.current.member.node_name
            for _, change in process.changes
            if change.current.state is MemberState.DEAD
        }
        assert dead <= {deaf.name}
    network.heal()
    network.run_until(network.converged, periods=8)


# Cuts


@pytest.mark.parametrize(("size", "seed"), [(4, 0), (4, 1), (5, 0), (5, 1), (20, 0), (20, 1), (60, 0)])
def test_cut_halves_find_one_another_and_give_up_nobody_healthy(size: int, seed: int) -> None:
    network, processes = settled(size, seed)
    left, right = processes[: size // 2], processes[size // 2 :]
    network.cut(left, right)
    network.cut(right, left)
    network.run(30)
    assert all(len(process.machine.running_members()) == len(left) for process in left)
    network.heal()
    healed_at = network.now
    network.run_until(network.converged, periods=10)
    network.run(10)
    assert network.declared_dead(since=healed_at) == set()
    assert network.converged()


# Cost


def test_a_calm_network_sends_little() -> None:
    network, processes = settled(60)
    network.run(60)
    before = sum(process.sent_bytes for process in processes)
    network.run(20)
    bytes_per_period = (sum(process.sent_bytes for process in processes) - before) / 20 / len(processes)
    assert bytes_per_period < 1000


# Step by step


SEED, SELF, PEER = (f"{ip_of(name)}:7700" for name in ("seed", "self", "peer"))


def machine() -> SwimMachine:
    own = member("self")
    rng = random.Random(1)
    return SwimMachine(own, SwimParameters(period_s=PERIOD_S), (SEED, SELF), address_of, rng, 0.0)


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


def test_a_process_that_is_alone_calls_the_seeds_but_not_itself() -> None:
    effects = machine().tick(0.0)
    sent = [effect for effect in effects if isinstance(effect, SendDatagram)]
    assert [effect.address for effect in sent] == [SEED]
    assert sent[0].datagram.HasField("ping")
    assert not sent[0].datagram.HasField("receiver")


def test_the_answer_of_a_seed_starts_an_exchange() -> None:
    joining = machine()
    (call,) = [effect for effect in joining.tick(0.0) if isinstance(effect, SendDatagram)]
    answer = datagram(member("seed"), ack=Ack(sequence=call.datagram.ping.sequence))
    effects = joining.receive(0.01, SEED, answer)
    assert StartExchange(SEED) in effects
    (change,) = [effect for effect in effects if isinstance(effect, MemberChanged)]
    assert change.current.state is MemberState.ALIVE


def test_a_ping_is_answered_with_what_is_believed_of_the_sender() -> None:
    peer = member("peer", incarnation=3)
    answering = machine()
    (answer,) = [
        effect
        for effect in answering.receive(0.0, PEER, datagram(peer, ping=Ping(sequence=7)))
        if isinstance(effect, SendDatagram)
    ]
    assert answer.address == PEER
    assert answer.datagram.ack.sequence == 7
    assert answer.datagram.receiver == ReceiverView(process_id="p", incarnation=3, state="ALIVE")


def test_a_suspected_process_raises_its_incarnation() -> None:
    accused = machine()
    rumour = MemberStatus(member("self", incarnation=4), MemberState.SUSPECT)
    accused.receive(0.0, PEER, datagram(member("peer"), rumour, ping=Ping(sequence=1)))
    assert accused.local_member.incarnation == 5


def test_the_death_of_a_member_that_seems_healthy_is_not_believed_at_once() -> None:
    observer = machine()
    healthy = MemberStatus(member("third"), MemberState.ALIVE)
    observer.receive(0.0, PEER, datagram(member("peer"), healthy))
    rumour = MemberStatus(member("third"), MemberState.DEAD)
    observer.receive(0.1, PEER, datagram(member("peer"), rumour))
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
def test_senders_that_no_process_could_be_are_refused(change: dict[str, Any]) -> None:
    strange = datagram(member("peer"), ping=Ping(sequence=1))
    for field, value in change.items():
        setattr(strange.sender, field, value)
    with pytest.raises(ValueError):
        machine().receive(0.0, PEER, strange)


def test_a_view_with_an_impossible_counter_is_refused() -> None:
    strange = datagram(member("peer"), ping=Ping(sequence=1))
    strange.receiver.CopyFrom(ReceiverView(process_id="x", incarnation=(1 << 64) - 1))
    accused = machine()
    with pytest.raises(ValueError):
        accused.receive(0.0, PEER, strange)
    assert accused.local_member.incarnation == 1


def test_an_older_word_changes_nothing() -> None:
    observer = machine()
    newer = MemberStatus(member("third", incarnation=5), MemberState.ALIVE)
    observer.receive(0.0, PEER, datagram(member("peer"), newer))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
        older = MemberStatus(member("third", incarnation=4), state)
        effects = observer.receive(0.1, PEER, datagram(member("peer"), older))
        assert effects == []


def test_datagrams_stay_small_however_much_there_is_to_tell() -> None:
    observer = machine()
    for index in range(200):
        status = MemberStatus(member(f"member-with-a-long-name-{index}"), MemberState.ALIVE)
        observer.receive(0.0, PEER, datagram(member("peer"), status))
    effects = observer.receive(0.0, PEER, datagram(member("peer"), ping=Ping(sequence=1)))
    sizes = [effect.datagram.ByteSize() for effect in effects if isinstance(effect, SendDatagram)]
    assert sizes and all(900 < size < 1200 for size in sizes)


def test_a_stall_of_the_own_process_expires_no_suspicion() -> None:
    observer = machine()
    suspected = MemberStatus(member("third"), MemberState.SUSPECT)
    observer.receive(0.0, PEER, datagram(member("peer"), suspected))
    observer.tick(60.0)
    states = {status.member.node_name: status.state for status in observer.statuses()}
    assert states["third"] is MemberState.SUSPECT


def test_news_after_a_long_calm_are_no_stall() -> None:
    """Timers that only run while there is something to spread do not count as late."""
    network, processes = settled(5)
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


def test_dead_members_are_forgotten_after_a_while() -> None:
    network, processes = settled(5)
    network.kill(processes[-1])
    network.run(150)
    assert all(len(process.machine.statuses()) == 4 for process in processes[:-1])
    assert network.converged()
