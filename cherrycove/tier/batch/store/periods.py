"""Defines how often a store does its periodic work and how long it keeps jobs."""

from __future__ import annotations

MAINTENANCE_INTERVAL_S = 0.5
# Time that jobs are kept after clients may no longer ask for their status, for reads in progress.
FORGET_MARGIN_S = 2.0
