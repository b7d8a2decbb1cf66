"""Simulates many hosts that run the real decision module against modelled nodes: ``python -m bench.fleet``.

The simulation runs in virtual time. Its figures come from a model; where the platform's own benches measure
the same quantity, their result takes precedence.
"""
