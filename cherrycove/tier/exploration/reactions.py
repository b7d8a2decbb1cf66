"""What a node does at an event. Computed once for each pair of node and event."""

from __future__ import annotations

from unittest import mock

import attrs

from cherrycove.tier.exploration.node import Node
from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication import replicator
from cherrycove.tier.replication.effects import Effects
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.machine import ReplicaMachine
from cherrycove.tier.replication.timing import Timing
from cherrycove.tier.storage.entries import Entry
from cherrycove.tier.storage.snapshots import Snapshot

QUANTUM_S = 0.5
STATE_BYTES = 2  # of a snapshot
# Times come in whole quanta, so each duration lies between two of them: a lease covers the quantum in which
# it was renewed and the next one; a backup votes again two quanta after it heard its primary.
TIMING = Timing(
    heartbeat_s=QUANTUM_S,
    lease_s=1.5 * QUANTUM_S,
    election_timeout_s=2 * QUANTUM_S,
    stagger_s=0.0,
    jitter_s=0.0,
    bootstrap_timeout_s=0.0,
    pre_vote_window_s=0.5 * QUANTUM_S,
    campaign_retry_s=0.5 * QUANTUM_S,
    check_quorum_timeout_s=2.5 * QUANTUM_S,
    unreachable_timeout_s=1.5 * QUANTUM_S,
    chunk_resend_s=0.5 * QUANTUM_S,
)


@attrs.frozen(eq=False)
class Letter:
    """A message in flight; equal ones are one object."""

    number: int
    sender: MemberIdentity
    receiver: MemberIdentity
    data: bytes  # an encoded Message; empty: the receiver's peer ``sender`` has another disk now
    label: str


def _label(sender: MemberIdentity, receiver: MemberIdentity, data: bytes) -> str:
    what = "stranger"
    if data:
        message = Message.FromString(data)
        body = str(message.WhichOneof("body"))
        preliminary = body.startswith("vote") and getattr(message, body).preliminary
        what = f"{'preliminary ' if preliminary else ''}{body} of epoch {message.epoch}"
    return f"{what} from {sender.member_id} to {receiver.member_id}"


@attrs.frozen
class Start:
    """The process starts."""


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Sync:
    """All writes handed out are durable."""


@attrs.frozen
class Propose:
    command: bytes


@attrs.frozen
class HandOver:
    """The process is asked to have another one lead."""


@attrs.frozen
class SaveSnapshot:
    """The state is stored in place of the log."""


@attrs.frozen
class Offer:
    """The plane names the replicas that are alive, and who is to leave."""

    standbys: tuple[MemberIdentity, ...]
    retiring: frozenset[str]


@attrs.frozen
class Bootstrap:
    members: tuple[MemberIdentity, ...]


Event = Letter | Start | Tick | Sync | Propose | HandOver | SaveSnapshot | Offer | Bootstrap


@attrs.frozen
class Reaction:
    """A node after an event, and what came out of it."""

    node: Node
    letters: tuple[Letter, ...] = ()
    committed: tuple[Entry, ...] = ()
    restored: Snapshot | None = None

    def followed_by(self, other: Reaction) -> Reaction:
        return Reaction(
            other.node,
            self.letters + other.letters,
            self.committed + other.committed,
            other.restored or self.restored,
        )


class Reactions:
    """Remembers every reaction; equal nodes are one object."""

    def __init__(self, faults: int, entries_alone: bool) -> None:
        self._faults = faults
        self._append_bytes = 1 if entries_alone else replicator.MAX_APPEND_BYTES
        self._nodes: dict[bytes, Node] = {}
        self._letters: dict[tuple[MemberIdentity, MemberIdentity, bytes], Letter] = {}
        self._known: dict[tuple[Node, int, Event], Reaction] = {}
        self._confirmed: dict[tuple[Node, int], bool] = {}

    def unique(self, node: Node) -> Node:
        content = node.content_digest()
        known = self._nodes.get(content)
        if known is None:
            known = self._nodes[content] = node.sealed(len(self._nodes))
        return known

    def letter(self, sender: MemberIdentity, receiver: MemberIdentity, data: bytes) -> Letter:
        key = (sender, receiver, data)
        known = self._letters.get(key)
        if known is None:
            known = Letter(len(self._letters), sender, receiver, data, _label(sender, receiver, data))
            self._letters[key] = known
        return known

    def is_confirmed_primary(self, node: Node, now: int) -> bool:
        """Whether the process leads under a valid lease."""
        if not node.leads:
            return False
        key = (node, now)
        known = self._confirmed.get(key)
        if known is None:
            known = node.process is not None and node.process.machine.is_confirmed_primary(now * QUANTUM_S)
            self._confirmed[key] = known
        return known

    def react(self, node: Node, now: int, event: Event) -> Reaction:
        """``now`` in quanta. The process must run, but for ``Start``."""
        key = (node, now, event)
        known = self._known.get(key)
        if known is None:
            with mock.patch.object(replicator, "MAX_APPEND_BYTES", self._append_bytes):
                known = self._known[key] = self._compute(node, now * QUANTUM_S, event)
        return known

    def settled(self, node: Node, now: int, event: Event) -> Reaction:
        """The same with all writes done at once."""
        reaction = self.react(node, now, event)
        while reaction.node.waiting:
            reaction = reaction.followed_by(self.react(reaction.node, now, Sync()))
        return reaction

    def _compute(self, node: Node, now: float, event: Event) -> Reaction:
        if isinstance(event, Start):
            started = node.started(self._faults, TIMING, now)
        elif node.process is not None:
            started = attrs.evolve(node, process=node.process.copied())
        else:
            return Reaction(node)
        process = started.process
        assert process is not None
        if isinstance(event, Sync):
            started = _synced(started, now)
        elif isinstance(event, Offer):
            process.wishes.standbys = event.standbys
            process.wishes.retiring = event.retiring
        else:
            _handle(process.machine, event, now)
        return self._finished(started, process.machine.take_effects())

    def _finished(self, node: Node, effects: Effects) -> Reaction:
        own = node.identity
        anonymous = MemberIdentity(own.member_id, "", own.address)
        letters = tuple(
            self.letter(anonymous, outgoing.receiver, outgoing.message.SerializeToString(deterministic=True))
            for outgoing in effects.messages
        )
        after = attrs.evolve(node, waiting=(*node.waiting, *effects.writes))
        return Reaction(self.unique(after), letters, tuple(effects.committed), effects.restore)


def _synced(node: Node, now: float) -> Node:
    process = node.process
    assert process is not None
    disk = node.disk
    for write in node.waiting:
        disk = disk.after(write)
        process.reader.disk = disk
        process.machine.complete_writes(write.ticket, now)
    return attrs.evolve(node, disk=disk, waiting=())


def _handle(machine: ReplicaMachine, event: Event, now: float) -> None:
    if isinstance(event, Tick):
        machine.tick(now)
    elif isinstance(event, Letter) and event.data:
        machine.receive(event.sender, Message.FromString(event.data), now)
    elif isinstance(event, Letter):
        machine.record_disk_replaced(event.sender.member_id, now)
    elif isinstance(event, Propose):
        machine.propose(event.command, now)
    elif isinstance(event, HandOver):
        machine.transfer_leadership(now)
    elif isinstance(event, SaveSnapshot):
        machine.save_snapshot(machine.commit_index.to_bytes(STATE_BYTES, "big"), now)
    elif isinstance(event, Bootstrap):
        machine.bootstrap(event.members, now)
