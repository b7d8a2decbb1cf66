"""A seeded simulation of a replicated group: machines, disks, a network, faults, and checks.

``python -m cherrycove.tier.simulation --seeds N`` runs N worlds and names the seeds that broke an invariant.
"""
