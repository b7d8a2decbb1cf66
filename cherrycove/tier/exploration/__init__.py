"""Exhaustive exploration of the pure machines within small bounds.

Every order of the allowed steps is tried, breadth first; states are told apart by a hash. See the section
"Exhaustive exploration" of ``docs/design/control-safety.md``.
"""
