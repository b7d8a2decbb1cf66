"""States of a group from which explorations begin, reached by chosen events."""

from __future__ import annotations

from cherrycove.tier.exploration.group_invariants import History, with_commits
from cherrycove.tier.exploration.group_model import Budget, GroupModel, World
from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import (
    Bootstrap,
    Envelope,
    Event,
    Propose,
    Start,
    Tick,
    UpdateMembership,
)
from cherrycove.tier.replication.interface import MemberIdentity

NAMES = "abcde"


def _identity(name: str) -> MemberIdentity:
    return MemberIdentity(name, f"node-{name}", f"{name}:1", "")


class Conductor:
    """Plays chosen events on a group; all writes are durable at once. ``names`` are those of the members."""

    def __init__(
        self, model: GroupModel, members: int, standbys: int, retiring: frozenset[str], bootstrapped: str
    ) -> None:
        """The members named in ``bootstrapped`` are asked to begin the group."""
        self._model = model
        self._now = 0
        self._envelopes: list[Envelope] = []
        self._history = History()
        self._cut = ""
        self.names = NAMES[: members + standbys]
        identities = tuple(_identity(name) for name in self.names)
        self._nodes = [model.reactions.unique(Node(identity, Disk())) for identity in identities]
        for index in range(len(identities)):
            self.event(index, Start())
            self.event(index, UpdateMembership(identities, retiring))
        for name in bootstrapped:
            self.event(NAMES.index(name), Bootstrap(identities[:members]))

    def event(self, index: int, event: Event) -> None:
        """Let the node with this index handle ``event``."""
        reaction = self._model.reactions.react_and_sync(self._nodes[index], self._now, event)
        self._nodes[index] = reaction.node
        self._envelopes.extend(reaction.envelopes)
        history = with_commits(self._history, reaction)
        self._history = self._model.with_primaries(history, tuple(self._nodes), self._now)

    def deliver_all(self) -> None:
        """Deliver until nothing is in flight."""
        while self._envelopes:
            self._deliver(self._envelopes.pop(0))

    def deliver(self, kind: str) -> None:
        """Deliver until no message is in flight that has ``kind`` in its label."""
        while in_flight := [envelope for envelope in self._envelopes if kind in envelope.label]:
            self._envelopes.remove(in_flight[0])
            self._deliver(in_flight[0])

    def deliver_one(self, label: str) -> None:
        """Deliver the oldest message with ``label``."""
        envelope = next(envelope for envelope in self._envelopes if envelope.label == label)
        self._envelopes.remove(envelope)
        self._deliver(envelope)

    def leader_of(self, epoch: int) -> str | None:
        """Return the member that leads ``epoch``, or led it."""
        return self._history.primary_of(epoch) or None

    def _deliver(self, envelope: Envelope) -> None:
        if {envelope.sender.member_id, envelope.receiver.member_id} & set(self._cut):
            return
        for index, node in enumerate(self._nodes):
            if node.identity.member_id == envelope.receiver.member_id:
                self.event(index, envelope)

    def cut(self, names: str) -> None:
        """Lose the messages from and to the processes in ``names`` from now on."""
        self._cut = names

    def join(self) -> None:
        """End all cuts."""
        self._cut = ""

    def lose_all(self) -> None:
        """Lose all messages in flight."""
        self._envelopes.clear()

    def pass_time(self, ticking: str) -> None:
        """Let one quantum pass; the processes in ``ticking`` tick."""
        self._now += 1
        for name in ticking:
            self.event(NAMES.index(name), Tick())

    def propose(self, name: str, command: bytes) -> None:
        """Propose ``command`` at the member ``name``."""
        self.event(NAMES.index(name), Propose(command))

    def world(self, budget: Budget) -> World:
        """Return the state reached, with ``budget`` for what may follow."""
        envelopes = sorted(set(self._envelopes), key=lambda envelope: envelope.number)
        return World(tuple(self._nodes), budget, self._now, tuple(envelopes), self._history)


def established(director: Conductor) -> None:
    """Play until the first member leads in epoch 1, all know it, and nothing is in flight."""
    director.pass_time("a")
    director.deliver_all()
    for _ in range(2):
        director.pass_time(director.names)
        director.deliver_all()
