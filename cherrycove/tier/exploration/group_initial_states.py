"""Initial states for explorations of a group, reached by scripted events."""

from __future__ import annotations

from cherrycove.tier.exploration.group_invariants import History, with_commits
from cherrycove.tier.exploration.group_model import Budget, GroupModel, GroupState
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


class ScriptedGroup:
    """Applies scripted events to a group; all writes become durable at once.

    ``names`` has one letter for each member and standby.
    """

    def __init__(
        self, model: GroupModel, members: int, standbys: int, retiring: frozenset[str], bootstrapped: str
    ) -> None:
        """Start all processes and bootstrap the group at the members named in ``bootstrapped``."""
        self._model = model
        self._now = 0
        self._envelopes: list[Envelope] = []
        self._history = History()
        self._isolated = ""
        self.names = NAMES[: members + standbys]
        identities = tuple(_identity(name) for name in self.names)
        self._nodes = [model.reactions.intern(Node(identity, Disk())) for identity in identities]
        for index in range(len(identities)):
            self.handle(index, Start())
            self.handle(index, UpdateMembership(identities, retiring))
        for name in bootstrapped:
            self.handle(NAMES.index(name), Bootstrap(identities[:members]))

    def handle(self, index: int, event: Event) -> None:
        """Let the node with the index ``index`` handle ``event``; raises ``InvariantBrokenError``."""
        reaction = self._model.reactions.react_and_sync(self._nodes[index], self._now, event)
        self._nodes[index] = reaction.node
        self._envelopes.extend(reaction.envelopes)
        history = with_commits(self._history, reaction)
        self._history = self._model.with_primaries(history, tuple(self._nodes), self._now)

    def deliver_all(self) -> None:
        """Deliver messages until none is in flight."""
        while self._envelopes:
            self._deliver(self._envelopes.pop(0))

    def deliver_matching(self, text: str) -> None:
        """Deliver messages until none is in flight that has ``text`` in its label."""
        while in_flight := [envelope for envelope in self._envelopes if text in envelope.label]:
            self._envelopes.remove(in_flight[0])
            self._deliver(in_flight[0])

    def deliver_one(self, label: str) -> None:
        """Deliver the oldest message with the label ``label``."""
        envelope = next(envelope for envelope in self._envelopes if envelope.label == label)
        self._envelopes.remove(envelope)
        self._deliver(envelope)

    def primary_of(self, epoch: int) -> str | None:
        """Return the member id of the primary of ``epoch``, past or present; None if there was none."""
        return self._history.primary_of(epoch) or None

    def _deliver(self, envelope: Envelope) -> None:
        if {envelope.sender.member_id, envelope.receiver.member_id} & set(self._isolated):
            return
        for index, node in enumerate(self._nodes):
            if node.identity.member_id == envelope.receiver.member_id:
                self.handle(index, envelope)

    def isolate(self, names: str) -> None:
        """Drop the messages from and to the members in ``names`` until ``reconnect_all``."""
        self._isolated = names

    def reconnect_all(self) -> None:
        """Deliver the messages of all members again."""
        self._isolated = ""

    def drop_all(self) -> None:
        """Drop all messages in flight."""
        self._envelopes.clear()

    def pass_time(self, ticking: str) -> None:
        """Let one quantum of time pass; the members in ``ticking`` tick."""
        self._now += 1
        for name in ticking:
            self.handle(NAMES.index(name), Tick())

    def propose(self, name: str, command: bytes) -> None:
        """Propose ``command`` at the member ``name``."""
        self.handle(NAMES.index(name), Propose(command))

    def state(self, budget: Budget) -> GroupState:
        """Return the current state, with ``budget`` as the bounds of the exploration."""
        envelopes = sorted(set(self._envelopes), key=lambda envelope: envelope.number)
        return GroupState(tuple(self._nodes), budget, self._now, tuple(envelopes), self._history)


def establish_primary(group: ScriptedGroup) -> None:
    """Run until the first member leads epoch 1, all members know it and no message is in flight."""
    group.pass_time("a")
    group.deliver_all()
    for _ in range(2):
        group.pass_time(group.names)
        group.deliver_all()
