"""Effects of the membership machine: what its runtime sends, starts and reports."""

from __future__ import annotations

import attrs

from cherrycove.tier.membership.members import MemberStatus
from cherrycove.tier.protocol.membership_pb2 import Datagram


@attrs.frozen
class SendDatagram:
    """Send one UDP datagram; it may be lost."""

    address: str  # host:port
    datagram: Datagram


@attrs.frozen
class StartExchange:
    """Run one anti-entropy exchange with the process at ``address``."""

    address: str  # host:port of its internal calls


@attrs.frozen
class MemberChanged:
    """The status of another member has changed in the local membership list."""

    previous: MemberStatus | None  # None: it was not in the list
    current: MemberStatus

    @property
    def is_join(self) -> bool:
        """Whether a member runs now that did not run before, as far as known here."""
        return self.current.state.is_running and (self.previous is None or not self.previous.state.is_running)

    @property
    def is_visible(self) -> bool:
        """Whether the set of running processes differs: a suspected member still counts as running."""
        if self.previous is None or self.previous.state.is_running != self.current.state.is_running:
            return True
        return (
            self.current.state.is_running
            and self.previous.member.process_id != self.current.member.process_id
        )


Effect = SendDatagram | StartExchange | MemberChanged
