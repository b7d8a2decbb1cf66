"""What the membership machine asks its runtime to do, and tells its users."""

from __future__ import annotations

import attrs

from cherrycove.tier.membership.model import MemberStatus
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

    former: MemberStatus | None
    current: MemberStatus

    @property
    def began(self) -> bool:
        """Whether a member runs that did not run before, as far as known here."""
        return self.current.state.running and (self.former is None or not self.former.state.running)

    @property
    def visible(self) -> bool:
        """Whether users see a difference: a suspected member still counts as running."""
        if self.former is None or self.former.state.running != self.current.state.running:
            return True
        return self.current.state.running and self.former.member.process_id != self.current.member.process_id


Effect = SendDatagram | StartExchange | MemberChanged
