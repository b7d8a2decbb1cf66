"""Implements the service that a store runs for batch jobs."""
