"""The service that a store runs for batch jobs."""
