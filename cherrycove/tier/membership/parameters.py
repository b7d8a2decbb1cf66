"""Parameters of the protocol; the tier runs with the defaults."""

from __future__ import annotations

import math

import attrs


@attrs.frozen(kw_only=True)
class SwimParameters:
    """Holds counts, and times as multiples of the protocol period (``_periods``).

    The suspicion time-out and the number of transmissions of an update grow with the logarithm of the number
    of members, as in SWIM, section 4.
    """

    period_s: float  # SWIM's T': one member is probed per period
    direct_timeout_periods: float = 0.15  # time without an ack until a member is probed indirectly
    retry_periods: float = 0.1  # interval between further pings of a probe, direct and indirect
    probe_timeout_periods: float = 0.5  # time without an ack until a member is suspected
    suspicion_timeout_periods: float = 1.0  # multiplied by log10 of the number of members
    reported_death_timeout_periods: float = 1.0  # for members that another member declared dead
    verification_periods: float = 0.25  # interval between the pings of a suspected member
    stall_periods: float = 0.25  # lateness of a timer from which on the local process counts as stalled
    seed_ping_periods: float = 0.2  # interval between pings of the seeds while no other member is known
    tombstone_periods: float = 120.0  # time for which tombstones are kept and dead members are pinged
    min_exchange_periods: float = 2.0  # shortest interval between anti-entropy exchanges
    max_exchange_periods: float = 25.0  # longest interval between anti-entropy exchanges
    gossip_periods: float = 0.25  # interval between gossip rounds while there are updates to send
    gossip_members: int = 3  # receivers of each gossip round
    indirect_members: int = 3  # SWIM's k: members asked for an indirect probe
    verifying_members: int = 8  # mean number that ping a suspected member, besides the first to suspect it
    discovery_pings_per_period: int = 3  # mean number, to absent seeds and dead members, of the whole group
    contested_pings_per_exchange: int = 10  # contested members pinged after one anti-entropy exchange
    leave_notified_members: int = 6  # members that a leaving process notifies directly
    retransmission_factor: float = 3.0  # SWIM's lambda, multiplied by log2 of the number of members
    min_transmissions: int = 10
    max_datagram_bytes: int = 1150  # below the usual MTU, so that no datagram is fragmented

    def suspicion_timeout_s(self, member_count: int) -> float:
        """Return how long a suspected member has to refute in a group of ``member_count``, in seconds."""
        scale = max(1.0, math.log10(max(member_count, 1)))
        return self.suspicion_timeout_periods * scale * self.period_s

    def transmissions(self, member_count: int) -> int:
        """Return how many times an update is piggybacked: lambda log n (SWIM, section 4.1)."""
        scaled = math.ceil(self.retransmission_factor * math.log2(member_count + 1))
        return max(self.min_transmissions, scaled)
