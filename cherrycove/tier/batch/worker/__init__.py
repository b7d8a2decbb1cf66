"""The batch work of a proxy: leases items, runs them, reports their outcomes."""
