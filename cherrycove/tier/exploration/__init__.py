"""Exhaustive exploration of the pure machines within small bounds.

Every order of the allowed steps is explored, breadth first; states are compared by a hash. See the section
"Exhaustive exploration" of ``docs/design/control-safety-tests.md``.
"""
