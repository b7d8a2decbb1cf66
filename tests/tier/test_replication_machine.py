"""Replica machines on a simulated network without faults and with a simulated clock, and single machines."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from cherrycove.tier.protocol.replication_pb2 import (
    Append,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from cherrycove.tier.replication.core import Role
from cherrycove.tier.replication.effects import Effects, WriteHardState, WriteSnapshot
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.membership import encode_members
from cherrycove.tier.replication.pending_writes import SnapshotHeader
from cherrycove.tier.replication.snapshot_sender import SnapshotSender
from cherrycove.tier.simulation.disk import BufferedDisk
from cherrycove.tier.simulation.fault_injector import FaultInjector
from cherrycove.tier.simulation.network import NetworkConditions
from cherrycove.tier.simulation.replica import Replica
from cherrycove.tier.simulation.world import World
from cherrycove.tier.storage import snapshot_state
from cherrycove.tier.storage.entries import EntryKind
from cherrycove.tier.storage.snapshot_state import SnapshotState, StateBlock
from cherrycove.tier.storage.snapshots import Snapshot

STEP_S = 0.01


def world_without_faults(members: int = 3, standbys: int = 0, seed: int = 1, faults: int = 1) -> World:
    """Return a world without lost, duplicated or slow messages, with every replica started."""
    world = World(Random(seed), faults, members, standbys)
    world.network.conditions = NetworkConditions(slow_share=0.0, loss=0.0, duplicated=0.0)
    for replica in world.replicas:
        world.start(replica)
    return world


def wait(world: World, condition: Callable[[], bool], limit_s: float) -> float:
    """Run until ``condition`` holds; return the simulated seconds that it took."""
    started = world.now
    while not condition():
        assert world.now - started < limit_s, f"not within {limit_s} s"
        world.run_until(world.now + STEP_S)
    return world.now - started


def primary_of(world: World) -> Replica:
    wait(world, lambda: world.confirmed_primary() is not None, 3.0)
    primary = world.confirmed_primary()
    assert primary is not None
    return primary


def commit(world: World, limit_s: float) -> float:
    """Propose at the confirmed primary until a new proposal is committed; return the seconds that it took."""
    before = world.effects.acknowledged

    def committed() -> bool:
        primary = world.confirmed_primary()
        if world.effects.acknowledged == before and primary is not None:
            world.propose(primary, b"command")
        return world.effects.acknowledged > before

    return wait(world, committed, limit_s)


def machine_of(replica: Replica) -> ReplicaMachine:
    assert replica.machine is not None
    return replica.machine


def member_ids(replica: Replica) -> set[str]:
    return {member.member_id for member in machine_of(replica).members}


@pytest.mark.parametrize("seed", range(20))
def test_a_new_group_elects_a_primary_soon_and_commits_in_two_syncs(seed: int) -> None:
    world = world_without_faults(seed=seed)
    assert wait(world, lambda: world.confirmed_primary() is not None, 2.5) < 2.5
    assert commit(world, 0.1) < 0.05


@pytest.mark.parametrize("seed", range(20))
def test_a_lost_primary_is_replaced_within_two_seconds(seed: int) -> None:
    world = world_without_faults(seed=seed)
    commit(world, 3.0)
    primary_of(world).end(Random(seed))
    assert commit(world, 2.0) < 1.6


@pytest.mark.parametrize("seed", range(20))
def test_a_transfer_of_leadership_completes_at_once(seed: int) -> None:
    world = world_without_faults(seed=seed)
    commit(world, 3.0)
    before = primary_of(world)
    world.transfer_leadership(before)
    assert not machine_of(before).is_confirmed_primary(world.now)
    assert commit(world, 0.3) < 0.2
    assert world.confirmed_primary() is not before


def test_a_frozen_primary_is_not_confirmed_when_it_resumes() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    frozen = primary_of(world)
    frozen.is_frozen = True
    commit(world, 2.0)
    machine = machine_of(frozen)
    assert machine.role is Role.PRIMARY
    assert not machine.is_confirmed_primary(world.now)
    assert machine.propose(b"late", world.now) is None
    world.thaw(frozen)
    wait(world, lambda: machine.role is Role.BACKUP, 0.3)


def test_a_backup_that_was_partitioned_does_not_disrupt_the_group() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    primary = primary_of(world)
    epoch = machine_of(primary).epoch
    backup = next(replica for replica in world.replicas if replica is not primary)
    for other in world.replicas:
        world.network.cuts |= {(other.address, backup.address), (backup.address, other.address)}
    world.run_until(world.now + 5.0)
    world.network.cuts.clear()
    world.run_until(world.now + 3.0)
    assert world.confirmed_primary() is primary
    assert machine_of(primary).epoch == epoch


def test_an_isolated_primary_steps_down() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    primary = primary_of(world)
    for other in world.replicas:
        world.network.cuts.add((other.address, primary.address))
        world.network.cuts.add((primary.address, other.address))
    wait(world, lambda: not machine_of(primary).is_confirmed_primary(world.now), 0.75)
    wait(world, lambda: machine_of(primary).role is Role.BACKUP, 1.6)


def test_a_primary_with_a_stalled_disk_transfers_leadership() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    stalled = primary_of(world)
    stalled.stalled_until = world.now + 60.0
    commit(world, 0.1)
    wait(world, lambda: world.confirmed_primary() not in (None, stalled), 1.5)
    assert commit(world, 0.1) < 0.1


def test_a_backup_with_a_stalled_disk_does_not_delay_commits() -> None:
    world = world_without_faults()
    primary = primary_of(world)
    backup = next(replica for replica in world.replicas if replica is not primary)
    backup.stalled_until = world.now + 60.0
    assert commit(world, 0.1) < 0.1


def test_a_wiped_member_is_replaced_once_its_new_disk_is_caught_up() -> None:
    world = world_without_faults()
    for _ in range(30):
        commit(world, 3.0)
    primary = primary_of(world)
    lost = next(replica for replica in world.replicas if replica is not primary)
    old_id = lost.disk.member_id
    world.wipe(lost)
    world.start(lost)
    assert machine_of(lost).members == ()
    world.update_membership_requests()
    wait(world, lambda: lost.disk.member_id in member_ids(primary), 1.0)
    wait(world, lambda: lost.disk.member_id in member_ids(lost), 1.0)
    assert old_id not in member_ids(primary)
    assert len(member_ids(primary)) == 3
    commit(world, 0.1)
    wait(world, lambda: lost.state == primary.state, 0.2)


def test_an_unreachable_member_is_replaced_by_a_standby_and_returns_as_one() -> None:
    world = world_without_faults(standbys=1)
    commit(world, 3.0)
    primary = primary_of(world)
    unreachable = next(replica for replica in world.replicas[:3] if replica is not primary)
    unreachable.end(Random(1))
    world.update_membership_requests()
    wait(world, lambda: "new-n3" in member_ids(primary), 3.0)
    assert unreachable.disk.member_id not in member_ids(primary)
    world.start(unreachable)
    world.run_until(world.now + 3.0)
    assert unreachable.disk.member_id not in member_ids(primary)
    assert world.confirmed_primary() is primary


def test_a_removed_member_that_does_not_know_it_campaigns_rarely() -> None:
    world = world_without_faults(standbys=1)
    commit(world, 3.0)
    primary = primary_of(world)
    cut_off = next(replica for replica in world.replicas[:3] if replica is not primary)
    pairs = {(other.address, cut_off.address) for other in world.replicas}
    world.network.cuts |= pairs | {(one, other) for other, one in pairs}
    world.update_membership_requests()
    wait(world, lambda: "new-n3" in member_ids(primary), 3.0)
    world.run_until(world.now + 1.0)
    world.network.cuts.clear()
    requests: list[float] = []

    def count(replica: Replica, effects: Effects) -> None:
        requests.extend(world.now for body in bodies(effects) if body == "vote_request")

    world.effects.on_effects = count
    world.run_until(world.now + 10.0)
    assert 0 < len(requests) <= 6
    assert world.confirmed_primary() is primary


def test_a_primary_that_cannot_write_transfers_leadership_and_does_not_campaign() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    full = primary_of(world)
    full.stalled_until = world.now + 5.0
    world.handle_event(full, full.incarnation, lambda machine: machine.record_write_failure(world.now))
    assert commit(world, 0.3) < 0.3
    second = primary_of(world)
    world.run_until(world.now + 1.0)
    second.end(Random(1))
    world.run_until(world.now + 2.0)
    assert machine_of(full).role is Role.BACKUP
    world.start(second)
    commit(world, 2.0)


def test_a_retiring_primary_transfers_leadership_and_is_replaced() -> None:
    world = world_without_faults(standbys=1)
    commit(world, 3.0)
    retiring = primary_of(world)
    world.retiring = frozenset({retiring.address})
    world.update_membership_requests()

    def left() -> bool:
        primary = world.confirmed_primary()
        return primary is not None and retiring.disk.member_id not in member_ids(primary)

    wait(world, left, 4.0)
    assert commit(world, 0.2) < 0.2
    assert len(member_ids(primary_of(world))) == 3
    committed = machine_of(primary_of(world)).committed_members(world.now)
    assert committed is not None
    assert committed.excluded == {retiring.disk.member_id}
    assert {member.member_id for member in committed.members} == member_ids(primary_of(world))


def test_a_retiring_standby_is_excluded_by_a_separate_change_that_snapshots_preserve() -> None:
    world = world_without_faults(standbys=1)
    commit(world, 3.0)
    primary = primary_of(world)
    standby = world.replicas[3]
    before = machine_of(primary).committed_members(world.now)
    assert before is not None
    assert before.excluded == frozenset()
    world.retiring = frozenset({standby.address})
    world.update_membership_requests()

    def excluded(replica: Replica) -> bool:
        known = machine_of(replica).committed_members(world.now)
        return known is not None and known.excluded == {standby.disk.member_id}

    wait(world, lambda: excluded(primary), 1.0)
    after = machine_of(primary).committed_members(world.now)
    assert after is not None
    assert after.members == before.members
    assert after.index > before.index
    for _ in range(30):
        commit(world, 3.0)
    lost = next(replica for replica in world.replicas[:3] if replica is not primary)
    world.wipe(lost)
    world.start(lost)
    world.update_membership_requests()
    wait(world, lambda: lost.disk.member_id in member_ids(lost), 3.0)
    assert lost.disk.snapshot is not None
    world.retiring = frozenset()
    world.update_membership_requests()
    world.transfer_leadership(primary)
    wait(
        world,
        lambda: world.confirmed_primary() is not None and world.confirmed_primary() is not primary,
        1.0,
    )
    lost.end(Random(1))
    world.run_until(world.now + 4.0)
    assert excluded(primary_of(world))
    assert standby.disk.member_id not in member_ids(primary_of(world))


def test_committed_members_are_unknown_to_backups_and_during_an_uncommitted_change() -> None:
    world = world_without_faults(standbys=1)
    commit(world, 3.0)
    primary = primary_of(world)
    backups = [replica for replica in world.replicas[:3] if replica is not primary]
    assert all(machine_of(replica).committed_members(world.now) is None for replica in backups)
    for backup in backups:
        backup.stalled_until = world.now + 60.0
    world.retiring = frozenset({world.replicas[3].address})
    world.update_membership_requests()
    world.run_until(world.now + 0.3)
    assert machine_of(primary).is_confirmed_primary(world.now)
    assert machine_of(primary).committed_members(world.now) is None


def test_the_only_member_that_knows_of_its_removal_leads_until_that_is_committed() -> None:
    world = world_without_faults(members=4)
    commit(world, 3.0)
    primary = primary_of(world)
    departing = next(replica for replica in world.replicas if replica is not primary)
    unaware = [replica for replica in world.replicas if replica not in (primary, departing)]

    def cut_off_at_change(replica: Replica, effects: Effects) -> None:
        if departing.disk.member_id not in member_ids(primary):
            world.network.cuts |= {(primary.address, other.address) for other in unaware}

    world.effects.on_effects = cut_off_at_change
    world.retiring = frozenset({departing.address})
    world.update_membership_requests()
    wait(world, lambda: departing.disk.member_id not in member_ids(departing), 1.0)
    wait(world, lambda: not machine_of(departing).has_pending_writes, 0.1)
    world.effects.on_effects = lambda replica, effects: None
    primary.end(Random(1))
    assert all(departing.disk.member_id in member_ids(replica) for replica in unaware)
    commit(world, 4.0)
    wait(world, lambda: world.confirmed_primary() in unaware, 2.0)
    assert departing.disk.member_id not in member_ids(primary_of(world))


def test_a_standby_receives_the_snapshot_and_the_entries_after_it() -> None:
    world = world_without_faults()
    for _ in range(40):
        commit(world, 3.0)
    primary = primary_of(world)
    assert machine_of(primary).base_index > 20
    lost = next(replica for replica in world.replicas if replica is not primary)
    world.wipe(lost)
    world.start(lost)
    world.update_membership_requests()
    wait(world, lambda: lost.disk.member_id in member_ids(lost), 1.0)
    assert lost.disk.snapshot is not None
    wait(world, lambda: lost.state == primary.state, 0.5)


# Single machines


def identity(number: int) -> MemberIdentity:
    return MemberIdentity(f"m{number}", f"n{number}", f"n{number}:1")


GROUP = tuple(identity(number) for number in range(3))


def single(number: int = 0) -> tuple[ReplicaMachine, BufferedDisk]:
    disk = BufferedDisk(f"m{number}")
    machine = ReplicaMachine(identity(number), 1, disk.recovered(), disk, Random(1), 0.0)
    machine.bootstrap(GROUP, 0.0)
    sync(machine, disk, 0.0)
    machine.take_effects()
    return machine, disk


def sync(machine: ReplicaMachine, disk: BufferedDisk, now: float) -> None:
    """Make all requested writes durable; other effects of the machine are dropped."""
    disk.submit(machine.take_effects().writes)
    disk.begin()
    machine.complete_writes(disk.finish(), now)


def bodies(effects: Effects) -> list[str | None]:
    return [outgoing.message.WhichOneof("body") for outgoing in effects.messages]


def vote_request(epoch: int, last_index: int = 1, last_epoch: int = 0, handed_over: bool = False) -> Message:
    request = VoteRequest(epoch=epoch, last_index=last_index, last_epoch=last_epoch, handed_over=handed_over)
    return Message(epoch=epoch, vote_request=request)


def test_a_vote_is_sent_only_after_the_hard_state_is_synced() -> None:
    machine, _ = single()
    machine.receive(identity(1), vote_request(4), 5.0)
    effects = machine.take_effects()
    assert effects.messages == []
    (write,) = effects.writes
    assert isinstance(write, WriteHardState)
    assert (write.hard_state.epoch, write.hard_state.voted_for) == (4, "m1")
    machine.complete_writes(write.ticket, 5.01)
    (outgoing,) = machine.take_effects().messages
    assert outgoing.receiver == identity(1)
    assert outgoing.message.vote_reply.granted


def test_a_replica_grants_one_vote_per_epoch() -> None:
    machine, _ = single()
    machine.receive(identity(1), vote_request(4), 5.0)
    machine.complete_writes(machine.take_effects().writes[-1].ticket, 5.0)
    machine.take_effects()
    machine.receive(identity(2), vote_request(4), 5.0)
    (outgoing,) = machine.take_effects().messages
    assert not outgoing.message.vote_reply.granted


def follow_primary(machine: ReplicaMachine, epoch: int, now: float) -> None:
    """Make ``machine`` follow member 1 as primary of ``epoch``."""
    machine.receive(identity(1), Message(epoch=epoch, append=Append(sent_us=1)), now)
    writes = machine.take_effects().writes
    if writes:
        machine.complete_writes(writes[-1].ticket, now)
        machine.take_effects()


def test_no_vote_within_the_election_time_out_except_after_a_transfer_of_leadership() -> None:
    machine, _ = single()
    follow_primary(machine, 4, 5.0)
    machine.receive(identity(2), vote_request(5), 5.8)
    (outgoing,) = machine.take_effects().messages
    assert not outgoing.message.vote_reply.granted
    assert machine.epoch == 4
    machine.receive(identity(2), vote_request(6, handed_over=True), 5.8)
    assert not machine.take_effects().messages[0].message.vote_reply.granted
    machine.receive(identity(2), vote_request(5, handed_over=True), 5.8)
    assert machine.epoch == 5


def test_a_restarted_replica_waits_before_it_votes() -> None:
    machine, disk = single()
    machine.receive(identity(1), vote_request(4), 5.0)
    sync(machine, disk, 5.0)
    restarted = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(1), 100.0)
    restarted.receive(identity(2), vote_request(7), 100.5)
    assert not restarted.take_effects().messages[0].message.vote_reply.granted
    restarted.receive(identity(2), vote_request(7), 100.95)
    assert restarted.epoch == 7


def test_a_candidate_with_an_older_log_gets_no_vote() -> None:
    machine, _ = single()
    machine.receive(identity(1), vote_request(4, last_index=0), 5.0)
    effects = machine.take_effects()
    assert machine.epoch == 4
    assert [outgoing.message.vote_reply.granted for outgoing in effects.messages] == [False]


def test_entries_are_acknowledged_only_when_synced() -> None:
    machine, _ = single()
    follow_primary(machine, 1, 5.0)
    append = Append(sent_us=2, previous_index=1, previous_epoch=0)
    append.entries.add(index=2, epoch=1, kind=EntryKind.NOOP)
    machine.receive(identity(1), Message(epoch=1, append=append), 5.1)
    effects = machine.take_effects()
    assert effects.messages[0].message.append_reply.match_index == 1
    machine.complete_writes(effects.writes[-1].ticket, 5.11)
    (outgoing,) = machine.take_effects().messages
    assert outgoing.message.append_reply.match_index == 2


def last_campaign(effects: Effects) -> int:
    requests = [
        outgoing.message.vote_request
        for outgoing in effects.messages
        if outgoing.message.HasField("vote_request")
    ]
    return requests[-1].campaign


def test_a_slow_disk_does_not_restart_a_campaign() -> None:
    machine, _ = single()
    for tick in range(20):
        machine.tick(tick * 0.05)
    effects = machine.take_effects()
    assert "vote_request" in bodies(effects)
    for peer in (1, 2):
        reply = Message(epoch=0)
        reply.vote_reply.preliminary = True
        reply.vote_reply.epoch = 1
        reply.vote_reply.granted = True
        reply.vote_reply.campaign = last_campaign(effects)
        machine.receive(identity(peer), reply, 1.0)
    (write,) = machine.take_effects().writes
    for tick in range(20, 80):
        machine.tick(tick * 0.05)
    assert machine.take_effects().messages == []
    machine.complete_writes(write.ticket, 4.0)
    assert bodies(machine.take_effects()) == ["vote_request", "vote_request"]
    assert machine.epoch == 1


def restart(world: World, replicas: list[Replica], after_s: float) -> None:
    faults = FaultInjector(world, Random(1), wiped_disk_keeps_identity=False)
    for replica in replicas:
        faults.kill(replica, after_s)


@pytest.mark.parametrize("seed", range(20))
def test_replicas_that_all_restart_do_not_wait_for_a_lease(seed: int) -> None:
    world = world_without_faults(seed=seed)
    commit(world, 3.0)
    restart(world, world.replicas, 0.5)
    assert wait(world, lambda: world.confirmed_primary() is not None, 2.0) < 0.5 + 0.7
    assert commit(world, 0.1) < 0.05


@pytest.mark.parametrize("seed", range(20))
def test_restarted_replicas_wait_while_a_partitioned_primary_may_hold_a_lease(seed: int) -> None:
    world = world_without_faults(seed=seed)
    primary = primary_of(world)
    commit(world, 1.0)
    others = [replica for replica in world.replicas if replica is not primary]
    for other in others:
        world.network.cuts |= {(primary.address, other.address), (other.address, primary.address)}
    restart(world, others, 0.1)
    wait(world, lambda: not machine_of(primary).is_confirmed_primary(world.now), 1.0)
    assert world.confirmed_primary() is None
    assert wait(world, lambda: world.confirmed_primary() is not None, 2.0) > 0.0


def test_a_replaced_disk_counts_as_an_answer_of_the_previous_replica() -> None:
    world = world_without_faults()
    commit(world, 3.0)
    first, second, third = world.replicas
    replaced_id = third.disk.member_id
    restart(world, [first, second], 0.2)
    third.end(Random(1))
    wait(world, lambda: first.machine is not None and second.machine is not None, 1.0)
    elected: dict[str, float] = {}

    def report_replaced_disk() -> None:
        for replica in (first, second):
            machine_of(replica).record_disk_replaced(replaced_id, world.now)
        if world.confirmed_primary() is not None:
            elected.setdefault("at", world.now)

    started_at = world.now
    while "at" not in elected:
        assert world.now - started_at < 0.7
        world.run_until(world.now + STEP_S)
        report_replaced_disk()


def pre_vote_reply(granted: bool, campaign: int, commit_index: int = 1, commit_epoch: int = 0) -> Message:
    reply = VoteReply(preliminary=True, epoch=2, granted=granted, campaign=campaign)
    reply.commit_index = commit_index
    reply.commit_epoch = commit_epoch
    return Message(epoch=1, vote_reply=reply)


def test_a_candidate_learns_from_a_voter_that_its_membership_is_committed() -> None:
    machine, _ = single()
    follow_primary(machine, 1, 5.0)
    append = Append(sent_us=2, previous_index=1, previous_epoch=0, commit_index=2)
    append.entries.add(index=2, epoch=1, kind=EntryKind.NOOP)
    new_members = encode_members([identity(0), identity(1), identity(3)])
    append.entries.add(index=3, epoch=1, kind=EntryKind.MEMBERS, payload=new_members)
    machine.receive(identity(1), Message(epoch=1, append=append), 5.0)
    machine.complete_writes(machine.take_effects().writes[-1].ticket, 5.0)
    for tick in range(100, 130):
        machine.tick(tick * 0.05)
    assert machine.voting_member_ids() == {"m0", "m1", "m2", "m3"}
    campaign = last_campaign(machine.take_effects())
    machine.receive(identity(3), pre_vote_reply(True, campaign), 6.5)
    assert machine.role is Role.BACKUP
    machine.receive(identity(2), pre_vote_reply(False, campaign, commit_index=3, commit_epoch=2), 6.5)
    assert machine.commit_index == 2
    machine.receive(identity(2), pre_vote_reply(False, campaign, commit_index=3, commit_epoch=1), 6.5)
    assert machine.voting_member_ids() == {"m0", "m1", "m3"}
    machine.receive(identity(3), pre_vote_reply(True, campaign), 6.5)
    assert machine.role is Role.CANDIDATE


def test_a_voter_without_a_membership_does_not_report_a_candidate_as_removed() -> None:
    disk = BufferedDisk("m0")
    empty = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(1), 0.0)
    empty.receive(identity(1), Message(epoch=1, append=Append(sent_us=1, previous_index=5)), 1.0)
    empty.take_effects()
    pre_vote = vote_request(2)
    pre_vote.vote_request.preliminary = True
    empty.receive(identity(2), pre_vote, 1.1)
    (outgoing,) = empty.take_effects().messages
    assert not outgoing.message.vote_reply.granted
    assert not outgoing.message.vote_reply.removed


# Elections without waiting for a lease


def no_primary_reply(campaign: int, incarnation: int = 7) -> Message:
    """Return the answer of a replica that follows no primary."""
    return Message(
        epoch=0,
        vote_reply=VoteReply(preliminary=True, epoch=1, unbound=True, life=incarnation, campaign=campaign),
    )


def start_campaign(now: float = 0.3) -> tuple[ReplicaMachine, int]:
    """Start a machine of a group of three; return it and the campaign that it starts at ``now``."""
    disk = BufferedDisk("m0")
    first = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(1), 0.0)
    first.bootstrap(GROUP, 0.0)
    sync(first, disk, 0.0)
    machine = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(1), 0.0)
    machine.tick(now)
    return machine, last_campaign(machine.take_effects())


def test_all_replicas_must_answer_that_they_follow_no_primary() -> None:
    machine, campaign = start_campaign()
    machine.receive(identity(1), no_primary_reply(campaign), 0.31)
    assert machine.role is Role.BACKUP
    machine.receive(identity(2), no_primary_reply(campaign), 0.32)
    assert machine.role is Role.CANDIDATE


def test_a_primary_that_is_frozen_or_partitioned_answers_too_late() -> None:
    machine, campaign = start_campaign()
    machine.receive(identity(1), no_primary_reply(campaign), 0.31)
    machine.receive(identity(2), no_primary_reply(campaign), 0.46)
    assert machine.role is Role.BACKUP


def test_an_answer_to_an_earlier_campaign_does_not_count() -> None:
    machine, earlier = start_campaign()
    for tick in range(7, 19):
        machine.tick(tick * 0.05)
    campaign = last_campaign(machine.take_effects())
    assert campaign != earlier
    machine.receive(identity(1), no_primary_reply(campaign), 0.91)
    machine.receive(identity(2), no_primary_reply(earlier), 0.91)
    assert machine.role is Role.BACKUP


def test_a_reused_address_answers_for_the_replaced_disk_but_gives_no_vote() -> None:
    machine, campaign = start_campaign()
    machine.record_disk_replaced("m1", 0.31)
    assert machine.role is Role.BACKUP
    machine.record_disk_replaced("m2", 0.31)
    assert machine.role is Role.BACKUP
    machine.receive(identity(2), no_primary_reply(campaign), 0.32)
    assert machine.role is Role.CANDIDATE


def test_a_disk_that_was_moved_to_another_address_does_not_campaign() -> None:
    disk = BufferedDisk("m0")
    first = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(1), 0.0)
    first.bootstrap(GROUP, 0.0)
    sync(first, disk, 0.0)
    moved = MemberIdentity("m0", "n9", "n9:1")
    machine = ReplicaMachine(moved, 1, disk.recovered(), disk, Random(1), 0.0)
    for tick in range(100):
        machine.tick(tick * 0.05)
    assert bodies(machine.take_effects()) == []


def test_a_member_that_answers_in_two_incarnations_waits_in_the_second() -> None:
    machine, disk = single()
    pre_vote = vote_request(1)
    pre_vote.vote_request.preliminary = True
    machine.receive(identity(2), pre_vote, 0.2)
    (outgoing,) = machine.take_effects().messages
    assert outgoing.message.vote_reply.unbound
    incarnation = outgoing.message.vote_reply.life
    restarted = ReplicaMachine(identity(0), 1, disk.recovered(), disk, Random(2), 0.25)
    request = vote_request(1)
    request.vote_request.life = incarnation
    restarted.receive(identity(2), request, 0.5)
    assert not restarted.take_effects().messages[0].message.vote_reply.granted
    machine.receive(identity(2), request, 0.5)
    assert machine.epoch == 1


def test_a_member_that_follows_a_primary_after_its_answer_waits() -> None:
    machine, _ = single()
    pre_vote = vote_request(1)
    pre_vote.vote_request.preliminary = True
    machine.receive(identity(2), pre_vote, 0.2)
    incarnation = machine.take_effects().messages[0].message.vote_reply.life
    follow_primary(machine, 1, 0.3)
    request = vote_request(2)
    request.vote_request.life = incarnation
    machine.receive(identity(2), request, 0.5)
    assert not machine.take_effects().messages[0].message.vote_reply.granted


def test_a_removed_primary_is_not_confirmed_once_its_removal_is_committed() -> None:
    """The remaining members need no answer from it to elect without waiting, so its lease must not count."""
    world = world_without_faults(members=4)
    commit(world, 3.0)
    primary = primary_of(world)
    departing = next(replica for replica in world.replicas if replica is not primary)
    unaware = [replica for replica in world.replicas if replica not in (primary, departing)]

    def cut_off_at_change(replica: Replica, effects: Effects) -> None:
        if departing.disk.member_id not in member_ids(primary):
            world.network.cuts |= {(primary.address, other.address) for other in unaware}

    world.effects.on_effects = cut_off_at_change
    world.retiring = frozenset({departing.address})
    world.update_membership_requests()
    wait(world, lambda: departing.disk.member_id not in member_ids(departing), 1.0)
    wait(world, lambda: not machine_of(departing).has_pending_writes, 0.1)
    confirmed: list[bool] = []

    def record_confirmation(replica: Replica, effects: Effects) -> None:
        if replica is departing and machine_of(departing).role is Role.PRIMARY:
            confirmed.append(machine_of(departing).is_confirmed_primary(world.now))

    world.effects.on_effects = record_confirmation
    primary.end(Random(1))
    wait(world, lambda: world.confirmed_primary() in unaware, 6.0)
    assert confirmed
    assert not any(confirmed)


# Snapshots of a divided state


@pytest.fixture
def small_states(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every state with final blocks divided, however small."""
    monkeypatch.setattr(snapshot_state, "MIN_PACKED_STATE_BYTES", 0)


def divided_state() -> SnapshotState:
    random = Random(7)
    final = [StateBlock.final(random.randbytes(3000).hex().encode()) for _ in range(5)]
    return SnapshotState([StateBlock.plain(b"first"), *final, StateBlock.plain(b"last")])


class Transfer:
    """A sender with a stored snapshot of ``divided_state``, and the chunks that it sent."""

    def __init__(self) -> None:
        self.state = divided_state()
        self.source, disk = single(0)
        disk.snapshot = Snapshot(1, 0, encode_members(GROUP), self.state)
        core = self.source._core
        core.snapshot = SnapshotHeader.of(disk.snapshot)
        core.chunk_bytes = 2000
        self.core = core
        self.sender = SnapshotSender(core, identity(1), disk)
        self.chunks: list[SnapshotChunk] = []

    def next_chunk(self, now: float) -> SnapshotChunk | None:
        self.sender.send_chunk(now)
        messages = self.core.take_effects().messages
        if not messages:
            return None
        chunk = messages[0].message.snapshot_chunk
        self.chunks.append(chunk)
        return chunk


def receive_all(transfer: Transfer, answer: Callable[[SnapshotChunk], SnapshotReply]) -> None:
    now = 0.0
    for _ in range(200):
        chunk = transfer.next_chunk(now)
        if chunk is not None:
            transfer.sender.record_reply(answer(chunk))
            if not transfer.sender.is_active:
                return
        now += 0.01
    pytest.fail("the transfer did not complete within 200 steps")


@pytest.mark.usefixtures("small_states")
def test_a_replica_that_accepts_the_encoded_form_receives_a_divided_state_as_stored() -> None:
    transfer = Transfer()
    receiver = ReplicaMachine(
        identity(1), 1, BufferedDisk("m1").recovered(), BufferedDisk("m1"), Random(1), 0.0
    )
    backup = receiver._roles.backup

    def answer(chunk: SnapshotChunk) -> SnapshotReply:
        backup.receive_chunk(identity(0), chunk, 0.0)
        effects = receiver._core.take_effects()
        for write in effects.writes:
            if isinstance(write, WriteSnapshot):
                installed.append(write.snapshot.state)
        replies = [each.message.snapshot_reply for each in effects.messages]
        return replies[-1]

    installed: list[SnapshotState] = []
    receive_all(transfer, answer)
    assert transfer.chunks[0].offers_encoded and not transfer.chunks[0].data
    assert all(chunk.encoded and not chunk.offers_encoded for chunk in transfer.chunks[1:])
    assert sum(len(chunk.data) for chunk in transfer.chunks) < len(transfer.state) * 0.7
    assert installed == [transfer.state]
    assert [block.is_final for block in installed[0].blocks] == [
        block.is_final for block in transfer.state.blocks
    ]


@pytest.mark.usefixtures("small_states")
def test_a_replica_of_a_release_without_state_blocks_receives_the_plain_state() -> None:
    """It treats the offer as a chunk without data and answers with the number of bytes received."""
    transfer = Transfer()
    received = b""

    def answer(chunk: SnapshotChunk) -> SnapshotReply:
        nonlocal received
        if chunk.offset == len(received):
            received += chunk.data
        return SnapshotReply(index=chunk.index, received=len(received))

    receive_all(transfer, answer)
    assert received == bytes(transfer.state)
    assert not any(chunk.encoded for chunk in transfer.chunks)
    assert {chunk.size for chunk in transfer.chunks} == {len(transfer.state)}


@pytest.mark.usefixtures("small_states")
def test_an_offer_whose_answer_is_lost_is_repeated() -> None:
    transfer = Transfer()
    first = transfer.next_chunk(0.0)
    assert first is not None and first.offers_encoded
    assert transfer.next_chunk(0.0) is None, "one chunk is in flight at a time"
    again = transfer.next_chunk(transfer.core.timing.chunk_resend_s + 0.01)
    assert again is not None and again.offers_encoded
    reply = SnapshotReply(index=1, received=0, takes_encoded=True)
    assert transfer.sender.record_reply(reply)
    chunk = transfer.next_chunk(1.0)
    assert chunk is not None and chunk.encoded and len(chunk.data) == transfer.core.chunk_bytes


def test_a_plain_state_is_sent_without_an_offer() -> None:
    transfer = Transfer()
    plain = Snapshot(1, 0, encode_members(GROUP), b"state")
    transfer.core.snapshot = SnapshotHeader.of(plain)
    chunk = transfer.next_chunk(0.0)
    assert chunk is not None and not (chunk.offers_encoded or chunk.encoded)
