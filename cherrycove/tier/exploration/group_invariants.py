"""Invariants that must hold in every explored state of a replicated group."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import Reaction
from cherrycove.tier.protocol.replication_pb2 import MemberList
from cherrycove.tier.replication.group_membership import INITIAL_EPOCH
from cherrycove.tier.storage.entries import Entry, EntryKind


class InvariantBrokenError(Exception):
    """Raised when an invariant does not hold; the message describes the violation."""


@attrs.frozen(cache_hash=True)
class History:
    """Records the commits, primaries and lost disks observed so far; later states must agree with it."""

    committed: tuple[Entry, ...] = ()  # without gaps, from index 1
    primaries: tuple[tuple[int, str], ...] = ()  # epoch and member id of each primary
    lost: tuple[Disk, ...] = ()  # contents of each disk at the time of its loss

    def primary_of(self, epoch: int) -> str:
        """Return the member id of the primary of ``epoch``; "" if none was observed."""
        return next((member for led_epoch, member in self.primaries if led_epoch == epoch), "")


def require(condition: bool, detail: str) -> None:
    """Raise ``InvariantBrokenError`` with ``detail`` unless ``condition`` holds."""
    if not condition:
        raise InvariantBrokenError(detail)


def with_commits(history: History, reaction: Reaction) -> History:
    """Return ``history`` with the entries that the node applies; raises if they contradict it."""
    restored = reaction.restored
    if restored is not None:
        known = history.committed[restored.index - 1 : restored.index]
        agrees = bool(known) and known[0].epoch == restored.epoch
        require(agrees, f"a snapshot of entry {restored.index} contains entries that were not committed")
    committed = history.committed
    for entry in reaction.committed:
        if entry.index <= len(committed):
            agrees = committed[entry.index - 1] == entry
            require(
                agrees, f"{reaction.node.identity.member_id} commits a different entry at index {entry.index}"
            )
        else:
            require(
                entry.index == len(committed) + 1, f"entry {entry.index} is committed before its predecessor"
            )
            check_exclusions(committed, entry)
            committed = (*committed, entry)
    return attrs.evolve(history, committed=committed) if committed is not history.committed else history


def check_exclusions(committed: Sequence[Entry], entry: Entry) -> None:
    """Check that the membership in ``entry`` has no disk that an earlier committed entry excluded."""
    if entry.kind is not EntryKind.MEMBERS:
        return
    newest = MemberList.FromString(entry.payload)
    for earlier in committed:
        if earlier.kind is EntryKind.MEMBERS:
            excluded = set(MemberList.FromString(earlier.payload).excluded)
            readded = excluded & {member.member_id for member in newest.members}
            require(
                not readded,
                f"entry {entry.index} adds {sorted(readded)} again, excluded by entry {earlier.index}",
            )


def check_replicas(history: History, nodes: Sequence[Node], faults: int) -> None:
    """Check that every committed entry was synced to ``faults`` + 1 disks, including lost ones."""
    disks = [node.disk for node in nodes] + list(history.lost)
    for entry in history.committed:
        if entry.epoch == INITIAL_EPOCH:
            continue  # every initial member starts with this entry
        replicas = sum(disk.holds(entry.index, entry.epoch) for disk in disks)
        require(
            replicas >= faults + 1, f"entry {entry.index} is committed, but only {replicas} disks hold it"
        )


def with_primaries(history: History, nodes: Sequence[Node], confirmed: Callable[[Node], bool]) -> History:
    """Return ``history`` with the primaries of ``nodes``; ``confirmed`` tells which of them are confirmed.

    Checks that each epoch has at most one primary, that at most one primary is confirmed at a time, that a
    new primary holds all committed entries of earlier epochs, and that the commit index of a confirmed
    primary covers all committed entries.
    """
    confirmed_primaries: list[str] = []
    for node in nodes:
        if not node.is_primary:
            continue
        name = node.identity.member_id
        known = history.primary_of(node.epoch)
        require(known in ("", name), f"{known} and {name} are primaries of epoch {node.epoch}")
        if not known:
            _check_new_primary(history, node)
            history = attrs.evolve(history, primaries=(*history.primaries, (node.epoch, name)))
        if confirmed(node):
            confirmed_primaries.append(name)
            _check_confirmed(history, node)
    require(
        len(confirmed_primaries) < 2,
        f"{' and '.join(confirmed_primaries)} are confirmed primaries at the same time",
    )
    return history


def _check_confirmed(history: History, node: Node) -> None:
    assert node.process is not None
    newest = len(history.committed)
    commit_index = node.process.machine.commit_index
    require(
        commit_index >= newest,
        f"{node.identity.member_id} is confirmed primary, but lacks committed entry {newest}",
    )


def _check_new_primary(history: History, node: Node) -> None:
    assert node.process is not None
    machine = node.process.machine
    for entry in history.committed:
        if entry.epoch < node.epoch and entry.index > machine.base_index:
            holds = machine.epoch_at(entry.index) == entry.epoch
            require(
                holds,
                f"{node.identity.member_id} leads epoch {node.epoch} without committed entry {entry.index}",
            )
