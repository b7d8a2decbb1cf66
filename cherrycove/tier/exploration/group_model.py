"""A replicated group whose every order of messages, syncs, crashes and passing time is explored."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import combinations
from operator import attrgetter

import attrs

from cherrycove.tier.exploration.copying import digest
from cherrycove.tier.exploration.group_invariants import (
    BrokenError,
    History,
    check_copies,
    with_commits,
    with_primaries,
)
from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import (
    Event,
    HandOver,
    Letter,
    Offer,
    Propose,
    Reaction,
    Reactions,
    SaveSnapshot,
    Start,
    Sync,
    Tick,
)
from cherrycove.tier.exploration.search import Step
from cherrycove.tier.replication.interface import MemberIdentity


@attrs.frozen(kw_only=True, cache_hash=True)
class Budget:
    """How much may still happen. Losses of messages are free: whatever is in flight may never arrive."""

    epochs: int = 2  # the newest epoch that is followed
    quanta: int = 0  # of time
    proposals: int = 0
    crashes: int = 0
    late_syncs: int = 0  # events whose writes do not become durable at once
    doubled: int = 0  # messages that arrive once more
    delayed: int = 0  # messages that are still in flight when time passes; all others are lost then
    frozen: int = 0  # quanta that a process sleeps through
    disks: int = 0  # disks lost
    hand_overs: int = 0
    snapshots: int = 0
    forgotten: int = 0  # replicas that are no longer told who is to leave


@attrs.frozen(eq=False)
class World:
    """One state of the group and of everything round it."""

    nodes: tuple[Node, ...]
    budget: Budget
    now: int = 0  # quanta
    letters: tuple[Letter, ...] = ()  # by number
    history: History = History()


WorldStep = Step[World]
_NUMBER = attrgetter("number")


class GroupModel:
    """The steps of a group that bears the loss of ``faults`` disks."""

    def __init__(
        self, faults: int, retiring: frozenset[str] = frozenset(), entries_alone: bool = False
    ) -> None:
        self.faults = faults
        self.reactions = Reactions(faults, entries_alone)
        self._retiring = retiring
        self._numbers: dict[History | Budget, int] = {}

    def _number(self, value: History | Budget) -> int:
        return self._numbers.setdefault(value, len(self._numbers))

    def key(self, state: World) -> bytes:
        return digest(
            (
                state.now,
                [node.number for node in state.nodes],
                [letter.number for letter in state.letters],
                self._number(state.history),
                self._number(state.budget),
            )
        )

    def with_primaries(self, history: History, nodes: tuple[Node, ...], now: int) -> History:
        return with_primaries(history, nodes, lambda node: self.reactions.is_confirmed_primary(node, now))

    def steps(self, state: World) -> Iterator[WorldStep]:
        return (step for step in self._all_steps(state) if not beyond_bounds(step.state))

    def _all_steps(self, state: World) -> Iterator[WorldStep]:
        yield from self._deliveries(state)
        for place, node in enumerate(state.nodes):
            yield from self._own_steps(state, place, node)
            yield from self._faults_at(state, place, node)
        yield from self._time(state)

    # Messages

    def _deliveries(self, state: World) -> Iterator[WorldStep]:
        for letter in state.letters:
            place = _place(state, letter.receiver)
            if place is None:
                continue
            node = state.nodes[place]
            if node.identity.member_id != letter.receiver.member_id:
                yield from self._answer_of_stranger(_without(state, letter), letter)
            elif self._matters(node, state.now, letter):
                yield from self._events(_without(state, letter), place, letter, f"{letter.label} arrives")
                if state.budget.doubled:
                    again = _spend(state, doubled=1)
                    yield from self._events(again, place, letter, f"{letter.label} arrives, and will again")

    def _matters(self, node: Node, now: int, letter: Letter) -> bool:
        """Whether its arrival is more than its loss."""
        reaction = self.reactions.react(node, now, letter)
        return reaction.node is not node or bool(reaction.letters or reaction.committed)

    def _answer_of_stranger(self, state: World, letter: Letter) -> Iterator[WorldStep]:
        if letter.data:
            answer = self.reactions.letter(letter.receiver, letter.sender, b"")
            yield Step(f"{letter.label} reaches another disk", _with(state, [answer]))

    # Events at one node

    def _own_steps(self, state: World, place: int, node: Node) -> Iterator[WorldStep]:
        name = node.identity.member_id
        budget = state.budget
        if node.process is None:
            yield from self._events(state, place, Start(), f"{name} starts", self._offer(state.nodes))
            return
        if node.waiting:
            yield from self._events(state, place, Sync(), f"{name} syncs")
        if budget.forgotten:
            event = Offer(tuple(other.identity for other in state.nodes), frozenset())
            yield from self._events(
                _spend(state, forgotten=1), place, event, f"{name} forgets who is to leave"
            )
        machine = node.process.machine
        if node.leads:
            yield from self._events(state, place, Tick(), f"{name} ticks")
            if budget.proposals:
                command = Propose(b"command %d" % budget.proposals)
                yield from self._events(_spend(state, proposals=1), place, command, f"{name} proposes")
            if budget.hand_overs:
                yield from self._events(_spend(state, hand_overs=1), place, HandOver(), f"{name} hands over")
        if budget.snapshots and machine.commit_index > machine.base_index:
            yield from self._events(_spend(state, snapshots=1), place, SaveSnapshot(), f"{name} snapshots")

    def _events(
        self, state: World, place: int, event: Event, label: str, offer: Offer | None = None
    ) -> Iterator[WorldStep]:
        """``event`` at a node, with its writes done at once, or left for later within the budget."""
        node = state.nodes[place]
        reaction = self.reactions.react(node, state.now, event)
        if offer is not None:
            reaction = reaction.followed_by(self.reactions.react(reaction.node, state.now, offer))
        if reaction.node is node and not reaction.letters and not reaction.committed:
            return
        if not reaction.node.waiting or node.waiting:
            yield self._step(state, {place: reaction}, label)
            return
        if state.budget.late_syncs:
            yield self._step(_spend(state, late_syncs=1), {place: reaction}, f"{label}, not synced")
        yield self._step(state, {place: self._synced(reaction, state.now)}, label)

    def _synced(self, reaction: Reaction, now: int) -> Reaction:
        while reaction.node.waiting:
            reaction = reaction.followed_by(self.reactions.react(reaction.node, now, Sync()))
        return reaction

    def _offer(self, nodes: tuple[Node, ...]) -> Offer:
        return Offer(tuple(node.identity for node in nodes), self._retiring)

    # Faults

    def _faults_at(self, state: World, place: int, node: Node) -> Iterator[WorldStep]:
        name = node.identity.member_id
        if state.budget.crashes and node.process is not None:
            for kept in range(len(node.waiting) + 1):
                stopped = self.reactions.unique(node.stopped(kept))
                label = f"{name} crashes, {kept} of {len(node.waiting)} writes durable"
                yield self._step(_spend(state, crashes=1), {place: Reaction(stopped)}, label)
        if state.budget.disks:
            yield self._disk_lost(_spend(state, disks=1), place, node)

    def _disk_lost(self, state: World, place: int, node: Node) -> WorldStep:
        """The machine comes back with an empty disk, and all are told of it."""
        lost = attrs.evolve(state.history, lost=(*state.history.lost, node.disk))
        empty = Node(replaced_identity(node.identity), Disk())
        nodes = (*state.nodes[:place], empty, *state.nodes[place + 1 :])
        offer = self._offer(nodes)
        reactions = {
            other: self.reactions.react(peer, state.now, offer)
            for other, peer in enumerate(nodes)
            if peer.process is not None
        }
        started = self.reactions.react(self.reactions.unique(empty), state.now, Start())
        reactions[place] = started.followed_by(self.reactions.react(started.node, state.now, offer))
        return self._step(
            attrs.evolve(state, history=lost), reactions, f"{node.identity.member_id} loses its disk"
        )

    # Time

    def _time(self, state: World) -> Iterator[WorldStep]:
        if not state.budget.quanta:
            return
        for kept in self._in_flight_longer(state):
            later = attrs.evolve(_spend(state, quanta=1, delayed=len(kept)), now=state.now + 1, letters=kept)
            delays = "".join(f", while {letter.label} is in flight" for letter in kept)
            yield self._ticked(later, None, delays)
            if state.budget.frozen:
                for place, node in enumerate(state.nodes):
                    if node.process is not None:
                        yield self._ticked(_spend(later, frozen=1), place, delays)

    def _in_flight_longer(self, state: World) -> Iterator[tuple[Letter, ...]]:
        for count in range(min(state.budget.delayed, len(state.letters)) + 1):
            yield from combinations(state.letters, count)

    def _ticked(self, state: World, frozen: int | None, delays: str) -> WorldStep:
        """All processes tick, but the frozen one. Their order is of no account: they only send."""
        reactions: dict[int, Reaction] = {}
        for place, node in enumerate(state.nodes):
            if node.process is not None and place != frozen:
                reaction = self.reactions.react(node, state.now, Tick())
                reactions[place] = reaction if node.waiting else self._synced(reaction, state.now)
        label = "time passes"
        if frozen is not None:
            label = f"{label}, {state.nodes[frozen].identity.member_id} frozen"
        return self._step(state, reactions, label + delays)

    # Results

    def _step(self, state: World, reactions: dict[int, Reaction], label: str) -> WorldStep:
        nodes = tuple(
            reactions[place].node if place in reactions else node for place, node in enumerate(state.nodes)
        )
        try:
            history = self._checked(state, nodes, reactions)
        except BrokenError as error:
            return Step(label, state, str(error))
        sent = [letter for reaction in reactions.values() for letter in reaction.letters]
        letters = _joined(state.letters, sent) if sent else state.letters
        return Step(label, World(nodes, state.budget, state.now, letters, history))

    def _checked(self, state: World, nodes: tuple[Node, ...], reactions: dict[int, Reaction]) -> History:
        history = state.history
        for reaction in reactions.values():
            if reaction.committed or reaction.restored is not None:
                history = with_commits(history, reaction)
        disks_changed = any(new.disk is not old.disk for new, old in zip(nodes, state.nodes, strict=True))
        if disks_changed or history is not state.history:
            check_copies(history, nodes, self.faults)
        return self.with_primaries(history, nodes, state.now)


def _joined(letters: tuple[Letter, ...], sent: Iterable[Letter]) -> tuple[Letter, ...]:
    return tuple(sorted({*letters, *sent}, key=_NUMBER))


def _without(state: World, letter: Letter) -> World:
    letters = tuple(other for other in state.letters if other is not letter)
    return World(state.nodes, state.budget, state.now, letters, state.history)


def _with(state: World, sent: Iterable[Letter]) -> World:
    letters = _joined(state.letters, sent)
    return World(state.nodes, state.budget, state.now, letters, state.history)


def replaced_identity(identity: MemberIdentity) -> MemberIdentity:
    """Who is at an address after its disk was lost: the member id names the disk."""
    return attrs.evolve(identity, member_id=f"{identity.member_id}2")


def beyond_bounds(state: World) -> bool:
    """Whether an epoch was promised that is above the bound."""
    return any(node.epoch > state.budget.epochs for node in state.nodes)


def _place(state: World, receiver: MemberIdentity) -> int | None:
    """Where the address of ``receiver`` is, if a process runs there."""
    for place, node in enumerate(state.nodes):
        if node.identity.address == receiver.address and node.process is not None:
            return place
    return None


def _spend(state: World, **spent: int) -> World:
    changed = {name: getattr(state.budget, name) - count for name, count in spent.items()}
    return attrs.evolve(state, budget=attrs.evolve(state.budget, **changed))
