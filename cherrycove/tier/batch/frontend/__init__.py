"""The HTTP interface of batch jobs that a proxy serves to clients."""
