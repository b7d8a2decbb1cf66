"""A seeded simulation of the whole control side: the asyncio code of the tier on virtual time.

Processes, machines, disks and links are simulated; keepers, stores, pullers and their groups are the real
ones. ``python -m cherrycove.tier.simulation --scenario NAME`` runs one scenario of ``scenarios.py``.
"""
