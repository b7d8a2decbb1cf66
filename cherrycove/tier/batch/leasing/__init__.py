"""Decisions about which proxy runs which item. Pure: no input, output or clock of its own."""
