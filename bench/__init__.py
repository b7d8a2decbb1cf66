"""Measurements, run by hand: ``python -m bench.NAME``. Never part of the tests, for a figure is no
verdict."""
