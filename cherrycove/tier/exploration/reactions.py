"""Reactions of nodes to events, computed once per combination of node, time and event."""

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
STATE_BYTES = 2  # size of the state in a snapshot
# Time advances in whole quanta, so most durations lie between two of them: a lease covers the quantum of its
# renewal and the next one. A backup votes again two quanta after it last heard its primary.
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
    """Represents a message in flight; equal messages are one object."""

    number: int
    sender: MemberIdentity
    receiver: MemberIdentity
    data: bytes  # an encoded Message; empty if ``sender`` reports that its disk was replaced
    label: str


def _label(sender: MemberIdentity, receiver: MemberIdentity, data: bytes) -> str:
    description = "disk replacement notice"
    if data:
        message = Message.FromString(data)
        body = str(message.WhichOneof("body"))
        preliminary = body.startswith("vote") and getattr(message, body).preliminary
        description = f"{'preliminary ' if preliminary else ''}{body} of epoch {message.epoch}"
    return f"{description} from {sender.member_id} to {receiver.member_id}"


@attrs.frozen
class Start:
    """Represents the start of the process."""


@attrs.frozen
class Tick:
    """Represents the notification of a replica that time has passed."""


@attrs.frozen
class Sync:
    """Represents the sync that makes all unsynced writes durable."""


@attrs.frozen
class Propose:
    """Represents the proposal of ``command`` by a client."""

    command: bytes


@attrs.frozen
class TransferLeadership:
    """Represents a request to the primary to transfer its leadership."""


@attrs.frozen
class SaveSnapshot:
    """Represents the replacement of the log up to the commit index by a snapshot of the state."""


@attrs.frozen
class UpdateMembership:
    """Represents a report of the control plane: the live replicas, and those that must leave the group."""

    standbys: tuple[MemberIdentity, ...]
    retiring: frozenset[str]


@attrs.frozen
class Bootstrap:
    """Represents a request to bootstrap a group of ``members``."""

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
    """Represents the result of an event: the node afterwards, its messages and the entries it applies."""

    node: Node
    envelopes: tuple[Envelope, ...] = ()
    committed: tuple[Entry, ...] = ()
    restored: Snapshot | None = None

    def followed_by(self, other: Reaction) -> Reaction:
        """Return this reaction and the subsequent reaction ``other`` combined into one."""
        return Reaction(
            other.node,
            self.envelopes + other.envelopes,
            self.committed + other.committed,
            other.restored or self.restored,
        )


class Reactions:
    """Computes and caches the reactions of all nodes; interns nodes and messages.

    With ``single_entry_appends`` every append message carries one entry.
    """

    def __init__(self, faults: int, *, single_entry_appends: bool) -> None:
        self._faults = faults
        self._append_bytes = 1 if single_entry_appends else replicator.MAX_APPEND_BYTES
        self._nodes: dict[bytes, Node] = {}
        self._envelopes: dict[tuple[MemberIdentity, MemberIdentity, bytes], Envelope] = {}
        self._cache: dict[tuple[Node, int, Event], Reaction] = {}
        self._confirmed_cache: dict[tuple[Node, int], bool] = {}

    def intern(self, node: Node) -> Node:
        """Return the object that represents all nodes equal to ``node``."""
        content = node.content_digest()
        cached = self._nodes.get(content)
        if cached is None:
            cached = self._nodes[content] = node.numbered(len(self._nodes))
        return cached

    def envelope(self, sender: MemberIdentity, receiver: MemberIdentity, data: bytes) -> Envelope:
        """Return the object that represents this message."""
        key = (sender, receiver, data)
        cached = self._envelopes.get(key)
        if cached is None:
            cached = Envelope(len(self._envelopes), sender, receiver, data, _label(sender, receiver, data))
            self._envelopes[key] = cached
        return cached

    def is_confirmed_primary(self, node: Node, now: int) -> bool:
        """Return whether the process leads under a valid lease; ``now`` is in quanta."""
        if not node.is_primary:
            return False
        key = (node, now)
        cached = self._confirmed_cache.get(key)
        if cached is None:
            cached = node.process is not None and node.process.machine.is_confirmed_primary(now * QUANTUM_S)
            self._confirmed_cache[key] = cached
        return cached

    def react(self, node: Node, now: int, event: Event) -> Reaction:
        """Return the reaction to ``event`` at the time ``now``, in quanta.

        A node without a process reacts only to ``Start``.
        """
        key = (node, now, event)
        cached = self._cache.get(key)
        if cached is None:
            with mock.patch.object(replicator, "MAX_APPEND_BYTES", self._append_bytes):
                cached = self._cache[key] = self._compute(node, now * QUANTUM_S, event)
        return cached

    def react_and_sync(self, node: Node, now: int, event: Event) -> Reaction:
        """Return the reaction to ``event`` if all writes that it causes become durable at once."""
        reaction = self.react(node, now, event)
        while reaction.node.unsynced:
            reaction = reaction.followed_by(self.react(reaction.node, now, Sync()))
        return reaction

    def _compute(self, node: Node, now: float, event: Event) -> Reaction:
        if isinstance(event, Start):
            started = node.started(self._faults, TIMING, now)
        elif node.process is not None:
            started = attrs.evolve(node, process=node.process.copy())
        else:
            return Reaction(node)
        process = started.process
        assert process is not None
        if isinstance(event, Sync):
            started = _sync(started, now)
        elif isinstance(event, UpdateMembership):
            process.membership_requests.standbys = event.standbys
            process.membership_requests.retiring = event.retiring
        else:
            _handle(process.machine, event, now)
        return self._collect_reaction(started, process.machine.take_effects())

    def _collect_reaction(self, node: Node, effects: Effects) -> Reaction:
        identity = node.identity
        without_node_name = MemberIdentity(identity.member_id, "", identity.address)
        envelopes = tuple(
            self.envelope(
                without_node_name, outgoing.receiver, outgoing.message.SerializeToString(deterministic=True)
            )
            for outgoing in effects.messages
        )
        updated = attrs.evolve(node, unsynced=(*node.unsynced, *effects.writes))
        return Reaction(self.intern(updated), envelopes, tuple(effects.committed), effects.restore)


def _sync(node: Node, now: float) -> Node:
    process = node.process
    assert process is not None
    disk = node.disk
    for write in node.unsynced:
        disk = disk.with_write(write)
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
