"""How often a store does its periodic work, and for how long it keeps jobs."""

from __future__ import annotations

MAINTENANCE_INTERVAL_S = 0.5
FORGET_MARGIN_S = 2.0  # beyond the time for which clients may ask for a job's status: reads under way
