"""Membership of the tier by the SWIM protocol: which processes run, known to each of them.

It owns the failure detector and the spread of its findings. It must never decide who leads anything.
"""
