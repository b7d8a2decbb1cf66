"""Model of a replicated group: deliveries, syncs, faults and the passage of time, in every order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import combinations
from operator import attrgetter

import attrs

from cherrycove.tier.exploration.copying import digest
from cherrycove.tier.exploration.group_invariants import (
    History,
    InvariantBrokenError,
    check_replicas,
    with_commits,
    with_primaries,
)
from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import (
    Envelope,
    Event,
    Propose,
    Reaction,
    Reactions,
    SaveSnapshot,
    Start,
    Sync,
    Tick,
    TransferLeadership,
    UpdateMembership,
)
from cherrycove.tier.exploration.search import Step
from cherrycove.tier.replication.interface import MemberIdentity


@attrs.frozen(kw_only=True, cache_hash=True)
class Budget:
    """Bounds how often each event may still happen.

    The loss of messages is not bounded: a message in flight may never arrive. The command line sets the
    fields by their names.
    """

    epochs: int = 2  # newest epoch; states with a newer one are not explored
    quanta: int = 0  # of time that may pass
    proposals: int = 0
    crashes: int = 0
    late_syncs: int = 0  # events whose writes do not become durable at once
    doubled: int = 0  # messages that are delivered a second time
    delayed: int = 0  # messages that stay in flight while time passes; all others are lost
    frozen: int = 0  # quanta in which one process does not run
    disks: int = 0  # disks that are lost
    hand_overs: int = 0  # transfers of leadership
    snapshots: int = 0
    forgotten: int = 0  # times that a replica loses the names of the retiring replicas


@attrs.frozen(eq=False)
class GroupState:
    """Represents one state: the nodes, the messages in flight and the observations for the invariants."""

    nodes: tuple[Node, ...]
    budget: Budget
    now: int = 0  # quanta
    envelopes: tuple[Envelope, ...] = ()  # sorted by number, without duplicates
    history: History = History()


GroupStep = Step[GroupState]
_BY_NUMBER = attrgetter("number")


class GroupModel:
    """Models a group that must survive the loss of ``faults`` disks.

    ``retiring`` names the replicas that must leave the group.
    """

    def __init__(
        self, faults: int, retiring: frozenset[str] = frozenset(), *, single_entry_appends: bool = False
    ) -> None:
        self.faults = faults
        self.reactions = Reactions(faults, single_entry_appends=single_entry_appends)
        self._retiring = retiring
        self._numbers: dict[History | Budget, int] = {}

    def _number(self, value: History | Budget) -> int:
        return self._numbers.setdefault(value, len(self._numbers))

    def key(self, state: GroupState) -> bytes:
        """Return a digest that is equal for states that behave alike."""
        return digest(
            (
                state.now,
                [node.number for node in state.nodes],
                [envelope.number for envelope in state.envelopes],
                self._number(state.history),
                self._number(state.budget),
            )
        )

    def with_primaries(self, history: History, nodes: tuple[Node, ...], now: int) -> History:
        """Return ``history`` with the primaries of ``nodes``; raises ``InvariantBrokenError``."""
        return with_primaries(history, nodes, lambda node: self.reactions.is_confirmed_primary(node, now))

    def steps(self, state: GroupState) -> Iterator[GroupStep]:
        """Yield all steps that are possible in ``state`` within its budget."""
        return (step for step in self._all_steps(state) if not exceeds_epoch_bound(step.state))

    def _all_steps(self, state: GroupState) -> Iterator[GroupStep]:
        yield from self._delivery_steps(state)
        for index, node in enumerate(state.nodes):
            yield from self._node_steps(state, index, node)
            yield from self._fault_steps(state, index, node)
        yield from self._time_steps(state)

    # Messages

    def _delivery_steps(self, state: GroupState) -> Iterator[GroupStep]:
        for envelope in state.envelopes:
            index = _running_node_index(state, envelope.receiver)
            if index is None:
                continue
            node = state.nodes[index]
            if node.identity.member_id != envelope.receiver.member_id:
                yield from self._disk_replaced_reply(_without_envelope(state, envelope), envelope)
            elif self._has_effect(node, state.now, envelope):
                yield from self._event_steps(
                    _without_envelope(state, envelope), index, envelope, f"{envelope.label} arrives"
                )
                if state.budget.doubled:
                    duplicated = _spend(state, doubled=1)
                    yield from self._event_steps(
                        duplicated,
                        index,
                        envelope,
                        f"{envelope.label} arrives, and a duplicate stays in flight",
                    )

    def _has_effect(self, node: Node, now: int, envelope: Envelope) -> bool:
        """Return whether the delivery of the message has a different result than its loss."""
        reaction = self.reactions.react(node, now, envelope)
        return reaction.node is not node or bool(reaction.envelopes or reaction.committed)

    def _disk_replaced_reply(self, state: GroupState, envelope: Envelope) -> Iterator[GroupStep]:
        if envelope.data:
            notice = self.reactions.envelope(envelope.receiver, envelope.sender, b"")
            yield Step(f"{envelope.label} reaches the replacement disk", _with_sent(state, [notice]))

    # Events at one node

    def _node_steps(self, state: GroupState, index: int, node: Node) -> Iterator[GroupStep]:
        name = node.identity.member_id
        budget = state.budget
        if node.process is None:
            yield from self._event_steps(
                state, index, Start(), f"{name} starts", self._membership_update(state.nodes)
            )
            return
        if node.unsynced:
            yield from self._event_steps(state, index, Sync(), f"{name} syncs")
        if budget.forgotten:
            event = UpdateMembership(tuple(other.identity for other in state.nodes), frozenset())
            yield from self._event_steps(
                _spend(state, forgotten=1), index, event, f"{name} loses the names of the retiring replicas"
            )
        machine = node.process.machine
        if node.is_primary:
            yield from self._event_steps(state, index, Tick(), f"{name} ticks")
            if budget.proposals:
                command = Propose(b"command %d" % budget.proposals)
                yield from self._event_steps(_spend(state, proposals=1), index, command, f"{name} proposes")
            if budget.hand_overs:
                yield from self._event_steps(
                    _spend(state, hand_overs=1), index, TransferLeadership(), f"{name} transfers leadership"
                )
        if budget.snapshots and machine.commit_index > machine.base_index:
            yield from self._event_steps(
                _spend(state, snapshots=1), index, SaveSnapshot(), f"{name} saves a snapshot"
            )

    def _event_steps(
        self, state: GroupState, index: int, event: Event, label: str, update: UpdateMembership | None = None
    ) -> Iterator[GroupStep]:
        """Yield the steps for ``event`` at a node.

        Its writes become durable at once or, within the budget, later. ``update``, if given, is handled
        directly after ``event``.
        """
        node = state.nodes[index]
        reaction = self.reactions.react(node, state.now, event)
        if update is not None:
            reaction = reaction.followed_by(self.reactions.react(reaction.node, state.now, update))
        if reaction.node is node and not reaction.envelopes and not reaction.committed:
            return
        if not reaction.node.unsynced or node.unsynced:
            yield self._step(state, {index: reaction}, label)
            return
        if state.budget.late_syncs:
            yield self._step(_spend(state, late_syncs=1), {index: reaction}, f"{label}, not synced")
        yield self._step(state, {index: self._sync_all(reaction, state.now)}, label)

    def _sync_all(self, reaction: Reaction, now: int) -> Reaction:
        while reaction.node.unsynced:
            reaction = reaction.followed_by(self.reactions.react(reaction.node, now, Sync()))
        return reaction

    def _membership_update(self, nodes: tuple[Node, ...]) -> UpdateMembership:
        return UpdateMembership(tuple(node.identity for node in nodes), self._retiring)

    # Faults

    def _fault_steps(self, state: GroupState, index: int, node: Node) -> Iterator[GroupStep]:
        name = node.identity.member_id
        if state.budget.crashes and node.process is not None:
            for kept in range(len(node.unsynced) + 1):
                stopped = self.reactions.intern(node.stopped(kept))
                label = f"{name} crashes, {kept} of {len(node.unsynced)} writes durable"
                yield self._step(_spend(state, crashes=1), {index: Reaction(stopped)}, label)
        if state.budget.disks:
            yield self._disk_loss_step(_spend(state, disks=1), index, node)

    def _disk_loss_step(self, state: GroupState, index: int, node: Node) -> GroupStep:
        """Return the step in which a host restarts with an empty disk and every process is notified."""
        lost = attrs.evolve(state.history, lost=(*state.history.lost, node.disk))
        empty = Node(replaced_identity(node.identity), Disk())
        nodes = (*state.nodes[:index], empty, *state.nodes[index + 1 :])
        update = self._membership_update(nodes)
        reactions = {
            other: self.reactions.react(peer, state.now, update)
            for other, peer in enumerate(nodes)
            if peer.process is not None
        }
        started = self.reactions.react(self.reactions.intern(empty), state.now, Start())
        reactions[index] = started.followed_by(self.reactions.react(started.node, state.now, update))
        return self._step(
            attrs.evolve(state, history=lost), reactions, f"{node.identity.member_id} loses its disk"
        )

    # Time

    def _time_steps(self, state: GroupState) -> Iterator[GroupStep]:
        if not state.budget.quanta:
            return
        for kept in self._delayed_selections(state):
            later = attrs.evolve(
                _spend(state, quanta=1, delayed=len(kept)), now=state.now + 1, envelopes=kept
            )
            delays = "".join(f", while {envelope.label} is in flight" for envelope in kept)
            yield self._time_step(later, None, delays)
            if state.budget.frozen:
                for index, node in enumerate(state.nodes):
                    if node.process is not None:
                        yield self._time_step(_spend(later, frozen=1), index, delays)

    def _delayed_selections(self, state: GroupState) -> Iterator[tuple[Envelope, ...]]:
        for count in range(min(state.budget.delayed, len(state.envelopes)) + 1):
            yield from combinations(state.envelopes, count)

    def _time_step(self, state: GroupState, frozen: int | None, delays: str) -> GroupStep:
        """Return the step in which all processes except ``frozen`` tick.

        The order of the ticks does not matter, because a tick affects other nodes only through messages.
        """
        reactions: dict[int, Reaction] = {}
        for index, node in enumerate(state.nodes):
            if node.process is not None and index != frozen:
                reaction = self.reactions.react(node, state.now, Tick())
                reactions[index] = reaction if node.unsynced else self._sync_all(reaction, state.now)
        label = "time passes"
        if frozen is not None:
            label = f"{label}, {state.nodes[frozen].identity.member_id} frozen"
        return self._step(state, reactions, label + delays)

    # Results

    def _step(self, state: GroupState, reactions: dict[int, Reaction], label: str) -> GroupStep:
        nodes = tuple(
            reactions[index].node if index in reactions else node for index, node in enumerate(state.nodes)
        )
        try:
            history = self._checked_history(state, nodes, reactions)
        except InvariantBrokenError as error:
            return Step(label, state, str(error))
        sent = [envelope for reaction in reactions.values() for envelope in reaction.envelopes]
        envelopes = _merged(state.envelopes, sent) if sent else state.envelopes
        return Step(label, GroupState(nodes, state.budget, state.now, envelopes, history))

    def _checked_history(
        self, state: GroupState, nodes: tuple[Node, ...], reactions: dict[int, Reaction]
    ) -> History:
        history = state.history
        for reaction in reactions.values():
            if reaction.committed or reaction.restored is not None:
                history = with_commits(history, reaction)
        disks_changed = any(new.disk is not old.disk for new, old in zip(nodes, state.nodes, strict=True))
        if disks_changed or history is not state.history:
            check_replicas(history, nodes, self.faults)
        return self.with_primaries(history, nodes, state.now)


def _merged(envelopes: tuple[Envelope, ...], sent: Iterable[Envelope]) -> tuple[Envelope, ...]:
    return tuple(sorted({*envelopes, *sent}, key=_BY_NUMBER))


def _without_envelope(state: GroupState, envelope: Envelope) -> GroupState:
    envelopes = tuple(other for other in state.envelopes if other is not envelope)
    return GroupState(state.nodes, state.budget, state.now, envelopes, state.history)


def _with_sent(state: GroupState, sent: Iterable[Envelope]) -> GroupState:
    envelopes = _merged(state.envelopes, sent)
    return GroupState(state.nodes, state.budget, state.now, envelopes, state.history)


def replaced_identity(identity: MemberIdentity) -> MemberIdentity:
    """Return the identity after the loss of the disk: a new member id, since it identifies the disk."""
    return attrs.evolve(identity, member_id=f"{identity.member_id}2")


def exceeds_epoch_bound(state: GroupState) -> bool:
    """Return whether a node is in an epoch above the bound."""
    return any(node.epoch > state.budget.epochs for node in state.nodes)


def _running_node_index(state: GroupState, receiver: MemberIdentity) -> int | None:
    """Return the index of the node at the address of ``receiver``; None if no process runs there."""
    for index, node in enumerate(state.nodes):
        if node.identity.address == receiver.address and node.process is not None:
            return index
    return None


def _spend(state: GroupState, **spent: int) -> GroupState:
    changed = {name: getattr(state.budget, name) - count for name, count in spent.items()}
    return attrs.evolve(state, budget=attrs.evolve(state.budget, **changed))
