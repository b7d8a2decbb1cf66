"""Parameters of the protocol; the defaults are those that the tier runs with."""

from __future__ import annotations

import math

import attrs


@attrs.frozen(kw_only=True)
class SwimParameters:
    """Times as multiples of the protocol period (``_periods``), and counts.

    The counts of members and transmissions grow with the logarithm of the group, as in SWIM, section 4.
    """

    period_s: float  # SWIM's T': one member is probed per period
    direct_timeout_periods: float = 0.15  # until a member that does not answer is probed through others
    retry_periods: float = 0.1  # between further pings of a probe, direct and indirect
    probe_timeout_periods: float = 0.5  # until a member that does not answer is suspected
    suspicion_periods: float = 1.0  # times log10 of the number of members
    reported_death_periods: float = 1.0  # suspicion of a member that somebody else has declared dead
    verification_periods: float = 0.25  # between the pings of a suspected member
    stall_periods: float = 0.25  # a timer that fires later than this shows that the local process stalled
    seed_contact_periods: float = 0.2  # between pings of the seeds while no other member is known
    tombstone_periods: float = 120.0  # how long dead members are remembered, and looked for
    exchange_periods: float = 2.0  # shortest time between anti-entropy exchanges
    quiet_exchange_periods: float = 25.0  # longest time between anti-entropy exchanges
    gossip_periods: float = 0.25  # between datagrams that only carry updates, while there are any
    gossip_members: int = 3  # receivers of each of these
    indirect_members: int = 3  # SWIM's k: members asked for an indirect probe
    verifying_members: int = 8  # members that ping a suspected one besides the one that suspected it first
    contacts_per_period: int = 3  # pings of absent seeds and dead members, by all members together
    verifications_per_batch: int = 10  # contested members pinged after one anti-entropy exchange
    leave_notified_members: int = 6  # members notified directly that this one leaves
    retransmission_factor: float = 3.0  # SWIM's lambda: times log2 of the number of members
    min_transmissions: int = 10
    max_datagram_bytes: int = 1150  # below the usual MTU, so that no datagram is fragmented

    def suspicion_s(self, member_count: int) -> float:
        """Return how long a suspected member has to refute, in a group of ``member_count`` members."""
        scale = max(1.0, math.log10(max(member_count, 1)))
        return self.suspicion_periods * scale * self.period_s

    def transmissions(self, member_count: int) -> int:
        """Return how often an update is piggybacked: lambda log n (SWIM, section 4.1)."""
        scaled = math.ceil(self.retransmission_factor * math.log2(member_count + 1))
        return max(self.min_transmissions, scaled)
