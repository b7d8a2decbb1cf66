"""Serves the HTTP interface of batch jobs, which a proxy offers to clients."""
