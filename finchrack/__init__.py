"""finchrack: the decisions of a storage gateway (see docs/design.md)."""

from finchrack.decide import Scheduler

__all__ = ["Scheduler"]
