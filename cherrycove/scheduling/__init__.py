"""The storage broker's request scheduler: a pure module that maps events to actions (docs/design.md)."""

from cherrycove.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
