"""States of a group from which explorations begin, reached by running it without a fault."""

from __future__ import annotations

from cherrycove.tier.exploration.group_invariants import History, with_commits
from cherrycove.tier.exploration.group_model import Budget, GroupModel, World
from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import Bootstrap, Event, Letter, Offer, Propose, Start, Tick
from cherrycove.tier.replication.interface import MemberIdentity

NAMES = "abcde"


def _identity(name: str) -> MemberIdentity:
    return MemberIdentity(name, f"node-{name}", f"{name}:1", "")


class Director:
    """Plays chosen events on a group, with all messages delivered and all writes durable at once."""

    def __init__(
        self, model: GroupModel, members: int, standbys: int, retiring: frozenset[str], begun: str
    ) -> None:
        """The members named in ``begun`` have been told to begin the group."""
        self._model = model
        self._now = 0
        self._letters: list[Letter] = []
        self._history = History()
        self._cut = ""
        self.names = NAMES[: members + standbys]
        identities = tuple(_identity(name) for name in self.names)
        self._nodes = [model.reactions.unique(Node(identity, Disk())) for identity in identities]
        for place in range(len(identities)):
            self.event(place, Start())
            self.event(place, Offer(identities, retiring))
        for name in begun:
            self.event(NAMES.index(name), Bootstrap(identities[:members]))

    def event(self, place: int, event: Event) -> None:
        reaction = self._model.reactions.settled(self._nodes[place], self._now, event)
        self._nodes[place] = reaction.node
        self._letters.extend(reaction.letters)
        history = with_commits(self._history, reaction)
        self._history = self._model.with_primaries(history, tuple(self._nodes), self._now)

    def deliver_all(self) -> None:
        """Deliver until nothing is in flight."""
        while self._letters:
            self._deliver(self._letters.pop(0))

    def deliver(self, kind: str) -> None:
        """Deliver until no message is in flight that has ``kind`` in its label."""
        while waiting := [letter for letter in self._letters if kind in letter.label]:
            self._letters.remove(waiting[0])
            self._deliver(waiting[0])

    def deliver_one(self, label: str) -> None:
        """Deliver the oldest message with ``label``."""
        letter = next(letter for letter in self._letters if letter.label == label)
        self._letters.remove(letter)
        self._deliver(letter)

    def leader_of(self, epoch: int) -> str | None:
        """The member that leads ``epoch``, or led it."""
        return self._history.primary_of(epoch) or None

    def _deliver(self, letter: Letter) -> None:
        if {letter.sender.member_id, letter.receiver.member_id} & set(self._cut):
            return
        for place, node in enumerate(self._nodes):
            if node.identity.member_id == letter.receiver.member_id:
                self.event(place, letter)

    def cut(self, names: str) -> None:
        """Messages from and to the processes in ``names`` are lost from now on."""
        self._cut = names

    def mend(self) -> None:
        self._cut = ""

    def lose_all(self) -> None:
        """Whatever is in flight never arrives."""
        self._letters.clear()

    def pass_time(self, ticking: str) -> None:
        """One quantum passes; the processes in ``ticking`` tick."""
        self._now += 1
        for name in ticking:
            self.event(NAMES.index(name), Tick())

    def propose(self, name: str, command: bytes) -> None:
        self.event(NAMES.index(name), Propose(command))

    def world(self, budget: Budget) -> World:
        """The state reached."""
        letters = sorted(set(self._letters), key=lambda letter: letter.number)
        return World(tuple(self._nodes), budget, self._now, tuple(letters), self._history)


def established(director: Director) -> None:
    """The first member leads in epoch 1, all know it, and nothing is in flight."""
    director.pass_time("a")
    director.deliver_all()
    for _ in range(2):
        director.pass_time(director.names)
        director.deliver_all()
