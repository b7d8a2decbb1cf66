"""Deterministic simulation of a replicated group with its machines, disks, network and faults.

``python -m cherrycove.tier.simulation --seeds N`` runs N simulated worlds, each from one seed,
and prints the seeds that violated an invariant.
"""
