"""The control plane manages the configuration, the store group and the lists of processes and brokers.

One elected controller, the primary, makes all decisions. ``controller`` assembles the parts; ``state`` is the
replicated state machine; ``leader_coordinator`` handles the start and end of leadership; ``operator_api`` is
the operator's HTTP interface. docs/design/control-plane.md describes the states of a configuration change and
of a retire order.
"""
