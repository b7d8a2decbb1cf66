"""Reactions of nodes to events, each computed once for a node, a time and an event."""

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
class Envelope:
    """A message in flight, with its sender and receiver; equal ones are one object."""

    number: int
    sender: MemberIdentity
    receiver: MemberIdentity
    data: bytes  # an encoded Message; empty: ``sender`` reports that its disk was replaced
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
    """All writes in progress become durable."""


@attrs.frozen
class Propose:
    """A client proposes ``command``."""

    command: bytes


@attrs.frozen
class TransferLeadership:
    """The primary is asked to transfer its leadership."""


@attrs.frozen
class SaveSnapshot:
    """A snapshot of the state replaces the log."""


@attrs.frozen
class UpdateMembership:
    """The control plane names the replicas that are alive, and the machines that are to retire."""

    standbys: tuple[MemberIdentity, ...]
    retiring: frozenset[str]


@attrs.frozen
class Bootstrap:
    """The process is asked to begin a group of ``members``."""

    members: tuple[MemberIdentity, ...]


Event = (
    Envelope
    | Start
    | Tick
    | Sync
    | Propose
    | TransferLeadership
    | SaveSnapshot
    | UpdateMembership
    | Bootstrap
)


@attrs.frozen
class Reaction:
    """A node after an event, with the messages it sends and the entries it applies."""

    node: Node
    envelopes: tuple[Envelope, ...] = ()
    committed: tuple[Entry, ...] = ()
    restored: Snapshot | None = None

    def followed_by(self, other: Reaction) -> Reaction:
        """Return this reaction and ``other``, which came next, as one."""
        return Reaction(
            other.node,
            self.envelopes + other.envelopes,
            self.committed + other.committed,
            other.restored or self.restored,
        )


class Reactions:
    """Computes and caches all reactions; equal nodes are one object."""

    def __init__(self, faults: int, *, single_entry_appends: bool) -> None:
        self._faults = faults
        self._append_bytes = 1 if single_entry_appends else replicator.MAX_APPEND_BYTES
        self._nodes: dict[bytes, Node] = {}
        self._envelopes: dict[tuple[MemberIdentity, MemberIdentity, bytes], Envelope] = {}
        self._known: dict[tuple[Node, int, Event], Reaction] = {}
        self._confirmed: dict[tuple[Node, int], bool] = {}

    def unique(self, node: Node) -> Node:
        """Return the one object that stands for ``node`` and its equals."""
        content = node.content_digest()
        known = self._nodes.get(content)
        if known is None:
            known = self._nodes[content] = node.numbered(len(self._nodes))
        return known

    def envelope(self, sender: MemberIdentity, receiver: MemberIdentity, data: bytes) -> Envelope:
        """Return the one object for this message."""
        key = (sender, receiver, data)
        known = self._envelopes.get(key)
        if known is None:
            known = Envelope(len(self._envelopes), sender, receiver, data, _label(sender, receiver, data))
            self._envelopes[key] = known
        return known

    def is_confirmed_primary(self, node: Node, now: int) -> bool:
        """Whether the process leads under a valid lease."""
        if not node.is_primary:
            return False
        key = (node, now)
        known = self._confirmed.get(key)
        if known is None:
            known = node.process is not None and node.process.machine.is_confirmed_primary(now * QUANTUM_S)
            self._confirmed[key] = known
        return known

    def react(self, node: Node, now: int, event: Event) -> Reaction:
        """Return the reaction to ``event`` at ``now``, in quanta; without a process only to ``Start``."""
        key = (node, now, event)
        known = self._known.get(key)
        if known is None:
            with mock.patch.object(replicator, "MAX_APPEND_BYTES", self._append_bytes):
                known = self._known[key] = self._compute(node, now * QUANTUM_S, event)
        return known

    def react_and_sync(self, node: Node, now: int, event: Event) -> Reaction:
        """Return the same with all writes durable at once."""
        reaction = self.react(node, now, event)
        while reaction.node.unsynced:
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
        elif isinstance(event, UpdateMembership):
            process.membership_requests.standbys = event.standbys
            process.membership_requests.retiring = event.retiring
        else:
            _handle(process.machine, event, now)
        return self._finished(started, process.machine.take_effects())

    def _finished(self, node: Node, effects: Effects) -> Reaction:
        own = node.identity
        without_node_name = MemberIdentity(own.member_id, "", own.address)
        envelopes = tuple(
            self.envelope(
                without_node_name, outgoing.receiver, outgoing.message.SerializeToString(deterministic=True)
            )
            for outgoing in effects.messages
        )
        after = attrs.evolve(node, unsynced=(*node.unsynced, *effects.writes))
        return Reaction(self.unique(after), envelopes, tuple(effects.committed), effects.restore)


def _synced(node: Node, now: float) -> Node:
    process = node.process
    assert process is not None
    disk = node.disk
    for write in node.unsynced:
        disk = disk.after(write)
        process.reader.disk = disk
        process.machine.complete_writes(write.ticket, now)
    return attrs.evolve(node, disk=disk, unsynced=())


def _handle(machine: ReplicaMachine, event: Event, now: float) -> None:
    if isinstance(event, Tick):
        machine.tick(now)
    elif isinstance(event, Envelope) and event.data:
        machine.receive(event.sender, Message.FromString(event.data), now)
    elif isinstance(event, Envelope):
        machine.record_disk_replaced(event.sender.member_id, now)
    elif isinstance(event, Propose):
        machine.propose(event.command, now)
    elif isinstance(event, TransferLeadership):
        machine.transfer_leadership(now)
    elif isinstance(event, SaveSnapshot):
        machine.save_snapshot(machine.commit_index.to_bytes(STATE_BYTES, "big"), now)
    elif isinstance(event, Bootstrap):
        machine.bootstrap(event.members, now)
