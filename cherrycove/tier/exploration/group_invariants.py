"""What must hold in every state of an explored group, by the number of faults and by the disks."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from cherrycove.tier.exploration.node import Disk, Node
from cherrycove.tier.exploration.reactions import Reaction
from cherrycove.tier.protocol.replication_pb2 import MemberList
from cherrycove.tier.replication.group_membership import INITIAL_EPOCH
from cherrycove.tier.storage.entries import Entry, EntryKind


class InvariantBrokenError(Exception):
    """An invariant does not hold."""


@attrs.frozen(cache_hash=True)
class History:
    """What has been observed, and stays true: commits, primaries and lost disks."""

    committed: tuple[Entry, ...] = ()  # from index 1 on
    primaries: tuple[tuple[int, str], ...] = ()  # epoch and member id of all that led
    lost: tuple[Disk, ...] = ()  # contents of the disks that were lost

    def primary_of(self, epoch: int) -> str:
        """Return the member id of the primary of ``epoch``; "" if there was none."""
        return next((member for led, member in self.primaries if led == epoch), "")


def require(condition: bool, detail: str) -> None:
    """Raise ``InvariantBrokenError`` with ``detail`` unless ``condition`` holds."""
    if not condition:
        raise InvariantBrokenError(detail)


def with_commits(history: History, reaction: Reaction) -> History:
    """Return ``history`` with what the node applies as committed, which must not contradict it."""
    restored = reaction.restored
    if restored is not None:
        known = history.committed[restored.index - 1 : restored.index]
        agrees = bool(known) and known[0].epoch == restored.epoch
        require(agrees, f"a snapshot of entry {restored.index} holds what was not committed")
    committed = history.committed
    for entry in reaction.committed:
        if entry.index <= len(committed):
            agrees = committed[entry.index - 1] == entry
            require(agrees, f"{reaction.node.identity.member_id} commits another entry at {entry.index}")
        else:
            require(entry.index == len(committed) + 1, f"{entry.index} is committed before its predecessor")
            check_exclusions(committed, entry)
            committed = (*committed, entry)
    return attrs.evolve(history, committed=committed) if committed is not history.committed else history


def check_exclusions(committed: Sequence[Entry], entry: Entry) -> None:
    """Check that a disk that a committed entry excluded is in no later membership."""
    if entry.kind is not EntryKind.MEMBERS:
        return
    newest = MemberList.FromString(entry.payload)
    for earlier in committed:
        if earlier.kind is EntryKind.MEMBERS:
            excluded = set(MemberList.FromString(earlier.payload).excluded)
            back = excluded & {member.member_id for member in newest.members}
            require(not back, f"entry {entry.index} adds {sorted(back)}, excluded by entry {earlier.index}")


def check_replicas(history: History, nodes: Sequence[Node], faults: int) -> None:
    """Check that every committed entry was synced on f + 1 disks, lost ones included."""
    disks = [node.disk for node in nodes] + list(history.lost)
    for entry in history.committed:
        if entry.epoch == INITIAL_EPOCH:
            continue  # the initial members begin with it
        replicas = sum(disk.holds(entry.index, entry.epoch) for disk in disks)
        require(replicas >= faults + 1, f"entry {entry.index} is committed on {replicas} disks")


def with_primaries(history: History, nodes: Sequence[Node], confirmed: Callable[[Node], bool]) -> History:
    """Return ``history`` with the primaries of ``nodes``.

    There is one primary an epoch, one confirmed primary at a time, and each has all that was committed.
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
    require(len(confirmed_primaries) < 2, f"{' and '.join(confirmed_primaries)} are confirmed at once")
    return history


def _check_confirmed(history: History, node: Node) -> None:
    assert node.process is not None
    newest = len(history.committed)
    applied = node.process.machine.commit_index
    require(applied >= newest, f"{node.identity.member_id} is confirmed without entry {newest}")


def _check_new_primary(history: History, node: Node) -> None:
    assert node.process is not None
    machine = node.process.machine
    for entry in history.committed:
        if entry.epoch < node.epoch and entry.index > machine.base_index:
            holds = machine.epoch_at(entry.index) == entry.epoch
            require(holds, f"{node.identity.member_id} leads epoch {node.epoch} without entry {entry.index}")
