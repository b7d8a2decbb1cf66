"""Decides which proxy runs which item, without I/O or a clock of its own."""
