"""Mutations of the control plane: each disables one safety check.

The worlds of its scenario must then violate an invariant.
"""

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
from cherrycove.tier.simulation import mutations as replication_mutations
from cherrycove.tier.simulation.control import network
from cherrycove.tier.simulation.control.network import Client
from cherrycove.tier.simulation.control.runtime import SimulatedRuntime

Patches = Iterator[Any]


@attrs.frozen
class Mutation:
    """Disables a safety check by ``patches``; worlds of ``scenario`` must then violate an invariant."""

    scenario: str
    patches: Callable[[], Patches]


# 1. A partitioned machine


def _lease_never_expires() -> Patches:
    def is_confirmed_primary(primary: Any, now: float) -> bool:
        return bool(primary._core.log.commit_index >= primary._noop_index)

    yield mock.patch.object(Primary, "is_confirmed_primary", is_confirmed_primary)


def _pulls_answered_without_lease() -> Patches:
    yield mock.patch.object(Publisher, "_leads", lambda publisher: not publisher._closed)


def _reads_without_lease() -> Patches:
    async def wait_until_confirmed(leadership: Any, timeout_s: float = 0.0) -> Any:
        return Ok(None)

    yield mock.patch.object(Leadership, "wait_until_confirmed", wait_until_confirmed)


def _rejections_without_lease() -> Patches:
    check = ConfigurationService._check

    def unconfirmed(decisions: Any, body: bytes, base_version: int) -> Any:
        with mock.patch.object(decisions._leadership, "is_confirmed_primary", lambda: True):
            return check(decisions, body, base_version)

    yield from _reads_without_lease()
    yield mock.patch.object(ConfigurationService, "_check", unconfirmed)


# 2. Concurrent operators and repeated orders


def _concurrent_decisions() -> Patches:
    class Turn:
        async def __aenter__(self) -> bool:
            return True

        async def __aexit__(self, *details: Any) -> None:
            return None

    yield mock.patch.object(ConfigurationService, "_exclusive_access", lambda decisions, timeout_s: Turn())
    yield from _skip_base_check_when_applied()


def _skip_base_check_when_applied() -> Patches:
    original = ConfigurationState.accept

    def unchecked(state: Any, command: Any) -> Any:
        kept = state._document
        state._document = type(kept)(version=command.base_version, document=kept.document)
        outcome = original(state, command)
        if state._document.version == command.base_version:
            state._document = kept
        return outcome

    yield mock.patch.object(ConfigurationState, "accept", unchecked)


def _skip_barrier_after_uncertain_change() -> Patches:
    async def resolve(proposer: Any, timeout_s: float) -> Any:
        return Ok(None)

    yield mock.patch.object(BarrierProposer, "resolve", resolve)


def _report_uncertain_as_rejected() -> Patches:
    def uncommitted(decisions: Any, failure: Any) -> Any:
        return _mismatch(0, decisions._state.configuration.version)

    yield mock.patch.object(ConfigurationService, "_uncommitted", uncommitted)


def _forget_accepted_digests() -> Patches:
    yield mock.patch.object(ConfigurationState, "was_accepted", lambda state, digest, version: False)


def _decide_before_first_commit() -> Patches:
    def is_confirmed_primary(primary: Any, now: float) -> bool:
        return bool(now - primary._lease_start(now) < primary._core.timing.lease_s)

    yield mock.patch.object(Primary, "is_confirmed_primary", is_confirmed_primary)


# 3. A second loss


def _wiped_disk_keeps_identity() -> Patches:
    identity = SimulatedRuntime.identity
    kept: dict[tuple[str, str], str] = {}

    def same(runtime: Any, machine: Any, program: str) -> tuple[str, bool]:
        member_id, fresh = identity(runtime, machine, program)
        first = kept.setdefault((machine.host, program), member_id)
        machine.disks[program].member_id = first
        return first, fresh

    yield mock.patch.object(SimulatedRuntime, "identity", same)


def _promote_before_catch_up() -> Patches:
    yield mock.patch.object(PeerReplicator, "is_caught_up", lambda peer, within: True)


# 4. A restarted member


def _drop_digests_from_snapshots() -> Patches:
    def restore(state: Any, data: bytes) -> None:
        original(state, data)
        state._configuration._accepted = {}

    original = ControlState.restore
    yield mock.patch.object(ControlState, "restore", restore)


# 5. Misdelivered messages and replies


def _accept_batches_for_another_disk() -> Patches:
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


def _resolve_by_index_alone() -> Patches:
    def resolve(proposals: Any, index: int, epoch: int, outcome: object) -> None:
        waiting = proposals._pending.get(index)
        original(proposals, index, epoch if waiting is None else waiting.epoch, outcome)

    original = PendingProposals.resolve
    yield mock.patch.object(PendingProposals, "resolve", resolve)


def _count_replies_of_older_epochs() -> Patches:
    def receive(dispatcher: Any, sender: Any, message: Any, now: float) -> None:
        message.epoch = max(message.epoch, dispatcher._core.epoch) if message.epoch else message.epoch
        original(dispatcher, sender, message, now)

    original = MessageDispatcher._receive_from_backup
    yield mock.patch.object(MessageDispatcher, "_receive_from_backup", receive)


def _accept_misdelivered_replies() -> Patches:
    def take(client: Any, body: bytes, reply_type: Any) -> Any:
        try:
            return Ok(reply_type.FromString(body))
        except DecodeError:
            return Err(Failure(ErrorKind.UNCERTAIN, "unreadable"))

    yield mock.patch.object(Client, "receive_misdelivered", take)


def _replication_mutation(name: str) -> Callable[[], Patches]:
    return replication_mutations.MUTATIONS[name]


MUTATIONS: dict[str, Mutation] = {
    "lease-without-end": Mutation("cut-off", _lease_never_expires),
    "pulls-answered-without-lease": Mutation("cut-off", _pulls_answered_without_lease),
    "reads-without-lease": Mutation("cut-off", _reads_without_lease),
    "refusals-without-lease": Mutation("cut-off", _rejections_without_lease),
    "vote-within-lease": Mutation("cut-off", _replication_mutation("vote-within-lease")),
    "decisions-at-the-same-time": Mutation("races", _concurrent_decisions),
    "base-not-checked-when-applied": Mutation("races", _skip_base_check_when_applied),
    "no-barrier-after-an-uncertain-change": Mutation("races", _skip_barrier_after_uncertain_change),
    "uncertain-is-refused": Mutation("races", _report_uncertain_as_rejected),
    "accepted-digests-forgotten": Mutation("races", _forget_accepted_digests),
    "decides-before-its-first-entry": Mutation("restart", _decide_before_first_commit),
    "one-copy-fewer": Mutation("second-loss", _replication_mutation("one-copy-fewer")),
    "new-list-alone": Mutation("second-loss", _replication_mutation("new-list-alone")),
    "emptied-keeps-identity": Mutation("second-loss", _wiped_disk_keeps_identity),
    "taken-in-before-it-caught-up": Mutation("second-loss", _promote_before_catch_up),
    "acknowledge-before-sync": Mutation("restart", _replication_mutation("acknowledge-before-sync")),
    "commit-before-own-sync": Mutation("restart", _replication_mutation("commit-before-own-sync")),
    "vote-before-sync": Mutation("restart", _replication_mutation("vote-before-sync")),
    "vote-without-log-check": Mutation("restart", _replication_mutation("vote-without-log-check")),
    "count-copies-of-older-epochs": Mutation(
        "restart", _replication_mutation("count-copies-of-older-epochs")
    ),
    "restarted-quorum-needs-no-lease-to-end": Mutation(
        "restart", _replication_mutation("restarted-quorum-needs-no-lease-to-end")
    ),
    "snapshot-without-digests": Mutation("restart", _drop_digests_from_snapshots),
    "batches-for-another-disk-are-taken": Mutation("misdelivery", _accept_batches_for_another_disk),
    "replies-by-place": Mutation("misdelivery", _accept_misdelivered_replies),
    "outcomes-by-place-alone": Mutation("misdelivery", _resolve_by_index_alone),
    "replies-of-older-epochs-count": Mutation("misdelivery", _count_replies_of_older_epochs),
}
NAMES = tuple(MUTATIONS)


@contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply the mutation ``name`` within the context; "" applies none."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name].patches() if name else ():
            stack.enter_context(patch)
        yield
