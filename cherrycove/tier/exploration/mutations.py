"""Mutations for the explorations: each removes one guard, to check that the invariants detect it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import attrs
from result import Ok, Result

from cherrycove.tier.controlplane.barrier_proposer import BarrierProposer
from cherrycove.tier.controlplane.configuration_state import AcceptOutcome, ConfigurationState
from cherrycove.tier.controlplane.leadership import Leadership
from cherrycove.tier.errors import Failure
from cherrycove.tier.exploration import group_model
from cherrycove.tier.protocol.keeper_pb2 import AcceptConfiguration, Command
from cherrycove.tier.protocol.replication_pb2 import VoteRequest
from cherrycove.tier.replication.candidate import Candidate
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership_policy import GroupView, MembershipStep, next_step
from cherrycove.tier.replication.voter import PendingGrant, Voter
from cherrycove.tier.simulation.mutations import MUTATIONS as SIMULATION_MUTATIONS
from cherrycove.tier.storage.hard_state import HardState

Patches = Iterator[Any]


def _vote_twice_in_an_epoch() -> Patches:
    def cast_vote(voter: Any, sender: MemberIdentity, request: VoteRequest, now: float) -> None:
        core = voter._core
        core.write_hard_state(
            HardState(core.hard_state.epoch, sender.member_id, core.hard_state.commit_index)
        )
        voter._pending_grant = PendingGrant(sender, request)

    yield mock.patch.object(Voter, "_cast_vote", cast_vote)


def _vote_for_itself_within_lease() -> Patches:
    request_votes = Candidate._request_votes

    def request_votes_with_own(candidate: Any, now: float) -> None:
        request_votes(candidate, now)
        if candidate._campaign is not None:
            candidate._campaign.votes.add(candidate._core.identity.member_id)

    yield mock.patch.object(Candidate, "_request_votes", request_votes_with_own)


def _excluded_disks_come_back() -> Patches:
    def ignoring_exclusions(view: GroupView) -> MembershipStep | None:
        return next_step(attrs.evolve(view, excluded=frozenset()))

    yield mock.patch("cherrycove.tier.replication.learners.next_step", ignoring_exclusions)


def _emptied_keeps_identity() -> Patches:
    yield mock.patch.object(group_model, "replaced_identity", lambda identity: identity)


def _digests_forgotten() -> Patches:
    yield mock.patch.object(ConfigurationState, "was_accepted", lambda *arguments: False)


def _decide_without_lease() -> Patches:
    yield mock.patch.object(Leadership, "is_confirmed_primary", lambda leadership: True)


def _no_barrier() -> Patches:
    async def resolve(proposer: Any, timeout_s: float) -> Result[None, Failure]:
        return Ok(None)

    yield mock.patch.object(BarrierProposer, "resolve", resolve)


def _base_checked_once() -> Patches:
    """Skip the second check of the base version, which is made when a change is applied.

    Two changes based on the same version then both take effect.
    """
    accept = ConfigurationState.accept

    def accept_any_base(state: Any, command: AcceptConfiguration) -> AcceptOutcome:
        changed = AcceptConfiguration()
        changed.CopyFrom(command)
        changed.base_version = state.document.version
        return accept(state, changed)

    yield mock.patch.object(ConfigurationState, "accept", accept_any_base)


def _no_barrier_and_base_checked_once() -> Patches:
    yield from _no_barrier()
    yield from _base_checked_once()


def _acknowledge_before_commit() -> Patches:
    async def propose(proposer: Any, command: Command, timeout_s: float) -> Result[object, Failure]:
        proposal = asyncio.ensure_future(proposer._group.propose(command.SerializeToString(), timeout_s))
        await asyncio.sleep(0)
        return proposal.result() if proposal.done() else Ok(AcceptOutcome.ACCEPTED)

    yield mock.patch.object(BarrierProposer, "propose", propose)


def _uncertain_taken_as_certain() -> Patches:
    yield mock.patch.object(Failure, "had_no_effect", True)


def _documents_unchecked() -> Patches:
    @attrs.frozen
    class UncheckedDocument:
        version: int

    def parse(body: bytes) -> Result[UncheckedDocument, Failure]:
        return Ok(UncheckedDocument(json.loads(body)["version"]))

    yield mock.patch("cherrycove.tier.exploration.decision_model._parse", parse)


MUTATIONS: dict[str, Callable[[], Patches]] = {
    **SIMULATION_MUTATIONS,
    "vote-twice-in-an-epoch": _vote_twice_in_an_epoch,
    "vote-for-itself-within-lease": _vote_for_itself_within_lease,
    "excluded-disks-come-back": _excluded_disks_come_back,
    "emptied-keeps-identity": _emptied_keeps_identity,
    "digests-forgotten": _digests_forgotten,
    "decide-without-lease": _decide_without_lease,
    "no-barrier": _no_barrier,
    "base-checked-once": _base_checked_once,
    "no-barrier-and-base-checked-once": _no_barrier_and_base_checked_once,
    "acknowledge-before-commit": _acknowledge_before_commit,
    "uncertain-taken-as-certain": _uncertain_taken_as_certain,
    "documents-unchecked": _documents_unchecked,
}


@contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply the mutation ``name`` within the context; "" applies none."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name]() if name else ():
            stack.enter_context(patch)
        yield
