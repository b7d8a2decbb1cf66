"""Mutations of the control side: each takes one guard out, which the worlds of its scenario must notice."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import attrs
from google.protobuf.message import DecodeError
from result import Err, Ok

from cherrycove.tier.controlplane.barrier_proposer import BarrierProposer
from cherrycove.tier.controlplane.configuration_service import ConfigurationService, _mismatch
from cherrycove.tier.controlplane.configuration_state import ConfigurationState
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.controlplane.state import ControlState
from cherrycove.tier.distribution.publisher import Publisher
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.replication.message_dispatcher import MessageDispatcher
from cherrycove.tier.replication.messenger import PeerMessenger
from cherrycove.tier.replication.pending_proposals import PendingProposals
from cherrycove.tier.replication.primary import Primary
from cherrycove.tier.replication.replicator import PeerReplicator
from cherrycove.tier.simulation import mutations as group_mutations
from cherrycove.tier.simulation.control import network
from cherrycove.tier.simulation.control.network import Client
from cherrycove.tier.simulation.control.runtime import SimulatedRuntime

Patches = Iterator[Any]


@attrs.frozen
class Mutation:
    """A guard, taken out by ``patches``; worlds of ``scenario`` must break an invariant without it."""

    scenario: str
    patches: Callable[[], Patches]


# 1. A machine cut off


def _lease_without_end() -> Patches:
    def is_confirmed_primary(primary: Any, now: float) -> bool:
        return bool(primary._core.log.commit_index >= primary._noop_index)

    yield mock.patch.object(Primary, "is_confirmed_primary", is_confirmed_primary)


def _pulls_answered_without_lease() -> Patches:
    yield mock.patch.object(Publisher, "_leads", lambda publisher: not publisher._closed)


def _reads_without_lease() -> Patches:
    async def wait_until_confirmed(leadership: Any, timeout_s: float = 0.0) -> Any:
        return Ok(None)

    yield mock.patch.object(Leadership, "wait_until_confirmed", wait_until_confirmed)


def _refusals_without_lease() -> Patches:
    check = ConfigurationService._check

    def unconfirmed(decisions: Any, body: bytes, base_version: int) -> Any:
        with mock.patch.object(decisions._leadership, "is_confirmed_primary", lambda: True):
            return check(decisions, body, base_version)

    yield from _reads_without_lease()
    yield mock.patch.object(ConfigurationService, "_check", unconfirmed)


# 2. Two operators, orders sent again


def _decisions_at_the_same_time() -> Patches:
    class Turn:
        async def __aenter__(self) -> bool:
            return True

        async def __aexit__(self, *details: Any) -> None:
            return None

    yield mock.patch.object(ConfigurationService, "_exclusive_access", lambda decisions, timeout_s: Turn())
    yield from _base_not_checked_when_applied()


def _base_not_checked_when_applied() -> Patches:
    original = ConfigurationState.accept

    def unchecked(state: Any, command: Any) -> Any:
        kept = state._document
        state._document = type(kept)(version=command.base_version, document=kept.document)
        outcome = original(state, command)
        if state._document.version == command.base_version:
            state._document = kept
        return outcome

    yield mock.patch.object(ConfigurationState, "accept", unchecked)


def _no_barrier_after_an_uncertain_change() -> Patches:
    async def resolve(proposer: Any, timeout_s: float) -> Any:
        return Ok(None)

    yield mock.patch.object(BarrierProposer, "resolve", resolve)


def _uncertain_is_refused() -> Patches:
    def uncommitted(decisions: Any, failure: Any) -> Any:
        return _mismatch(0, decisions._state.configuration.version)

    yield mock.patch.object(ConfigurationService, "_uncommitted", uncommitted)


def _accepted_digests_forgotten() -> Patches:
    yield mock.patch.object(ConfigurationState, "was_accepted", lambda state, digest, version: False)


def _decides_before_its_first_entry() -> Patches:
    def is_confirmed_primary(primary: Any, now: float) -> bool:
        return bool(now - primary._lease_start(now) < primary._core.timing.lease_s)

    yield mock.patch.object(Primary, "is_confirmed_primary", is_confirmed_primary)


# 3. A second loss


def _emptied_keeps_identity() -> Patches:
    identity = SimulatedRuntime.identity
    kept: dict[tuple[str, str], str] = {}

    def same(runtime: Any, machine: Any, program: str) -> tuple[str, bool]:
        member_id, fresh = identity(runtime, machine, program)
        first = kept.setdefault((machine.host, program), member_id)
        machine.disks[program].member_id = first
        return first, fresh

    yield mock.patch.object(SimulatedRuntime, "identity", same)


def _taken_in_before_it_caught_up() -> Patches:
    yield mock.patch.object(PeerReplicator, "is_caught_up", lambda peer, within: True)


# 4. A restarted member


def _snapshot_without_digests() -> Patches:
    def restore(state: Any, data: bytes) -> None:
        original(state, data)
        state._configuration._accepted = {}

    original = ControlState.restore
    yield mock.patch.object(ControlState, "restore", restore)


# 5. Answers for another


def _batches_for_another_disk_are_taken() -> Patches:
    async def handle_call(messenger: Any, batch: Any) -> Any:
        if messenger._replica is not None:
            batch.receiver_id = messenger._replica.identity.member_id
        return await original(messenger, batch)

    async def serve(endpoint: Any, name: str, body: bytes, receiver: str) -> Any:
        return await serve_to_receiver(endpoint, name, body, "")

    original = PeerMessenger._handle_call
    serve_to_receiver = network._serve
    yield mock.patch.object(PeerMessenger, "_handle_call", handle_call)
    yield mock.patch.object(network, "_serve", serve)


def _outcomes_by_place_alone() -> Patches:
    def resolve(proposals: Any, index: int, epoch: int, outcome: object) -> None:
        waiting = proposals._pending.get(index)
        original(proposals, index, epoch if waiting is None else waiting.epoch, outcome)

    original = PendingProposals.resolve
    yield mock.patch.object(PendingProposals, "resolve", resolve)


def _replies_of_older_epochs_count() -> Patches:
    def receive(dispatcher: Any, sender: Any, message: Any, now: float) -> None:
        message.epoch = max(message.epoch, dispatcher._core.epoch) if message.epoch else message.epoch
        original(dispatcher, sender, message, now)

    original = MessageDispatcher._receive_from_backup
    yield mock.patch.object(MessageDispatcher, "_receive_from_backup", receive)


def _replies_by_place() -> Patches:
    def take(client: Any, body: bytes, reply_type: Any) -> Any:
        try:
            return Ok(reply_type.FromString(body))
        except DecodeError:
            return Err(Failure(ErrorKind.UNCERTAIN, "unreadable"))

    yield mock.patch.object(Client, "take_stray", take)


def _of_group(name: str) -> Callable[[], Patches]:
    return group_mutations.MUTATIONS[name]


MUTATIONS: dict[str, Mutation] = {
    "lease-without-end": Mutation("cut-off", _lease_without_end),
    "pulls-answered-without-lease": Mutation("cut-off", _pulls_answered_without_lease),
    "reads-without-lease": Mutation("cut-off", _reads_without_lease),
    "refusals-without-lease": Mutation("cut-off", _refusals_without_lease),
    "vote-within-lease": Mutation("cut-off", _of_group("vote-within-lease")),
    "decisions-at-the-same-time": Mutation("races", _decisions_at_the_same_time),
    "base-not-checked-when-applied": Mutation("races", _base_not_checked_when_applied),
    "no-barrier-after-an-uncertain-change": Mutation("races", _no_barrier_after_an_uncertain_change),
    "uncertain-is-refused": Mutation("races", _uncertain_is_refused),
    "accepted-digests-forgotten": Mutation("races", _accepted_digests_forgotten),
    "decides-before-its-first-entry": Mutation("restart", _decides_before_its_first_entry),
    "one-copy-fewer": Mutation("second-loss", _of_group("one-copy-fewer")),
    "new-list-alone": Mutation("second-loss", _of_group("new-list-alone")),
    "emptied-keeps-identity": Mutation("second-loss", _emptied_keeps_identity),
    "taken-in-before-it-caught-up": Mutation("second-loss", _taken_in_before_it_caught_up),
    "acknowledge-before-sync": Mutation("restart", _of_group("acknowledge-before-sync")),
    "commit-before-own-sync": Mutation("restart", _of_group("commit-before-own-sync")),
    "vote-before-sync": Mutation("restart", _of_group("vote-before-sync")),
    "vote-without-log-check": Mutation("restart", _of_group("vote-without-log-check")),
    "count-copies-of-older-epochs": Mutation("restart", _of_group("count-copies-of-older-epochs")),
    "restarted-quorum-needs-no-lease-to-end": Mutation(
        "restart", _of_group("restarted-quorum-needs-no-lease-to-end")
    ),
    "snapshot-without-digests": Mutation("restart", _snapshot_without_digests),
    "batches-for-another-disk-are-taken": Mutation("misdelivery", _batches_for_another_disk_are_taken),
    "replies-by-place": Mutation("misdelivery", _replies_by_place),
    "outcomes-by-place-alone": Mutation("misdelivery", _outcomes_by_place_alone),
    "replies-of-older-epochs-count": Mutation("misdelivery", _replies_of_older_epochs_count),
}
NAMES = tuple(MUTATIONS)


@contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply the mutation ``name``, which takes one guard out, for a while; "" applies none."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name].patches() if name else ():
            stack.enter_context(patch)
        yield
