"""The pure decision module of the storage broker: events in, actions out (docs/design.md)."""

from cherrycove.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
