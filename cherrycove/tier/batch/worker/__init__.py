"""Implements the batch work of a proxy: it leases items, runs them and reports their outcomes."""
