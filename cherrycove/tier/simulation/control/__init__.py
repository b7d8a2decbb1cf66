"""A seeded simulation of the control side: the asyncio code of the tier on virtual time.

Processes, machines, disks and links are simulated; controllers, stores, pullers and their groups are
the real ones. ``python -m cherrycove.tier.simulation --scenario NAME`` runs one scenario of ``scenarios.py``.
"""
