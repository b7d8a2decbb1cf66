"""Runs many real brokers on loopback behind proxies that inject faults, and measures them from outside."""
