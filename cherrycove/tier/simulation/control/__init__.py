"""Deterministic simulation of the control plane, which runs the tier's asyncio code on virtual time.

Processes, machines, disks and links are simulated; controllers, stores, pullers and their replicated groups
are the production code. ``python -m cherrycove.tier.simulation --scenario NAME`` runs a scenario of
``scenarios.py``.
"""
