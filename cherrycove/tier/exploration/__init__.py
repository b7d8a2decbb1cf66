"""Explicit-state model checking of the deterministic state machines within small bounds.

Explores every order of the allowed steps, breadth first, and compares states by a hash. See the section
"Exhaustive exploration" of ``docs/design/control-safety-tests.md``.
"""
