"""The model of a replicated group: messages, syncs, crashes and the passing of time, in every order."""

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
    """How much may still happen. Losses are free: what is in flight may never arrive.

    The command line takes the fields by name.
    """

    epochs: int = 2  # states with a newer one are not expanded
    quanta: int = 0  # of time
    proposals: int = 0
    crashes: int = 0
    late_syncs: int = 0  # events whose writes do not become durable at once
    doubled: int = 0  # messages that arrive once more
    delayed: int = 0  # messages that are still in flight when time passes; all others are lost then
    frozen: int = 0  # quanta during which one process is frozen
    disks: int = 0  # disks lost
    hand_overs: int = 0
    snapshots: int = 0
    forgotten: int = 0  # replicas that lose the orders to retire


@attrs.frozen(eq=False)
class World:
    """One state: the nodes, the messages in flight, and what has been observed."""

    nodes: tuple[Node, ...]
    budget: Budget
    now: int = 0  # quanta
    envelopes: tuple[Envelope, ...] = ()  # in the order of their numbers
    history: History = History()


WorldStep = Step[World]
_NUMBER = attrgetter("number")


class GroupModel:
    """The steps of a group that bears the loss of ``faults`` disks."""

    def __init__(
        self, faults: int, retiring: frozenset[str] = frozenset(), *, single_entry_appends: bool = False
    ) -> None:
        self.faults = faults
        self.reactions = Reactions(faults, single_entry_appends=single_entry_appends)
        self._retiring = retiring
        self._numbers: dict[History | Budget, int] = {}

    def _number(self, value: History | Budget) -> int:
        return self._numbers.setdefault(value, len(self._numbers))

    def key(self, state: World) -> bytes:
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
        """Return ``history`` with the primaries of ``nodes``, checked."""
        return with_primaries(history, nodes, lambda node: self.reactions.is_confirmed_primary(node, now))

    def steps(self, state: World) -> Iterator[WorldStep]:
        """Return all steps that are possible in ``state`` within its budget."""
        return (step for step in self._all_steps(state) if not exceeds_epoch_bound(step.state))

    def _all_steps(self, state: World) -> Iterator[WorldStep]:
        yield from self._deliveries(state)
        for index, node in enumerate(state.nodes):
            yield from self._node_steps(state, index, node)
            yield from self._fault_steps(state, index, node)
        yield from self._time_steps(state)

    # Messages

    def _deliveries(self, state: World) -> Iterator[WorldStep]:
        for envelope in state.envelopes:
            index = _running_node_index(state, envelope.receiver)
            if index is None:
                continue
            node = state.nodes[index]
            if node.identity.member_id != envelope.receiver.member_id:
                yield from self._disk_replaced_reply(_without(state, envelope), envelope)
            elif self._has_effect(node, state.now, envelope):
                yield from self._events(
                    _without(state, envelope), index, envelope, f"{envelope.label} arrives"
                )
                if state.budget.doubled:
                    again = _spend(state, doubled=1)
                    yield from self._events(
                        again, index, envelope, f"{envelope.label} arrives, and will again"
                    )

    def _has_effect(self, node: Node, now: int, envelope: Envelope) -> bool:
        """Whether the arrival of the message differs from its loss."""
        reaction = self.reactions.react(node, now, envelope)
        return reaction.node is not node or bool(reaction.envelopes or reaction.committed)

    def _disk_replaced_reply(self, state: World, envelope: Envelope) -> Iterator[WorldStep]:
        if envelope.data:
            answer = self.reactions.envelope(envelope.receiver, envelope.sender, b"")
            yield Step(f"{envelope.label} reaches another disk", _with(state, [answer]))

    # Events at one node

    def _node_steps(self, state: World, index: int, node: Node) -> Iterator[WorldStep]:
        name = node.identity.member_id
        budget = state.budget
        if node.process is None:
            yield from self._events(
                state, index, Start(), f"{name} starts", self._membership_update(state.nodes)
            )
            return
        if node.unsynced:
            yield from self._events(state, index, Sync(), f"{name} syncs")
        if budget.forgotten:
            event = UpdateMembership(tuple(other.identity for other in state.nodes), frozenset())
            yield from self._events(
                _spend(state, forgotten=1), index, event, f"{name} forgets who is to leave"
            )
        machine = node.process.machine
        if node.is_primary:
            yield from self._events(state, index, Tick(), f"{name} ticks")
            if budget.proposals:
                command = Propose(b"command %d" % budget.proposals)
                yield from self._events(_spend(state, proposals=1), index, command, f"{name} proposes")
            if budget.hand_overs:
                yield from self._events(
                    _spend(state, hand_overs=1), index, TransferLeadership(), f"{name} hands over"
                )
        if budget.snapshots and machine.commit_index > machine.base_index:
            yield from self._events(_spend(state, snapshots=1), index, SaveSnapshot(), f"{name} snapshots")

    def _events(
        self, state: World, index: int, event: Event, label: str, update: UpdateMembership | None = None
    ) -> Iterator[WorldStep]:
        """Steps for ``event`` at a node: its writes become durable at once or, within the budget, later."""
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
        yield self._step(state, {index: self._synced(reaction, state.now)}, label)

    def _synced(self, reaction: Reaction, now: int) -> Reaction:
        while reaction.node.unsynced:
            reaction = reaction.followed_by(self.reactions.react(reaction.node, now, Sync()))
        return reaction

    def _membership_update(self, nodes: tuple[Node, ...]) -> UpdateMembership:
        return UpdateMembership(tuple(node.identity for node in nodes), self._retiring)

    # Faults

    def _fault_steps(self, state: World, index: int, node: Node) -> Iterator[WorldStep]:
        name = node.identity.member_id
        if state.budget.crashes and node.process is not None:
            for kept in range(len(node.unsynced) + 1):
                stopped = self.reactions.unique(node.stopped(kept))
                label = f"{name} crashes, {kept} of {len(node.unsynced)} writes durable"
                yield self._step(_spend(state, crashes=1), {index: Reaction(stopped)}, label)
        if state.budget.disks:
            yield self._disk_lost(_spend(state, disks=1), index, node)

    def _disk_lost(self, state: World, index: int, node: Node) -> WorldStep:
        """The machine comes back with an empty disk, and all are notified of it."""
        lost = attrs.evolve(state.history, lost=(*state.history.lost, node.disk))
        empty = Node(replaced_identity(node.identity), Disk())
        nodes = (*state.nodes[:index], empty, *state.nodes[index + 1 :])
        update = self._membership_update(nodes)
        reactions = {
            other: self.reactions.react(peer, state.now, update)
            for other, peer in enumerate(nodes)
            if peer.process is not None
        }
        started = self.reactions.react(self.reactions.unique(empty), state.now, Start())
        reactions[index] = started.followed_by(self.reactions.react(started.node, state.now, update))
        return self._step(
            attrs.evolve(state, history=lost), reactions, f"{node.identity.member_id} loses its disk"
        )

    # Time

    def _time_steps(self, state: World) -> Iterator[WorldStep]:
        if not state.budget.quanta:
            return
        for kept in self._delayed_messages(state):
            later = attrs.evolve(
                _spend(state, quanta=1, delayed=len(kept)), now=state.now + 1, envelopes=kept
            )
            delays = "".join(f", while {envelope.label} is in flight" for envelope in kept)
            yield self._ticked(later, None, delays)
            if state.budget.frozen:
                for index, node in enumerate(state.nodes):
                    if node.process is not None:
                        yield self._ticked(_spend(later, frozen=1), index, delays)

    def _delayed_messages(self, state: World) -> Iterator[tuple[Envelope, ...]]:
        for count in range(min(state.budget.delayed, len(state.envelopes)) + 1):
            yield from combinations(state.envelopes, count)

    def _ticked(self, state: World, frozen: int | None, delays: str) -> WorldStep:
        """All processes but the frozen one tick. Their order does not matter: they only send."""
        reactions: dict[int, Reaction] = {}
        for index, node in enumerate(state.nodes):
            if node.process is not None and index != frozen:
                reaction = self.reactions.react(node, state.now, Tick())
                reactions[index] = reaction if node.unsynced else self._synced(reaction, state.now)
        label = "time passes"
        if frozen is not None:
            label = f"{label}, {state.nodes[frozen].identity.member_id} frozen"
        return self._step(state, reactions, label + delays)

    # Results

    def _step(self, state: World, reactions: dict[int, Reaction], label: str) -> WorldStep:
        nodes = tuple(
            reactions[index].node if index in reactions else node for index, node in enumerate(state.nodes)
        )
        try:
            history = self._checked(state, nodes, reactions)
        except InvariantBrokenError as error:
            return Step(label, state, str(error))
        sent = [envelope for reaction in reactions.values() for envelope in reaction.envelopes]
        envelopes = _joined(state.envelopes, sent) if sent else state.envelopes
        return Step(label, World(nodes, state.budget, state.now, envelopes, history))

    def _checked(self, state: World, nodes: tuple[Node, ...], reactions: dict[int, Reaction]) -> History:
        history = state.history
        for reaction in reactions.values():
            if reaction.committed or reaction.restored is not None:
                history = with_commits(history, reaction)
        disks_changed = any(new.disk is not old.disk for new, old in zip(nodes, state.nodes, strict=True))
        if disks_changed or history is not state.history:
            check_replicas(history, nodes, self.faults)
        return self.with_primaries(history, nodes, state.now)


def _joined(envelopes: tuple[Envelope, ...], sent: Iterable[Envelope]) -> tuple[Envelope, ...]:
    return tuple(sorted({*envelopes, *sent}, key=_NUMBER))


def _without(state: World, envelope: Envelope) -> World:
    envelopes = tuple(other for other in state.envelopes if other is not envelope)
    return World(state.nodes, state.budget, state.now, envelopes, state.history)


def _with(state: World, sent: Iterable[Envelope]) -> World:
    envelopes = _joined(state.envelopes, sent)
    return World(state.nodes, state.budget, state.now, envelopes, state.history)


def replaced_identity(identity: MemberIdentity) -> MemberIdentity:
    """Return the identity at an address after its disk was lost: the member id names the disk."""
    return attrs.evolve(identity, member_id=f"{identity.member_id}2")


def exceeds_epoch_bound(state: World) -> bool:
    """Whether a node is in an epoch above the bound."""
    return any(node.epoch > state.budget.epochs for node in state.nodes)


def _running_node_index(state: World, receiver: MemberIdentity) -> int | None:
    """Return the index of the node at the address of ``receiver``, if a process runs there."""
    for index, node in enumerate(state.nodes):
        if node.identity.address == receiver.address and node.process is not None:
            return index
    return None


def _spend(state: World, **spent: int) -> World:
    changed = {name: getattr(state.budget, name) - count for name, count in spent.items()}
    return attrs.evolve(state, budget=attrs.evolve(state.budget, **changed))
