"""Effects that the membership state machine returns and its runtime carries out."""

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

    address: str  # host:port at which it serves internal calls


@attrs.frozen
class MemberChanged:
    """The status of another member has changed in the local membership list."""

    previous: MemberStatus | None  # None if the member was not in the list
    current: MemberStatus

    @property
    def is_join(self) -> bool:
        """Whether the local list now has the member as running and did not before."""
        return self.current.state.is_running and (self.previous is None or not self.previous.state.is_running)

    @property
    def alters_running_processes(self) -> bool:
        """Whether the set of running processes changes; a suspected member counts as running."""
        if self.previous is None or self.previous.state.is_running != self.current.state.is_running:
            return True
        return (
            self.current.state.is_running
            and self.previous.member.process_id != self.current.member.process_id
        )


Effect = SendDatagram | StartExchange | MemberChanged
