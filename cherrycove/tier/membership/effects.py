"""What the membership machine asks its runtime to do, and tells its users."""

from __future__ import annotations

import attrs

from cherrycove.tier.membership.members import MemberStatus
from cherrycove.tier.protocol.membership_pb2 import Datagram


@attrs.frozen
class SendDatagram:
    address: str  # host:port
    datagram: Datagram


@attrs.frozen
class StartExchange:
    """Compare the whole table with that of the process at ``address``."""

    address: str  # host:port of its internal calls


@attrs.frozen
class MemberChanged:
    """Another process appeared, was suspected, ended, came back or was replaced by its next start."""

    previous: MemberStatus | None
    current: MemberStatus

    @property
    def is_join(self) -> bool:
        """Whether a member runs that did not run before, as far as known here."""
        return self.current.state.is_running and (self.previous is None or not self.previous.state.is_running)

    @property
    def is_visible(self) -> bool:
        """Whether users see a difference: a suspected member still counts as running."""
        if self.previous is None or self.previous.state.is_running != self.current.state.is_running:
            return True
        return (
            self.current.state.is_running
            and self.previous.member.process_id != self.current.member.process_id
        )


Effect = SendDatagram | StartExchange | MemberChanged
