"""The simulated deployment: its size, its addresses, and the time bounds that its processes are given."""

from __future__ import annotations

import attrs

INTERNAL_PORT_RANGE = [7720, 7735]
CONTROL_PORT = 8166  # of the operators' interface of a controller
PROXY_PORT = 8161  # of the clients' interface of a proxy
OPERATOR_HOST = "operator"
CLIENT_HOST = "client"
BATCH_ROUTE = "b"

CATCH_UP_S = 4.8  # after its start a machine has caught up with its group
CONTACT_S = 3.0  # after a partition has healed every process is in contact with the primary
ACKNOWLEDGE_S = 4.0  # without faults an order is answered within this time
CONFIG_APPLY_S = 2.0  # without faults a proxy applies an acknowledged configuration within this time


@attrs.frozen
class Topology:
    """Size of a deployment; ``faults`` of its ``machines``, which run controllers, may be lost at once.

    With ``one_seed_per_zone`` all processes that start at the same time get the same seeds, the first machine
    of each zone, as the platform assigns them. Otherwise each start draws its own seeds from all machines.
    """

    faults: int = 1
    machines: int = 3
    proxies: int = 2
    stores: bool = False
    one_seed_per_zone: bool = False
