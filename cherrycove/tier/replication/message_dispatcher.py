"""Checks the epoch of each message of another replica and passes the message to the role that handles it."""

from __future__ import annotations

from cherrycove.tier.protocol.replication_pb2 import Message
from cherrycove.tier.replication.core import ReplicaCore
from cherrycove.tier.replication.interface import MemberIdentity
from cherrycove.tier.replication.roles import ReplicaRoles


class MessageDispatcher:
    """Dispatches messages by kind; owned by ``ReplicaMachine``, without state of its own.

    A message of an older epoch changes nothing; one of a newer epoch makes this replica a backup in that
    epoch. Vote requests are the exception: the voter checks their epoch itself, since most of them must not
    raise the epoch.
    """

    def __init__(self, core: ReplicaCore, roles: ReplicaRoles) -> None:
        self._core = core
        self._roles = roles

    def dispatch(self, sender: MemberIdentity, message: Message, now: float) -> None:
        """Handle ``message`` of ``sender``; unknown kinds are ignored."""
        body = message.WhichOneof("body")
        elections = self._roles.elections
        if body == "vote_request":
            confirmed = self._roles.is_confirmed_primary(now)
            elections.receive_vote_request(sender, message.vote_request, now, is_confirmed_primary=confirmed)
        elif body == "vote_reply":
            elections.receive_vote_reply(sender, message.epoch, message.vote_reply, now)
        elif body in ("append", "snapshot_chunk"):
            self._receive_from_primary(sender, message, now)
        elif body in ("append_reply", "snapshot_reply"):
            self._receive_from_backup(sender, message, now)
        elif body == "hand_over":
            self._receive_transfer(sender, message, now)

    def _receive_from_primary(self, sender: MemberIdentity, message: Message, now: float) -> None:
        backup = self._roles.backup
        if message.epoch < self._core.epoch:
            backup.reject_older_epoch(sender)
            return
        self._core.adopt_epoch(message.epoch)
        self._roles.elections.record_primary_contact(now)
        backup.follow(sender)
        if message.HasField("append"):
            backup.receive_append(sender, message.append, now)
        else:
            backup.receive_chunk(sender, message.snapshot_chunk, now)

    def _receive_from_backup(self, sender: MemberIdentity, message: Message, now: float) -> None:
        if message.epoch > self._core.epoch:
            self._core.adopt_epoch(message.epoch)
            return
        primary = self._roles.primary
        if primary is None or message.epoch < self._core.epoch:
            return
        if message.HasField("append_reply"):
            primary.receive_append_reply(sender, message.append_reply, now)
        else:
            primary.receive_snapshot_reply(sender, message.snapshot_reply, now)

    def _receive_transfer(self, sender: MemberIdentity, message: Message, now: float) -> None:
        """Campaign at once if the current primary transfers its leadership to this replica."""
        core = self._core
        is_from_primary = core.primary is not None and core.primary.member_id == sender.member_id
        may_lead = core.membership.is_electable and not core.is_disk_failing
        if message.epoch == core.epoch and is_from_primary and may_lead:
            self._roles.elections.campaign_after_transfer(now)
