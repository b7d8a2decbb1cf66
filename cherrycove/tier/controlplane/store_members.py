"""Implements the RPC ``store-members``, by which controllers read the store group's committed members."""

from __future__ import annotations

from collections.abc import Sequence

from result import Err, Ok, Result

from cherrycove.tier.controlplane.replica_message import replica_message
from cherrycove.tier.distribution.cluster_view import ClusterView
from cherrycove.tier.errors import ErrorKind, Failure
from cherrycove.tier.protocol.calls import Caller, CallRegistry
from cherrycove.tier.protocol.controller_methods import STORE_MEMBERS
from cherrycove.tier.protocol.keeper_pb2 import StoreMembersReply, StoreMembersRequest
from cherrycove.tier.replication.interface import Group, not_primary_failure

CALL_TIMEOUT_S = 0.5


class StoreMembersService:
    """Answers the RPC on a store.

    Owned by the store's ``StoreMembership``. It returns the members only while its replica leads under a
    valid lease and no membership change is pending.
    """

    def __init__(self, group: Group, cluster_view: ClusterView) -> None:
        """``group`` is the store group; ``cluster_view`` has the revision of the orders applied here."""
        self._group = group
        self._cluster_view = cluster_view

    def serve_on(self, server: CallRegistry) -> None:
        """Register the call with ``server``."""
        server.register(STORE_MEMBERS, self.members)

    async def members(
        self,
        request: StoreMembersRequest,  # noqa: ARG002 - empty
    ) -> Result[StoreMembersReply, Failure]:
        """Return the committed members; NOT_PRIMARY, with the primary's address if known, otherwise."""
        committed = self._group.committed_members()
        if committed is None:
            return Err(not_primary_failure(self._group, "no member list in force is known here"))
        return Ok(
            StoreMembersReply(
                epoch=self._group.epoch,
                index=committed.index,
                members=[replica_message(member) for member in committed.members],
                excluded=sorted(committed.excluded),
                revision=self._cluster_view.store_group.revision,
            )
        )


class StoreMembersReader:
    """Asks stores in turn until the primary of their group answers; replies are not cached."""

    def __init__(self, client: Caller) -> None:
        self._client = client

    async def read(self, addresses: Sequence[str]) -> Result[StoreMembersReply, Failure]:
        """Return the committed members from the first store that reports them.

        Asks ``addresses`` (host:port) in turn, each once. A store that another one names as its primary is
        asked next. Returns the last failure if no store reports them, and UNAVAILABLE if there is no address.
        """
        failure = Failure(ErrorKind.UNAVAILABLE, "no store is known")
        waiting = list(dict.fromkeys(addresses))
        asked: set[str] = set()
        while waiting:
            address = waiting.pop(0)
            asked.add(address)
            outcome = await self._client.call(address, STORE_MEMBERS, StoreMembersRequest(), CALL_TIMEOUT_S)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if failure.primary and failure.primary not in asked:
                waiting = [failure.primary, *(other for other in waiting if other != failure.primary)]
        return Err(failure)
