"""The control plane: configuration, known processes and brokers, and the store group, decided by one primary.

``controller`` assembles it; ``state`` is what is replicated; ``leader_coordinator`` decides what happens when
leadership begins and ends; ``operator_api`` is the operator's interface. docs/design/control-plane.md has the
states of a configuration change and of a retire order.
"""
