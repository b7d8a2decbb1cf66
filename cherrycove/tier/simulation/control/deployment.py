"""Describes the simulated deployment: size, addresses and time bounds."""

from __future__ import annotations

import attrs

INTERNAL_PORT_RANGE = [7720, 7735]
CONTROL_PORT = 8166  # of a controller's interface for operators
PROXY_PORT = 8161  # of a proxy's interface for clients
OPERATOR_HOST = "operator"
CLIENT_HOST = "client"
BATCH_ROUTE = "b"

CATCH_UP_S = 4.8  # a machine has caught up with its group within this time after its start
CONTACT_S = 3.0  # every process reaches the primary within this time after a partition has healed
ACKNOWLEDGE_S = 4.0  # an operator's order is answered within this time without faults
CONFIG_APPLY_S = 2.0  # a proxy applies an acknowledged configuration within this time without faults


@attrs.frozen
class Topology:
    """Describes a deployment; ``faults`` of its ``machines``, which run controllers, may be lost at once.

    With ``one_seed_per_zone`` all processes that start at the same time get the same seeds, the first machine
    of each zone, as the platform assigns them. Otherwise each start draws its own seeds from all machines.
    """

    faults: int = 1
    machines: int = 3
    proxies: int = 2
    stores: bool = False
    one_seed_per_zone: bool = False
