"""Guards that can be taken out, to show that the explorations notice their absence."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import attrs

from cherrycove.tier.protocol.replication_pb2 import VoteRequest
from cherrycove.tier.replication.elections import Elections
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.membership_policy import GroupView, Step, next_step
from cherrycove.tier.simulation.mutations import MUTATIONS as SIMULATION_MUTATIONS
from cherrycove.tier.storage.promises import Promise

Patches = Iterator[Any]


def _vote_twice_in_an_epoch() -> Patches:
    def vote(elections: Any, sender: MemberIdentity, request: VoteRequest, now: float) -> None:
        core = elections._core
        core.write_promise(Promise(core.promise.epoch, sender.member_id, core.promise.committed))
        elections._owed = (sender, request)

    yield mock.patch.object(Elections, "_vote", vote)


def _vote_for_itself_within_lease() -> Patches:
    ask = Elections._ask

    def ask_with_own_vote(elections: Any, now: float) -> None:
        ask(elections, now)
        if elections._campaign is not None:
            elections._campaign.votes.add(elections._core.identity.member_id)

    yield mock.patch.object(Elections, "_ask", ask_with_own_vote)


def _excluded_disks_come_back() -> Patches:
    def forgetful(view: GroupView) -> Step | None:
        return next_step(attrs.evolve(view, excluded=frozenset()))

    yield mock.patch("cherrycove.tier.replication.recruiting.next_step", forgetful)


MUTATIONS: dict[str, Callable[[], Patches]] = {
    **SIMULATION_MUTATIONS,
    "vote-twice-in-an-epoch": _vote_twice_in_an_epoch,
    "vote-for-itself-within-lease": _vote_for_itself_within_lease,
    "excluded-disks-come-back": _excluded_disks_come_back,
}


@contextmanager
def without(name: str) -> Iterator[None]:
    """Run with the guard ``name`` taken out; "" takes out none."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name]() if name else ():
            stack.enter_context(patch)
        yield
